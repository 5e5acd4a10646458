package carry

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// A busyServer plays a backend server that serves requests in order, a few at a time.
type busyServer struct {
	free  []time.Time // when each slot is free
	queue int         // requests that may wait
	shed  int
	waits []time.Time // starts of the requests that wait
	work  time.Duration
}

// serve returns when a request is answered, or false when it is shed.
func (s *busyServer) serve(now time.Time) (time.Time, bool) {
	waiting := 0
	for _, start := range s.waits {
		if start.After(now) {
			waiting++
		}
	}
	if waiting >= s.queue {
		s.shed++
		return time.Time{}, false
	}
	slot := 0
	for i := range s.free {
		if s.free[i].Before(s.free[slot]) {
			slot = i
		}
	}
	start := now
	if s.free[slot].After(now) {
		start = s.free[slot]
	}
	s.waits = append(s.waits, start)
	s.free[slot] = start.Add(s.work)
	return s.free[slot], true
}

// An overload replays the second after a loss of power: callers that have waited come all at once, others keep coming.
type overload struct {
	aim      time.Duration
	answers  map[Flow]time.Time
	asked    map[Flow]time.Time
	carrier  *Carrier
	requests map[Flow]time.Time // when the request reaches the backend server
	server   *busyServer
}

const (
	overloadAim  = 300 * time.Millisecond
	overloadStep = time.Millisecond
	overloadWork = 88 * time.Millisecond // cold
	roundTrip    = 14 * time.Millisecond // of the handshake
)

func newOverload(now time.Time, slots int) *overload {
	server := NewServer(testService, time.Minute)
	_, _ = server.Announce(now, Announcement{Born: 1, ID: "i", Sequence: 1, Service: testService, Slots: slots, State: StateReady})
	return &overload{
		aim:      overloadAim,
		answers:  map[Flow]time.Time{},
		asked:    map[Flow]time.Time{},
		carrier:  NewCarrier(CarrierConfig{FlowLifetime: time.Minute, Self: testEndpoint(2, 0), Server: server, Service: ServiceIDOf(testService)}),
		requests: map[Flow]time.Time{},
		server:   &busyServer{free: make([]time.Time, slots), queue: 4 * slots, work: overloadWork},
	}
}

func (o *overload) open(now time.Time, flow Flow) {
	o.asked[flow] = now
	f := o.forward(flow)
	o.act(now, o.carrier.Forwarded(now, &f, o.packet(flow, FlagSyn, 0)))
}

func (o *overload) forward(Flow) Forward {
	return Forward{Aim: o.aim, Datagram: []byte{1}, Origin: testEndpoint(1, 0), Service: ServiceIDOf(testService), Timeout: 2500 * time.Millisecond}
}

func (o *overload) packet(flow Flow, flags Flags, length int) Packet {
	return Packet{Destination: flow.Service, Flags: flags, Length: length, Source: flow.Caller}
}

func (o *overload) act(now time.Time, verdict AgentVerdict) {
	if verdict.Action == AgentDeliver {
		o.requests[verdict.Flow] = now.Add(roundTrip)
	}
}

// step plays what happens at one moment.
func (o *overload) step(now time.Time) {
	for flow, at := range o.requests {
		if at.After(now) {
			continue
		}
		delete(o.requests, flow)
		f := o.forward(flow)
		o.carrier.Forwarded(now, &f, o.packet(flow, FlagAck, 100))
		if answered, ok := o.server.serve(now); ok {
			o.answers[flow] = answered
		}
	}
	for flow, at := range o.answers {
		if at.Equal(now) || at.Before(now) && now.Sub(at) < overloadStep {
			reply := Packet{Destination: flow.Caller, Flags: FlagAck, Length: 100, Source: flow.Service}
			o.carrier.FromServer(now, reply)
		}
	}
	for _, verdict := range o.carrier.Release(now) {
		o.act(now, verdict)
	}
}

// inAim returns the share of the flows opened after a moment whose requests were answered within their aim.
func (o *overload) inAim(after time.Time) float64 {
	met, all := 0, 0
	for flow, asked := range o.asked {
		if asked.Before(after) {
			continue
		}
		all++
		if answered, ok := o.answers[flow]; ok && answered.Sub(asked) <= o.aim {
			met++
		}
	}
	return float64(met) / float64(all)
}

// known makes the agent see that the backend server holds a flow.
func (o *overload) known(now time.Time, flow Flow) {
	o.carrier.FromServer(now, Packet{Destination: flow.Caller, Flags: FlagAck, Source: flow.Service})
}

func TestCallersThatComeAfterAPowerLossAreServedInTime(t *testing.T) {
	g := gomega.NewWithT(t)
	start := time.Unix(0, 0)
	o := newOverload(start, 7)
	const backlog, perSecond = 80, 64 // capacity is 7 slots over 88 ms, 79 a second
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
	g.Expect(o.server.shed).To(gomega.BeZero())
	g.Expect(o.inAim(start.Add(100 * time.Millisecond))).To(gomega.BeNumerically(">=", 0.9))
}

func TestBusyRequestsEndWithTheirCallers(t *testing.T) {
	g := gomega.NewWithT(t)
	start := time.Unix(0, 0)
	o := newOverload(start, 2)
	f := o.forward(testFlow(1))
	for i := range 50 {
		o.known(start, testFlow(i))
		o.carrier.Forwarded(start, &f, o.packet(testFlow(i), FlagAck, 100))
	}
	inProgress := func() int { return o.carrier.Busy() + o.carrier.Waiting() }
	g.Expect(inProgress()).To(gomega.Equal(50))
	o.carrier.Forwarded(start, &f, o.packet(testFlow(0), FlagAck|FlagFin, 0))
	g.Expect(inProgress()).To(gomega.Equal(49))
	after := start.Add(3 * time.Second)
	o.carrier.Release(after)
	o.carrier.Sweep(after)
	g.Expect(inProgress()).To(gomega.BeZero())
}

