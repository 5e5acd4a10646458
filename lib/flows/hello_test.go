package flows

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// helloSim runs the hellos of one balancer to agents, some of which are dead.
type helloSim struct {
	agents *Agents
	dead   map[Endpoint]bool
	hellos int
	now    time.Time
}

func (h *helloSim) run(duration time.Duration) {
	for end := h.now.Add(duration); h.now.Before(end); h.now = h.now.Add(25 * time.Millisecond) {
		for _, agent := range h.agents.DueHellos(h.now) {
			h.hellos++
			if !h.dead[agent] {
				h.agents.RecordReport(h.now, agent, Report{Interval: slowReportInterval, Service: HashName(testService), Slots: 7, State: StateReady})
			}
		}
	}
}

// Each of many balancers gives an agent few flows. It must not take a lost flow at each of them to notice a dead agent.
func TestDeadAgentIsSuspectWithoutLosingAFlow(t *testing.T) {
	g := gomega.NewWithT(t)
	start := time.Unix(0, 0)
	const agents = 109
	h := &helloSim{agents: reportedAgents(start, agents), dead: map[Endpoint]bool{}, now: start}
	h.agents.candidates(start, HashName(testService), testFlow(1), nil) // the service is in use
	h.run(5 * time.Second)
	g.Expect(h.hellos).To(gomega.BeNumerically("<=", 5*agents), "one hello a second suffices while all answer")
	dead := testEndpoint(2, 7)
	h.dead[dead] = true
	h.run(staleAfter + reportGrace + 100*time.Millisecond)
	g.Expect(h.agents.Suspect(h.now, dead)).To(gomega.BeTrue())
	for i := range 200 {
		g.Expect(h.agents.candidates(h.now, HashName(testService), testFlow(i), nil)).NotTo(gomega.ContainElement(dead))
	}
	g.Expect(h.agents.Suspect(h.now, testEndpoint(2, 8))).To(gomega.BeFalse())
	h.run(testLostAfter)
	g.Expect(h.agents.Lost(h.now, dead)).To(gomega.BeTrue(), "flows wait for it no longer, though none was sent there")
}

func TestSingleLostHelloMakesNoAgentSuspect(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(0, 0)
	a := reportedAgents(now, 1)
	a.candidates(now, HashName(testService), testFlow(1), nil)
	now = now.Add(staleAfter + time.Millisecond)
	g.Expect(a.DueHellos(now)).To(gomega.HaveLen(1))
	now = now.Add(minHelloInterval)
	g.Expect(a.DueHellos(now)).To(gomega.BeEmpty(), "the interval doubles")
	now = now.Add(minHelloInterval)
	g.Expect(a.DueHellos(now)).To(gomega.HaveLen(1), "repeated before the agent is suspect")
	g.Expect(a.Suspect(now, testEndpoint(2, 0))).To(gomega.BeFalse())
}

// An agent finds its backend server's port closed after a power loss, says so, and its host is then taken away.
func TestNoFlowWaitsForSilentAgentWithoutBackendServer(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newTestNetwork(1, 1, 3)
	a := n.agents[0]
	n.restartAgent(a)
	g.Expect(a.server.RecordRefused(n.now.Add(time.Hour))).To(gomega.BeTrue())
	g.Expect(a.dispatcher.ResetServerFlows(n.now)).To(gomega.BeEmpty())
	report := a.dispatcher.Report(n.now)
	g.Expect(report.holdsNone()).To(gomega.BeTrue())
	d := n.directors[n.balancers()[0]]
	d.RecordReport(n.now, a.address, report)
	a.running = false
	for elapsed := time.Duration(0); elapsed < 3*time.Second; elapsed += testReportInterval {
		n.now = n.now.Add(testReportInterval)
		d.Agents.DueHellos(n.now)
		for _, other := range n.agents[1:] {
			n.announce(other)
			d.RecordReport(n.now, other.address, other.dispatcher.Report(n.now))
		}
	}
	g.Expect(d.Agents.Suspect(n.now, a.address)).To(gomega.BeTrue())
	n.sendVia(n.balancers()[0], testFlow(1), FlagAck, 100)
	g.Expect(d.HasPendingResets()).To(gomega.BeTrue(), "the two living agents have said no")
	g.Expect(d.ResolvePendingResets(n.now, n.now)).To(gomega.HaveLen(1))
}
