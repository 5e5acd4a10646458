package carry

import (
	"slices"
	"time"
)

// maxQueuedPackets is how many packets of a waiting request are kept, as many as a caller sends without an answer.
const maxQueuedPackets = 16

// newQueued returns the entry of a packet whose caller has wanted something since the packet's age and gives up after
// the limit.
func newQueued(now time.Time, f *Forward, p Packet, limit time.Duration) *queued {
	kept := *f
	kept.Datagram = nil
	since := now.Add(-p.Age)
	return &queued{
		forward: kept,
		packets: []queuedPacket{{datagram: slices.Clone(f.Datagram), packet: p}},
		since:   since,
		until:   since.Add(limit),
	}
}

// hold lets a request on an open flow wait while the backend server is too busy, and reports whether the packet waits
// with it. The flow stays where it is, so that such a request is neither passed on nor refused.
func (c *Carrier) hold(now time.Time, f *Forward, p Packet) bool {
	if entry := c.queue.find(p.FromCaller()); entry != nil {
		return c.join(entry, f, p)
	}
	if !c.startsRequest(now, p) || c.config.Server.State(now) != StateReady {
		return false
	}
	if c.queue.Len() == 0 && c.load().meets(f.Aim) {
		return false
	}
	entry := newQueued(now, f, p, f.Timeout)
	entry.open = true
	return c.queue.add(entry)
}

// join adds a packet to the request of its flow that waits; a caller that ends the flow ends the request.
func (c *Carrier) join(entry *queued, f *Forward, p Packet) bool {
	if p.Flags.Has(FlagReset) || p.Flags.Has(FlagFin) {
		c.queue.remove(entry)
		return false
	}
	if p.Length == 0 {
		return false
	}
	repeated := slices.ContainsFunc(entry.packets, func(other queuedPacket) bool { return other.packet.Seq == p.Seq })
	if !repeated && len(entry.packets) < maxQueuedPackets {
		entry.packets = append(entry.packets, queuedPacket{datagram: slices.Clone(f.Datagram), packet: p})
	}
	return true
}

// startsRequest reports whether a packet begins a request on a flow that the backend server holds.
func (c *Carrier) startsRequest(now time.Time, p Packet) bool {
	known, ok := c.flows.Get(now, p.FromCaller())
	if !ok || known.tentative || known.busy || p.Flags.Has(FlagReset) || p.Flags.Has(FlagFin) {
		return false
	}
	return p.Length > 0 && known.brings(p)
}

// Release returns the decisions about what has waited: what the backend server has room for now, what has to go
// elsewhere because it takes no new flows any more, and what has waited too long.
func (c *Carrier) Release(now time.Time) []AgentVerdict {
	if c.config.Server.State(now) != StateReady {
		return c.releaseAll(now)
	}
	verdicts := c.sendBack(c.queue.expire(now), true)
	for {
		entry := c.queue.peek()
		if entry == nil || !c.load().meets(entry.forward.Aim) {
			return verdicts
		}
		if entry.open {
			c.queue.pop()
			verdicts = append(verdicts, c.letIn(now, entry)...)
			continue
		}
		known, taken := c.take(now, entry.flow())
		if !taken {
			return verdicts
		}
		c.queue.pop()
		known.balancer = entry.forward.Origin
		known.waited = now.Sub(entry.since)
		verdict := c.deliver(&entry.forward, entry.packets[0].packet)
		verdict.Datagram = entry.packets[0].datagram
		verdicts = append(verdicts, verdict)
	}
}

// releaseAll empties the queue: requests go to the backend server that holds their flows, new flows elsewhere.
func (c *Carrier) releaseAll(now time.Time) []AgentVerdict {
	all := c.queue.takeAll(func(*queued) bool { return true })
	verdicts := c.sendBack(all, false)
	for _, entry := range all {
		if entry.open {
			verdicts = append(verdicts, c.letIn(now, entry)...)
		}
	}
	return verdicts
}

// letIn gives a request that has waited to the backend server.
func (c *Carrier) letIn(now time.Time, entry *queued) []AgentVerdict {
	var verdicts []AgentVerdict
	for _, waited := range entry.packets {
		c.follow(now, &entry.forward, waited.packet)
		if known, ok := c.flows.Get(now, entry.flow()); ok {
			known.waited = now.Sub(entry.since)
		}
		verdict := c.deliver(&entry.forward, waited.packet)
		verdict.Datagram = waited.datagram
		verdicts = append(verdicts, verdict)
	}
	return verdicts
}

// sendBack returns the new flows among entries that have waited to their balancers; after the last time nobody else is
// asked. Requests on open flows can't be served elsewhere, and their callers have given up.
func (c *Carrier) sendBack(entries []*queued, last bool) []AgentVerdict {
	var verdicts []AgentVerdict
	for _, entry := range entries {
		if entry.open {
			continue
		}
		entry.forward.Full, entry.forward.Last = last, last
		verdict := c.pass(&entry.forward, entry.packets[0].packet)
		verdict.Datagram = entry.packets[0].datagram
		verdicts = append(verdicts, verdict)
	}
	return verdicts
}
