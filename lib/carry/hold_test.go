package carry

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// ask sends the next request of an open flow, as one packet.
func (o *overload) ask(now time.Time, flow Flow) {
	o.asked[flow] = now
	f := o.forward(flow)
	o.serve(now, o.carrier.Forwarded(now, &f, o.packet(flow, FlagAck, 100)))
}

// serve gives a delivered request to the backend server at once.
func (o *overload) serve(now time.Time, verdict AgentVerdict) {
	if verdict.Action != AgentDeliver {
		return
	}
	if answered, ok := o.server.serve(now); ok {
		o.answers[verdict.Flow] = answered
	}
}

// stepOpen plays what happens at one moment on open flows.
func (o *overload) stepOpen(now time.Time) {
	for flow, at := range o.answers {
		if !at.After(now) && now.Sub(at) < overloadStep {
			o.carrier.FromServer(now, Packet{Destination: flow.Caller, Flags: FlagAck, Length: 100, Source: flow.Service})
		}
	}
	for _, verdict := range o.carrier.Release(now) {
		o.serve(now, verdict)
	}
}

// openFlows returns flows that the backend server holds without a request.
func (o *overload) openFlows(now time.Time, count int) []Flow {
	flows := make([]Flow, count)
	for i := range flows {
		flows[i] = testFlow(i)
		o.known(now, flows[i])
	}
	return flows
}

func TestRequestsOnOpenFlowsAreServedInTimeThoughABacklogWaits(t *testing.T) {
	g := gomega.NewWithT(t)
	start := time.Unix(100, 0)
	o := newOverload(start, 7)
	const (
		backlog  = 100
		interval = 16 * time.Millisecond // of further requests; the backend server needs 12.6 ms for each
		span     = 4 * time.Second
	)
	flows := o.openFlows(start, backlog+int(span/interval))
	for _, flow := range flows[:backlog] {
		o.ask(start, flow)
	}
	next := backlog
	for passed := time.Duration(0); passed < span; passed += overloadStep {
		now := start.Add(passed)
		if passed%interval == 0 && next < len(flows) && passed > 0 {
			o.ask(now, flows[next])
			next++
		}
		o.stepOpen(now)
	}
	g.Expect(o.server.shed).To(gomega.BeZero())
	g.Expect(o.inAim(start.Add(overloadStep))).To(gomega.BeNumerically(">=", 0.9))
}

// holdAll makes the backend server busy, so that a further request waits, and returns the flow of that request.
func holdAll(g *gomega.WithT, o *overload, now time.Time) Flow {
	flows := o.openFlows(now, 60)
	for _, flow := range flows {
		o.ask(now, flow)
	}
	g.Expect(o.carrier.Waiting()).To(gomega.BeNumerically(">", 0))
	return flows[len(flows)-1]
}

func TestRepeatedPacketsOfAWaitingRequestWaitOnceAndAllOfItIsDelivered(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(100, 0)
	o := newOverload(now, 7)
	flow := holdAll(g, o, now)
	waiting := o.carrier.Waiting()
	for _, seq := range []uint32{0, 100, 0, 100} {
		p := o.packet(flow, FlagAck, 100)
		p.Seq = seq
		f := o.forward(flow)
		g.Expect(o.carrier.Forwarded(now, &f, p).Action).To(gomega.Equal(AgentNothing))
	}
	g.Expect(o.carrier.Waiting()).To(gomega.Equal(waiting))
	delivered := 0
	for passed := time.Duration(0); passed < time.Second; passed += overloadStep {
		for flow, at := range o.answers {
			if !at.After(now.Add(passed)) {
				delete(o.answers, flow)
				o.carrier.FromServer(now, Packet{Destination: flow.Caller, Flags: FlagAck, Length: 100, Source: flow.Service})
			}
		}
		for _, verdict := range o.carrier.Release(now.Add(passed)) {
			g.Expect(verdict.Action).To(gomega.Equal(AgentDeliver))
			if verdict.Flow == flow {
				delivered++
			}
		}
	}
	g.Expect(delivered).To(gomega.Equal(2))
}

