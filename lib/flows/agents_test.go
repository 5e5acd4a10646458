package flows

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// reportedAgents returns a set of agents that have all reported.
func reportedAgents(now time.Time, count int) *Agents {
	a := NewAgents(testLostAfter)
	for i := range count {
		a.RecordReport(now, testEndpoint(2, i), Report{Service: HashName(testService), Slots: 7, State: StateReady})
	}
	return a
}

// keepReporting makes one agent report regularly until the given time, as a hello makes it do while others are silent.
func (a *Agents) keepReporting(from, until time.Time, agent Endpoint) {
	for now := from; !now.After(until); now = now.Add(fastReportInterval) {
		a.RecordReport(now, agent, Report{Service: HashName(testService), Slots: 7, State: StateReady})
	}
}

func TestSilentAgentIsDormantUntilItReports(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(0, 0)
	a := reportedAgents(now, 3)
	silent := testEndpoint(2, 0)
	a.ExpectReport(now, silent, false)
	g.Expect(a.Lost(now.Add(testLostAfter), silent)).To(gomega.BeFalse())
	g.Expect(a.Lost(now.Add(testLostAfter+1), silent)).To(gomega.BeTrue())
	a.keepReporting(now, now.Add(2*testLostAfter), testEndpoint(2, 1))
	g.Expect(a.GiveUpSilent(now.Add(2 * testLostAfter))).To(gomega.BeEmpty())
	later := now.Add(2*testLostAfter + 1)
	hash := a.Hash()
	g.Expect(a.GiveUpSilent(later)).To(gomega.Equal([]Endpoint{silent}))
	g.Expect(a.GiveUpSilent(later)).To(gomega.BeEmpty())
	g.Expect(a.Hash()).NotTo(gomega.Equal(hash))
	g.Expect(a.Addresses()).NotTo(gomega.ContainElement(silent))
	g.Expect(a.candidates(later, HashName(testService), testFlow(1), nil)).NotTo(gomega.ContainElement(silent))
	g.Expect(a.Add(later, silent)).To(gomega.BeFalse())
	g.Expect(a.Dormant(silent)).To(gomega.BeTrue())
	g.Expect(a.TakeUnmarked()).To(gomega.Equal([]Endpoint{silent}))
	g.Expect(a.TakeUnmarked()).To(gomega.BeEmpty())
	a.SetUnmarked(silent)
	g.Expect(a.TakeUnmarked()).To(gomega.Equal([]Endpoint{silent}))
	g.Expect(a.RecordReport(later, silent, Report{Service: HashName(testService), State: StateReady})).To(gomega.BeTrue())
	g.Expect(a.Dormant(silent)).To(gomega.BeFalse())
	g.Expect(a.Hash()).To(gomega.Equal(hash))
	g.Expect(a.candidates(later, HashName(testService), testFlow(1), nil)).To(gomega.ContainElement(silent))
}

// Guards against an agent that comes back from a cut and is found by some balancers only: those that had given it up sent it nothing.
func TestDormantAgentIsAskedForReportsUntilItsEntryMustBeGone(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(0, 0)
	a := reportedAgents(now, 3)
	silent := testEndpoint(2, 0)
	a.ExpectReport(now, silent, false)
	a.keepReporting(now, now.Add(2*testLostAfter), testEndpoint(2, 1))
	now = now.Add(2*testLostAfter + 1)
	g.Expect(a.GiveUpSilent(now)).To(gomega.Equal([]Endpoint{silent}))
	for range 10 {
		now = now.Add(dormantHelloInterval)
		g.Expect(a.DueHellos(now)).To(gomega.ContainElement(silent))
	}
	a.GiveUpSilent(now.Add(dormantLifetime))
	g.Expect(a.Has(silent)).To(gomega.BeFalse())
}

