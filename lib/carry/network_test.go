package carry

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

const (
	testLost    = 4 * time.Second
	testReport  = 100 * time.Millisecond // between reports, so that silence may count from that long before a cut
	testService = "termine"
)

var testAddress = Endpoint{IP: [4]byte{198, 18, 0, 1}, Port: 443}

func testEndpoint(group, i int) Endpoint {
	return Endpoint{IP: [4]byte{10, byte(group), 0, byte(i + 1)}, Port: 7000}
}

func testFlow(i int) Flow {
	return Flow{Caller: Endpoint{IP: [4]byte{100, 64, 0, 1}, Port: uint16(1000 + i)}, Service: testAddress}
}

func testRoutes(version uint64, addresses ...Endpoint) Routes {
	routes := Routes{ByAddress: map[Endpoint]Route{}, Version: version}
	for _, address := range addresses {
		routes.ByAddress[address] = Route{
			Address: address,
			Aim:     300 * time.Millisecond,
			Shares:  []Share{{Service: ServiceIDOf(testService), Weight: 1}},
			Timeout: 2500 * time.Millisecond,
		}
	}
	return routes
}

// A testAgent is an agent with the backend server beside it.
type testAgent struct {
	address Endpoint
	alive   bool
	born    int64
	carrier *Carrier
	cutAt   time.Time     // since when nothing reaches or leaves it; zero when it is reachable
	flows   map[Flow]bool // that the backend server holds; true once open
	server  *Server
}

// A testPacket travels between processes.
type testPacket struct {
	from, to Endpoint
	kind     MessageKind
	forward  Forward
	packet   Packet
}

// A testNetwork runs directors, carriers and backend servers on a simulated clock.
type testNetwork struct {
	agents    []*testAgent
	delivered map[Flow]int // packets that reached the flow's own backend server
	directors map[Endpoint]*Director
	loss      float64
	now       time.Time
	owners    map[Flow]*testAgent
	random    *rand.Rand
	resets    map[Flow]Reason
	wait      []testPacket
	wrong     []string // resets of living flows
}

func newTestNetwork(seed uint64, balancers, agents int) *testNetwork {
	n := &testNetwork{
		delivered: map[Flow]int{},
		directors: map[Endpoint]*Director{},
		now:       time.Unix(0, 0),
		owners:    map[Flow]*testAgent{},
		random:    rand.New(rand.NewPCG(seed, 1)),
		resets:    map[Flow]Reason{},
	}
	for i := range agents {
		n.agents = append(n.agents, n.newAgent(i))
	}
	for i := range balancers {
		n.restartBalancer(testEndpoint(1, i))
	}
	n.report()
	return n
}

func (n *testNetwork) newAgent(i int) *testAgent {
	a := &testAgent{address: testEndpoint(2, i)}
	n.powerOn(a)
	return a
}

// powerOn starts an agent and its backend server anew.
func (n *testNetwork) powerOn(a *testAgent) {
	a.born++
	a.alive = true
	a.flows = map[Flow]bool{}
	n.restartAgent(a)
}

// restartAgent starts the agent's process anew; the backend server keeps its flows.
func (n *testNetwork) restartAgent(a *testAgent) {
	a.server = NewServer(testService, time.Second)
	a.carrier = NewCarrier(CarrierConfig{
		FirstEcho:    n.random.Uint32(),
		FlowLifetime: time.Minute,
		Self:         a.address,
		Server:       a.server,
		Service:      ServiceIDOf(testService),
	})
	n.announce(a)
}

func (n *testNetwork) announce(a *testAgent) {
	sequence := n.now.UnixMilli() + 1
	_, _ = a.server.Announce(n.now, Announcement{Born: a.born, ID: "i", Sequence: sequence, Service: testService, Slots: 7, State: StateReady})
}

// restartBalancer starts a balancer's process anew.
func (n *testNetwork) restartBalancer(address Endpoint) {
	d := NewDirector(DirectorConfig{FlowLifetime: time.Minute, HoldLimit: time.Second, LostAfter: testLost, Self: address})
	d.SetRoutes(n.now, testRoutes(1, testAddress))
	n.directors[address] = d
	n.list(d)
}

// list gives a director the members that the store has.
func (n *testNetwork) list(d *Director) {
	for _, a := range n.agents {
		d.Agents.Add(n.now, a.address)
	}
}

