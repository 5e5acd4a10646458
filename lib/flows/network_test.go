package flows

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/cyclamendock/cyclamendock/lib/pace"
)

const (
	testLostAfter      = 4 * time.Second
	testReportInterval = 100 * time.Millisecond // the silence of an agent may start this long before it becomes unreachable
	testService        = "termine"
)

var testAddress = Endpoint{IP: [4]byte{198, 18, 0, 1}, Port: 443}

func testEndpoint(group, i int) Endpoint {
	return Endpoint{IP: [4]byte{10, byte(group), byte((i + 1) >> 8), byte(i + 1)}, Port: 7000}
}

func testFlow(i int) Flow {
	return Flow{Caller: Endpoint{IP: [4]byte{100, 64, 0, 1}, Port: uint16(1000 + i)}, Service: testAddress}
}

func testRoutes(version uint64, addresses ...Endpoint) Routes {
	routes := Routes{ByAddress: map[Endpoint]Route{}, Version: version}
	for _, address := range addresses {
		routes.ByAddress[address] = Route{
			Address:       address,
			LatencyTarget: 300 * time.Millisecond,
			Shares:        []Share{{Service: HashName(testService), Weight: 1}},
			Timeout:       2500 * time.Millisecond,
		}
	}
	return routes
}

// testAgent is an agent with the backend server beside it.
type testAgent struct {
	address          Endpoint
	dispatcher       *Dispatcher
	flows            map[Flow]bool // flows that the backend server holds; true once open
	running          bool          // the agent and the backend server
	server           *Server
	service          string
	snapshot         Snapshot // as last stored
	startMillis      int64
	unreachableSince time.Time // since when packets from and to it are dropped; zero when it is reachable
}

// testPacket is a packet or message in transit between processes.
type testPacket struct {
	from, to Endpoint
	hops     int // messages that led to this one, including itself
	kind     MessageKind
	forward  Forward
	packet   Packet
}

// testNetwork simulates a network of directors, dispatchers and backend servers with its own clock.
type testNetwork struct {
	agents      []*testAgent
	cut         func(x, y Endpoint) bool // whether packets between two processes are dropped; may be nil
	delivered   map[Flow]int             // number of packets delivered to the backend server that holds the flow
	hops        int                      // messages that led to the one being handled
	longestPath int                      // largest number of messages in a row
	directors   map[Endpoint]*Director
	excused     func(owner *testAgent) bool // whether a reset of a living flow breaks no promise now; may be nil
	inTransit   []testPacket
	knownOnly   bool    // agents report only to the balancers that know them
	loss        float64 // probability that a packet is lost
	now         time.Time
	ownerOf     map[Flow]*testAgent // agent whose backend server holds or held each flow
	pacing      pace.Settings
	random      *rand.Rand
	resets      map[Flow]Reason
	routes      Routes   // latest configuration
	wrongResets []string // resets of flows that their backend server still held
}

func newTestNetwork(seed uint64, balancers, agents int) *testNetwork {
	n := &testNetwork{
		delivered: map[Flow]int{},
		directors: map[Endpoint]*Director{},
		now:       time.Unix(0, 0),
		ownerOf:   map[Flow]*testAgent{},
		random:    rand.New(rand.NewPCG(seed, 1)),
		resets:    map[Flow]Reason{},
		routes:    testRoutes(1, testAddress),
	}
	for range agents {
		n.addAgent(testService)
	}
	for i := range balancers {
		n.restartBalancer(testEndpoint(1, i))
	}
	n.reportAll()
	return n
}

// addAgent adds an agent with a backend server of the given service, which no director knows yet.
func (n *testNetwork) addAgent(service string) {
	a := &testAgent{address: testEndpoint(2, len(n.agents)), service: service}
	n.startHost(a)
	n.agents = append(n.agents, a)
}

// startHost starts an agent and its backend server, without flows.
func (n *testNetwork) startHost(a *testAgent) {
	a.startMillis++
	a.running = true
	a.flows = map[Flow]bool{}
	n.startAgent(a, time.Time{})
}

// restartAgent restarts the agent's process, which restores the stored snapshot; the backend server keeps its flows.
func (n *testNetwork) restartAgent(a *testAgent) { n.startAgent(a, n.now.Add(time.Minute)) }

