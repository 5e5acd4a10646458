package flows

import (
	"time"

	"github.com/cyclamendock/cyclamendock/lib/pace"
)

const (
	// halfOpenLifetime is how long an opening counts as a flow whose caller sends nothing more. Callers give up within seconds; a
	// backend server keeps such a flow for as long as an idle one, 15 s in current configurations.
	halfOpenLifetime = 20 * time.Second
	// lateSharePercent is the share of its timeout after which an abandoned request counts as failed.
	lateSharePercent = 75
)

// ReasonNoRoom means that a repeated opening has to wait for the limit for cold backend servers.
const ReasonNoRoom Reason = "noRoom"

// load returns the load of the backend server, without the requests and flows queued at this agent.
func (d *Dispatcher) load(now time.Time) pace.Load {
	return pace.Load{
		Busy:          d.busy,
		Cold:          d.config.Server.Warming(now),
		Flows:         d.OpenFlows(),
		FlowsComplete: !now.Before(d.held.knownFrom),
		Slots:         d.config.Server.Slots(),
	}
}

// observeServer tells the pacer the state of the backend server.
func (d *Dispatcher) observeServer(now time.Time) {
	server := d.config.Server
	ready := server.State(now) == StateReady && !d.zone.Evacuated()
	d.pacer.Observe(now, server.Current().StartMillis, ready, d.load(now))
}

// recordResponse tells the pacer about a response to a request that is no longer in progress.
func (d *Dispatcher) recordResponse(now time.Time, response pace.Response) {
	load := d.load(now)
	load.Busy++
	d.pacer.RecordResponse(now, response, load)
}

// recordAbandoned tells the pacer about a request whose caller has closed its flow. One that has waited for most of its timeout has
// not got its response in time.
func (d *Dispatcher) recordAbandoned(now time.Time, state *flowState) {
	timeout := state.deadline.Sub(state.startedAt)
	if state.inProgress && state.requestSeen && now.Sub(state.startedAt) > timeout*lateSharePercent/percent {
		d.recordResponse(now, pace.Response{Failed: true})
	}
}

// refuse returns why a new flow can't be accepted. The pace does not count when no other agent is left to try.
func (d *Dispatcher) refuse(now time.Time, f *Forward) pace.Refusal {
	d.observeServer(now)
	return d.pacer.Refuse(now, d.load(now), f.OnlyLimits || f.Assigned || f.Final)
}

// rejectOpening forwards or returns a new flow that can't be accepted. When no other agent is left to try, one that only the limit for
// cold backend servers holds back is queued, if it can be accepted soon.
func (d *Dispatcher) rejectOpening(now time.Time, f *Forward, p Packet, refusal pace.Refusal) AgentVerdict {
	d.refusals[refusal]++
	if refusal == pace.RefusedFlows {
		f.NoRoom = true
		return d.forwardOrReturn(f, p)
	}
	last := f.Final || f.Assigned
	if !last {
		f.NoRoom = true
		if latency := d.queuedLatency(now, f, p); !f.Least.IsSet() || latency < f.LeastLatency {
			f.Least, f.LeastLatency = d.config.Self, latency
		}
		return d.forwardOrReturn(f, p)
	}
	if d.coldQueue.Len() >= d.pacer.ColdLimit() || !d.coldQueue.add(newQueueEntry(now, f, p, maxOpeningWait)) {
		f.Final = true
		return d.forwardOrReturn(f, p)
	}
	return AgentVerdict{Action: AgentSendOwner, Flow: p.CallerFlow(), Reason: ReasonQueued, To: f.Origin}
}

// rejectQueued returns a queued new flow that would exceed the limit of flows, or queues it until the limit for cold backend servers
// permits it.
func (d *Dispatcher) rejectQueued(entry *queueEntry, refusal pace.Refusal) []AgentVerdict {
	d.refusals[refusal]++
	if refusal == pace.RefusedCold && d.coldQueue.Len() < d.pacer.ColdLimit() && d.coldQueue.add(entry) {
		return nil
	}
	entry.forward.NoRoom = true
	return d.returnOpenings([]*queueEntry{entry}, false)
}

// releaseCold delivers the new flows that have waited for the limit for cold backend servers, as far as it permits.
func (d *Dispatcher) releaseCold(now time.Time) []AgentVerdict {
	var verdicts []AgentVerdict
	for d.coldQueue.Len() > 0 {
		entry := d.coldQueue.peek(now.Add(d.serverLoad().likelyLatency()))
		refusal := d.pacer.Refuse(now, d.load(now), true)
		if refusal == pace.RefusedFlows {
			d.coldQueue.pop(entry)
			verdicts = append(verdicts, d.rejectQueued(entry, refusal)...)
			continue
		}
		if refusal != pace.RefusedNone || d.queue.Len() > 0 || !d.serverLoad().meetsTarget(entry.forward.LatencyTarget) {
			return verdicts
		}
		verdict, admitted := d.admitQueued(now, entry)
		if !admitted {
			return verdicts
		}
		d.coldQueue.pop(entry)
		verdicts = append(verdicts, verdict)
	}
	return verdicts
}