// report lets every living agent report to every director.
func (n *testNetwork) report() {
	for _, a := range n.agents {
		if !a.alive {
			continue
		}
		n.announce(a)
		if a.cut() {
			continue
		}
		for _, d := range n.directors {
			report := a.carrier.Report(n.now)
			report.Every = testReport
			d.Agents.Report(n.now, a.address, report)
		}
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

// send gives a caller's packet to a random balancer and carries everything that follows from it.
func (n *testNetwork) send(flow Flow, flags Flags, length int) {
	all := n.balancers()
	n.sendThrough(all[n.random.IntN(len(all))], flow, flags, length)
}

func (n *testNetwork) sendThrough(balancer Endpoint, flow Flow, flags Flags, length int) {
	packet := Packet{Destination: flow.Service, Flags: flags, Length: length, Source: flow.Caller}
	n.direct(balancer, n.directors[balancer].Packet(n.now, packet, []byte{1}), packet)
	n.drain()
}

func (n *testNetwork) direct(balancer Endpoint, verdict Verdict, packet Packet) {
	switch verdict.Action {
	case ActForward:
		for _, to := range verdict.To {
			n.post(testPacket{forward: verdict.Forward, from: balancer, kind: KindForward, packet: packet, to: to})
		}
	case ActReset:
		n.reset(verdict.Flow, verdict.Reason)
	}
}

func (a *testAgent) cut() bool { return !a.cutAt.IsZero() }

func (n *testNetwork) isCut(address Endpoint) bool {
	return slices.ContainsFunc(n.agents, func(a *testAgent) bool { return a.address == address && a.cut() })
}

func (n *testNetwork) post(p testPacket) {
	if n.random.Float64() >= n.loss && !n.isCut(p.from) && !n.isCut(p.to) {
		n.wait = append(n.wait, p)
	}
}

func (n *testNetwork) drain() {
	for len(n.wait) > 0 {
		p := n.wait[0]
		n.wait = n.wait[1:]
		if d := n.directors[p.to]; d != nil {
			n.atBalancer(d, p)
			continue
		}
		for _, a := range n.agents {
			if a.address == p.to && a.alive {
				forward := p.forward
				n.act(a, a.carrier.Forwarded(n.now, &forward, p.packet), p.packet)
			}
		}
	}
}

func (n *testNetwork) atBalancer(d *Director, p testPacket) {
	if p.kind == KindOwner {
		d.Owner(n.now, p.packet.FromCaller(), p.from)
		return
	}
	forward := p.forward
	forward.Datagram = []byte{1}
	n.direct(p.to, d.Returned(n.now, &forward, p.packet), p.packet)
}

func (n *testNetwork) act(a *testAgent, verdict AgentVerdict, packet Packet) {
	switch verdict.Action {
	case AgentDeliver:
		packet.Echo = verdict.Echo
		n.deliver(a, packet)
	case AgentMessage:
		packet.Echo = 0
		n.post(testPacket{forward: verdict.Forward, from: a.address, kind: verdict.Kind, packet: packet, to: verdict.To})
	case AgentReset:
		n.reset(verdict.Flow, verdict.Reason)
	}
}

// deliver plays the backend server.
func (n *testNetwork) deliver(a *testAgent, packet Packet) {
	flow := packet.FromCaller()
	open, held := a.flows[flow]
	switch {
	case packet.Opens():
		a.flows[flow] = open
		n.answer(a, flow, FlagSyn|FlagAck, 0)
	case !held:
		packet.Flags |= FlagBounced
		n.act(a, a.carrier.Bounced(n.now, packet), packet)
	default:
		if !open {
			a.flows[flow] = true
			n.owners[flow] = a
		}
		if n.owners[flow] == a {
			n.delivered[flow]++
		}
		n.answer(a, flow, FlagAck, packet.Length)
	}
}

func (n *testNetwork) answer(a *testAgent, flow Flow, flags Flags, length int) {
	packet := Packet{Destination: flow.Caller, Flags: flags, Length: length, Source: flow.Service}
	if balancer, tell := a.carrier.FromServer(n.now, packet); tell {
		n.post(testPacket{from: a.address, kind: KindOwner, packet: Packet{Destination: flow.Service, Source: flow.Caller}, to: balancer})
	}
}

// pass lets time go by, during which agents report and directors look for ended flows.
func (n *testNetwork) pass(d time.Duration) {
	for d > 0 {
		step := min(d, testReport)
		n.now = n.now.Add(step)
		n.report()
		d -= step
	}
	for _, address := range n.balancers() {
		director := n.directors[address]
		if director.Proving() {
			n.list(director)
		}
		for _, verdict := range director.Listed(n.now, n.now) {
			n.reset(verdict.Flow, verdict.Reason)
		}
		for _, verdict := range director.Tick(n.now) {
			n.direct(address, verdict, Packet{Destination: verdict.Flow.Service, Flags: FlagSyn, Source: verdict.Flow.Caller})
		}
		n.drain()
	}
}

func (n *testNetwork) open(flow Flow) {
	n.send(flow, FlagSyn, 0)
	n.send(flow, FlagAck, 0)
}

func TestFlowReachesItsServerThroughAnyBalancer(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newTestNetwork(1, 5, 7)
	for i := range 50 {
		n.open(testFlow(i))
		g.Expect(n.owners).To(gomega.HaveKey(testFlow(i)))
	}
	for i := range 50 {
		for _, balancer := range n.balancers() {
			before := n.delivered[testFlow(i)]
			n.sendThrough(balancer, testFlow(i), FlagAck, 100)
			g.Expect(n.delivered[testFlow(i)]).To(gomega.Equal(before+1), "flow %d through %v", i, balancer)
		}
	}
	g.Expect(n.resets).To(gomega.BeEmpty())
}

func TestFlowSurvivesRestartsOfAllBalancersAndAgents(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newTestNetwork(2, 3, 7)
	for i := range 20 {
		n.open(testFlow(i))
	}
	for _, a := range n.agents {
		n.restartAgent(a)
	}
	for _, balancer := range n.balancers() {
		n.restartBalancer(balancer)
	}
	n.report()
	for i := range 20 {
		before := n.delivered[testFlow(i)]
		n.send(testFlow(i), FlagAck, 100)
		g.Expect(n.delivered[testFlow(i)]).To(gomega.Equal(before + 1))
	}
	g.Expect(n.resets).To(gomega.BeEmpty())
}

func TestFlowIsFoundThoughADeadAgentSwallowsTheSearch(t *testing.T) {
	g := gomega.NewWithT(t)
	for seed := range uint64(30) {
		n := newTestNetwork(seed, 2, 7)
		flow := testFlow(int(seed))
		for _, a := range n.agents { // so that the owner is not the first in the order of the search
			busy := Report{Every: testReport, Busy: n.random.IntN(7), Service: ServiceIDOf(testService), Slots: 7, State: StateReady}
			for _, d := range n.directors {
				d.Agents.Report(n.now, a.address, busy)
			}
		}
		n.open(flow)
		for _, dead := range n.agents {
			dead.alive = n.owners[flow] == dead || n.random.IntN(2) == 0 // the balancers do not know it yet
		}
		balancer := n.balancers()[0]
		n.directors[balancer].hints.Delete(flow)
		before := n.delivered[flow]
		n.sendThrough(balancer, flow, FlagAck, 100)
		n.now = n.now.Add(200 * time.Millisecond) // the caller's retransmission
		n.sendThrough(balancer, flow, FlagAck, 100)
		g.Expect(n.delivered[flow]).To(gomega.BeNumerically(">", before), "seed %d", seed)
	}
}

func TestEndedFlowsAreResetAndLivingOnesNever(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newTestNetwork(rapid.Uint64().Draw(t, "seed"), 3, rapid.IntRange(1, 7).Draw(t, "agents"))
		n.loss = rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(t, "loss")
		flows := rapid.IntRange(1, 12).Draw(t, "flows")
		for i := range flows {
			n.open(testFlow(i))
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			n.disturb(t)
			n.pass(rapid.SampledFrom([]time.Duration{5, 50, 300, 900}).Draw(t, "pause") * time.Millisecond)
			for i := range flows {
				if n.owners[testFlow(i)] != nil {
					n.send(testFlow(i), FlagAck, 100)
				}
			}
			n.check(t)
		}
		n.settle(t, flows)
	})
}

