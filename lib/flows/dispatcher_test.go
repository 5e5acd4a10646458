package flows

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// simulatedServer is a backend server that serves requests in order, one per slot at a time.
type simulatedServer struct {
	queueCapacity int         // requests
	queuedStarts  []time.Time // when each accepted request starts
	rejected      int         // requests rejected because the queue was full
	serviceTime   time.Duration
	slotFreeAt    []time.Time // when each slot becomes free
}

// serve returns when a request is answered, or false when it is rejected.
func (s *simulatedServer) serve(now time.Time) (time.Time, bool) {
	queued := 0
	for _, start := range s.queuedStarts {
		if start.After(now) {
			queued++
		}
	}
	if queued >= s.queueCapacity {
		s.rejected++
		return time.Time{}, false
	}
	slot := 0
	for i := range s.slotFreeAt {
		if s.slotFreeAt[i].Before(s.slotFreeAt[slot]) {
			slot = i
		}
	}
	start := now
	if s.slotFreeAt[slot].After(now) {
		start = s.slotFreeAt[slot]
	}
	s.queuedStarts = append(s.queuedStarts, start)
	s.slotFreeAt[slot] = start.Add(s.serviceTime)
	return s.slotFreeAt[slot], true
}

// overloadSim simulates the seconds after a power loss: a backlog of callers arrives at once, and others keep arriving.
type overloadSim struct {
	answeredAt      map[Flow]time.Time
	dispatcher      *Dispatcher
	requestArrivals map[Flow]time.Time // when the request on an opened flow reaches the agent
	requestedAt     map[Flow]time.Time // when the caller first sent its opening or request
	server          *simulatedServer
	target          time.Duration
}

const (
	handshakeTime       = 14 * time.Millisecond
	overloadServiceTime = 88 * time.Millisecond // service time while the backend server is cold
	overloadStep        = time.Millisecond
	overloadTarget      = 300 * time.Millisecond
)

func newOverloadSim(now time.Time, slots int) *overloadSim {
	server := NewServer(testService, time.Minute)
	_, _ = server.Announce(now, Announcement{ID: "i", Sequence: 1, Service: testService, Slots: slots, StartMillis: 1, State: StateReady})
	return &overloadSim{
		answeredAt:      map[Flow]time.Time{},
		dispatcher:      NewDispatcher(DispatcherConfig{FlowLifetime: time.Minute, Self: testEndpoint(2, 0), Server: server, Service: HashName(testService)}),
		requestArrivals: map[Flow]time.Time{},
		requestedAt:     map[Flow]time.Time{},
		server:          &simulatedServer{queueCapacity: 4 * slots, serviceTime: overloadServiceTime, slotFreeAt: make([]time.Time, slots)},
		target:          overloadTarget,
	}
}

func (o *overloadSim) open(now time.Time, flow Flow) {
	o.requestedAt[flow] = now
	f := o.forward(flow)
	o.apply(now, o.dispatcher.HandleForward(now, &f, o.packet(flow, FlagSyn, 0)))
}

func (o *overloadSim) forward(Flow) Forward {
	return Forward{Datagram: []byte{1}, LatencyTarget: o.target, Origin: testEndpoint(1, 0), Service: HashName(testService), Timeout: 2500 * time.Millisecond}
}

func (o *overloadSim) packet(flow Flow, flags Flags, length int) Packet {
	return Packet{Destination: flow.Service, Flags: flags, Length: length, Source: flow.Caller}
}

func (o *overloadSim) apply(now time.Time, verdict AgentVerdict) {
	if verdict.Action == AgentDeliver {
		o.requestArrivals[verdict.Flow] = now.Add(handshakeTime)
	}
}