// repeatOpening delivers the repeated opening of a flow, unless it is one opening packet more than a cold backend server may get now. The
// opening of a flow that its caller has closed opens a new one.
func (d *Dispatcher) repeatOpening(now time.Time, f *Forward, p Packet, state *flowState) AgentVerdict {
	if state.closedByCaller {
		if refusal := d.refuse(now, f); refusal != pace.RefusedNone {
			return d.rejectOpening(now, f, p, refusal)
		}
		d.markClosed(state, false)
		state.openedAt = now
	}
	if d.pacer.ColdRoom(now, d.load(now)) <= 0 {
		return AgentVerdict{Flow: p.CallerFlow(), Reason: ReasonNoRoom}
	}
	return d.deliverOpening(now, f, p)
}

// deliverOpening delivers an opening.
func (d *Dispatcher) deliverOpening(now time.Time, f *Forward, p Packet) AgentVerdict {
	d.pacer.RecordOpening(now)
	return d.deliver(f, p)
}

// markClosed records whether the caller of a flow has closed it.
func (d *Dispatcher) markClosed(state *flowState, closed bool) {
	if state.closedByCaller == closed {
		return
	}
	state.closedByCaller = closed
	if closed {
		d.callerClosed++
	} else {
		d.callerClosed--
	}
}

// countEnded counts the tracked flows that the backend server no longer holds: those that their callers have closed, and openings whose
// callers have given up.
func (d *Dispatcher) countEnded(now time.Time) {
	d.callerClosed, d.halfOpen = 0, 0
	d.flows.Each(func(_ Flow, state *flowState) {
		switch {
		case state.closedByCaller:
			d.callerClosed++
		case !state.established && now.Sub(state.openedAt) > halfOpenLifetime:
			d.halfOpen++
		}
	})
}

// OpenFlows returns the number of flows that count towards the limit of flows.
func (d *Dispatcher) OpenFlows() int {
	return max(0, d.flows.Len()-d.callerClosed-d.halfOpen) + d.restoredUnseen
}

// forgetRestored forgets a restored flow that its caller closes: its caller ignores resets from now on.
func (d *Dispatcher) forgetRestored(p Packet) {
	if p.Flags.Has(FlagReset) || p.Flags.Has(FlagFin) {
		delete(d.restored.acks, p.CallerFlow())
	}
}

// countRestored counts the restored flows that this process has not seen, which the backend server may hold.
func (d *Dispatcher) countRestored(now time.Time) {
	d.restoredUnseen = 0
	if now.After(d.restored.expires) {
		return
	}
	for flow := range d.restored.acks {
		if !d.flows.Has(now, flow) {
			d.restoredUnseen++
		}
	}
}

// SetLimits applies the limits of the service and reports whether they are of a later version than the ones in force.
func (d *Dispatcher) SetLimits(limits Limits) bool {
	return d.pacer.SetLimits(pace.Limits{
		ColdPerSecond: limits.ColdPerSecond,
		MaxFlows:      limits.MaxFlows,
		Version:       limits.Version,
	})
}

// LimitsKnown reports whether the limits of the service are known.
func (d *Dispatcher) LimitsKnown() bool { return d.pacer.Limits().Version > 0 }

// Room returns how many new flows the agent accepts now, or pace.Unlimited.
func (d *Dispatcher) Room(now time.Time) int {
	d.observeServer(now)
	load := d.load(now)
	load.Busy += d.Waiting()
	return d.pacer.Room(now, load)
}

// Pace returns the limit of requests in progress of a backend server that starts or recovers, or zero when it does neither.
func (d *Dispatcher) Pace() int { return d.pacer.Pace() }

// FlowLimit returns the number of open flows from which no new ones are accepted, or pace.Unlimited.
func (d *Dispatcher) FlowLimit(now time.Time) int {
	return d.pacer.FlowLimit(!now.Before(d.held.knownFrom))
}

// TakePaceChanges returns the begins and ends of slow starts since the last call.
func (d *Dispatcher) TakePaceChanges() []pace.Change { return d.pacer.TakeChanges() }

// TakeRefusals returns how many openings were rejected since the last call, by reason.
func (d *Dispatcher) TakeRefusals() map[pace.Refusal]int {
	refusals := d.refusals
	d.refusals = map[pace.Refusal]int{}
	return refusals
}