// disturb restarts, adds or cuts off something.
func (n *testNetwork) disturb(t *rapid.T) {
	a := n.agents[rapid.IntRange(0, len(n.agents)-1).Draw(t, "agent")]
	switch rapid.IntRange(0, 7).Draw(t, "disturbance") {
	case 0:
		n.restartBalancer(n.balancers()[rapid.IntRange(0, len(n.directors)-1).Draw(t, "balancer")])
	case 1:
		if a.alive {
			n.restartAgent(a)
		}
	case 2:
		a.alive = false
	case 3:
		if !a.alive {
			n.powerOn(a)
		}
	case 4:
		if !a.cut() {
			a.cutAt = n.now
		}
	case 5:
		a.cutAt = time.Time{}
	case 6:
		n.agents = append(n.agents, n.newAgent(len(n.agents)))
	}
}

// check fails when a living flow has been reset.
func (n *testNetwork) check(t *rapid.T) {
	if len(n.wrong) > 0 {
		t.Fatalf("living flows were reset: %v", n.wrong)
	}
}

// reset records a reset. It is wrong when the flow's backend server lives and was reachable within the time of
// silence after which an agent counts as lost.
func (n *testNetwork) reset(flow Flow, reason Reason) {
	n.resets[flow] = reason
	owner := n.owners[flow]
	if owner == nil || !owner.alive || !owner.flows[flow] {
		return
	}
	if owner.cut() && n.now.Sub(owner.cutAt) > testLost-testReport {
		return
	}
	n.wrong = append(n.wrong, fmt.Sprintf("%v: %s", flow, reason))
}

// settle ends all disturbance and checks that each flow is carried or reset soon.
func (n *testNetwork) settle(t *rapid.T, flows int) {
	n.loss = 0
	for _, a := range n.agents {
		a.cutAt = time.Time{}
		if !a.alive {
			n.powerOn(a)
		}
	}
	before := map[Flow]int{}
	for i := range flows {
		before[testFlow(i)] = n.delivered[testFlow(i)]
	}
	for range 10 {
		n.pass(200 * time.Millisecond)
		for i := range flows {
			if n.owners[testFlow(i)] != nil && n.resets[testFlow(i)] == "" {
				n.send(testFlow(i), FlagAck, 100)
			}
		}
	}
	n.pass(200 * time.Millisecond)
	n.check(t)
	for i := range flows {
		flow := testFlow(i)
		if n.owners[flow] == nil || n.resets[flow] != "" {
			continue
		}
		if n.delivered[flow] == before[flow] {
			t.Fatalf("flow %v is neither carried nor reset", fmt.Sprint(flow))
		}
	}
}
