package flows

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/cyclamendock/cyclamendock/lib/pace"
	"github.com/cyclamendock/cyclamendock/lib/store"
)

const testSlots = 7

// pacedAgent is an agent with pacing and the limit for cold backend servers.
type pacedAgent struct {
	dispatcher *Dispatcher
	now        time.Time
	server     *Server
}

var testPacing = pace.Settings{ColdFactor: 1.5, ColdLimit: true, ColdSlack: 5, Pacing: true}

// newPacedAgent returns an agent whose backend server has just started, and is cold for warmup.
func newPacedAgent(knownFrom time.Time, pacing pace.Settings, warmup time.Duration) *pacedAgent {
	a := &pacedAgent{now: time.Unix(100, 0), server: NewServer(testService, time.Second)}
	a.dispatcher = NewDispatcher(DispatcherConfig{
		FlowLifetime: time.Minute,
		KnownFrom:    knownFrom,
		Pacing:       pacing,
		Self:         testEndpoint(2, 0),
		Server:       a.server,
		Service:      HashName(testService),
	})
	a.announce(1, StateReady, warmup)
	return a
}

func (a *pacedAgent) announce(startMillis int64, state State, warmup time.Duration) {
	_, _ = a.server.Announce(a.now, Announcement{
		ID: "i", Sequence: a.now.UnixMilli(), Service: testService, Slots: testSlots, StartMillis: startMillis, State: state, WarmupLeft: warmup,
	})
}

// open lets a balancer send the opening of a flow; change may change the message.
func (a *pacedAgent) open(balancer Endpoint, flow Flow, change func(*Forward)) AgentVerdict {
	f := Forward{
		Datagram: []byte{1}, LatencyTarget: 300 * time.Millisecond, Origin: balancer, Service: HashName(testService), Timeout: 1800 * time.Millisecond,
	}
	if change != nil {
		change(&f)
	}
	return a.dispatcher.HandleForward(a.now, &f, Packet{Destination: flow.Service, Flags: FlagSyn, Source: flow.Caller})
}

// serve makes the backend server accept and answer a flow's request, which stays open.
func (a *pacedAgent) serve(flow Flow) {
	reply := Packet{Destination: flow.Caller, Flags: FlagSyn | FlagAck, Source: flow.Service}
	a.dispatcher.HandleServerPacket(a.now, reply)
	f := Forward{Datagram: []byte{1}, LatencyTarget: 300 * time.Millisecond, Service: HashName(testService), Timeout: time.Second}
	a.dispatcher.HandleForward(a.now, &f, Packet{Destination: flow.Service, Flags: FlagAck, Length: 100, Source: flow.Caller})
	reply.Flags, reply.Length = FlagAck, 100
	a.dispatcher.HandleServerPacket(a.now, reply)
}

func onlyLimits(f *Forward) { f.OnlyLimits = true }

// Guards against a limit that each balancer's flows are counted for alone, or that queued and repeated openings pass by.
func TestColdServerGetsLimitedOpeningsOfAllBalancers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := newPacedAgent(time.Time{}, testPacing, time.Hour)
		a.dispatcher.SetLimits(Limits{ColdPerSecond: 8, Version: 1})
		const limit = 17 // 8 x 1.5 + 5
		var delivered []time.Time
		record := func(verdicts ...AgentVerdict) {
			for _, verdict := range verdicts {
				if verdict.Action == AgentDeliver {
					delivered = append(delivered, a.now)
					a.serve(verdict.Flow)
				}
			}
		}
		next := 0
		for range rapid.IntRange(50, 300).Draw(t, "steps") {
			a.now = a.now.Add(rapid.SampledFrom([]time.Duration{0, 1, 10, 400, 990}).Draw(t, "pause") * time.Millisecond)
			a.announce(1, StateReady, time.Hour)
			record(a.dispatcher.Release(a.now)...)
			for range rapid.IntRange(0, 12).Draw(t, "burst") {
				last := rapid.Bool().Draw(t, "last")
				flow := testFlow(max(0, next-rapid.IntRange(0, 3).Draw(t, "repeat")))
				next++
				balancer := testEndpoint(1, rapid.IntRange(0, 4).Draw(t, "balancer"))
				record(a.open(balancer, flow, func(f *Forward) { f.OnlyLimits, f.Final = true, last }))
			}
		}
		for i := limit; i < len(delivered); i++ {
			if delivered[i].Sub(delivered[i-limit]) < time.Second {
				t.Fatalf("%d openings within %v", limit+1, delivered[i].Sub(delivered[i-limit]))
			}
		}
	})
}

