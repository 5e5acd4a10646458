package flows

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// newAdaptiveSim returns a simulation with adaptive admission whose agent knows its backend server's service time, in an overload that has
// lasted for longer than callers wait.
func newAdaptiveSim(now time.Time, slots int) *overloadSim {
	o := newOverloadSim(now, slots)
	o.dispatcher.config.Admission = AdmissionAdaptive
	o.dispatcher.meanServiceTime = 20 * time.Millisecond
	o.dispatcher.overload = overload{lastMissed: now, since: now.Add(-2 * o.forward(testFlow(0)).Timeout)}
	return o
}

// fill sends requests on open flows until the agent queues some.
func (o *overloadSim) fill(now time.Time, queued int) {
	for i := 0; o.dispatcher.Waiting() < queued; i++ {
		flow := testFlow(1000 + i)
		o.confirmHeld(now, flow)
		o.sendRequest(now, flow)
	}
}

// openOn sends an opening of a flow that may be handed over to another agent.
func (o *overloadSim) openOn(now time.Time, flow Flow, change func(*Forward)) AgentVerdict {
	f := o.forward(flow)
	f.Next = []Endpoint{testEndpoint(2, 1)}
	if change != nil {
		change(&f)
	}
	return o.dispatcher.HandleForward(now, &f, o.packet(flow, FlagSyn, 0))
}

// Guards against deliveries that wait in the backend server's queue, where the agent can't choose among them any more.
func TestAdaptiveAdmissionDeliversLessAhead(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(100, 0)
	fixed, adaptive := newOverloadSim(now, 2), newAdaptiveSim(now, 2)
	fixed.dispatcher.meanServiceTime = adaptive.dispatcher.meanServiceTime
	fixed.fill(now, 1)
	adaptive.fill(now, 1)
	g.Expect(adaptive.dispatcher.Busy()).To(gomega.BeNumerically("<", fixed.dispatcher.Busy()))
	g.Expect(adaptive.dispatcher.Busy()).To(gomega.BeNumerically(">", 2), "the slots stay busy")
}

// Guards against new flows that wait while their callers could find another agent, or give up, in time.
func TestNewFlowThatCanNotBeServedSoonIsRefusedAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(100, 0)
	o := newAdaptiveSim(now, 2)
	o.fill(now, 10)
	verdict := o.openOn(now, testFlow(1), func(f *Forward) { f.Next = nil })
	g.Expect(verdict.Action).To(gomega.Equal(AgentForwardOrReturn))
	g.Expect(verdict.Kind).To(gomega.Equal(KindReturn))
	g.Expect(verdict.Forward.Final).To(gomega.BeTrue())
}

// Guards against a queued new flow that is refused too late, and against one that is handed over once more then.
func TestQueuedNewFlowIsRefusedBeforeAQuarterOfItsTarget(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(100, 0)
	o := newAdaptiveSim(now, 2)
	o.fill(now, 1)
	verdict := o.openOn(now, testFlow(1), func(f *Forward) { f.Confined = true })
	g.Expect(verdict.Action).To(gomega.Equal(AgentSendOwner), "it is queued")
	released := o.dispatcher.Release(now.Add(overloadTarget/8 + time.Millisecond))
	g.Expect(released).To(gomega.HaveLen(1))
	g.Expect(released[0].Kind).To(gomega.Equal(KindReturn))
	g.Expect(released[0].Forward.Final).To(gomega.BeTrue())
}

// Guards against a backlog after an outage that is refused although callers would wait for it: they run out of attempts before it is gone.
func TestShortBacklogIsServedLateRatherThanRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(100, 0)
	o := newAdaptiveSim(now, 2)
	o.dispatcher.overload = overload{}
	o.fill(now, 10)
	verdict := o.openOn(now, testFlow(1), func(f *Forward) { f.Next = nil })
	g.Expect(verdict.Action).To(gomega.Equal(AgentSendOwner), "it is queued")
}

