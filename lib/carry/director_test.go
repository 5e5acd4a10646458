package carry

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func TestConfigurationOnlyRises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := NewDirector(DirectorConfig{FlowLifetime: time.Minute})
		highest := uint64(0)
		for _, version := range rapid.SliceOf(rapid.Uint64Range(1, 20)).Draw(t, "versions") {
			taken := d.SetRoutes(time.Unix(0, 0), testRoutes(version, testAddress))
			if taken != (version > highest) {
				t.Fatalf("version %d after %d: taken %v", version, highest, taken)
			}
			highest = max(highest, version)
			if d.Version() != highest {
				t.Fatalf("version %d is in force, not %d", d.Version(), highest)
			}
		}
	})
}

func TestOnlyARemovedRouteEndsOpenFlows(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(0, 0)
	n := newTestNetwork(1, 1, 2)
	d := n.directors[n.balancers()[0]]
	unknown := Packet{Destination: floodAddress, Flags: FlagAck, Source: testFlow(1).Caller}
	g.Expect(d.Packet(now, unknown, nil).Action).To(gomega.Equal(ActDrop)) // a newer configuration may have it
	d.SetRoutes(now, testRoutes(2, testAddress, floodAddress))
	g.Expect(d.Packet(now, unknown, nil).Action).To(gomega.Equal(ActForward))
	d.SetRoutes(now, testRoutes(3, testAddress))
	verdict := d.Packet(now, unknown, nil)
	g.Expect(verdict.Action).To(gomega.Equal(ActReset))
	g.Expect(verdict.Reason).To(gomega.Equal(ReasonRouteRemoved))
}

func TestBalancerWithoutConfigurationIsNotReady(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(0, 0)
	d := NewDirector(DirectorConfig{FlowLifetime: time.Minute, LostAfter: testLost})
	d.Agents.Report(now, testEndpoint(2, 0), Report{State: StateReady})
	g.Expect(d.Ready()).To(gomega.BeFalse())
	opening := Packet{Destination: testAddress, Flags: FlagSyn}
	g.Expect(d.Packet(now, opening, nil).Reason).To(gomega.Equal(ReasonNoConfig))
	d.SetRoutes(now, testRoutes(1, testAddress))
	g.Expect(d.Ready()).To(gomega.BeTrue())
}

func TestOpeningWaitsForAnAgentAndIsRefusedWhenNoneComes(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(0, 0)
	d := NewDirector(DirectorConfig{FlowLifetime: time.Minute, HoldLimit: time.Second, LostAfter: testLost})
	d.SetRoutes(now, testRoutes(1, testAddress))
	open := func(i int) Verdict {
		return d.Packet(now, Packet{Destination: testAddress, Flags: FlagSyn, Source: testFlow(i).Caller}, []byte{byte(i)})
	}
	g.Expect(open(1).Reason).To(gomega.Equal(ReasonHeld))
	g.Expect(d.Tick(now.Add(500 * time.Millisecond))).To(gomega.BeEmpty())
	g.Expect(d.Tick(now.Add(time.Second))[0].Action).To(gomega.Equal(ActReset))
	g.Expect(open(2).Reason).To(gomega.Equal(ReasonHeld))
	d.Agents.Report(now, testEndpoint(2, 0), Report{Service: ServiceIDOf(testService), Slots: 7, State: StateReady})
	released := d.Tick(now)
	g.Expect(released).To(gomega.HaveLen(1))
	g.Expect(released[0].Action).To(gomega.Equal(ActForward))
	g.Expect(released[0].Forward.Datagram).To(gomega.Equal([]byte{2}))
}

func TestRepeatedOpeningGoesToTheSameAgentWhileItAnswers(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newTestNetwork(1, 1, 7)
	d := n.directors[n.balancers()[0]]
	opening := Packet{Destination: testAddress, Flags: FlagSyn, Source: testFlow(1).Caller}
	first := d.Packet(n.now, opening, nil).To
	g.Expect(d.Packet(n.now.Add(200*time.Millisecond), opening, nil).To).To(gomega.Equal(first))
	g.Expect(d.Packet(n.now.Add(600*time.Millisecond), opening, nil).To).NotTo(gomega.Equal(first))
}