// startAgent starts the agent's process, which knows all flows of the backend server from the given time.
func (n *testNetwork) startAgent(a *testAgent, knownFrom time.Time) {
	a.server = NewServer(a.service, time.Second)
	a.dispatcher = NewDispatcher(DispatcherConfig{
		FirstEcho:    n.random.Uint32(),
		FlowLifetime: time.Minute,
		KnownFrom:    knownFrom,
		Pacing:       n.pacing,
		Self:         a.address,
		Server:       a.server,
		Service:      HashName(a.service),
	})
	a.dispatcher.Restore(n.now, a.snapshot)
	n.announce(a)
	for _, verdict := range a.dispatcher.ResetRestored(n.now) {
		n.recordReset(verdict.Flow, verdict.Reason)
	}
}

func (n *testNetwork) announce(a *testAgent) {
	sequence := n.now.UnixMilli() + 1
	_, _ = a.server.Announce(n.now, Announcement{ID: "i", Sequence: sequence, Service: a.service, Slots: 7, StartMillis: a.startMillis, State: StateReady})
}

// restartBalancer starts or restarts a balancer's process, which then knows only the latest configuration.
func (n *testNetwork) restartBalancer(address Endpoint) {
	d := NewDirector(DirectorConfig{FlowLifetime: time.Minute, LostAfter: testLostAfter, MaxQueueTime: time.Second, Self: address})
	d.SetRoutes(n.now, n.routes)
	n.directors[address] = d
	n.addMembers(d)
}

// addMembers adds the agents in the store's list of members to a director.
func (n *testNetwork) addMembers(d *Director) {
	for _, a := range n.agents {
		d.Agents.Add(n.now, a.address)
	}
}

// reportAll makes every running agent announce its backend server, store a snapshot, and report to every director if it
// is reachable.
func (n *testNetwork) reportAll() {
	for _, a := range n.agents {
		if !a.running {
			continue
		}
		n.announce(a)
		a.snapshot = a.dispatcher.Snapshot(n.now)
		if !a.unreachable() {
			n.report(a)
		}
	}
}

// report makes an agent report to every director, or to those that know it.
func (n *testNetwork) report(a *testAgent) {
	for _, d := range n.directors {
		if n.knownOnly && !d.Agents.Has(a.address) {
			continue
		}
		report := a.dispatcher.Report(n.now)
		report.Interval = testReportInterval
		d.Agents.RecordReport(n.now, a.address, report)
	}
}

func (n *testNetwork) balancers() []Endpoint {
	var addresses []Endpoint
	for address := range n.directors {
		addresses = append(addresses, address)
	}
	slices.SortFunc(addresses, Endpoint.Compare)
	return addresses
}

// sendFromCaller sends a caller's packet to a random balancer and delivers all resulting packets.
func (n *testNetwork) sendFromCaller(flow Flow, flags Flags, length int) {
	all := n.balancers()
	n.sendVia(all[n.random.IntN(len(all))], flow, flags, length)
}

func (n *testNetwork) sendVia(balancer Endpoint, flow Flow, flags Flags, length int) {
	packet := Packet{Destination: flow.Service, Flags: flags, Length: length, Source: flow.Caller}
	n.hops = 0
	n.applyVerdict(balancer, n.directors[balancer].HandlePacket(n.now, packet, []byte{1}), packet)
	n.deliverInTransit()
}

func (n *testNetwork) applyVerdict(balancer Endpoint, verdict Verdict, packet Packet) {
	switch verdict.Action {
	case ActForward:
		verdict.Send(func(forward *Forward, to Endpoint) {
			n.send(testPacket{forward: *forward, from: balancer, kind: KindForward, packet: packet, to: to})
		})
	case ActRelay:
		packet.Relayed = true
		n.applyVerdict(verdict.RelayTo, n.directors[verdict.RelayTo].HandlePacket(n.now, packet, []byte{1}), packet)
	case ActReset:
		n.recordReset(verdict.Flow, verdict.Reason)
	}
}

func (a *testAgent) unreachable() bool { return !a.unreachableSince.IsZero() }

func (n *testNetwork) isUnreachable(address Endpoint) bool {
	return slices.ContainsFunc(n.agents, func(a *testAgent) bool { return a.address == address && a.unreachable() })
}

func (n *testNetwork) send(p testPacket) {
	p.hops = n.hops + 1
	n.longestPath = max(n.longestPath, p.hops)
	cut := n.cut != nil && n.cut(p.from, p.to)
	if n.random.Float64() >= n.loss && !cut && !n.isUnreachable(p.from) && !n.isUnreachable(p.to) {
		n.inTransit = append(n.inTransit, p)
	}
}

