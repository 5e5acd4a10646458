package flows

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func TestSetRoutesIgnoresOlderVersions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := NewDirector(DirectorConfig{FlowLifetime: time.Minute})
		highest := uint64(0)
		for _, version := range rapid.SliceOf(rapid.Uint64Range(1, 20)).Draw(t, "versions") {
			applied := d.SetRoutes(time.Unix(0, 0), testRoutes(version, testAddress))
			if applied != (version > highest) {
				t.Fatalf("version %d after %d: applied is %v", version, highest, applied)
			}
			highest = max(highest, version)
			if d.Version() != highest {
				t.Fatalf("the current version is %d, not %d", d.Version(), highest)
			}
		}
	})
}

func TestOnlyRemovedRouteResetsOpenFlows(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(0, 0)
	n := newTestNetwork(1, 1, 2)
	d := n.directors[n.balancers()[0]]
	packet := Packet{Destination: floodAddress, Flags: FlagAck, Source: testFlow(1).Caller}
	g.Expect(d.HandlePacket(now, packet, nil).Action).To(gomega.Equal(ActDrop)) // a newer configuration may have a route for it
	d.SetRoutes(now, testRoutes(2, testAddress, floodAddress))
	g.Expect(d.HandlePacket(now, packet, nil).Action).To(gomega.Equal(ActForward))
	d.SetRoutes(now, testRoutes(3, testAddress))
	verdict := d.HandlePacket(now, packet, nil)
	g.Expect(verdict.Action).To(gomega.Equal(ActReset))
	g.Expect(verdict.Reason).To(gomega.Equal(ReasonRouteRemoved))
}

func TestDirectorWithoutRoutesIsNotReady(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(0, 0)
	d := NewDirector(DirectorConfig{FlowLifetime: time.Minute, LostAfter: testLostAfter})
	d.Agents.RecordReport(now, testEndpoint(2, 0), Report{State: StateReady})
	g.Expect(d.Ready()).To(gomega.BeFalse())
	packet := Packet{Destination: testAddress, Flags: FlagAck}
	g.Expect(d.HandlePacket(now, packet, nil).Reason).To(gomega.Equal(ReasonNoConfig))
	d.SetRoutes(now, testRoutes(1, testAddress))
	g.Expect(d.Ready()).To(gomega.BeTrue())
}

func TestQueuedOpeningIsForwardedOrResetAfterMaxQueueTime(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(0, 0)
	d := NewDirector(DirectorConfig{FlowLifetime: time.Minute, LostAfter: testLostAfter, MaxQueueTime: time.Second})
	d.SetRoutes(now, testRoutes(1, testAddress))
	open := func(i int) Verdict {
		return d.HandlePacket(now, Packet{Destination: testAddress, Flags: FlagSyn, Source: testFlow(i).Caller}, []byte{byte(i)})
	}
	g.Expect(open(1).Reason).To(gomega.Equal(ReasonQueued))
	g.Expect(d.Tick(now.Add(500 * time.Millisecond))).To(gomega.BeEmpty())
	g.Expect(d.Tick(now.Add(time.Second))[0].Action).To(gomega.Equal(ActReset))
	g.Expect(open(2).Reason).To(gomega.Equal(ReasonQueued))
	d.Agents.RecordReport(now, testEndpoint(2, 0), Report{Service: HashName(testService), Slots: 7, State: StateReady})
	released := d.Tick(now)
	g.Expect(released).To(gomega.HaveLen(1))
	g.Expect(released[0].Action).To(gomega.Equal(ActForward))
	g.Expect(released[0].Forward.Datagram).To(gomega.Equal([]byte{2}))
}

// A balancer that has just started gets packets before it has the configuration, and callers repeat their openings only
// twice.
func TestOpeningsThatArriveBeforeConfigurationAreQueued(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(0, 0)
	d := NewDirector(DirectorConfig{FlowLifetime: time.Minute, LostAfter: testLostAfter, MaxQueueTime: time.Second})
	opening := func(address Endpoint, i int) Packet {
		return Packet{Destination: address, Flags: FlagSyn, Source: testFlow(i).Caller}
	}
	g.Expect(d.HandlePacket(now, opening(testAddress, 1), []byte{1}).Reason).To(gomega.Equal(ReasonQueued))
	g.Expect(d.HandlePacket(now, opening(floodAddress, 2), []byte{2}).Reason).To(gomega.Equal(ReasonQueued))
	now = now.Add(20 * time.Millisecond)
	g.Expect(d.Tick(now)).To(gomega.BeEmpty())
	d.SetRoutes(now, testRoutes(1, testAddress))
	d.Agents.RecordReport(now, testEndpoint(2, 0), Report{Service: HashName(testService), Slots: 7, State: StateReady})
	released := d.Tick(now)
	g.Expect(released).To(gomega.HaveLen(2))
	g.Expect([]Action{released[0].Action, released[1].Action}).To(gomega.ConsistOf(ActForward, ActReset))
	g.Expect([]Reason{released[0].Reason, released[1].Reason}).To(gomega.ConsistOf(Reason(""), ReasonNoRoute))
	g.Expect(d.Waiting()).To(gomega.BeZero())
}

func TestQueuedOpeningsExpireWithoutConfiguration(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(0, 0)
	d := NewDirector(DirectorConfig{FlowLifetime: time.Minute, LostAfter: testLostAfter, MaxQueueTime: time.Second})
	d.HandlePacket(now, Packet{Destination: testAddress, Flags: FlagSyn, Source: testFlow(1).Caller}, []byte{1})
	expired := d.Tick(now.Add(time.Second))
	g.Expect(expired).To(gomega.HaveLen(1))
	g.Expect(expired[0].Action).To(gomega.Equal(ActDrop), "this balancer can't tell whether the route exists")
	g.Expect(expired[0].Reason).To(gomega.Equal(ReasonNoConfig))
}

