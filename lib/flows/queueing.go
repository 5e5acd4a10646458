package flows

import (
	"slices"
	"time"

	"github.com/cyclamendock/cyclamendock/lib/pace"
)

// maxQueuedPackets is how many packets of a queued request are kept, as many as a caller sends without a response.
const maxQueuedPackets = 16

// newQueueEntry returns the entry of a packet that its caller first sent p.OpeningAge ago; it expires maxWait after
// that.
func newQueueEntry(now time.Time, f *Forward, p Packet, maxWait time.Duration) *queueEntry {
	forward := *f
	forward.Datagram = nil
	requestedAt := now.Add(-p.OpeningAge)
	return &queueEntry{
		deadline:    requestedAt.Add(maxWait),
		forward:     forward,
		packets:     []queuedPacket{{datagram: slices.Clone(f.Datagram), packet: p}},
		requestedAt: requestedAt,
	}
}

// queueRequest queues a packet of an open flow if it starts a request while the backend server is too busy, or belongs
// to a queued request, and reports whether it did. An open flow can't move, so its requests are never forwarded
// to another agent.
func (d *Dispatcher) queueRequest(now time.Time, f *Forward, p Packet) bool {
	if entry := d.queue.find(p.CallerFlow()); entry != nil {
		return d.extendQueued(entry, f, p)
	}
	if !d.startsRequest(now, p) || d.config.Server.State(now) != StateReady {
		return false
	}
	d.recordDemand(now, p)
	if d.queue.Len() == 0 && d.mayDeliver(f.LatencyTarget) {
		return false
	}
	entry := newQueueEntry(now, f, p, f.Timeout)
	entry.onOpenFlow = true
	return d.queue.add(entry)
}

// extendQueued adds a packet to the queued request of its flow, or removes the request when the caller closes the flow.
func (d *Dispatcher) extendQueued(entry *queueEntry, f *Forward, p Packet) bool {
	if p.Flags.Has(FlagReset) || p.Flags.Has(FlagFin) {
		d.queue.remove(entry)
		return false
	}
	if p.Length == 0 {
		return false
	}
	duplicate := slices.ContainsFunc(entry.packets, func(other queuedPacket) bool { return other.packet.Seq == p.Seq })
	if !duplicate && len(entry.packets) < maxQueuedPackets {
		entry.packets = append(entry.packets, queuedPacket{datagram: slices.Clone(f.Datagram), packet: p})
	}
	return true
}

// startsRequest reports whether a packet starts a request on a flow that the backend server holds.
func (d *Dispatcher) startsRequest(now time.Time, p Packet) bool {
	state, ok := d.flows.Get(now, p.CallerFlow())
	if !ok || state.tentative || state.inProgress || p.Flags.Has(FlagReset) || p.Flags.Has(FlagFin) {
		return false
	}
	return p.Length > 0 && state.hasNewData(p)
}

// Release dequeues and returns the entries that the backend server has capacity for, the expired ones, all new flows
// once the availability zone is evacuated, and all entries once it is not ready.
func (d *Dispatcher) Release(now time.Time) []AgentVerdict {
	d.observeServer(now)
	if d.config.Server.State(now) != StateReady {
		return d.drainQueue(now)
	}
	d.expireAdmissions(now)
	d.overload.update(now, d.queue.hasMissed(now))
	verdicts := d.returnOpenings(slices.Concat(d.queue.expire(now), d.coldQueue.expire(now)), true)
	if d.zone.Evacuated() {
		openings := slices.Concat(d.queue.removeIf(func(entry *queueEntry) bool { return !entry.onOpenFlow }), d.coldQueue.removeIf(func(*queueEntry) bool { return true }))
		verdicts = append(verdicts, d.returnOpenings(openings, false)...)
	}
	for {
		entry := d.queue.peek(now.Add(d.serverLoad().likelyLatency()))
		if entry == nil || !d.mayDeliver(entry.forward.LatencyTarget) {
			return append(verdicts, d.releaseCold(now)...)
		}
		if entry.onOpenFlow {
			d.queue.pop(entry)
			verdicts = append(verdicts, d.deliverQueued(now, entry)...)
			continue
		}
		if refusal := d.pacer.Refuse(now, d.load(now), true); refusal != pace.RefusedNone {
			d.queue.pop(entry)
			verdicts = append(verdicts, d.rejectQueued(entry, refusal)...)
			continue
		}
		verdict, admitted := d.admitQueued(now, entry)
		if !admitted {
			return verdicts
		}
		d.queue.pop(entry)
		verdicts = append(verdicts, verdict)
	}
}

// admitQueued delivers the opening of a queued new flow, or reports false when the flow table is full.
func (d *Dispatcher) admitQueued(now time.Time, entry *queueEntry) (AgentVerdict, bool) {
	state, admitted := d.admit(now, entry.flow())
	if !admitted {
		return AgentVerdict{}, false
	}
	state.ownerRecipient = entry.forward.Origin
	state.queueTime = now.Sub(entry.requestedAt)
	verdict := d.deliverOpening(now, &entry.forward, entry.packets[0].packet)
	verdict.Datagram = entry.packets[0].datagram
	return verdict, true
}

// drainQueue empties the queue: requests are delivered to the backend server that holds their flows, and new flows are
// returned to be placed elsewhere.
func (d *Dispatcher) drainQueue(now time.Time) []AgentVerdict {
	all := func(*queueEntry) bool { return true }
	entries := d.queue.removeIf(all)
	verdicts := d.returnOpenings(slices.Concat(entries, d.coldQueue.removeIf(all)), false)
	for _, entry := range entries {
		if entry.onOpenFlow {
			verdicts = append(verdicts, d.deliverQueued(now, entry)...)
		}
	}
	return verdicts
}

// deliverQueued delivers all packets of a queued request.
func (d *Dispatcher) deliverQueued(now time.Time, entry *queueEntry) []AgentVerdict {
	var verdicts []AgentVerdict
	for _, queued := range entry.packets {
		d.trackPacket(now, &entry.forward, queued.packet)
		if state, ok := d.flows.Get(now, entry.flow()); ok {
			state.queueTime = now.Sub(entry.requestedAt)
		}
		verdict := d.deliver(&entry.forward, queued.packet)
		verdict.Datagram = queued.datagram
		verdicts = append(verdicts, verdict)
	}
	return verdicts
}

// returnOpenings returns the new flows among dequeued entries to their balancers, which refuse them if final is set.
// Requests on open flows are skipped: no other agent can serve them, and the callers of expired ones have given up.
func (d *Dispatcher) returnOpenings(entries []*queueEntry, final bool) []AgentVerdict {
	var verdicts []AgentVerdict
	for _, entry := range entries {
		if entry.onOpenFlow {
			continue
		}
		entry.forward.Overloaded, entry.forward.Final = final, final
		verdict := d.forwardOrReturn(&entry.forward, entry.packets[0].packet)
		verdict.Datagram = entry.packets[0].datagram
		verdicts = append(verdicts, verdict)
	}
	return verdicts
}
