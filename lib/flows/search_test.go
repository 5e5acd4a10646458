package flows

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// The time until the end of a flow is proved must not grow with the number of agents of its service.
func TestSearchOfManyAgentsTakesFewHops(t *testing.T) {
	g := gomega.NewWithT(t)
	const maxHops = 2 * (maxChainLength + 1) // two rounds of chains, each with its way back
	for _, agents := range []int{7, 109, 400} {
		n := newTestNetwork(1, 2, agents)
		n.openFlow(testFlow(1))
		for _, a := range n.agents {
			n.startHost(a) // every backend server has restarted without its flows
		}
		n.reportAll()
		d := n.directors[n.balancers()[0]]
		d.hints.Delete(testFlow(1))
		n.longestPath = 0
		n.sendVia(n.balancers()[0], testFlow(1), FlagAck, 100)
		g.Expect(d.HasPendingResets()).To(gomega.BeTrue(), "%d agents", agents)
		g.Expect(n.longestPath).To(gomega.BeNumerically("<=", maxHops), "%d agents", agents)
	}
}

// A balancer that takes over the flows of another finds most of them at the first agents in hash order.
func TestSearchFindsLivingFlowsWithFewMessages(t *testing.T) {
	g := gomega.NewWithT(t)
	const agents, flows = 109, 200
	n := newTestNetwork(1, 2, agents)
	balancers := n.balancers()
	for i := range flows {
		n.sendVia(balancers[0], testFlow(i), FlagSyn, 0)
		n.sendVia(balancers[0], testFlow(i), FlagAck, 0)
	}
	n.now = n.now.Add(100 * time.Millisecond)
	n.reportAll()
	messages := 0
	for i := range flows {
		n.longestPath = 0
		n.sendVia(balancers[1], testFlow(i), FlagAck, 100)
		messages += n.longestPath
	}
	g.Expect(n.resets).To(gomega.BeEmpty())
	g.Expect(messages).To(gomega.BeNumerically("<=", 6*flows))
}

// The owner is found by one chain while the packet still goes along others.
func TestReturnsAfterTheOwnerIsFoundAreDropped(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newTestNetwork(1, 1, 30)
	d := n.directors[n.balancers()[0]]
	packet := Packet{Destination: testAddress, Flags: FlagAck, Length: 100, Source: testFlow(1).Caller}
	first := d.HandlePacket(n.now, packet, nil)
	returned := first.Forward
	returned.RejectedBy = first.Chains[0]
	second := d.HandleReturn(n.now, &returned, packet)
	g.Expect(len(second.Chains)).To(gomega.BeNumerically(">", 1))
	d.RecordOwner(n.now, testFlow(1), second.Chains[0][0])
	returned.RejectedBy = second.Chains[1]
	late := d.HandleReturn(n.now, &returned, packet)
	g.Expect(late.Action).To(gomega.Equal(ActDrop))
	g.Expect(d.HandlePacket(n.now, packet, nil).Chains).To(gomega.Equal([]Chain{{second.Chains[0][0]}}))
}

func TestChainsHoldEachAgentOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	var agents []Endpoint
	for i := range 20 {
		agents = append(agents, testEndpoint(2, i))
	}
	split := chains(agents, maxChainLength)
	g.Expect(split).To(gomega.HaveLen(3))
	var joined []Endpoint
	for _, chain := range split {
		g.Expect(len(chain)).To(gomega.BeNumerically("<=", maxChainLength))
		joined = append(joined, chain...)
	}
	g.Expect(joined).To(gomega.Equal(agents))
}

func TestSearchFindsOwnerDespiteDeadAgents(t *testing.T) {
	g := gomega.NewWithT(t)
	for seed := range uint64(30) {
		n := newTestNetwork(seed, 2, 7)
		flow := testFlow(int(seed))
		for _, a := range n.agents { // random loads, so that the owner need not be the first agent that the search tries
			report := Report{Interval: testReportInterval, Busy: n.random.IntN(7), Service: HashName(testService), Slots: 7, State: StateReady}
			for _, d := range n.directors {
				d.Agents.RecordReport(n.now, a.address, report)
			}
		}
		n.openFlow(flow)
		for _, agent := range n.agents {
			agent.running = n.ownerOf[flow] == agent || n.random.IntN(2) == 0 // the balancers are not notified
		}
		balancer := n.balancers()[0]
		n.directors[balancer].hints.Delete(flow)
		before := n.delivered[flow]
		n.sendVia(balancer, flow, FlagAck, 100)
		n.now = n.now.Add(200 * time.Millisecond) // the caller's retransmission
		n.sendVia(balancer, flow, FlagAck, 100)
		g.Expect(n.delivered[flow]).To(gomega.BeNumerically(">", before), "seed %d", seed)
	}
}

// Guards against searches that go on after the owner was found: an agent that was asked alone did not say that it holds the flow, so that
// each further packet was sent to agents that had joined meanwhile, and not to the owner.
func TestOwnerThatIsAskedAloneIsRemembered(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newTestNetwork(1, 1, 1)
	n.openFlow(testFlow(1))
	balancer := n.balancers()[0]
	n.restartBalancer(balancer)
	n.reportAll()
	n.sendVia(balancer, testFlow(1), FlagAck, 100)
	d := n.directors[balancer]
	owner, known := d.lookupHint(n.now, testFlow(1))
	g.Expect(known).To(gomega.BeTrue())
	g.Expect(owner).To(gomega.Equal(n.agents[0].address))
	g.Expect(d.searches.Has(n.now, testFlow(1))).To(gomega.BeFalse())
	n.addAgent(testService)
	n.reportAll()
	n.advance(searchTimeout + testReportInterval)
	before := n.delivered[testFlow(1)]
	n.sendVia(balancer, testFlow(1), FlagAck, 100)
	g.Expect(n.delivered[testFlow(1)]).To(gomega.Equal(before + 1))
}

// Guards against searches that stop before all agents were asked: while agents that had not been asked yet counted as awaited, a packet
// went no further than to the agents of the present service. A caller need not send it again, so that three copies reached other
// backend servers and none the flow's own.
func TestSinglePacketReachesOwnerOfEarlierService(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newTestNetwork(1, 1, 3)
	n.openFlow(testFlow(1))
	g.Expect(n.ownerOf).To(gomega.HaveKey(testFlow(1)))
	const present = "nachweise"
	for range 2*maxChainLength + 4 {
		n.addAgent(present)
	}
	n.routes = testRoutes(2, testAddress)
	route := n.routes.ByAddress[testAddress]
	route.Shares = []Share{{Service: HashName(present), Weight: 1}}
	n.routes.ByAddress[testAddress] = route
	balancer := n.balancers()[0]
	n.restartBalancer(balancer)
	n.reportAll()
	before := n.delivered[testFlow(1)]
	n.sendVia(balancer, testFlow(1), FlagAck, 100)
	g.Expect(n.delivered[testFlow(1)]).To(gomega.Equal(before + 1))
}