func (n *testNetwork) deliverInTransit() {
	for len(n.inTransit) > 0 {
		p := n.inTransit[0]
		n.inTransit = n.inTransit[1:]
		n.hops = p.hops
		if d := n.directors[p.to]; d != nil {
			n.receiveAtBalancer(d, p)
			continue
		}
		for _, a := range n.agents {
			if a.address == p.to && a.running {
				forward := p.forward
				n.applyAgentVerdict(a, a.dispatcher.HandleForward(n.now, &forward, p.packet), p.packet)
			}
		}
	}
}

func (n *testNetwork) receiveAtBalancer(d *Director, p testPacket) {
	if p.kind == KindOwner {
		d.RecordOwner(n.now, p.packet.CallerFlow(), p.from)
		return
	}
	forward := p.forward
	forward.Datagram = []byte{1}
	n.applyVerdict(p.to, d.HandleReturn(n.now, &forward, p.packet), p.packet)
}

func (n *testNetwork) applyAgentVerdict(a *testAgent, verdict AgentVerdict, packet Packet) {
	switch verdict.Action {
	case AgentDeliver:
		packet.Echo = verdict.Echo
		n.deliverToServer(a, packet)
	case AgentForwardOrReturn:
		packet.Echo = 0
		n.send(testPacket{forward: verdict.Forward, from: a.address, kind: verdict.Kind, packet: packet, to: verdict.To})
	case AgentReset:
		n.recordReset(verdict.Flow, verdict.Reason)
	}
}

// deliverToServer simulates the backend server's handling of a packet.
func (n *testNetwork) deliverToServer(a *testAgent, packet Packet) {
	flow := packet.CallerFlow()
	open, held := a.flows[flow]
	switch {
	case packet.IsOpening():
		a.flows[flow] = open
		n.sendFromServer(a, flow, FlagSyn|FlagAck, 0)
	case !held:
		packet.Flags |= FlagBounced
		n.applyAgentVerdict(a, a.dispatcher.HandleBounced(n.now, packet), packet)
	default:
		if !open {
			a.flows[flow] = true
			n.ownerOf[flow] = a
		}
		if n.ownerOf[flow] == a {
			n.delivered[flow]++
		}
		n.sendFromServer(a, flow, FlagAck, packet.Length)
	}
}

func (n *testNetwork) sendFromServer(a *testAgent, flow Flow, flags Flags, length int) {
	packet := Packet{Destination: flow.Caller, Flags: flags, Length: length, Source: flow.Service}
	if balancer, notify := a.dispatcher.HandleServerPacket(n.now, packet); notify {
		n.send(testPacket{from: a.address, kind: KindOwner, packet: Packet{Destination: flow.Service, Source: flow.Caller}, to: balancer})
	}
	if a.dispatcher.TakeAddressAdded() && !a.unreachable() {
		n.report(a)
	}
}

// advance advances the clock with reports of the agents, and then runs the timers of the directors.
func (n *testNetwork) advance(duration time.Duration) {
	for duration > 0 {
		elapsed := min(duration, testReportInterval)
		n.now = n.now.Add(elapsed)
		n.reportAll()
		duration -= elapsed
	}
	for _, address := range n.balancers() {
		director := n.directors[address]
		if director.HasPendingResets() {
			n.addMembers(director)
		}
		for _, verdict := range director.ResolvePendingResets(n.now, n.now) {
			n.recordReset(verdict.Flow, verdict.Reason)
		}
		for _, verdict := range director.Tick(n.now) {
			n.applyVerdict(address, verdict, Packet{Destination: verdict.Flow.Service, Flags: FlagSyn, Source: verdict.Flow.Caller})
		}
		n.deliverInTransit()
	}
}

func (n *testNetwork) openFlow(flow Flow) {
	n.sendFromCaller(flow, FlagSyn, 0)
	n.sendFromCaller(flow, FlagAck, 0)
}

func TestPacketsReachOwnerThroughAnyBalancer(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newTestNetwork(1, 5, 7)
	for i := range 50 {
		n.openFlow(testFlow(i))
		g.Expect(n.ownerOf).To(gomega.HaveKey(testFlow(i)))
	}
	for i := range 50 {
		for _, balancer := range n.balancers() {
			before := n.delivered[testFlow(i)]
			n.sendVia(balancer, testFlow(i), FlagAck, 100)
			g.Expect(n.delivered[testFlow(i)]).To(gomega.Equal(before+1), "flow %d through %v", i, balancer)
		}
	}
	g.Expect(n.resets).To(gomega.BeEmpty())
}