// Guards against callers that are refused although the cold backend server may get their flows within a second.
func TestOpeningsWaitForColdLimitWhenNoAgentIsLeft(t *testing.T) {
	g := gomega.NewWithT(t)
	a := newPacedAgent(time.Time{}, testPacing, time.Hour)
	a.dispatcher.SetLimits(Limits{ColdPerSecond: 8, Version: 1})
	actions := map[AgentAction]int{}
	for i := range 60 {
		verdict := a.open(testEndpoint(1, 0), testFlow(i), func(f *Forward) { f.Final = true })
		actions[verdict.Action]++
		if verdict.Action == AgentDeliver {
			a.serve(verdict.Flow)
		}
	}
	g.Expect(actions).To(gomega.Equal(map[AgentAction]int{AgentDeliver: 17, AgentForwardOrReturn: 26, AgentSendOwner: 17}))
	released := 0
	for range 43 {
		a.now = a.now.Add(25 * time.Millisecond)
		for _, verdict := range a.dispatcher.Release(a.now) {
			g.Expect(verdict.Action).To(gomega.Equal(AgentDeliver))
			a.serve(verdict.Flow)
			released++
		}
	}
	g.Expect(released).To(gomega.Equal(17))
	g.Expect(a.dispatcher.Waiting()).To(gomega.BeZero())
}

// Guards against idle flows that don't count, and against openings over the limit that are delivered or lose their way.
func TestFlowsOverLimitArePlacedElsewhere(t *testing.T) {
	g := gomega.NewWithT(t)
	a := newPacedAgent(time.Time{}, pace.Settings{}, 0)
	a.dispatcher.SetLimits(Limits{MaxFlows: 100, Version: 1})
	for i := range 98 {
		g.Expect(a.open(testEndpoint(1, 0), testFlow(i), nil).Action).To(gomega.Equal(AgentDeliver))
		a.serve(testFlow(i))
	}
	for range 50 {
		a.now = a.now.Add(time.Second)
		a.announce(1, StateReady, 0)
		a.dispatcher.Sweep(a.now)
	}
	for _, change := range []func(*Forward){nil, onlyLimits, func(f *Forward) { f.Final = true }} {
		verdict := a.open(testEndpoint(1, 0), testFlow(1000), change)
		g.Expect(verdict.Action).To(gomega.Equal(AgentForwardOrReturn))
		g.Expect(verdict.Kind).To(gomega.Equal(KindReturn))
		g.Expect(verdict.Forward.NoRoom).To(gomega.BeTrue())
	}
	report := a.dispatcher.Report(a.now)
	g.Expect(report.RoomLimited).To(gomega.BeTrue())
	g.Expect(report.Room).To(gomega.BeZero())
	fin := Packet{Destination: testFlow(0).Caller, Flags: FlagFin | FlagAck, Source: testFlow(0).Service}
	a.dispatcher.HandleServerPacket(a.now, fin)
	g.Expect(a.open(testEndpoint(1, 0), testFlow(1000), nil).Action).To(gomega.Equal(AgentDeliver))
}

