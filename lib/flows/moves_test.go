package flows

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// otherServices are services that an address moves to and from besides testService.
var otherServices = []string{"documents", "media"}

// moveRoute routes testAddress to another service in the latest configuration, which no director has received yet.
func (n *testNetwork) moveRoute(service string) {
	routes := testRoutes(n.routes.Version+1, testAddress)
	route := routes.ByAddress[testAddress]
	route.Shares = []Share{{Service: HashName(service), Weight: 1}}
	routes.ByAddress[testAddress] = route
	n.routes = routes
}

// A balancer that starts after a route has moved knows only the latest configuration. Flows that opened before the move
// live on at agents of the service that the route had then.
func TestFlowsOfMovedRoutesSurviveRestartOfAllBalancers(t *testing.T) {
	for seed := range uint64(20) {
		n := newTestNetwork(seed, 3, 3)
		n.addAgent(otherServices[0])
		n.reportAll()
		n.openFlow(testFlow(0))
		n.moveRoute(otherServices[0])
		for _, balancer := range n.balancers() {
			n.restartBalancer(balancer)
		}
		n.advance(time.Second)
		before := n.delivered[testFlow(0)]
		for range 3 {
			n.sendFromCaller(testFlow(0), FlagAck, 100)
			n.advance(200 * time.Millisecond)
		}
		if n.delivered[testFlow(0)] == before || len(n.resets) > 0 {
			t.Fatalf("seed %d: the flow was delivered %d times, resets: %v", seed, n.delivered[testFlow(0)]-before, n.resets)
		}
	}
}

func TestOnlyEndedFlowsAreResetWhileRoutesMove(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newTestNetwork(rapid.Uint64().Draw(t, "seed"), 3, rapid.IntRange(1, 4).Draw(t, "agents"))
		for _, service := range otherServices {
			n.addAgent(service)
		}
		for _, director := range n.directors {
			n.addMembers(director)
		}
		n.reportAll()
		n.loss = rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(t, "loss")
		flows := 0
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			n.openFlow(testFlow(flows))
			flows++
			n.injectRouteMove(t)
			n.injectFault(t)
			n.useFlows(t, flows)
		}
		n.checkRecovery(t, flows)
	})
}

// injectRouteMove moves the route, applies the latest configuration at one balancer, or restarts all balancers.
func (n *testNetwork) injectRouteMove(t *rapid.T) {
	switch rapid.IntRange(0, 5).Draw(t, "move") {
	case 0:
		n.moveRoute(rapid.SampledFrom(append([]string{testService}, otherServices...)).Draw(t, "service"))
	case 1, 2:
		balancer := n.balancers()[rapid.IntRange(0, len(n.directors)-1).Draw(t, "updated balancer")]
		n.directors[balancer].SetRoutes(n.now, n.routes)
	case 3:
		for _, balancer := range n.balancers() {
			n.restartBalancer(balancer)
		}
	}
}

// A search over all services is bounded by what agents say of the addresses of their flows.
func TestOnlyAgentsThatMayHoldTheAddressAreSearched(t *testing.T) {
	packet := Packet{Destination: testAddress, Flags: FlagAck, Source: testFlow(1).Caller}
	own, other := testEndpoint(2, 0), testEndpoint(2, 1)
	tests := map[string]struct {
		report Report // of an agent of another service
		asked  bool
	}{
		"agent that has just restarted":       {Report{}, true},
		"agent with flows of another address": {Report{Addresses: []Endpoint{floodAddress}, AddressesKnown: true}, false},
		"agent with flows of the address":     {Report{Addresses: []Endpoint{floodAddress, testAddress}, AddressesKnown: true}, true},
		"agent without flows":                 {Report{AddressesKnown: true}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			now := time.Unix(0, 0)
			d := NewDirector(DirectorConfig{FlowLifetime: time.Minute, LostAfter: testLostAfter})
			d.SetRoutes(now, testRoutes(1, testAddress))
			// An agent of the route's service is asked whatever it says: the flow may have opened there since.
			d.RecordReport(now, own, Report{AddressesKnown: true, Service: HashName(testService), State: StateReady})
			test.report.Service, test.report.State = HashName(otherServices[0]), StateReady
			d.RecordReport(now, other, test.report)
			forwarded := d.HandlePacket(now, packet, nil)
			g.Expect(forwarded.Chains).To(gomega.Equal([]Chain{{own}}))
			returned := forwarded.Forward
			returned.RejectedBy = []Endpoint{own}
			next := d.HandleReturn(now, &returned, packet)
			if !test.asked {
				g.Expect(next.Action).To(gomega.Equal(ActRefreshMembers))
				return
			}
			g.Expect(next.Chains).To(gomega.Equal([]Chain{{other}}))
		})
	}
}

func TestAgentKnowsItsAddressesOnceEarlierFlowsHaveExpired(t *testing.T) {
	g := gomega.NewWithT(t)
	start := time.Unix(0, 0)
	held := heldAddresses{knownFrom: start.Add(time.Minute), lastSeen: map[Endpoint]time.Time{}, lifetime: time.Minute}
	held.record(start, testAddress)
	g.Expect(held.takeAdded()).To(gomega.BeTrue())
	held.record(start, testAddress)
	g.Expect(held.takeAdded()).To(gomega.BeFalse())
	_, known := held.list(start)
	g.Expect(known).To(gomega.BeFalse())
	addresses, known := held.list(start.Add(time.Minute))
	g.Expect(known).To(gomega.BeTrue())
	g.Expect(addresses).To(gomega.Equal([]Endpoint{testAddress}))
	held.sweep(start.Add(time.Minute + 1))
	g.Expect(held.lastSeen).To(gomega.BeEmpty())
	for i := range maxAgentsPerMessage + 1 {
		held.record(start, testEndpoint(3, i))
	}
	_, known = held.list(start.Add(time.Minute))
	g.Expect(known).To(gomega.BeFalse(), "they don't fit into a message")
}