func TestFlowsSurviveRestartOfAllBalancersAndAgents(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newTestNetwork(2, 3, 7)
	for i := range 20 {
		n.openFlow(testFlow(i))
	}
	for _, a := range n.agents {
		n.restartAgent(a)
	}
	for _, balancer := range n.balancers() {
		n.restartBalancer(balancer)
	}
	n.reportAll()
	for i := range 20 {
		before := n.delivered[testFlow(i)]
		n.sendFromCaller(testFlow(i), FlagAck, 100)
		g.Expect(n.delivered[testFlow(i)]).To(gomega.Equal(before + 1))
	}
	g.Expect(n.resets).To(gomega.BeEmpty())
}

func TestOnlyEndedFlowsAreReset(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newTestNetwork(rapid.Uint64().Draw(t, "seed"), 3, rapid.IntRange(1, 7).Draw(t, "agents"))
		n.loss = rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(t, "loss")
		flows := rapid.IntRange(1, 12).Draw(t, "flows")
		for i := range flows {
			n.openFlow(testFlow(i))
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			n.injectFault(t)
			n.useFlows(t, flows)
		}
		n.checkRecovery(t, flows)
	})
}

// useFlows sends a packet on each open flow after a pause, and fails when a living flow has been reset.
func (n *testNetwork) useFlows(t *rapid.T, flows int) {
	n.advance(rapid.SampledFrom([]time.Duration{5, 50, 300, 900}).Draw(t, "pause") * time.Millisecond)
	for i := range flows {
		if n.ownerOf[testFlow(i)] != nil {
			n.sendFromCaller(testFlow(i), FlagAck, 100)
		}
	}
	n.checkWrongResets(t)
}

// injectFault restarts, stops, adds or disconnects a process.
func (n *testNetwork) injectFault(t *rapid.T) {
	a := n.agents[rapid.IntRange(0, len(n.agents)-1).Draw(t, "agent")]
	switch rapid.IntRange(0, 7).Draw(t, "fault") {
	case 0:
		n.restartBalancer(n.balancers()[rapid.IntRange(0, len(n.directors)-1).Draw(t, "balancer")])
	case 1:
		if a.running {
			n.restartAgent(a)
		}
	case 2:
		a.running = false
	case 3:
		if !a.running {
			n.startHost(a)
		}
	case 4:
		if !a.unreachable() {
			a.unreachableSince = n.now
		}
	case 5:
		a.unreachableSince = time.Time{}
	case 6:
		n.addAgent(testService)
	}
}

// checkWrongResets fails when a flow was reset that its backend server still held.
func (n *testNetwork) checkWrongResets(t *rapid.T) {
	if len(n.wrongResets) > 0 {
		t.Fatalf("flows were reset that their backend servers still held: %v", n.wrongResets)
	}
}

// recordReset records a reset. It is wrong when the flow's backend server still holds the flow and was reachable within
// the silence after which an agent is lost.
func (n *testNetwork) recordReset(flow Flow, reason Reason) {
	n.resets[flow] = reason
	owner := n.ownerOf[flow]
	if owner == nil || !owner.running || !owner.flows[flow] {
		return
	}
	if owner.unreachable() && n.now.Sub(owner.unreachableSince) > testLostAfter-testReportInterval {
		return
	}
	if n.excused != nil && n.excused(owner) {
		return
	}
	n.wrongResets = append(n.wrongResets, fmt.Sprintf("%v: %s", flow, reason))
}

// checkRecovery ends all faults and checks that the packets of each flow are delivered, or the flow is reset, soon.
func (n *testNetwork) checkRecovery(t *rapid.T, flows int) {
	n.loss = 0
	for _, a := range n.agents {
		a.unreachableSince = time.Time{}
		if !a.running {
			n.startHost(a)
		}
	}
	before := map[Flow]int{}
	for i := range flows {
		before[testFlow(i)] = n.delivered[testFlow(i)]
	}
	for range 10 {
		n.advance(200 * time.Millisecond)
		for i := range flows {
			if n.ownerOf[testFlow(i)] != nil && n.resets[testFlow(i)] == "" {
				n.sendFromCaller(testFlow(i), FlagAck, 100)
			}
		}
	}
	n.advance(200 * time.Millisecond)
	n.checkWrongResets(t)
	for i := range flows {
		flow := testFlow(i)
		if n.ownerOf[flow] == nil || n.resets[flow] != "" {
			continue
		}
		if n.delivered[flow] == before[flow] {
			t.Fatalf("flow %v is neither delivered nor reset", fmt.Sprint(flow))
		}
	}
}