// Guards against a successor of an agent that takes the flows of its backend server for none, or floods it.
func TestRestartedAgentStartsSlowlyAndCountsRestoredFlows(t *testing.T) {
	g := gomega.NewWithT(t)
	start := time.Unix(100, 0)
	a := newPacedAgent(start.Add(time.Minute), testPacing, time.Hour)
	snapshot := Snapshot{StartMillis: 1}
	for i := range 90 {
		snapshot.Flows = append(snapshot.Flows, FlowRecord{Flow: testFlow(i)})
	}
	a.dispatcher.Restore(a.now, snapshot)
	a.dispatcher.SetLimits(Limits{ColdPerSecond: 8, MaxFlows: 100, Version: 1})
	g.Expect(a.open(testEndpoint(1, 0), testFlow(1000), onlyLimits).Action).To(gomega.Equal(AgentForwardOrReturn), "the predecessor may have used up the limit")
	a.now = a.now.Add(1100 * time.Millisecond)
	a.announce(1, StateReady, time.Hour)
	g.Expect(a.open(testEndpoint(1, 0), testFlow(1000), nil).Action).To(gomega.Equal(AgentDeliver))
	g.Expect(a.open(testEndpoint(1, 0), testFlow(1001), nil).Action).To(gomega.Equal(AgentForwardOrReturn), "its pace is that of a start")
	delivered := 1
	for i := 1001; i < 1020; i++ {
		if a.open(testEndpoint(1, 0), testFlow(i), onlyLimits).Action == AgentDeliver {
			delivered++
		}
	}
	g.Expect(delivered).To(gomega.Equal(2), "92 flows, of which 90 were restored: the margin is wider while others may be open")
}

// Guards against callers that wait after a loss of power, in which agents and backend servers start at once.
func TestColdLimitIsNotBlockedWhenServerStartedWithAgent(t *testing.T) {
	g := gomega.NewWithT(t)
	a := newPacedAgent(time.Unix(100, 0).Add(time.Minute), testPacing, 0)
	a.dispatcher.Restore(a.now, Snapshot{Flows: []FlowRecord{{Flow: testFlow(0)}}, StartMillis: 1})
	a.announce(2, StateReady, time.Hour)
	a.dispatcher.SetLimits(Limits{ColdPerSecond: 8, Version: 1})
	g.Expect(a.dispatcher.ResetRestored(a.now)).To(gomega.HaveLen(1))
	g.Expect(a.open(testEndpoint(1, 0), testFlow(1), onlyLimits).Action).To(gomega.Equal(AgentDeliver))
}

// Guards against a flapping backend server that gets its full share at once each time.
func TestFlappingServerStartsSlowlyEachTime(t *testing.T) {
	g := gomega.NewWithT(t)
	a := newPacedAgent(time.Time{}, testPacing, 0)
	next := 0
	for round := range 3 {
		a.now = a.now.Add(time.Second)
		a.announce(1, StateReady, 0)
		g.Expect(a.open(testEndpoint(1, 0), testFlow(next), nil).Action).To(gomega.Equal(AgentDeliver))
		g.Expect(a.open(testEndpoint(1, 0), testFlow(next+1), nil).Action).To(gomega.Equal(AgentForwardOrReturn), "round %d", round)
		a.serve(testFlow(next))
		next += 2
		g.Expect(a.open(testEndpoint(1, 0), testFlow(next), nil).Action).To(gomega.Equal(AgentDeliver))
		g.Expect(a.open(testEndpoint(1, 0), testFlow(next+1), nil).Action).To(gomega.Equal(AgentDeliver), "round %d", round)
		a.serve(testFlow(next))
		a.serve(testFlow(next + 1))
		next += 2
		a.now = a.now.Add(time.Second)
		a.announce(1, StateDraining, 0)
		a.dispatcher.Release(a.now)
	}
}

// Guards against a backend server that gets its full share at once when its availability zone is no longer evacuated.
func TestServerOfEvacuatedZoneStartsSlowlyAfterwards(t *testing.T) {
	g := gomega.NewWithT(t)
	a := newPacedAgent(time.Time{}, testPacing, 0)
	a.now = a.now.Add(time.Second)
	a.announce(1, StateReady, 0)
	for next := 10; next == 10 || next < 200 && a.dispatcher.Pace() > 0; next += 10 {
		for i := range 10 {
			a.open(testEndpoint(1, 0), testFlow(next+i), onlyLimits)
		}
		for i := range 10 {
			a.serve(testFlow(next + i))
		}
		a.dispatcher.Release(a.now)
	}
	g.Expect(a.dispatcher.Pace()).To(gomega.BeZero(), "the first slow start is over")
	for i, evacuated := range []bool{true, false} {
		a.dispatcher.SetZone(Zones{Evacuated: evacuated, Version: store.Version{Revision: uint64(i + 1)}})
		a.dispatcher.Release(a.now)
	}
	g.Expect(a.open(testEndpoint(1, 0), testFlow(1), nil).Action).To(gomega.Equal(AgentDeliver))
	g.Expect(a.open(testEndpoint(1, 0), testFlow(2), nil).Action).To(gomega.Equal(AgentForwardOrReturn))
}

