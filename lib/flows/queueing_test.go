package flows

import (
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// sendRequest sends the next request on an open flow as one packet.
func (o *overloadSim) sendRequest(now time.Time, flow Flow) {
	o.requestedAt[flow] = now
	f := o.forward(flow)
	o.serveDelivered(now, o.dispatcher.HandleForward(now, &f, o.packet(flow, FlagAck, 100)))
}

// serveDelivered serves the request of a delivered packet.
func (o *overloadSim) serveDelivered(now time.Time, verdict AgentVerdict) {
	if verdict.Action != AgentDeliver {
		return
	}
	if answered, ok := o.server.serve(now); ok {
		o.answeredAt[verdict.Flow] = answered
	}
}

// stepOpenFlows simulates one millisecond on flows that were open from the start.
func (o *overloadSim) stepOpenFlows(now time.Time) {
	for flow, at := range o.answeredAt {
		if !at.After(now) && now.Sub(at) < overloadStep {
			o.dispatcher.HandleServerPacket(now, Packet{Destination: flow.Caller, Flags: FlagAck, Length: 100, Source: flow.Service})
		}
	}
	for _, verdict := range o.dispatcher.Release(now) {
		o.serveDelivered(now, verdict)
	}
}

// openFlows returns open flows without a request in progress.
func (o *overloadSim) openFlows(now time.Time, count int) []Flow {
	flows := make([]Flow, count)
	for i := range flows {
		flows[i] = testFlow(i)
		o.confirmHeld(now, flows[i])
	}
	return flows
}

func TestRequestsOnOpenFlowsMeetTargetDespiteBacklog(t *testing.T) {
	g := gomega.NewWithT(t)
	start := time.Unix(100, 0)
	o := newOverloadSim(start, 7)
	const (
		backlog  = 100
		interval = 16 * time.Millisecond // interval of further requests; the backend server can serve one each 12.6 ms
		span     = 4 * time.Second
	)
	flows := o.openFlows(start, backlog+int(span/interval))
	for _, flow := range flows[:backlog] {
		o.sendRequest(start, flow)
	}
	next := backlog
	for elapsed := time.Duration(0); elapsed < span; elapsed += overloadStep {
		now := start.Add(elapsed)
		if elapsed%interval == 0 && next < len(flows) && elapsed > 0 {
			o.sendRequest(now, flows[next])
			next++
		}
		o.stepOpenFlows(now)
	}
	g.Expect(o.server.rejected).To(gomega.BeZero())
	g.Expect(o.withinTarget(start.Add(overloadStep))).To(gomega.BeNumerically(">=", 0.9))
}

// fillQueue sends requests until the agent queues them, and returns the flow of the last queued request.
func fillQueue(g *gomega.WithT, o *overloadSim, now time.Time) Flow {
	flows := o.openFlows(now, 60)
	for _, flow := range flows {
		o.sendRequest(now, flow)
	}
	g.Expect(o.dispatcher.Waiting()).To(gomega.BeNumerically(">", 0))
	return flows[len(flows)-1]
}

func TestQueuedRequestIsDeliveredWholeWithoutDuplicates(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(100, 0)
	o := newOverloadSim(now, 7)
	flow := fillQueue(g, o, now)
	waiting := o.dispatcher.Waiting()
	for _, seq := range []uint32{0, 100, 0, 100} {
		p := o.packet(flow, FlagAck, 100)
		p.Seq = seq
		f := o.forward(flow)
		g.Expect(o.dispatcher.HandleForward(now, &f, p).Action).To(gomega.Equal(AgentDrop))
	}
	g.Expect(o.dispatcher.Waiting()).To(gomega.Equal(waiting))
	delivered := 0
	for elapsed := time.Duration(0); elapsed < time.Second; elapsed += overloadStep {
		for flow, at := range o.answeredAt {
			if !at.After(now.Add(elapsed)) {
				delete(o.answeredAt, flow)
				o.dispatcher.HandleServerPacket(now, Packet{Destination: flow.Caller, Flags: FlagAck, Length: 100, Source: flow.Service})
			}
		}
		for _, verdict := range o.dispatcher.Release(now.Add(elapsed)) {
			g.Expect(verdict.Action).To(gomega.Equal(AgentDeliver))
			o.serveDelivered(now.Add(elapsed), verdict) // those that were requested before come first
			if verdict.Flow == flow {
				delivered++
			}
		}
	}
	g.Expect(delivered).To(gomega.Equal(2))
}

func TestQueuedRequestIsRemovedWhenCallerClosesFlow(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, flag := range []Flags{FlagFin, FlagReset} {
		now := time.Unix(100, 0)
		o := newOverloadSim(now, 7)
		flow := fillQueue(g, o, now)
		waiting := o.dispatcher.Waiting()
		f := o.forward(flow)
		g.Expect(o.dispatcher.HandleForward(now, &f, o.packet(flow, FlagAck|flag, 0)).Action).To(gomega.Equal(AgentDeliver))
		g.Expect(o.dispatcher.Waiting()).To(gomega.Equal(waiting - 1))
	}
}

func TestQueuedRequestsAreDeliveredWhenServerDrains(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(100, 0)
	o := newOverloadSim(now, 7)
	fillQueue(g, o, now)
	waiting := o.dispatcher.Waiting()
	_, err := o.dispatcher.config.Server.Announce(now, Announcement{ID: "i", Sequence: 2, Service: testService, Slots: 7, StartMillis: 1, State: StateDraining})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	released := o.dispatcher.Release(now)
	g.Expect(released).To(gomega.HaveLen(waiting))
	for _, verdict := range released {
		g.Expect(verdict.Action).To(gomega.Equal(AgentDeliver))
	}
}

func TestQueuedRequestIsDroppedAtItsTimeout(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(100, 0)
	o := newOverloadSim(now, 7)
	flow := fillQueue(g, o, now)
	late := now.Add(o.forward(flow).Timeout + time.Millisecond)
	g.Expect(o.dispatcher.Release(late)).To(gomega.BeEmpty())
	g.Expect(o.dispatcher.Waiting()).To(gomega.BeZero())
}

func TestEndedRequestReportsTimeInQueue(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(100, 0)
	o := newOverloadSim(now, 7)
	flow := fillQueue(g, o, now)
	queueTimes := map[Flow]time.Duration{}
	for elapsed := time.Duration(0); elapsed < time.Second; elapsed += overloadStep {
		o.stepOpenFlows(now.Add(elapsed))
		for _, ended := range o.dispatcher.TakeEnded() {
			queueTimes[ended.Flow] = ended.QueueTime
		}
	}
	g.Expect(queueTimes[flow]).To(gomega.BeNumerically(">", 0))
	g.Expect(queueTimes[testFlow(0)]).To(gomega.BeZero())
}

func TestPacketsForEndedServerAreResetOrReturned(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(100, 0)
	o := newOverloadSim(now, 7)
	held := o.openFlows(now, 1)[0]
	other := testFlow(500)
	g.Expect(o.dispatcher.config.Server.RecordRefused(now.Add(time.Hour))).To(gomega.BeTrue())
	f := o.forward(held)
	g.Expect(o.dispatcher.HandleForward(now, &f, o.packet(held, FlagAck, 100)).Action).To(gomega.Equal(AgentReset), "the backend server held this flow")
	f = o.forward(other)
	verdict := o.dispatcher.HandleForward(now, &f, o.packet(other, FlagAck, 100))
	g.Expect(verdict.Action).To(gomega.Equal(AgentForwardOrReturn))
	g.Expect(verdict.Kind).To(gomega.Equal(KindReturn))
}

func TestOpenFlowsAreResetWhenServerEnds(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(100, 0)
	o := newOverloadSim(now, 7)
	flows := o.openFlows(now, 3)
	f := o.forward(flows[0])
	p := o.packet(flows[0], FlagAck, 100)
	p.Ack = 4711
	o.dispatcher.HandleForward(now, &f, p)
	unknown := o.forward(testFlow(500))
	o.dispatcher.HandleForward(now, &unknown, o.packet(testFlow(500), FlagAck, 100)) // another agent may hold the flow
	verdicts := o.dispatcher.ResetServerFlows(now)
	g.Expect(verdicts).To(gomega.HaveLen(len(flows)))
	for i, verdict := range verdicts {
		g.Expect(verdict.Action).To(gomega.Equal(AgentReset))
		g.Expect(verdict.Flow).To(gomega.Equal(flows[i]))
	}
	g.Expect(verdicts[0].Seq).To(gomega.Equal(uint32(4711)), "the reset uses the caller's last acknowledgement number")
	g.Expect(o.dispatcher.Busy()).To(gomega.BeZero())
	g.Expect(o.dispatcher.ResetServerFlows(now)).To(gomega.BeEmpty())
	ended := o.dispatcher.TakeEnded()
	g.Expect(ended).To(gomega.HaveLen(1))
	g.Expect(ended[0].Ending).To(gomega.Equal(EndingLost))
}

// Several agents are too busy for a new flow, each with another queue.
func TestNewFlowIsQueuedWhereTheQueueIsShortest(t *testing.T) {
	for name, queued := range map[string][]int{"first": {5, 20, 40}, "second": {40, 5, 20}, "last": {40, 20, 5}} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			now := time.Unix(100, 0)
			var sims []*overloadSim
			var chain []Endpoint
			shortest := 0
			for i, count := range queued {
				o := newOverloadSim(now, 7)
				o.dispatcher.config.Self = testEndpoint(2, i)
				for _, flow := range o.openFlows(now, 30+count) {
					o.sendRequest(now, flow)
				}
				if count < queued[shortest] {
					shortest = i
				}
				sims, chain = append(sims, o), append(chain, testEndpoint(2, i))
			}
			flow := testFlow(500)
			forward := sims[0].forward(flow)
			forward.Next = chain[1:]
			at, hops := 0, 0
			verdict := sims[at].dispatcher.HandleForward(now, &forward, sims[at].packet(flow, FlagSyn, 0))
			for verdict.Action == AgentForwardOrReturn {
				g.Expect(verdict.Kind).To(gomega.Equal(KindForward))
				hops++
				g.Expect(hops).To(gomega.BeNumerically("<=", len(queued)))
				at = slices.Index(chain, verdict.To)
				forward = verdict.Forward
				verdict = sims[at].dispatcher.HandleForward(now, &forward, sims[at].packet(flow, FlagSyn, 0))
			}
			g.Expect(verdict.Action).To(gomega.Equal(AgentSendOwner))
			g.Expect(at).To(gomega.Equal(shortest))
		})
	}
}
