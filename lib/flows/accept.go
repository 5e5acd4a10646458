package flows

import (
	"time"

	"github.com/cyclamendock/cyclamendock/lib/pace"
)

// handleOpening admits a new flow, or forwards or queues it when the backend server is too busy.
func (d *Dispatcher) handleOpening(now time.Time, f *Forward, p Packet) AgentVerdict {
	if d.config.Server.State(now) != StateReady {
		return d.forwardOrReturn(f, p)
	}
	flow := p.CallerFlow()
	if d.queue.find(flow) != nil || d.coldQueue.find(flow) != nil {
		return AgentVerdict{Flow: flow, Reason: ReasonQueued}
	}
	if state, known := d.flows.Get(now, flow); known {
		return d.repeatOpening(now, f, p, state)
	}
	if refusal := d.refuse(now, f); refusal != pace.RefusedNone {
		return d.rejectOpening(now, f, p, refusal)
	}
	if d.zone.Evacuated() {
		return d.forwardOrReturn(f, p)
	}
	d.recordDemand(now, p)
	if d.queue.Len() > 0 || !d.mayDeliver(f.LatencyTarget) {
		return d.handleOverload(now, f, p)
	}
	state, admitted := d.admit(now, flow)
	if !admitted {
		f.Overloaded = true
		return d.forwardOrReturn(f, p)
	}
	if len(f.RejectedBy) > 0 {
		state.ownerRecipient = f.Origin
	}
	return d.deliverOpening(now, f, p)
}

// admit starts tracking a new flow as in progress and reports false when the flow table is full.
func (d *Dispatcher) admit(now time.Time, flow Flow) (*flowState, bool) {
	state := &flowState{openedAt: now}
	if !d.flows.Put(now, flow, state) {
		return nil, false
	}
	d.closed.Delete(flow)
	d.beginRequest(now, state)
	d.admissions = append(d.admissions, admission{at: now, flow: flow})
	return state, true
}

// handleOverload forwards a new flow while untried agents remain. The last one sends it to the agent with the shortest
// queue, which queues the flow if it can be served in time, and otherwise refuses it at once.
func (d *Dispatcher) handleOverload(now time.Time, f *Forward, p Packet) AgentVerdict {
	f.Overloaded = true
	if latency := d.queuedLatency(now, f, p); !f.Least.IsSet() || latency < f.LeastLatency {
		f.Least, f.LeastLatency = d.config.Self, latency
	}
	if len(f.Next) > 0 && !f.Assigned && !f.Confined {
		return d.forwardOrReturn(f, p)
	}
	if f.Least != d.config.Self && !f.Assigned && !f.Confined {
		f.Assigned = true
		f.Next = []Endpoint{f.Least}
		return d.forwardOrReturn(f, p)
	}
	f.Next = nil // it is refused if it can't be queued, or expires in the queue
	if d.cannotServe(now, f, p) || !d.queue.add(newQueueEntry(now, f, p, d.maxOpeningWait(now, f, p))) {
		f.Final = true
		return d.forwardOrReturn(f, p)
	}
	return AgentVerdict{Action: AgentSendOwner, Flow: p.CallerFlow(), Reason: ReasonQueued, To: f.Origin}
}

// queuedLatency returns the time until a new flow that is queued now is expected to be answered.
func (d *Dispatcher) queuedLatency(now time.Time, f *Forward, p Packet) time.Duration {
	if d.config.Admission == AdmissionAdaptive {
		return d.queuedWait(now, f, p)
	}
	projected := d.serverLoad()
	projected.Busy += d.queue.Len()
	return projected.expectedLatency(f.LatencyTarget)
}

// cannotServe reports whether a new flow that is queued now would miss its timeout, or its latency target while an
// overload lasts; adaptive admission refuses it early once callers can't outwait the overload.
func (d *Dispatcher) cannotServe(now time.Time, f *Forward, p Packet) bool {
	if d.isSaturated(now, f) {
		refuses := d.refusesEarly(now, f, p)
		if refuses {
			d.overload.prolong(now) // no entry misses its target in the queue while new flows are refused
		}
		return refuses
	}
	if d.config.Admission == AdmissionAdaptive || !d.overload.lasting(now) {
		return d.queuedLatency(now, f, p) > f.Timeout
	}
	projected := d.serverLoad()
	projected.Busy += d.queue.countAfter(now.Add(-f.LatencyTarget))
	return projected.expectedLatency(f.LatencyTarget) > f.LatencyTarget*queuedSharePercent/percent
}

// serverLoad returns the load of the backend server without the requests and flows queued at this agent.
func (d *Dispatcher) serverLoad() Report {
	return Report{Busy: d.busy, MeanServiceTime: d.meanServiceTime, Slots: d.config.Server.Slots()}
}