// Guards against balancers that send flows to an agent without room while others have some, and against flows that wait when none has.
func TestBalancerSkipsAgentsWithoutRoom(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(100, 0)
	d := NewDirector(DirectorConfig{FlowLifetime: time.Minute, LostAfter: testLostAfter, MaxQueueTime: time.Second, Self: testEndpoint(1, 0)})
	d.SetRoutes(now, testRoutes(1, testAddress))
	report := Report{Interval: time.Second, RoomLimited: true, Service: HashName(testService), Slots: testSlots, State: StateReady}
	for i := range 4 {
		report.RoomLimited = i > 0
		d.RecordReport(now, testEndpoint(2, i), report)
	}
	open := func(i int) Verdict {
		flow := testFlow(i)
		return d.HandlePacket(now, Packet{Destination: flow.Service, Flags: FlagSyn, Source: flow.Caller}, []byte{1})
	}
	for i := range 20 {
		verdict := open(i)
		g.Expect(verdict.Chains).To(gomega.Equal([]Chain{{testEndpoint(2, 0)}}))
		g.Expect(verdict.Forward.OnlyLimits).To(gomega.BeFalse())
	}
	report.RoomLimited, report.Room = true, 1
	d.RecordReport(now, testEndpoint(2, 0), report)
	g.Expect(open(20).Forward.OnlyLimits).To(gomega.BeFalse())
	verdict := open(21)
	g.Expect(verdict.Forward.OnlyLimits).To(gomega.BeTrue(), "its room is used up until it reports again")
	g.Expect(verdict.Chains[0]).To(gomega.HaveLen(candidateCount))
}

// Guards against openings that circulate among agents without room, or end at one that holds as many flows as it may.
func TestOpeningRejectedForLackOfRoomIsPlacedOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(100, 0)
	d := NewDirector(DirectorConfig{FlowLifetime: time.Minute, LostAfter: testLostAfter, MaxQueueTime: time.Second, Self: testEndpoint(1, 0)})
	d.SetRoutes(now, testRoutes(1, testAddress))
	for i := range 100 {
		d.RecordReport(now, testEndpoint(2, i), Report{Interval: time.Second, Service: HashName(testService), Slots: testSlots, State: StateReady})
	}
	flow := testFlow(1)
	packet := Packet{Destination: flow.Service, Flags: FlagSyn, Source: flow.Caller}
	verdict := d.HandlePacket(now, packet, []byte{1})
	rounds := 0
	for verdict.Action == ActForward {
		rounds++
		f := verdict.Forward
		f.NoRoom, f.Datagram = true, []byte{1}
		for _, chain := range verdict.Chains {
			f.RejectedBy = append(f.RejectedBy, chain...)
		}
		g.Expect(len(f.RejectedBy)).To(gomega.BeNumerically("<=", maxAgentsPerMessage))
		if !f.Least.IsSet() {
			f.Least = f.RejectedBy[0]
		}
		if f.Final {
			g.Expect(verdict.Chains).To(gomega.Equal([]Chain{{f.Least}}))
			g.Expect(f.OnlyLimits).To(gomega.BeTrue())
		}
		verdict = d.HandleReturn(now, &f, packet)
	}
	g.Expect(verdict.Action).To(gomega.Equal(ActReset))
	g.Expect(rounds).To(gomega.BeNumerically("<=", 6))
}