func TestQueuedOpeningIsResetWhenItsRouteIsRemoved(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(0, 0)
	d := NewDirector(DirectorConfig{FlowLifetime: time.Minute, LostAfter: testLostAfter, MaxQueueTime: time.Second})
	d.SetRoutes(now, testRoutes(1, testAddress, floodAddress))
	d.HandlePacket(now, Packet{Destination: testAddress, Flags: FlagSyn, Source: testFlow(1).Caller}, []byte{1})
	d.SetRoutes(now, testRoutes(2, floodAddress))
	removed := d.Tick(now)
	g.Expect(removed).To(gomega.HaveLen(1))
	g.Expect(removed[0].Action).To(gomega.Equal(ActReset))
	g.Expect(removed[0].Reason).To(gomega.Equal(ReasonRouteRemoved))
}

func TestRepeatedOpeningGoesToSameAgentUntilItIsSuspect(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newTestNetwork(1, 1, 7)
	d := n.directors[n.balancers()[0]]
	opening := Packet{Destination: testAddress, Flags: FlagSyn, Source: testFlow(1).Caller}
	first := d.HandlePacket(n.now, opening, nil).Chains[0][0]
	g.Expect(d.HandlePacket(n.now.Add(200*time.Millisecond), opening, nil).Chains[0][0]).To(gomega.Equal(first))
	g.Expect(d.HandlePacket(n.now.Add(600*time.Millisecond), opening, nil).Chains[0][0]).NotTo(gomega.Equal(first))
}

func TestNewFlowsAvoidBusyAgents(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(0, 0)
	d := NewDirector(DirectorConfig{FlowLifetime: time.Minute, LostAfter: testLostAfter})
	d.SetRoutes(now, testRoutes(1, testAddress))
	for i := range 3 {
		d.Agents.RecordReport(now, testEndpoint(2, i), Report{Busy: 7 * i, Service: HashName(testService), Slots: 7, State: StateReady})
	}
	chosen := map[Endpoint]int{}
	for i := range 7 {
		opening := Packet{Destination: testAddress, Flags: FlagSyn, Source: testFlow(i).Caller}
		chosen[d.HandlePacket(now, opening, nil).Chains[0][0]]++
	}
	g.Expect(chosen).To(gomega.HaveKeyWithValue(testEndpoint(2, 0), 7))
}

func TestFlowsAreSplitByRouteWeights(t *testing.T) {
	g := gomega.NewWithT(t)
	route := Route{Shares: []Share{{Service: 1, Weight: 90}, {Service: 2, Weight: 10}}}
	counts := map[NameHash]int{}
	for i := range 10000 {
		counts[route.ServiceFor(testFlow(i))]++
	}
	g.Expect(counts[2]).To(gomega.BeNumerically("~", 1000, 150))
}

func TestOpenFlowIsFoundAfterRouteChangesService(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newTestNetwork(1, 1, 3)
	n.openFlow(testFlow(1))
	d := n.directors[n.balancers()[0]]
	moved := testRoutes(2, testAddress)
	route := moved.ByAddress[testAddress]
	route.Shares = []Share{{Service: HashName("nachweise"), Weight: 1}}
	moved.ByAddress[testAddress] = route
	d.SetRoutes(n.now, moved)
	d.hints.Delete(testFlow(1))
	before := n.delivered[testFlow(1)]
	for range 5 { // the first by a search, the others by the hint
		n.sendFromCaller(testFlow(1), FlagAck, 100)
		n.advance(200 * time.Millisecond)
	}
	g.Expect(n.resets).To(gomega.BeEmpty())
	g.Expect(n.delivered[testFlow(1)]).To(gomega.Equal(before + 5))
}

func TestRemovedRouteIsForgottenAfterFlowLifetime(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(0, 0)
	d := NewDirector(DirectorConfig{FlowLifetime: time.Minute, LostAfter: testLostAfter})
	d.SetRoutes(now, testRoutes(1, testAddress, floodAddress))
	d.SetRoutes(now, testRoutes(2, testAddress))
	d.Sweep(now)
	g.Expect(d.servicesByAddress).To(gomega.HaveLen(2))
	d.Sweep(now.Add(time.Minute + 1))
	g.Expect(d.servicesByAddress).To(gomega.HaveLen(1))
}

func TestAgentIsSearchedAgainOnceItsServiceIsKnown(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(0, 0)
	d := NewDirector(DirectorConfig{FlowLifetime: time.Minute, LostAfter: testLostAfter})
	d.SetRoutes(now, testRoutes(1, testAddress))
	owner := testEndpoint(2, 0)
	d.Agents.Add(now, owner)
	packet := Packet{Destination: testAddress, Flags: FlagAck, Source: testFlow(1).Caller}
	forwarded := d.HandlePacket(now, packet, nil)
	g.Expect(forwarded.Chains).To(gomega.Equal([]Chain{{owner}}))
	returned := forwarded.Forward
	returned.RejectedBy = []Endpoint{owner}
	g.Expect(d.HandleReturn(now, &returned, packet).Action).To(gomega.Equal(ActRefreshMembers))
	d.RecordReport(now, owner, Report{Interval: fastReportInterval, Service: HashName(testService), Slots: 7, State: StateReady})
	g.Expect(d.ResolvePendingResets(now, now)).To(gomega.BeEmpty())
	g.Expect(d.HandlePacket(now, packet, nil).Chains).To(gomega.Equal([]Chain{{owner}}))
}