func TestPacketsOfASearchAndRepeatedRequestsCountAsNoWork(t *testing.T) {
	g := gomega.NewWithT(t)
	start := time.Unix(0, 0)
	o := newOverload(start, 2)
	f := o.forward(testFlow(1))
	for range 2 { // the flow may be held by another
		o.carrier.Forwarded(start, &f, o.packet(testFlow(1), FlagAck, 100))
	}
	g.Expect(o.carrier.Busy()).To(gomega.BeZero())
	o.known(start, testFlow(2))
	request := o.packet(testFlow(2), FlagAck, 100)
	o.carrier.Forwarded(start, &f, request)
	g.Expect(o.carrier.Busy()).To(gomega.Equal(1))
	reply := Packet{Destination: testFlow(2).Caller, Flags: FlagAck, Length: 100, Source: testFlow(2).Service}
	o.carrier.FromServer(start, reply)
	o.carrier.Forwarded(start, &f, request)
	g.Expect(o.carrier.Busy()).To(gomega.BeZero())
	request.Seq += 100
	o.carrier.Forwarded(start, &f, request)
	g.Expect(o.carrier.Busy()).To(gomega.Equal(1))
}

func TestReturnedPacketOfAnEarlierProcessIsDropped(t *testing.T) {
	g := gomega.NewWithT(t)
	start := time.Unix(0, 0)
	o := newOverload(start, 2)
	f := o.forward(testFlow(1))
	delivered := o.carrier.Forwarded(start, &f, o.packet(testFlow(1), FlagAck, 100))
	stray := o.packet(testFlow(2), FlagAck|FlagBounced, 100)
	stray.Echo = delivered.Echo + deliveryCount
	g.Expect(o.carrier.Bounced(start, stray).Action).To(gomega.Equal(AgentNothing))
}

func TestDrainingServerGetsNoNewFlowAndKeepsItsOwn(t *testing.T) {
	g := gomega.NewWithT(t)
	start := time.Unix(0, 0)
	o := newOverload(start, 2)
	_, err := o.carrier.config.Server.Announce(start, Announcement{Born: 1, ID: "i", Sequence: 2, Service: testService, Slots: 2, State: StateDraining})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	f := o.forward(testFlow(1))
	f.Next = []Endpoint{testEndpoint(2, 1)}
	opened := o.carrier.Forwarded(start, &f, o.packet(testFlow(1), FlagSyn, 0))
	g.Expect(opened.Action).To(gomega.Equal(AgentMessage))
	g.Expect(opened.To).To(gomega.Equal(testEndpoint(2, 1)))
	g.Expect(o.carrier.Forwarded(start, &f, o.packet(testFlow(2), FlagAck, 100)).Action).To(gomega.Equal(AgentDeliver))
}

func TestFlowOfAnotherServiceIsNeverDelivered(t *testing.T) {
	g := gomega.NewWithT(t)
	start := time.Unix(0, 0)
	o := newOverload(start, 2)
	for _, flags := range []Flags{FlagSyn, FlagAck, FlagAck | FlagFin} {
		f := o.forward(testFlow(1))
		f.Service = ServiceIDOf("nachweise")
		g.Expect(o.carrier.Forwarded(start, &f, o.packet(testFlow(1), flags, 10)).Kind).To(gomega.Equal(KindReturn))
	}
}

func TestWhatCannotBeServedInTimeIsRefusedAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	start := time.Unix(0, 0)
	o := newOverload(start, 2)
	refused := 0
	for i := range 100 {
		f := o.forward(testFlow(i))
		f.Timeout = 500 * time.Millisecond
		verdict := o.carrier.Forwarded(start, &f, o.packet(testFlow(i), FlagSyn, 0))
		if verdict.Action == AgentMessage && verdict.Forward.Last {
			refused++
		}
	}
	// 75 ms are assumed for a request, so that 13 fit 500 ms on two slots.
	g.Expect(refused).To(gomega.BeNumerically("~", 87, 2))
}

func TestRepeatedOpeningOfAWaitingFlowWaitsOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	start := time.Unix(0, 0)
	o := newOverload(start, 1)
	for i := range 6 {
		o.open(start, testFlow(i))
	}
	waiting := o.carrier.Waiting()
	g.Expect(waiting).To(gomega.BeNumerically(">", 0))
	for i := range 6 {
		o.open(start, testFlow(i))
	}
	g.Expect(o.carrier.Waiting()).To(gomega.Equal(waiting))
}

func TestFlowsThatWaitGoElsewhereWhenTheServerDrains(t *testing.T) {
	g := gomega.NewWithT(t)
	start := time.Unix(0, 0)
	o := newOverload(start, 1)
	for i := range 6 {
		o.open(start, testFlow(i))
	}
	waiting := o.carrier.Waiting()
	g.Expect(waiting).To(gomega.BeNumerically(">", 0))
	_, err := o.carrier.config.Server.Announce(start, Announcement{Born: 1, ID: "i", Sequence: 2, Service: testService, Slots: 1, State: StateDraining})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	moved := o.carrier.Release(start)
	g.Expect(moved).To(gomega.HaveLen(waiting))
	for _, verdict := range moved {
		g.Expect(verdict.Kind).To(gomega.Equal(KindReturn))
		g.Expect(verdict.Forward.Last).To(gomega.BeFalse()) // the balancer may place it elsewhere
		g.Expect(verdict.Datagram).NotTo(gomega.BeEmpty())
	}
}