// Guards against agents that never learn their limits, that are told over and over, or that keep those of an earlier configuration.
func TestAgentsAreToldLimits(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(100, 0)
	d := NewDirector(DirectorConfig{FlowLifetime: time.Minute, LostAfter: testLostAfter, MaxQueueTime: time.Second, Self: testEndpoint(1, 0)})
	agent, other := testEndpoint(2, 0), testEndpoint(2, 1)
	report := Report{Interval: time.Second, Service: HashName(testService), Slots: testSlots, State: StateReady}
	d.RecordReport(now, agent, report)
	g.Expect(d.TakeLimits(now)).To(gomega.BeEmpty(), "no configuration is known")
	routes := testRoutes(5, testAddress)
	routes.Limits = map[NameHash]ServiceLimits{HashName(testService): {ColdPerSecond: 0.25, MaxFlows: 2000}}
	d.SetRoutes(now, routes)
	limits := []LimitsMessage{{Agent: agent, Limits: Limits{ColdPerSecond: 0.25, MaxFlows: 2000, Version: 5}}}
	g.Expect(d.TakeLimits(now)).To(gomega.Equal(limits), "the first report has asked for them")
	d.RecordReport(now, agent, report)
	g.Expect(d.TakeLimits(now)).To(gomega.BeEmpty(), "at most once per second")
	now = now.Add(time.Second)
	d.RecordReport(now, agent, report)
	g.Expect(d.TakeLimits(now)).To(gomega.Equal(limits), "the first message may have been lost")
	report.LimitsKnown = true
	now = now.Add(time.Minute)
	d.RecordReport(now, agent, report)
	other2 := report
	other2.Service = HashName("another")
	d.RecordReport(now, other, other2)
	routes.Version = 6
	d.SetRoutes(now, routes)
	g.Expect(d.TakeLimits(now)).To(gomega.BeEmpty(), "the limits have not changed")
	changed := testRoutes(7, testAddress)
	d.SetRoutes(now, changed)
	g.Expect(d.TakeLimits(now)).To(gomega.Equal([]LimitsMessage{{Agent: agent, Limits: Limits{Version: 7}}}), "they were removed")
	g.Expect(d.TakeLimits(now)).To(gomega.BeEmpty())
}

// Guards against reports that grow, or Limits and room that are decoded as something else.
func TestRoomAndLimitsAreEncoded(t *testing.T) {
	g := gomega.NewWithT(t)
	plain := Report{Addresses: []Endpoint{testAddress}, AddressesKnown: true, Interval: time.Second, State: StateReady, Warming: true}
	limited := plain
	limited.LimitsKnown, limited.Room, limited.RoomLimited = true, 300, true
	g.Expect(limited.Append(nil)).To(gomega.HaveLen(len(plain.Append(nil)) + 2))
	for _, report := range []Report{plain, limited} {
		var decoded Report
		g.Expect(decoded.Decode(report.Append(nil))).To(gomega.BeTrue())
		g.Expect(decoded).To(gomega.Equal(report))
	}
	limits := Limits{ColdPerSecond: 12.345, MaxFlows: 2000, Version: 1 << 40}
	var decoded Limits
	g.Expect(decoded.Decode(limits.Append(nil))).To(gomega.BeTrue())
	g.Expect(decoded).To(gomega.Equal(limits))
	for length := range limits.Append(nil) {
		g.Expect(decoded.Decode(limits.Append(nil)[:length])).To(gomega.BeFalse())
	}
	a := newPacedAgent(time.Time{}, pace.Settings{}, 0)
	a.dispatcher.SetLimits(Limits{MaxFlows: 2000, Version: 1})
	g.Expect(a.dispatcher.Report(a.now).RoomLimited).To(gomega.BeFalse(), "far below the limit")
}

// Guards against openings that are lost, circulate without end or are refused when all backend servers start at once.
func TestAllFlowsOpenWhenAllServersStartAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newTestNetwork(3, 5, 20)
	n.pacing = pace.Settings{Pacing: true}
	for _, a := range n.agents {
		n.startHost(a)
	}
	n.reportAll()
	flows := 0
	for range 6 {
		for range 20 {
			n.sendFromCaller(testFlow(flows), FlagSyn, 0)
			flows++
		}
		n.advance(10 * time.Millisecond)
	}
	for i := range flows {
		n.sendFromCaller(testFlow(i), FlagAck, 0)
		g.Expect(n.ownerOf).To(gomega.HaveKey(testFlow(i)))
	}
	g.Expect(n.resets).To(gomega.BeEmpty())
	g.Expect(n.longestPath).To(gomega.BeNumerically("<=", 20))
}