// An agent that has failed and whose entry is marked delays no proof at a balancer that starts later for lostAfter.
func TestUnheardAgentOfMarkedEntryIsLostSoon(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(0, 0)
	a := NewAgents(testLostAfter)
	marked, other := testEndpoint(2, 0), testEndpoint(2, 1)
	a.AddListed(now, now, marked, true)
	a.AddListed(now, now, other, false)
	g.Expect(a.Unreported(now.Add(markedPatience))).To(gomega.Equal([]Endpoint{marked, other}))
	g.Expect(a.Unreported(now.Add(markedPatience + 1))).To(gomega.Equal([]Endpoint{other}))
	hellos := 0
	for elapsed := time.Duration(0); elapsed < markedPatience; elapsed += 25 * time.Millisecond {
		hellos += len(a.DueHellos(now.Add(elapsed)))
	}
	g.Expect(hellos).To(gomega.BeNumerically(">=", 2*4), "lost hellos make no agent lost")
	g.Expect(a.Addresses()).To(gomega.Equal([]Endpoint{other}), "other balancers don't learn of it here")
	g.Expect(a.MustJoin(marked, Report{State: StateGone})).To(gomega.BeFalse(), "it leaves by itself")
	g.Expect(a.MustJoin(marked, Report{State: StateReady})).To(gomega.BeTrue())
	g.Expect(a.MustJoin(other, Report{State: StateReady})).To(gomega.BeFalse())
	g.Expect(a.Lost(now.Add(time.Minute), marked)).To(gomega.BeTrue())
	a.RecordReport(now, marked, Report{Service: HashName(testService), State: StateReady})
	a.ExpectReport(now, marked, false)
	g.Expect(a.Lost(now.Add(testLostAfter), marked)).To(gomega.BeFalse(), "it was heard here")
}

func TestNoAgentIsGivenUpWhenMostAreSilent(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(0, 0)
	a := reportedAgents(now, 3)
	for i := range 2 {
		a.ExpectReport(now, testEndpoint(2, i), false)
	}
	a.keepReporting(now, now.Add(time.Minute), testEndpoint(2, 2))
	g.Expect(a.GiveUpSilent(now.Add(time.Minute))).To(gomega.BeEmpty())
	g.Expect(a.Lost(now.Add(time.Minute), testEndpoint(2, 0))).To(gomega.BeTrue())
}

func TestAgentThatReportsLeftIsRemoved(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(0, 0)
	a := reportedAgents(now, 2)
	g.Expect(a.RecordReport(now, testEndpoint(2, 0), Report{State: StateLeft})).To(gomega.BeTrue())
	g.Expect(a.Addresses()).To(gomega.Equal([]Endpoint{testEndpoint(2, 1)}))
}

func TestUnlistedReturnsReportingAgentsMissingFromMembers(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(0, 0)
	a := reportedAgents(now, 2)
	listed := []Endpoint{testEndpoint(2, 1)}
	g.Expect(a.Unlisted(now, listed)).To(gomega.BeEmpty()) // it may still be joining
	later := now.Add(joinGrace + 1)
	g.Expect(a.Unlisted(later, listed)).To(gomega.Equal([]Endpoint{testEndpoint(2, 0)}))
}

// Guards against a balancer that has given an agent up and takes no notice of the list, which shows that the agent runs.
func TestAgentThatHasReplacedItsMarkedEntryIsWaitedFor(t *testing.T) {
	for name, heardBefore := range map[string]bool{"heard before": true, "never heard": false} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			now := time.Unix(0, 0)
			a := reportedAgents(now, 3)
			returned := testEndpoint(2, 0)
			if !heardBefore {
				a.Remove(returned)
			}
			a.ExpectReport(now, returned, false)
			a.keepReporting(now, now.Add(2*testLostAfter+fastReportInterval), testEndpoint(2, 1))
			now = now.Add(2*testLostAfter + fastReportInterval)
			a.GiveUpSilent(now)
			a.AddListed(now, now, returned, true)
			now = now.Add(markedPatience + 1)
			g.Expect(a.Dormant(returned)).To(gomega.BeTrue())
			g.Expect(a.Lost(now, returned)).To(gomega.BeTrue())
			hash := a.Hash()
			a.AddListed(now, now, returned, false)
			g.Expect(a.Hash()).NotTo(gomega.Equal(hash))
			g.Expect(a.DueHellos(now.Add(reportGrace + 1))).To(gomega.ContainElement(returned))
			responsive, silent := a.holders(now.Add(testLostAfter), HashName(testService), testFlow(1), nil)
			g.Expect(append(responsive, silent...)).To(gomega.ContainElement(returned))
			g.Expect(a.Lost(now.Add(testLostAfter+1), returned)).To(gomega.BeTrue())
		})
	}
}

