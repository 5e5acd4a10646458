package steer

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/cyclamendock/cyclamendock/lib/wire"
)

const testMeanLoad = 500

func agentAddress(i int) netip.AddrPort {
	return netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:7000", i+1))
}

func testKey() FlowKey {
	return FlowKey{Caller: netip.MustParseAddrPort("192.0.2.1:5000"), ConnectionID: "initial-id", Service: 1}
}

// inFlight is a datagram in transit to an agent of the test network.
type inFlight struct {
	from    netip.AddrPort
	forward wire.Forward
	to      netip.AddrPort
}

// network delivers datagrams between placers in any order and may drop or duplicate them.
type network struct {
	accepted  map[netip.AddrPort]int // number of ActionAccept outcomes by agent
	datagrams []inFlight
	loads     map[netip.AddrPort]Load
	now       time.Time
	placers   map[netip.AddrPort]*Placer
	rejected  int // number of ActionReject outcomes
}

func newNetwork(loads []Load, policy Policy) *network {
	n := &network{
		accepted: map[netip.AddrPort]int{},
		loads:    map[netip.AddrPort]Load{},
		now:      time.Unix(0, 0),
		placers:  map[netip.AddrPort]*Placer{},
	}
	for i, load := range loads {
		address := agentAddress(i)
		n.loads[address] = load
		n.placers[address] = NewPlacer(PlacerConfig{Capacity: 100, Policy: policy, Self: address})
	}
	return n
}

func (n *network) send(candidates []netip.AddrPort, previous netip.AddrPort) {
	f := wire.Forward{Candidates: candidates, PreviousOwner: previous, Service: 1}
	n.datagrams = append(n.datagrams, inFlight{forward: f, to: candidates[0]})
}

func (n *network) deliver(i int) {
	d := n.datagrams[i]
	n.datagrams = append(n.datagrams[:i], n.datagrams[i+1:]...)
	outcome := n.placers[d.to].Place(n.now, testKey(), d.from, n.loads[d.to], &d.forward)
	switch outcome.Action {
	case ActionForward:
		n.datagrams = append(n.datagrams, inFlight{from: d.to, forward: d.forward, to: outcome.To})
	case ActionReject:
		n.rejected++
	case ActionAccept:
		n.accepted[d.to]++
	}
}

func (n *network) deliverAll() {
	for len(n.datagrams) > 0 {
		n.deliver(0)
	}
}

func (n *network) deliverUnreliably(t *rapid.T) {
	i := rapid.IntRange(0, len(n.datagrams)-1).Draw(t, "datagram")
	switch rapid.IntRange(0, 9).Draw(t, "delivery") {
	case 0:
		n.datagrams = append(n.datagrams[:i], n.datagrams[i+1:]...)
	case 1:
		n.datagrams = append(n.datagrams, n.datagrams[i])
		n.deliver(i)
	default:
		n.deliver(i)
	}
}

func drawLoads(t *rapid.T, count int) []Load {
	loads := make([]Load, count)
	for i := range loads {
		loads[i] = Load{Mean: testMeanLoad, Self: rapid.Uint32Range(0, 1000).Draw(t, "load")}
		if rapid.IntRange(0, 4).Draw(t, "closed") == 0 {
			loads[i].Self = ClosedLoad
		}
	}
	return loads
}

func drawCandidates(t *rapid.T, count int) []netip.AddrPort {
	order := rapid.Permutation([]int{0, 1, 2, 3}[:count]).Draw(t, "order")
	length := rapid.IntRange(1, count).Draw(t, "length")
	candidates := make([]netip.AddrPort, length)
	for i := range candidates {
		candidates[i] = agentAddress(order[i])
	}
	return candidates
}

func TestNewFlowIsAcceptedByOneAgentUnderOneMembership(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(drawLoads(t, 4), Policy(rapid.IntRange(0, 1).Draw(t, "policy")))
		candidates := drawCandidates(t, 4)
		for range rapid.IntRange(1, 4).Draw(t, "datagrams") {
			n.send(candidates, netip.AddrPort{})
			for len(n.datagrams) > 0 && rapid.Bool().Draw(t, "more") {
				n.deliverUnreliably(t)
			}
		}
		n.deliverAll()
		n.send(candidates, netip.AddrPort{})
		n.deliverAll()
		expectOneOutcome(t, n, candidates)
	})
}

func expectOneOutcome(t *rapid.T, n *network, candidates []netip.AddrPort) {
	if len(n.accepted) > 1 {
		t.Fatalf("several agents accepted the flow: %v", n.accepted)
	}
	if len(n.accepted) == 0 && n.rejected == 0 {
		t.Fatal("the flow was neither accepted nor rejected")
	}
	open := false
	for _, candidate := range candidates {
		open = open || n.loads[candidate].Self != ClosedLoad
	}
	if open && n.rejected > 0 {
		t.Fatalf("the flow was rejected although a candidate was open: %v", n.loads)
	}
	for agent := range n.accepted {
		if n.loads[agent].Self == ClosedLoad {
			t.Fatalf("the closed agent %v accepted the flow", agent)
		}
	}
}

// Balancers learn of a membership change at different times and may send the same flow to different first candidates.
func TestNewFlowIsAcceptedByOneAgentDuringMembershipChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newNetwork(drawLoads(t, 4), CompareMean)
		before, after := drawCandidates(t, 4), drawCandidates(t, 4)
		previous := before[0]
		if previous == after[0] {
			previous = netip.AddrPort{}
		}
		for range rapid.IntRange(1, 4).Draw(t, "datagrams") {
			if rapid.Bool().Draw(t, "stale balancer") {
				n.send(before, netip.AddrPort{})
			} else {
				n.send(after, previous)
			}
		}
		for len(n.datagrams) > 0 {
			n.deliverUnreliably(t)
		}
		if len(n.accepted) > 1 && previous.IsValid() {
			t.Fatalf("several agents accepted the flow: %v", n.accepted)
		}
		rejected := n.rejected
		n.send(after, previous)
		n.deliverAll()
		if len(n.accepted) == 0 && n.rejected == rejected {
			t.Fatal("a further datagram was neither accepted nor rejected")
		}
	})
}

