package carry

import (
	"slices"
	"time"
)

// A search is what is known of a flow whose owner is not.
type search struct {
	began  time.Time  // of the last round
	fanned bool       // the last round asked all agents at once
	no     []Endpoint // agents that do not hold the flow
	round  int        // of asking all agents of a service at once
}

// An ending is a flow that no known agent holds.
type ending struct {
	request string
	seq     uint32
	since   time.Time
}

// search looks for the agent that holds the flow of a packet. When an earlier round has gone unanswered, an agent
// on its list has swallowed the packet, and all that may hold the flow are asked at once.
func (d *Director) search(now time.Time, route Route, p Packet) Verdict {
	known := d.searchOf(now, p.FromCaller())
	unanswered := !known.began.IsZero() && now.Sub(known.began) > roundLimit
	if !unanswered {
		return d.ask(now, route, p, known)
	}
	flow := p.FromCaller()
	services := d.servicesOf(flow.Service, route.Service(flow))
	for range services {
		known.round++
		service := services[known.round%len(services)] // in turn, since one of them may be silent for long
		answering, silent := d.Agents.holders(now, service, flow, known.no)
		all := append(answering, silent...)
		if len(all) == 0 {
			continue
		}
		known.began, known.fanned = now, true
		return d.forward(now, route, p, service, all[:min(len(all), maxListed)], nil)
	}
	return d.prove(now, p, known)
}

// ask offers a packet to the agents that may hold its flow, one after the other. Those that are silent are asked
// only once all others have said no, since they would swallow the packet.
func (d *Director) ask(now time.Time, route Route, p Packet, known *search) Verdict {
	flow := p.FromCaller()
	service := route.Service(flow)
	silentOf, silent := service, []Endpoint(nil)
	for _, service := range d.servicesOf(flow.Service, service) {
		answering, quiet := d.Agents.holders(now, service, flow, known.no)
		if len(answering) > 0 {
			known.began, known.fanned = now, false
			list := answering[:min(len(answering), maxListed)]
			return d.forward(now, route, p, service, list[:1], list[1:])
		}
		if len(silent) == 0 && len(quiet) > 0 {
			silentOf, silent = service, quiet
		}
	}
	if len(silent) > 0 {
		known.began, known.fanned = now, true
		return d.forward(now, route, p, silentOf, silent[:min(len(silent), maxListed)], nil)
	}
	return d.prove(now, p, known)
}

// prove asks for a fresh list of members before a flow that no known agent holds is ended.
func (d *Director) prove(now time.Time, p Packet, known *search) Verdict {
	flow := p.FromCaller()
	if len(known.no) == 0 || p.Flags.Has(FlagReset) || d.config.Policy.WithoutProofs {
		return Verdict{Flow: flow, Reason: ReasonNoAgent, Request: p.Request}
	}
	if _, asked := d.proofs[flow]; !asked && len(d.proofs) < searchCapacity {
		d.proofs[flow] = ending{request: p.Request, seq: p.Ack, since: now}
	}
	return Verdict{Action: ActProve, Flow: flow, Reason: ReasonProving, Request: p.Request}
}

func (d *Director) searchOf(now time.Time, flow Flow) *search {
	known, ok := d.searches.Get(now, flow)
	if !ok {
		known = &search{}
		d.searches.Put(now, flow, known)
	}
	return known
}

// Listed takes a list of members that was read from the store after asked, and ends the flows that are proved
// to have ended: no agent on it, nor any other that is known, holds them.
func (d *Director) Listed(now, asked time.Time) []Verdict {
	var verdicts []Verdict
	for flow, end := range d.proofs {
		if end.since.After(asked) {
			continue
		}
		delete(d.proofs, flow)
		known, ok := d.searches.Get(now, flow)
		if !ok {
			continue
		}
		if d.mayBeHeld(now, flow, known.no) {
			continue
		}
		verdicts = append(verdicts, Verdict{Action: ActReset, Flow: flow, Reason: ReasonOwnerEnded, Request: end.request, Seq: end.seq})
	}
	slices.SortFunc(verdicts, func(a, b Verdict) int { return a.Flow.Compare(b.Flow) })
	return verdicts
}

// mayBeHeld reports whether an agent that has not said no may hold a flow.
func (d *Director) mayBeHeld(now time.Time, flow Flow, no []Endpoint) bool {
	route, ok := d.routes.ByAddress[flow.Service]
	if !ok {
		return true
	}
	for _, service := range d.servicesOf(flow.Service, route.Service(flow)) {
		answering, silent := d.Agents.holders(now, service, flow, no)
		if len(answering)+len(silent) > 0 {
			return true
		}
	}
	return false
}

// servicesOf returns the services to which an address has ever sent flows, the given one first.
func (d *Director) servicesOf(address Endpoint, first ServiceID) []ServiceID {
	services := []ServiceID{first}
	for _, service := range d.served[address] {
		if service != first {
			services = append(services, service)
		}
	}
	return services
}

// Proving reports whether flows wait for a list of members.
func (d *Director) Proving() bool { return len(d.proofs) > 0 }