// step simulates one millisecond on flows that were opened by the simulation.
func (o *overloadSim) step(now time.Time) {
	for flow, arrival := range o.requestArrivals {
		if arrival.After(now) {
			continue
		}
		delete(o.requestArrivals, flow)
		f := o.forward(flow)
		o.dispatcher.HandleForward(now, &f, o.packet(flow, FlagAck, 100))
		if answered, ok := o.server.serve(now); ok {
			o.answeredAt[flow] = answered
		}
	}
	for flow, answered := range o.answeredAt {
		if answered.Equal(now) || answered.Before(now) && now.Sub(answered) < overloadStep {
			reply := Packet{Destination: flow.Caller, Flags: FlagAck, Length: 100, Source: flow.Service}
			o.dispatcher.HandleServerPacket(now, reply)
		}
	}
	for _, verdict := range o.dispatcher.Release(now) {
		o.apply(now, verdict)
	}
}

// withinTarget returns the share of the requests made since a given time that were answered within the latency target.
func (o *overloadSim) withinTarget(from time.Time) float64 {
	met, total := 0, 0
	for flow, requested := range o.requestedAt {
		if requested.Before(from) {
			continue
		}
		total++
		if answered, ok := o.answeredAt[flow]; ok && answered.Sub(requested) <= o.target {
			met++
		}
	}
	return float64(met) / float64(total)
}

// confirmHeld sends a packet of the backend server, by which the agent learns that it holds the flow.
func (o *overloadSim) confirmHeld(now time.Time, flow Flow) {
	o.dispatcher.HandleServerPacket(now, Packet{Destination: flow.Caller, Flags: FlagAck, Source: flow.Service})
}

func TestNewFlowsMeetTargetDespiteBacklogOfOpenings(t *testing.T) {
	g := gomega.NewWithT(t)
	start := time.Unix(0, 0)
	o := newOverloadSim(start, 7)
	const backlog, perSecond = 80, 64 // the capacity is 7 slots / 88 ms = 79 a second
	for i := range backlog {
		o.open(start, testFlow(i))
	}
	for ms := range 2000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		if ms > 0 && ms%(1000/perSecond) == 0 {
			o.open(now, testFlow(backlog+ms))
		}
		o.step(now)
	}
	g.Expect(o.server.rejected).To(gomega.BeZero())
	g.Expect(o.withinTarget(start.Add(100 * time.Millisecond))).To(gomega.BeNumerically(">=", 0.9))
}

func TestRequestsInProgressEndWhenCallersLeaveOrTimeOut(t *testing.T) {
	g := gomega.NewWithT(t)
	start := time.Unix(0, 0)
	o := newOverloadSim(start, 2)
	f := o.forward(testFlow(1))
	for i := range 50 {
		o.confirmHeld(start, testFlow(i))
		o.dispatcher.HandleForward(start, &f, o.packet(testFlow(i), FlagAck, 100))
	}
	inProgress := func() int { return o.dispatcher.Busy() + o.dispatcher.Waiting() }
	g.Expect(inProgress()).To(gomega.Equal(50))
	o.dispatcher.HandleForward(start, &f, o.packet(testFlow(0), FlagAck|FlagFin, 0))
	g.Expect(inProgress()).To(gomega.Equal(49))
	after := start.Add(3 * time.Second)
	o.dispatcher.Release(after)
	o.dispatcher.Sweep(after)
	g.Expect(inProgress()).To(gomega.BeZero())
}

func TestSearchPacketsAndRetransmissionsAreNotInProgress(t *testing.T) {
	g := gomega.NewWithT(t)
	start := time.Unix(0, 0)
	o := newOverloadSim(start, 2)
	f := o.forward(testFlow(1))
	for range 2 { // another backend server may hold the flow
		o.dispatcher.HandleForward(start, &f, o.packet(testFlow(1), FlagAck, 100))
	}
	g.Expect(o.dispatcher.Busy()).To(gomega.BeZero())
	o.confirmHeld(start, testFlow(2))
	request := o.packet(testFlow(2), FlagAck, 100)
	o.dispatcher.HandleForward(start, &f, request)
	g.Expect(o.dispatcher.Busy()).To(gomega.Equal(1))
	reply := Packet{Destination: testFlow(2).Caller, Flags: FlagAck, Length: 100, Source: testFlow(2).Service}
	o.dispatcher.HandleServerPacket(start, reply)
	o.dispatcher.HandleForward(start, &f, request)
	g.Expect(o.dispatcher.Busy()).To(gomega.BeZero())
	request.Seq += 100
	o.dispatcher.HandleForward(start, &f, request)
	g.Expect(o.dispatcher.Busy()).To(gomega.Equal(1))
}