func TestNewFlowsAvoidTheBusyAgents(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(0, 0)
	d := NewDirector(DirectorConfig{FlowLifetime: time.Minute, LostAfter: testLost})
	d.SetRoutes(now, testRoutes(1, testAddress))
	for i := range 3 {
		d.Agents.Report(now, testEndpoint(2, i), Report{Busy: 7 * i, Service: ServiceIDOf(testService), Slots: 7, State: StateReady})
	}
	chosen := map[Endpoint]int{}
	for i := range 7 {
		opening := Packet{Destination: testAddress, Flags: FlagSyn, Source: testFlow(i).Caller}
		chosen[d.Packet(now, opening, nil).To[0]]++
	}
	g.Expect(chosen).To(gomega.HaveKeyWithValue(testEndpoint(2, 0), 7))
}

func TestNewFlowsAvoidAServerThatHasJustStarted(t *testing.T) {
	g := gomega.NewWithT(t)
	cold := agent{report: Report{Busy: 3, Slots: 7, Warming: true}}
	warm := agent{report: Report{Busy: 4, Slots: 7}}
	g.Expect(cold.utilisation()).To(gomega.BeNumerically(">", warm.utilisation()))
}

func TestFlowsFollowTheWeightsOfTheirRoute(t *testing.T) {
	g := gomega.NewWithT(t)
	route := Route{Shares: []Share{{Service: 1, Weight: 90}, {Service: 2, Weight: 10}}}
	counts := map[ServiceID]int{}
	for i := range 10000 {
		counts[route.Service(testFlow(i))]++
	}
	g.Expect(counts[2]).To(gomega.BeNumerically("~", 1000, 150))
}

func TestOpenFlowIsFoundAfterItsRouteHasMovedToAnotherService(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newTestNetwork(1, 1, 3)
	n.open(testFlow(1))
	d := n.directors[n.balancers()[0]]
	moved := testRoutes(2, testAddress)
	route := moved.ByAddress[testAddress]
	route.Shares = []Share{{Service: ServiceIDOf("nachweise"), Weight: 1}}
	moved.ByAddress[testAddress] = route
	d.SetRoutes(n.now, moved)
	d.hints.Delete(testFlow(1))
	before := n.delivered[testFlow(1)]
	for range 5 { // found by a search first, known afterwards
		n.send(testFlow(1), FlagAck, 100)
		n.pass(200 * time.Millisecond)
	}
	g.Expect(n.resets).To(gomega.BeEmpty())
	g.Expect(n.delivered[testFlow(1)]).To(gomega.Equal(before + 5))
}

func TestRoutesThatAreGoneAreForgottenInTheEnd(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(0, 0)
	d := NewDirector(DirectorConfig{FlowLifetime: time.Minute, LostAfter: testLost})
	d.SetRoutes(now, testRoutes(1, testAddress, floodAddress))
	d.SetRoutes(now, testRoutes(2, testAddress))
	d.Sweep(now)
	g.Expect(d.served).To(gomega.HaveLen(2))
	d.Sweep(now.Add(time.Minute + 1))
	g.Expect(d.served).To(gomega.HaveLen(1))
}

func TestAgentIsAskedAgainOnceItsServiceIsKnown(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(0, 0)
	d := NewDirector(DirectorConfig{FlowLifetime: time.Minute, LostAfter: testLost})
	d.SetRoutes(now, testRoutes(1, testAddress))
	owner := testEndpoint(2, 0)
	d.Agents.Add(now, owner)
	packet := Packet{Destination: testAddress, Flags: FlagAck, Source: testFlow(1).Caller}
	asked := d.Packet(now, packet, nil)
	g.Expect(asked.To).To(gomega.Equal([]Endpoint{owner}))
	returned := asked.Forward
	returned.Asked = []Endpoint{owner}
	g.Expect(d.Returned(now, &returned, packet).Action).To(gomega.Equal(ActProve))
	d.Report(now, owner, Report{Every: reportOften, Service: ServiceIDOf(testService), Slots: 7, State: StateReady})
	g.Expect(d.Listed(now, now)).To(gomega.BeEmpty())
	g.Expect(d.Packet(now, packet, nil).To).To(gomega.Equal([]Endpoint{owner}))
}