// Guards against saturation that ends because new flows are refused, so that a backlog grows again.
func TestSaturationLastsWhileNewFlowsAreRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(100, 0)
	o := newAdaptiveSim(now, 2)
	o.fill(now, 10)
	o.dispatcher.overload.lastMissed = now.Add(-overloadPause / 2)
	verdict := o.openOn(now, testFlow(1), func(f *Forward) { f.Next = nil })
	g.Expect(verdict.Forward.Final).To(gomega.BeTrue())
	f := o.forward(testFlow(1))
	now = now.Add(overloadPause)
	o.dispatcher.overload.update(now, false)
	g.Expect(o.dispatcher.isSaturated(now, &f)).To(gomega.BeTrue(), "a new flow was refused within the pause")
	now = now.Add(overloadPause / 2)
	o.dispatcher.overload.update(now, false)
	g.Expect(o.dispatcher.isSaturated(now, &f)).To(gomega.BeFalse())
}

// Guards against hand-overs of a new flow among agents that are all too busy.
func TestConfinedNewFlowIsNotHandedOver(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(100, 0)
	o := newAdaptiveSim(now, 2)
	o.fill(now, 10)
	g.Expect(o.openOn(now, testFlow(1), nil).Kind).To(gomega.Equal(KindForward))
	verdict := o.openOn(now, testFlow(2), func(f *Forward) { f.Confined = true })
	g.Expect(verdict.Kind).To(gomega.Equal(KindReturn))
	g.Expect(verdict.Forward.Final).To(gomega.BeTrue())
}

// Guards against a flood on one route that gets the new flows of another one refused.
func TestFloodDoesNotRefuseNewFlowsOfAnotherRoute(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(100, 0)
	o := newAdaptiveSim(now, 2)
	o.fill(now, 30)
	flow := testFlow(1)
	g.Expect(o.openOn(now, flow, func(f *Forward) { f.Next = nil }).Kind).To(gomega.Equal(KindReturn))
	flow.Service.Port++
	verdict := o.openOn(now, flow, func(f *Forward) { f.Next = nil })
	g.Expect(verdict.Action).To(gomega.Equal(AgentSendOwner), "it is queued")
}

func TestDemandIsComparedWithTheMean(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(100, 0)
	d := demand{}
	one, other := testEndpoint(3, 1), testEndpoint(3, 2)
	g.Expect(d.belowMean(now, one)).To(gomega.BeFalse(), "no demand")
	for range 10 {
		d.record(now, one)
	}
	g.Expect(d.belowMean(now, one)).To(gomega.BeFalse(), "the only route")
	d.record(now, other)
	g.Expect(d.belowMean(now, one)).To(gomega.BeFalse())
	g.Expect(d.belowMean(now, other)).To(gomega.BeTrue())
	now = now.Add(20 * demandMemory)
	g.Expect(d.belowMean(now, other)).To(gomega.BeFalse())
	g.Expect(d).To(gomega.BeEmpty(), "routes without demand are forgotten")
}

// Guards against a quota that outlives its route, or one that a new flow uses which no second agent has rejected.
func TestHandOversAreLimitedByRoute(t *testing.T) {
	g := gomega.NewWithT(t)
	quotas := handOverQuotas{}
	one, other := testEndpoint(3, 1), testEndpoint(3, 2)
	agents := []Endpoint{testEndpoint(2, 0), testEndpoint(2, 1)}
	for range 2 * handOverBurst {
		g.Expect(quotas.place(one)).To(gomega.BeTrue())
		quotas.recordRefused(one, agents[:1])
	}
	for quotas.place(one) {
		quotas.recordRefused(one, agents)
	}
	g.Expect(quotas.place(other)).To(gomega.BeTrue())
	quotas.retain(Routes{ByAddress: map[Endpoint]Route{one: {}}})
	g.Expect(quotas).To(gomega.HaveLen(1))
}
