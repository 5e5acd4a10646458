package flows

import (
	"slices"
	"time"
)

// Tick returns the verdicts about queued openings, newest first, that an agent can accept now, that have no route, or
// that have been queued for MaxQueueTime, after the resets of flows for which no other balancer has to be asked any more. It
// must be called regularly.
func (d *Director) Tick(now time.Time) []Verdict {
	d.forgiveStall(now)
	verdicts := d.resolveResets(now, func(pending pendingReset) bool { return pending.listed })
	unavailable := map[NameHash]bool{} // services without an agent that accepts new flows
	for _, flow := range d.newestOpenings() {
		opening := d.queuedOpenings[flow]
		verdict, decided := d.decideQueued(now, opening, unavailable)
		if !decided {
			continue
		}
		verdict.Forward.Datagram = opening.datagram
		delete(d.queuedOpenings, flow)
		verdicts = append(verdicts, verdict)
	}
	return verdicts
}

// decideQueued decides about a queued opening, or reports false while it has to wait; it adds services without an agent
// that accepts new flows to unavailable, so that no further opening is tried there.
func (d *Director) decideQueued(now time.Time, opening queuedOpening, unavailable map[NameHash]bool) (Verdict, bool) {
	flow := opening.packet.CallerFlow()
	expired := now.Sub(opening.since) >= d.config.MaxQueueTime
	if d.routes.Version == 0 {
		return Verdict{Flow: flow, Reason: ReasonNoConfig}, expired
	}
	route, ok := d.routes.ByAddress[flow.Service]
	if !ok {
		return d.handleUnrouted(now, opening.packet), true
	}
	if service := route.ServiceFor(flow); !unavailable[service] {
		verdict := d.place(now, route, opening.packet, nil)
		if verdict.Action != ActDrop {
			return verdict, true
		}
		unavailable[service] = true
	}
	return resetVerdict(opening.packet, ReasonNoAgent), expired
}

// newestOpenings returns the flows of the queued openings, newest first.
func (d *Director) newestOpenings() []Flow {
	flows := make([]Flow, 0, len(d.queuedOpenings))
	for flow := range d.queuedOpenings {
		flows = append(flows, flow)
	}
	slices.SortFunc(flows, func(x, y Flow) int {
		if order := d.queuedOpenings[y].since.Compare(d.queuedOpenings[x].since); order != 0 {
			return order
		}
		return x.Compare(y)
	})
	return flows
}

// Waiting returns the number of queued openings.
func (d *Director) Waiting() int { return len(d.queuedOpenings) }

// Sweep removes expired hints, searches, removed routes and pending resets.
func (d *Director) Sweep(now time.Time) {
	d.hints.Sweep(now)
	d.removedAddresses.Sweep(now)
	d.searches.Sweep(now)
	for address := range d.servicesByAddress {
		if _, routed := d.routes.ByAddress[address]; !routed && !d.removedAddresses.Has(now, address) {
			delete(d.servicesByAddress, address)
		}
	}
	for flow, pending := range d.pendingResets {
		if now.Sub(pending.since) > searchLifetime {
			delete(d.pendingResets, flow)
		}
	}
}

// openFlow places, queues or resets a new flow; a repeated opening goes to the same agent as the first while it is responsive.
func (d *Director) openFlow(now time.Time, route Route, p Packet, datagram []byte) Verdict {
	flow := p.CallerFlow()
	if _, queued := d.queuedOpenings[flow]; queued {
		return Verdict{Flow: flow, Reason: ReasonQueued}
	}
	var verdict Verdict
	switch owner, ok := d.lookupHint(now, flow); {
	case !ok || d.Agents.Suspect(now, owner) || d.Agents.State(owner) != StateReady:
		verdict = d.place(now, route, p, nil)
	case d.Agents.Evacuated(owner):
		verdict = d.repeatToEvacuated(now, route, p, owner)
	default:
		return d.forwardVerdict(now, route, p, route.ServiceFor(flow), Chain{owner})
	}
	if verdict.Action == ActForward {
		verdict.Forward.Confined = d.config.Admission == AdmissionAdaptive && !d.handOvers.place(flow.Service)
	}
	if verdict.Action != ActDrop {
		return verdict
	}
	return d.queueOpening(now, p, datagram)
}