// Log lines name the request that a decision touched, not an earlier one on the same flow.
func TestEndedRequestIsForgotten(t *testing.T) {
	g := gomega.NewWithT(t)
	start := time.Unix(0, 0)
	o := newOverloadSim(start, 2)
	request := func(i int, sequence uint32) Packet {
		p := o.packet(testFlow(i), FlagAck, 100)
		p.RequestID, p.Seq = "earlier", sequence
		return p
	}
	f := o.forward(testFlow(1))
	for i := range 2 {
		o.confirmHeld(start, testFlow(i))
		o.dispatcher.HandleForward(start, &f, request(i, 1))
	}
	reply := Packet{Destination: testFlow(0).Caller, Flags: FlagAck, Length: 100, Source: testFlow(0).Service}
	o.dispatcher.HandleServerPacket(start, reply)
	state, _ := o.dispatcher.flows.Get(start, testFlow(1))
	state.queueTime = time.Second
	o.dispatcher.Sweep(start.Add(3 * time.Second))
	g.Expect(state.queueTime).To(gomega.BeZero())
	g.Expect(o.dispatcher.Busy()).To(gomega.BeZero())
	g.Expect(o.dispatcher.TakeEnded()[0].RequestID).To(gomega.Equal("earlier"))
	for _, reset := range o.dispatcher.ResetServerFlows(start.Add(3 * time.Second)) {
		g.Expect(reset.RequestID).To(gomega.BeEmpty(), "%v", reset.Flow)
	}
}

// The last packets of a closing flow, such as the acknowledgement of its caller's FIN, must not make the agent take the
// flow for an open one that it did not know.
func TestClosedFlowsAreNotCounted(t *testing.T) {
	g := gomega.NewWithT(t)
	start := time.Unix(0, 0)
	o := newOverloadSim(start, 2)
	flow := testFlow(1)
	f := o.forward(flow)
	o.confirmHeld(start, flow)
	o.dispatcher.HandleServerPacket(start, Packet{Destination: flow.Caller, Flags: FlagAck | FlagFin, Source: flow.Service})
	o.dispatcher.HandleForward(start, &f, o.packet(flow, FlagAck|FlagFin, 0))
	o.confirmHeld(start, flow)
	g.Expect(o.dispatcher.Flows()).To(gomega.BeZero())
	o.dispatcher.HandleForward(start, &f, o.packet(flow, FlagSyn, 0))
	g.Expect(o.dispatcher.Flows()).To(gomega.Equal(1), "the caller opens a new flow from the same port")
	o.confirmHeld(start.Add(2*closedLifetime), testFlow(2))
	g.Expect(o.dispatcher.Flows()).To(gomega.Equal(2))
}

func TestBouncedPacketWithUnknownEchoIsDropped(t *testing.T) {
	g := gomega.NewWithT(t)
	start := time.Unix(0, 0)
	o := newOverloadSim(start, 2)
	f := o.forward(testFlow(1))
	delivered := o.dispatcher.HandleForward(start, &f, o.packet(testFlow(1), FlagAck, 100))
	bounced := o.packet(testFlow(2), FlagAck|FlagBounced, 100)
	bounced.Echo = delivered.Echo + deliveryTableSize
	g.Expect(o.dispatcher.HandleBounced(start, bounced).Action).To(gomega.Equal(AgentDrop))
}