// Guards against a started backend server that is flooded by balancers whose reports are old, while others are warm.
func TestStartedServerGetsFewFlowsAtFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	n := newTestNetwork(4, 5, 12)
	n.pacing = pace.Settings{Pacing: true}
	started := n.agents[0]
	n.startHost(started)
	n.reportAll()
	for i := range 40 {
		n.sendFromCaller(testFlow(i), FlagSyn, 0)
	}
	g.Expect(started.flows).To(gomega.HaveLen(1))
	g.Expect(n.resets).To(gomega.BeEmpty())
}

// Guards against living flows that are reset, or flows that stay without an answer, while agents reject openings for lack of room.
func TestOnlyEndedFlowsAreResetWhilePaced(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newTestNetwork(rapid.Uint64().Draw(t, "seed"), 3, rapid.IntRange(1, 7).Draw(t, "agents"))
		n.pacing = testPacing
		for _, a := range n.agents {
			n.startHost(a)
		}
		n.reportAll()
		n.loss = rapid.SampledFrom([]float64{0, 0.02}).Draw(t, "loss")
		flows := rapid.IntRange(1, 12).Draw(t, "flows")
		for i := range flows {
			n.openFlow(testFlow(i))
		}
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			n.injectFault(t)
			n.useFlows(t, flows)
		}
		n.checkRecovery(t, flows)
	})
}

// Guards against flows that count although their callers have closed them or given up, which would make the agent refuse all new ones,
// and against closed ones that are opened again and don't count.
func TestFlowsClosedByCallersDoNotCount(t *testing.T) {
	g := gomega.NewWithT(t)
	a := newPacedAgent(time.Time{}, pace.Settings{}, 0)
	a.dispatcher.SetLimits(Limits{MaxFlows: 100, Version: 1})
	closeFlow := func(flow Flow, flag Flags) {
		f := Forward{Datagram: []byte{1}, LatencyTarget: 300 * time.Millisecond, Service: HashName(testService), Timeout: time.Second}
		a.dispatcher.HandleForward(a.now, &f, Packet{Destination: flow.Service, Flags: FlagAck | flag, Source: flow.Caller})
	}
	for i := range 1000 {
		g.Expect(a.open(testEndpoint(1, 0), testFlow(i), nil).Action).To(gomega.Equal(AgentDeliver), "flow %d", i)
		a.serve(testFlow(i))
		closeFlow(testFlow(i), []Flags{FlagFin, FlagReset}[i%2])
		if i%100 == 0 {
			a.dispatcher.Sweep(a.now)
		}
	}
	g.Expect(a.dispatcher.OpenFlows()).To(gomega.BeZero())
	g.Expect(a.dispatcher.Snapshot(a.now.Add(minSnapshotAge)).Flows).To(gomega.BeEmpty())
	for i := range 98 {
		g.Expect(a.open(testEndpoint(1, 0), testFlow(i), nil).Action).To(gomega.Equal(AgentDeliver))
		a.serve(testFlow(i))
	}
	g.Expect(a.dispatcher.OpenFlows()).To(gomega.Equal(98))
	g.Expect(a.open(testEndpoint(1, 0), testFlow(98), nil).Action).To(gomega.Equal(AgentForwardOrReturn))
	a.dispatcher.Sweep(a.now)
	g.Expect(a.dispatcher.OpenFlows()).To(gomega.Equal(98))
	closeFlow(testFlow(0), FlagFin)
	g.Expect(a.open(testEndpoint(1, 0), testFlow(2000), nil).Action).To(gomega.Equal(AgentDeliver))
	closeFlow(testFlow(1), FlagFin)
	a.now = a.now.Add(halfOpenLifetime + time.Millisecond)
	a.announce(1, StateReady, 0)
	g.Expect(a.dispatcher.OpenFlows()).To(gomega.Equal(97))
	a.dispatcher.Sweep(a.now)
	g.Expect(a.dispatcher.OpenFlows()).To(gomega.Equal(96), "the caller of flow 2000 has given up")
}
