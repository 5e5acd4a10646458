package carry

import (
	"slices"
	"time"
)

// Tick returns the decisions about waiting flows that can be offered to an agent now, the newest first, or that have
// waited too long.
func (d *Director) Tick(now time.Time) []Verdict {
	var verdicts []Verdict
	closed := map[ServiceID]bool{} // services without an agent that takes new flows
	for _, flow := range d.waitingFlows() {
		wait := d.waits[flow]
		route, ok := d.routes.ByAddress[flow.Service]
		if !ok {
			delete(d.waits, flow)
			continue
		}
		verdict := Verdict{}
		if service := route.Service(flow); !closed[service] {
			verdict = d.place(now, route, wait.packet, nil)
			closed[service] = verdict.Action != ActForward
		}
		if verdict.Action != ActForward {
			if now.Sub(wait.since) < d.config.HoldLimit {
				continue
			}
			verdict = reset(wait.packet, ReasonNoAgent)
		}
		verdict.Forward.Datagram = wait.datagram
		delete(d.waits, flow)
		verdicts = append(verdicts, verdict)
	}
	return verdicts
}

// waitingFlows returns the waiting flows, the newest first.
func (d *Director) waitingFlows() []Flow {
	flows := make([]Flow, 0, len(d.waits))
	for flow := range d.waits {
		flows = append(flows, flow)
	}
	slices.SortFunc(flows, func(x, y Flow) int {
		if order := d.waits[y].since.Compare(d.waits[x].since); order != 0 {
			return order
		}
		return x.Compare(y)
	})
	return flows
}

// Waiting returns the number of new flows that wait for an agent.
func (d *Director) Waiting() int { return len(d.waits) }

// Sweep forgets what has expired.
func (d *Director) Sweep(now time.Time) {
	d.hints.Sweep(now)
	d.removed.Sweep(now)
	d.searches.Sweep(now)
	for address := range d.served {
		if _, routed := d.routes.ByAddress[address]; !routed && !d.removed.Has(now, address) {
			delete(d.served, address)
		}
	}
	for flow, end := range d.proofs {
		if now.Sub(end.since) > searchMemory {
			delete(d.proofs, flow)
		}
	}
}

// open decides where a new flow goes; a repeated request goes where the first went while that agent answers.
func (d *Director) open(now time.Time, route Route, p Packet, datagram []byte) Verdict {
	flow := p.FromCaller()
	if _, held := d.waits[flow]; held {
		return Verdict{Flow: flow, Reason: ReasonHeld}
	}
	if owner, ok := d.hint(now, flow); ok && !d.Agents.Suspect(now, owner) && d.Agents.State(owner) == StateReady {
		return d.forward(now, route, p, route.Service(flow), []Endpoint{owner}, nil)
	}
	verdict := d.place(now, route, p, nil)
	if verdict.Action == ActForward {
		return verdict
	}
	return d.hold(now, p, datagram)
}

// place offers a new flow to the best candidates.
func (d *Director) place(now time.Time, route Route, p Packet, skip []Endpoint) Verdict {
	flow := p.FromCaller()
	service := route.Service(flow)
	list := d.Agents.candidates(now, service, flow, skip)
	if !d.config.Policy.OrderOnly {
		d.Agents.sortByCost(list, d.config.Zone)
	}
	if len(list) == 0 {
		return Verdict{Flow: flow, Reason: ReasonNoAgent}
	}
	d.hints.Put(now, flow, list[0])
	return d.forward(now, route, p, service, list[:1], list[1:])
}

// openElsewhere decides about a new flow that every candidate so far has refused.
func (d *Director) openElsewhere(now time.Time, route Route, p Packet, f *Forward) Verdict {
	if f.Last {
		return reset(p, ReasonSaturated)
	}
	verdict := d.place(now, route, p, f.Asked)
	switch {
	case verdict.Action == ActForward:
		verdict.Forward.Asked = f.Asked
		verdict.Forward.Full = f.Full
		return verdict
	case f.Full:
		return d.lastResort(now, route, p)
	}
	return d.hold(now, p, f.Datagram)
}

// lastResort gives a new flow to the least loaded agent, which takes it, lets it wait or refuses it.
func (d *Director) lastResort(now time.Time, route Route, p Packet) Verdict {
	flow := p.FromCaller()
	service := route.Service(flow)
	least, ok := d.Agents.leastLoaded(now, service)
	if !ok {
		return reset(p, ReasonNoAgent)
	}
	d.hints.Put(now, flow, least)
	verdict := d.forward(now, route, p, service, []Endpoint{least}, nil)
	verdict.Forward.Last = true
	return verdict
}

// hold keeps a new flow until an agent takes it.
func (d *Director) hold(now time.Time, p Packet, datagram []byte) Verdict {
	flow := p.FromCaller()
	if len(d.waits) >= waitCapacity {
		return reset(p, ReasonNoAgent)
	}
	d.waits[flow] = waiting{datagram: slices.Clone(datagram), packet: p, since: now.Add(-p.Age)}
	return Verdict{Flow: flow, Reason: ReasonHeld}
}