func TestHelloIntervalGrowsForSilentAgent(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(0, 0)
	a := NewAgents(testLostAfter)
	a.Add(now, testEndpoint(2, 0))
	hellos := 0
	for ms := range 10_000 {
		hellos += len(a.DueHellos(now.Add(time.Duration(ms) * time.Millisecond)))
	}
	g.Expect(hellos).To(gomega.BeNumerically("~", 22, 2))
	g.Expect(maxHelloInterval).To(gomega.BeNumerically("<=", testLostAfter/8), "lost hellos make no agent lost after a cut")
}

func TestReportOfAnotherServiceMovesAgent(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(0, 0)
	a := reportedAgents(now, 1)
	a.RecordReport(now, testEndpoint(2, 0), Report{Service: HashName("nachweise"), Slots: 7, State: StateReady})
	g.Expect(a.candidates(now, HashName(testService), testFlow(1), nil)).To(gomega.BeEmpty())
	g.Expect(a.candidates(now, HashName("nachweise"), testFlow(1), nil)).To(gomega.HaveLen(1))
}

func TestAddIgnoresAgentThatLeftUntilItReports(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(100, 0)
	a := NewAgents(testLostAfter)
	left := testEndpoint(2, 0)
	a.RecordReport(now, left, Report{Service: HashName(testService), State: StateReady})
	a.RecordReport(now, left, Report{Service: HashName(testService), State: StateLeft})
	g.Expect(a.Add(now.Add(time.Second), left)).To(gomega.BeFalse())
	g.Expect(a.Has(left)).To(gomega.BeFalse())
	a.RecordReport(now.Add(2*time.Second), left, Report{Service: HashName(testService), State: StateReady})
	g.Expect(a.Has(left)).To(gomega.BeTrue(), "an agent that reports again is added")
}

// The address of an agent that left may be reused at once by a new agent, which this balancer learns of only from a
// list of members that was read after the first one left.
func TestAddListedIgnoresListReadBeforeAgentLeft(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(100, 0)
	a := NewAgents(testLostAfter)
	address := testEndpoint(2, 0)
	a.RecordReport(now, address, Report{Service: HashName(testService), State: StateReady})
	a.RecordReport(now, address, Report{Service: HashName(testService), State: StateLeft})
	a.AddListed(now.Add(time.Second), now.Add(-time.Millisecond), address, false)
	g.Expect(a.Has(address)).To(gomega.BeFalse(), "the list was read before the agent left")
	a.AddListed(now.Add(time.Second), now.Add(time.Millisecond), address, false)
	g.Expect(a.Has(address)).To(gomega.BeTrue())
	responsive, silent := a.holders(now.Add(time.Second), HashName(testService), testFlow(1), nil)
	g.Expect(append(responsive, silent...)).To(gomega.ContainElement(address), "the new agent may hold flows")
}

