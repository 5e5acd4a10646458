package carry

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// heardAgents returns a set of agents that have all reported.
func heardAgents(now time.Time, count int) *Agents {
	a := NewAgents(testLost)
	for i := range count {
		a.Report(now, testEndpoint(2, i), Report{Service: ServiceIDOf(testService), Slots: 7, State: StateReady})
	}
	return a
}

func TestAgentThatIsSilentForLongIsForgottenUntilItReports(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(0, 0)
	a := heardAgents(now, 3)
	dead := testEndpoint(2, 0)
	a.Sent(now, dead, false)
	g.Expect(a.Lost(now.Add(testLost), dead)).To(gomega.BeFalse())
	g.Expect(a.Lost(now.Add(testLost+1), dead)).To(gomega.BeTrue())
	g.Expect(a.Forget(now.Add(2 * testLost))).To(gomega.BeEmpty())
	later := now.Add(2*testLost + 1)
	g.Expect(a.Forget(later)).To(gomega.Equal([]Endpoint{dead}))
	g.Expect(a.Add(later, dead)).To(gomega.BeFalse())
	g.Expect(a.Forgot(later, dead)).To(gomega.BeTrue())
	g.Expect(a.Report(later, dead, Report{Service: ServiceIDOf(testService), State: StateReady})).To(gomega.BeTrue())
	g.Expect(a.Known(dead)).To(gomega.BeTrue())
	g.Expect(a.Forgot(later, dead)).To(gomega.BeFalse())
}

func TestBalancerThatHearsNobodyForgetsNobody(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(0, 0)
	a := heardAgents(now, 3)
	for i := range 2 {
		a.Sent(now, testEndpoint(2, i), false)
	}
	g.Expect(a.Forget(now.Add(time.Hour))).To(gomega.BeEmpty())
}

func TestAgentThatEndedForGoodIsRemovedAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(0, 0)
	a := heardAgents(now, 2)
	g.Expect(a.Report(now, testEndpoint(2, 0), Report{State: StateLeft})).To(gomega.BeTrue())
	g.Expect(a.Addresses()).To(gomega.Equal([]Endpoint{testEndpoint(2, 1)}))
}

func TestAgentMissingFromTheMembersIsFound(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(0, 0)
	a := heardAgents(now, 2)
	listed := []Endpoint{testEndpoint(2, 1)}
	g.Expect(a.Unlisted(now, listed)).To(gomega.BeEmpty()) // it may still be joining
	later := now.Add(joinTime + 1)
	g.Expect(a.Unlisted(later, listed)).To(gomega.Equal([]Endpoint{testEndpoint(2, 0)}))
}

func TestSilentAgentIsGreetedMoreAndMoreRarely(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(0, 0)
	a := NewAgents(testLost)
	a.Add(now, testEndpoint(2, 0))
	greeted := 0
	for ms := range 10_000 {
		greeted += len(a.Greet(now.Add(time.Duration(ms) * time.Millisecond)))
	}
	g.Expect(greeted).To(gomega.BeNumerically("~", 10, 2))
}

func TestAddressThatServesAnotherServiceLeavesTheOldOne(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(0, 0)
	a := heardAgents(now, 1)
	a.Report(now, testEndpoint(2, 0), Report{Service: ServiceIDOf("nachweise"), Slots: 7, State: StateReady})
	g.Expect(a.candidates(now, ServiceIDOf(testService), testFlow(1), nil)).To(gomega.BeEmpty())
	g.Expect(a.candidates(now, ServiceIDOf("nachweise"), testFlow(1), nil)).To(gomega.HaveLen(1))
}

func TestAgentThatLeftIsNotTakenFromOthersThatStillKnowIt(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(100, 0)
	a := NewAgents(testLost)
	gone := testEndpoint(2, 0)
	a.Report(now, gone, Report{Service: ServiceIDOf(testService), State: StateReady})
	a.Report(now, gone, Report{Service: ServiceIDOf(testService), State: StateLeft})
	g.Expect(a.Add(now.Add(time.Second), gone)).To(gomega.BeFalse())
	g.Expect(a.Known(gone)).To(gomega.BeFalse())
	a.Report(now.Add(2*time.Second), gone, Report{Service: ServiceIDOf(testService), State: StateReady})
	g.Expect(a.Known(gone)).To(gomega.BeTrue(), "it is back")
}

// An address may be used again at once by another backend server, of which this balancer has not heard yet.
func TestAgentInAListReadAfterItLeftIsANewOne(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(100, 0)
	a := NewAgents(testLost)
	address := testEndpoint(2, 0)
	a.Report(now, address, Report{Service: ServiceIDOf(testService), State: StateReady})
	a.Report(now, address, Report{Service: ServiceIDOf(testService), State: StateLeft})
	a.Listed(now.Add(time.Second), now.Add(-time.Millisecond), address)
	g.Expect(a.Known(address)).To(gomega.BeFalse(), "the list was read before it left")
	a.Listed(now.Add(time.Second), now.Add(time.Millisecond), address)
	g.Expect(a.Known(address)).To(gomega.BeTrue())
	answering, silent := a.holders(now.Add(time.Second), ServiceIDOf(testService), testFlow(1), nil)
	g.Expect(append(answering, silent...)).To(gomega.ContainElement(address), "it may hold flows")
}