func TestLeastLoadedCandidateAcceptsTheFlow(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newNetwork([]Load{{Self: 900, Mean: 500}, {Self: 700, Mean: 500}}, CompareMean)
	n.send([]netip.AddrPort{agentAddress(0), agentAddress(1)}, netip.AddrPort{})
	n.deliverAll()
	g.Expect(n.accepted).To(gomega.HaveKey(agentAddress(1)))
}

func TestFlowReturnsToLessLoadedFirstCandidate(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newNetwork([]Load{{Self: 700, Mean: 500}, {Self: 900, Mean: 500}}, CompareMean)
	n.send([]netip.AddrPort{agentAddress(0), agentAddress(1)}, netip.AddrPort{})
	n.deliverAll()
	g.Expect(n.accepted).To(gomega.HaveKey(agentAddress(0)))
}

func TestFlowIsRejectedOnceWhenAllCandidatesAreClosed(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newNetwork([]Load{{Self: ClosedLoad}, {Self: ClosedLoad}}, CompareMean)
	n.send([]netip.AddrPort{agentAddress(0), agentAddress(1)}, netip.AddrPort{})
	n.deliverAll()
	g.Expect(n.accepted).To(gomega.BeEmpty())
	g.Expect(n.rejected).To(gomega.Equal(1))
}

func TestRecordsAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	placer := NewPlacer(PlacerConfig{Capacity: 10, Self: agentAddress(0)})
	for i := range 100 {
		key := FlowKey{ConnectionID: fmt.Sprint(i)}
		placer.Place(time.Unix(0, 0), key, netip.AddrPort{}, Load{}, &wire.Forward{})
	}
	g.Expect(placer.Len()).To(gomega.Equal(10))
}

// Two lists with opposite orders make both agents offer the flow to each other. Without a common tie-break both would
// accept it.
func TestFlowWithCrossedOffersIsAcceptedByOneAgent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		loads := drawLoads(t, 2)
		for i := range loads {
			loads[i].Mean = 0
		}
		n := newNetwork(loads, CompareAll)
		lists := [][]netip.AddrPort{{agentAddress(0), agentAddress(1)}, {agentAddress(1), agentAddress(0)}}
		for range rapid.IntRange(1, 3).Draw(t, "datagrams") {
			for _, list := range lists {
				n.send(list, netip.AddrPort{})
			}
		}
		for len(n.datagrams) > 0 {
			n.deliver(rapid.IntRange(0, len(n.datagrams)-1).Draw(t, "datagram"))
		}
		expectOneOutcome(t, n, lists[0])
	})
}

func TestFlowForwardedToADeadAgentIsAcceptedByTheSender(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newNetwork([]Load{{Self: 900, Mean: 500}, {Self: 700, Mean: 500}}, CompareMean)
	candidates := []netip.AddrPort{agentAddress(0), agentAddress(1)}
	for range 4 {
		n.send(candidates, netip.AddrPort{})
		n.deliver(0)
		n.datagrams = nil // the other agent has failed and never gets the datagram
		n.now = n.now.Add(300 * time.Millisecond)
	}
	g.Expect(n.accepted).To(gomega.HaveKey(agentAddress(0)))
}

// Guards against a flow whose decision was renewed, such as one that an agent accepted after it had asked the previous owner: it was
// evicted as early as its first decision, so that a repeated datagram could be accepted by a second agent.
func TestRenewedDecisionIsEvictedAfterOlderOnes(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(0, 0)
	key := func(i int) FlowKey {
		k := testKey()
		k.ConnectionID = fmt.Sprint(i)
		return k
	}
	p := NewPlacer(PlacerConfig{Capacity: 3, Policy: CompareMean, Self: agentAddress(0)})
	query := wire.Forward{Phase: wire.PhaseOwnerQuery, Service: 1}
	g.Expect(p.Place(now, key(0), agentAddress(1), Load{}, &query).To).To(gomega.Equal(agentAddress(1)))
	for i := 1; i < 3; i++ {
		p.Place(now, key(i), agentAddress(1), Load{}, &wire.Forward{Phase: wire.PhaseAssign, Service: 1})
	}
	now = now.Add(recordLifetime - time.Second)
	g.Expect(p.Place(now, key(0), agentAddress(1), Load{}, &wire.Forward{Phase: wire.PhaseAssign, Service: 1}).Action).To(gomega.Equal(ActionAccept))
	p.Place(now, key(3), agentAddress(1), Load{}, &wire.Forward{Phase: wire.PhaseAssign, Service: 1})
	g.Expect(p.Owns(key(0))).To(gomega.BeTrue(), "it was decided last but one")
	g.Expect(p.Owns(key(1))).To(gomega.BeFalse())
	g.Expect(p.Len()).To(gomega.Equal(3))
	now = now.Add(2 * time.Second)
	p.Place(now, key(4), agentAddress(1), Load{}, &wire.Forward{Phase: wire.PhaseAssign, Service: 1})
	g.Expect(p.Owns(key(2))).To(gomega.BeFalse(), "it has expired")
	g.Expect(p.Owns(key(0))).To(gomega.BeTrue())
}