// place forwards an opening along the best candidates, without those in skip. It resets the flow when all agents that could serve it
// are in evacuated availability zones, and returns ActDrop when there is no candidate for another reason.
func (d *Director) place(now time.Time, route Route, p Packet, skip []Endpoint) Verdict {
	flow := p.CallerFlow()
	service := route.ServiceFor(flow)
	candidates := d.Agents.candidates(now, service, flow, skip)
	if !d.config.Policy.WithoutLoads {
		d.Agents.sortByCost(candidates, d.config.Zone)
	}
	if len(candidates) == 0 {
		if d.Agents.allEvacuated(now, service) {
			return resetVerdict(p, ReasonZoneEmptied)
		}
		return Verdict{Flow: flow, Reason: ReasonNoAgent}
	}
	d.hints.Put(now, flow, candidates[0])
	onlyLimits := !d.Agents.hasRoom(candidates[0]) // then no other agent has room
	verdict := d.forwardVerdict(now, route, p, service, candidates)
	verdict.Forward.OnlyLimits = onlyLimits
	return verdict
}

// retryOpening decides about an opening that every candidate so far has rejected.
func (d *Director) retryOpening(now time.Time, route Route, p Packet, f *Forward) Verdict {
	if f.Final {
		d.handOvers.recordRefused(p.Destination, f.RejectedBy)
		return resetVerdict(p, ReasonSaturated)
	}
	if f.NoRoom {
		return d.retryElsewhere(now, route, p, f)
	}
	verdict := d.place(now, route, p, f.RejectedBy)
	switch {
	case verdict.Action == ActReset:
		return verdict
	case verdict.Action == ActForward:
		verdict.Forward.RejectedBy = f.RejectedBy
		verdict.Forward.Overloaded = f.Overloaded
		return verdict
	case f.Overloaded:
		return d.placeOnLeastLoaded(now, route, p)
	}
	return d.queueOpening(now, p, f.Datagram)
}

// retryElsewhere decides about an opening that an agent has rejected for lack of room. It tries the other agents, and then the one with
// the shortest queue of those that only their pace holds back. Few agents are tried: the list of those that have rejected the opening is
// bounded, and its caller waits.
func (d *Director) retryElsewhere(now time.Time, route Route, p Packet, f *Forward) Verdict {
	d.Agents.recordNoRoom(f.RejectedBy)
	if len(f.RejectedBy)+candidateCount <= maxAgentsPerMessage {
		verdict := d.place(now, route, p, f.RejectedBy)
		if verdict.Action == ActForward {
			verdict.Forward.Least, verdict.Forward.LeastLatency = f.Least, f.LeastLatency
			verdict.Forward.NoRoom = true
			verdict.Forward.Overloaded = f.Overloaded
			verdict.Forward.RejectedBy = f.RejectedBy
			return verdict
		}
	}
	if !f.Least.IsSet() {
		return d.placeOnLeastLoaded(now, route, p)
	}
	d.hints.Put(now, p.CallerFlow(), f.Least)
	verdict := d.forwardVerdict(now, route, p, route.ServiceFor(p.CallerFlow()), Chain{f.Least})
	verdict.Forward.Final = true
	verdict.Forward.OnlyLimits = true
	return verdict
}

// placeOnLeastLoaded forwards an opening to the least loaded agent alone, which admits, queues or refuses it.
func (d *Director) placeOnLeastLoaded(now time.Time, route Route, p Packet) Verdict {
	flow := p.CallerFlow()
	service := route.ServiceFor(flow)
	least, ok := d.Agents.leastLoaded(now, service)
	if !ok {
		return resetVerdict(p, ReasonNoAgent)
	}
	d.hints.Put(now, flow, least)
	verdict := d.forwardVerdict(now, route, p, service, Chain{least})
	verdict.Forward.Final = true
	return verdict
}

// queueOpening queues an opening until an agent accepts it.
func (d *Director) queueOpening(now time.Time, p Packet, datagram []byte) Verdict {
	flow := p.CallerFlow()
	if len(d.queuedOpenings) >= maxQueuedOpenings {
		return resetVerdict(p, ReasonNoAgent)
	}
	d.queuedOpenings[flow] = queuedOpening{datagram: slices.Clone(datagram), packet: p, since: now.Add(-p.OpeningAge)}
	return Verdict{Flow: flow, Reason: ReasonQueued}
}