func TestWaitingRequestEndsWithItsCaller(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, flag := range []Flags{FlagFin, FlagReset} {
		now := time.Unix(100, 0)
		o := newOverload(now, 7)
		flow := holdAll(g, o, now)
		waiting := o.carrier.Waiting()
		f := o.forward(flow)
		g.Expect(o.carrier.Forwarded(now, &f, o.packet(flow, FlagAck|flag, 0)).Action).To(gomega.Equal(AgentDeliver))
		g.Expect(o.carrier.Waiting()).To(gomega.Equal(waiting - 1))
	}
}

func TestWaitingRequestsAreDeliveredWhenTheServerDrains(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(100, 0)
	o := newOverload(now, 7)
	holdAll(g, o, now)
	waiting := o.carrier.Waiting()
	_, err := o.carrier.config.Server.Announce(now, Announcement{Born: 1, ID: "i", Sequence: 2, Service: testService, Slots: 7, State: StateDraining})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	released := o.carrier.Release(now)
	g.Expect(released).To(gomega.HaveLen(waiting))
	for _, verdict := range released {
		g.Expect(verdict.Action).To(gomega.Equal(AgentDeliver))
	}
}

func TestRequestThatIsNeverServedIsForgottenAtItsTimeout(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(100, 0)
	o := newOverload(now, 7)
	flow := holdAll(g, o, now)
	late := now.Add(o.forward(flow).Timeout + time.Millisecond)
	g.Expect(o.carrier.Release(late)).To(gomega.BeEmpty())
	g.Expect(o.carrier.Waiting()).To(gomega.BeZero())
}

func TestEndedRequestTellsHowLongItWaited(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(100, 0)
	o := newOverload(now, 7)
	flow := holdAll(g, o, now)
	waits := map[Flow]time.Duration{}
	for passed := time.Duration(0); passed < time.Second; passed += overloadStep {
		o.stepOpen(now.Add(passed))
		for _, ended := range o.carrier.TakeEnded() {
			waits[ended.Flow] = ended.Waited
		}
	}
	g.Expect(waits[flow]).To(gomega.BeNumerically(">", 0))
	g.Expect(waits[testFlow(0)]).To(gomega.BeZero())
}

func TestAgentAnswersAtOnceForAServerThatHasEnded(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(100, 0)
	o := newOverload(now, 7)
	held := o.openFlows(now, 1)[0]
	other := testFlow(500)
	g.Expect(o.carrier.config.Server.Refused(now.Add(time.Hour))).To(gomega.BeTrue())
	f := o.forward(held)
	g.Expect(o.carrier.Forwarded(now, &f, o.packet(held, FlagAck, 100)).Action).To(gomega.Equal(AgentReset), "it held this flow")
	f = o.forward(other)
	verdict := o.carrier.Forwarded(now, &f, o.packet(other, FlagAck, 100))
	g.Expect(verdict.Action).To(gomega.Equal(AgentMessage))
	g.Expect(verdict.Kind).To(gomega.Equal(KindReturn))
}

func TestCallersOfAServerThatHasEndedAreToldAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(100, 0)
	o := newOverload(now, 7)
	flows := o.openFlows(now, 3)
	f := o.forward(flows[0])
	p := o.packet(flows[0], FlagAck, 100)
	p.Ack = 4711
	o.carrier.Forwarded(now, &f, p)
	unknown := o.forward(testFlow(500))
	o.carrier.Forwarded(now, &unknown, o.packet(testFlow(500), FlagAck, 100)) // may be another agent's
	verdicts := o.carrier.ServerEnded(now)
	g.Expect(verdicts).To(gomega.HaveLen(len(flows)))
	for i, verdict := range verdicts {
		g.Expect(verdict.Action).To(gomega.Equal(AgentReset))
		g.Expect(verdict.Flow).To(gomega.Equal(flows[i]))
	}
	g.Expect(verdicts[0].Seq).To(gomega.Equal(uint32(4711)), "as the caller last acknowledged")
	g.Expect(o.carrier.Busy()).To(gomega.BeZero())
	g.Expect(o.carrier.ServerEnded(now)).To(gomega.BeEmpty())
	ended := o.carrier.TakeEnded()
	g.Expect(ended).To(gomega.HaveLen(1))
	g.Expect(ended[0].Ending).To(gomega.Equal(EndingLost))
}