func TestAgentsAreUnreachableWhenNoneReports(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(0, 0)
	agents := NewAgents(testLostAfter)
	g.Expect(agents.Unreachable(now)).To(gomega.BeFalse(), "there are none")
	report := Report{Interval: fastReportInterval, Service: HashName(testService), Slots: 7, State: StateReady}
	agents.RecordReport(now, testEndpoint(2, 0), report)
	agents.RecordReport(now, testEndpoint(2, 1), report)
	g.Expect(agents.Unreachable(now.Add(time.Hour))).To(gomega.BeFalse(), "none was expected to report")
	agents.ExpectReport(now, testEndpoint(2, 0), false)
	g.Expect(agents.Unreachable(now.Add(fastReportInterval))).To(gomega.BeFalse())
	now = now.Add(fastReportInterval + reportGrace + 1)
	g.Expect(agents.Unreachable(now)).To(gomega.BeTrue())
	agents.RecordReport(now, testEndpoint(2, 1), report)
	g.Expect(agents.Unreachable(now)).To(gomega.BeFalse())
}

// A balancer that was cut off hears the agents again one by one. It must not take those that are later than others for
// dead: it would mark their entries for removal, and reset their flows.
func TestOwnIsolationDoesNotCountAsSilenceOfAgents(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(0, 0)
	agents := NewAgents(testLostAfter)
	report := Report{Interval: fastReportInterval, Service: HashName(testService), Slots: 7, State: StateReady}
	const count = 5
	for i := range count {
		agents.RecordReport(now, testEndpoint(2, i), report)
		agents.ExpectReport(now, testEndpoint(2, i), false)
	}
	late := testEndpoint(2, count-1)
	now = now.Add(dormantAfterFactor * 2 * testLostAfter)
	g.Expect(agents.Lost(now, late)).To(gomega.BeTrue())
	for i := range count - 1 {
		agents.RecordReport(now, testEndpoint(2, i), report)
	}
	g.Expect(agents.Lost(now, late)).To(gomega.BeFalse())
	g.Expect(agents.GiveUpSilent(now)).To(gomega.BeEmpty())
	g.Expect(agents.DueHellos(now.Add(fastReportInterval + reportGrace + 1))).To(gomega.ContainElement(late))
	for range 2 * dormantAfterFactor * int(testLostAfter/time.Second) {
		now = now.Add(500 * time.Millisecond)
		agents.RecordReport(now, testEndpoint(2, 0), report)
	}
	now = now.Add(1)
	g.Expect(agents.Lost(now, late)).To(gomega.BeTrue(), "it stays silent while others are heard")
	g.Expect(agents.GiveUpSilent(now)).To(gomega.Equal([]Endpoint{late}))
}

// A balancer that is cut off has asked some agents for reports and not others.
func TestNoAgentIsGivenUpWhileNoneIsHeard(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(0, 0)
	agents := NewAgents(testLostAfter)
	report := Report{Interval: fastReportInterval, Service: HashName(testService), Slots: 7, State: StateReady}
	for i := range 5 {
		agents.RecordReport(now, testEndpoint(2, i), report)
	}
	asked := testEndpoint(2, 0)
	agents.ExpectReport(now, asked, false)
	now = now.Add(dormantAfterFactor * 2 * testLostAfter)
	g.Expect(agents.GiveUpSilent(now)).To(gomega.BeEmpty())
	g.Expect(agents.Has(asked)).To(gomega.BeTrue())
}

func TestHashOfAgentsDependsOnlyOnTheirAddresses(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(0, 0)
	x, y := NewAgents(testLostAfter), NewAgents(testLostAfter)
	for i := range 5 {
		x.Add(now, testEndpoint(2, i))
		y.Add(now, testEndpoint(2, 4-i))
		y.Add(now, testEndpoint(2, 4-i))
	}
	g.Expect(x.Hash()).To(gomega.Equal(y.Hash()))
	x.Remove(testEndpoint(2, 1))
	x.Remove(testEndpoint(2, 1))
	g.Expect(x.Hash()).NotTo(gomega.Equal(y.Hash()))
	y.RecordReport(now, testEndpoint(2, 1), Report{State: StateLeft})
	g.Expect(x.Hash()).To(gomega.Equal(y.Hash()))
}