func TestDrainingServerKeepsItsFlowsAndGetsNoNewOnes(t *testing.T) {
	g := gomega.NewWithT(t)
	start := time.Unix(0, 0)
	o := newOverloadSim(start, 2)
	_, err := o.dispatcher.config.Server.Announce(start, Announcement{ID: "i", Sequence: 2, Service: testService, Slots: 2, StartMillis: 1, State: StateDraining})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	f := o.forward(testFlow(1))
	f.Next = []Endpoint{testEndpoint(2, 1)}
	verdict := o.dispatcher.HandleForward(start, &f, o.packet(testFlow(1), FlagSyn, 0))
	g.Expect(verdict.Action).To(gomega.Equal(AgentForwardOrReturn))
	g.Expect(verdict.To).To(gomega.Equal(testEndpoint(2, 1)))
	g.Expect(o.dispatcher.HandleForward(start, &f, o.packet(testFlow(2), FlagAck, 100)).Action).To(gomega.Equal(AgentDeliver))
}

func TestFlowOfAnotherServiceIsNeverDelivered(t *testing.T) {
	g := gomega.NewWithT(t)
	start := time.Unix(0, 0)
	o := newOverloadSim(start, 2)
	for _, flags := range []Flags{FlagSyn, FlagAck, FlagAck | FlagFin} {
		f := o.forward(testFlow(1))
		f.Service = HashName("nachweise")
		g.Expect(o.dispatcher.HandleForward(start, &f, o.packet(testFlow(1), flags, 10)).Kind).To(gomega.Equal(KindReturn))
	}
}

func TestOpeningThatWouldTimeOutIsRefusedAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	start := time.Unix(0, 0)
	o := newOverloadSim(start, 2)
	refused := 0
	for i := range 100 {
		f := o.forward(testFlow(i))
		f.Timeout = 500 * time.Millisecond
		verdict := o.dispatcher.HandleForward(start, &f, o.packet(testFlow(i), FlagSyn, 0))
		if verdict.Action == AgentForwardOrReturn && verdict.Forward.Final {
			refused++
		}
	}
	// The assumed service time is 300 ms / 4 = 75 ms, so that 13 requests fit into 500 ms on two slots.
	g.Expect(refused).To(gomega.BeNumerically("~", 87, 2))
}

func TestRepeatedOpeningIsQueuedOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	start := time.Unix(0, 0)
	o := newOverloadSim(start, 1)
	for i := range 6 {
		o.open(start, testFlow(i))
	}
	waiting := o.dispatcher.Waiting()
	g.Expect(waiting).To(gomega.BeNumerically(">", 0))
	for i := range 6 {
		o.open(start, testFlow(i))
	}
	g.Expect(o.dispatcher.Waiting()).To(gomega.Equal(waiting))
}

func TestQueuedOpeningsAreReturnedWhenServerDrains(t *testing.T) {
	g := gomega.NewWithT(t)
	start := time.Unix(0, 0)
	o := newOverloadSim(start, 1)
	for i := range 6 {
		o.open(start, testFlow(i))
	}
	waiting := o.dispatcher.Waiting()
	g.Expect(waiting).To(gomega.BeNumerically(">", 0))
	_, err := o.dispatcher.config.Server.Announce(start, Announcement{ID: "i", Sequence: 2, Service: testService, Slots: 1, StartMillis: 1, State: StateDraining})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	returned := o.dispatcher.Release(start)
	g.Expect(returned).To(gomega.HaveLen(waiting))
	for _, verdict := range returned {
		g.Expect(verdict.Kind).To(gomega.Equal(KindReturn))
		g.Expect(verdict.Forward.Final).To(gomega.BeFalse()) // the balancer may place it elsewhere
		g.Expect(verdict.Datagram).NotTo(gomega.BeEmpty())
	}
}
