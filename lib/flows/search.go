package flows

import (
	"slices"
	"time"
)

const (
	// maxChainLength is the longest chain of agents in a search. A longer one delays the answer of its last agent by as
	// many hops.
	maxChainLength = 8
	// maxFanOut is the largest number of agents that a packet is sent to at once when chains have lost it.
	maxFanOut = 64
)

// flowSearch is the state of the search for the agent that holds a flow.
type flowSearch struct {
	asked      []Endpoint // agents that the last packet was sent to
	fanOuts    int        // number of fan-outs, which rotate over the services
	fannedOut  bool       // the last packet was sent along several chains at once
	rejectedBy []Endpoint // agents that do not hold the flow
	sentAt     time.Time  // when a packet was last sent; zero when none was
}

// pendingReset is a flow that no known agent holds and that is reset once a fresh list of members confirms it.
type pendingReset struct {
	listed    bool      // the list of members has confirmed it, but it is not known whether other balancers hear some agents
	requestID string    // ID of the request in the flow's packet; empty when it could not be read
	seq       uint32    // sequence number of the reset
	since     time.Time // when the reset began to wait for a list of members
}

// searchOwner sends a packet to agents that may hold its flow. When an earlier packet got no result in time, an agent
// on its list has probably lost it, and this one is sent to the agents of a service, up to maxFanOut, at once.
func (d *Director) searchOwner(now time.Time, route Route, p Packet) Verdict {
	search := d.searchFor(now, p.CallerFlow())
	timedOut := !search.sentAt.IsZero() && now.Sub(search.sentAt) > searchTimeout
	if !timedOut {
		return d.tryNext(now, route, p, search)
	}
	flow := p.CallerFlow()
	services := d.searchOrder(flow.Service, route.ServiceFor(flow))
	for range services {
		service := services[search.fanOuts%len(services)] // rotate, since all agents of one service may be silent
		search.fanOuts++
		responsive, silent := d.holders(now, service, flow, search.rejectedBy)
		agents := append(responsive, silent...)
		if len(agents) == 0 {
			continue
		}
		search.fannedOut = true
		return d.searchVerdict(now, route, p, service, search, chains(agents[:min(len(agents), maxFanOut)], 1))
	}
	return d.awaitMembers(now, p, search)
}

// tryNext sends a packet to responsive agents that may hold its flow: first along one chain of those that are first in
// hash order, as new flows are placed on them, then along as many chains as it takes to reach all others. Silent agents
// would probably lose the packet, so they are tried only when every responsive one has rejected it.
func (d *Director) tryNext(now time.Time, route Route, p Packet, search *flowSearch) Verdict {
	flow := p.CallerFlow()
	service := route.ServiceFor(flow)
	silentService, silent := service, []Endpoint(nil)
	for _, service := range d.searchOrder(flow.Service, service) {
		responsive, silentAgents := d.holders(now, service, flow, search.rejectedBy)
		if len(responsive) > 0 {
			lists := chains(responsive, maxChainLength)
			if len(search.rejectedBy) == 0 {
				lists = lists[:1]
			}
			search.fannedOut = len(lists) > 1
			return d.searchVerdict(now, route, p, service, search, lists)
		}
		if len(silent) == 0 && len(silentAgents) > 0 {
			silentService, silent = service, silentAgents
		}
	}
	if len(silent) > 0 {
		search.fannedOut = true
		return d.searchVerdict(now, route, p, silentService, search, chains(silent[:min(len(silent), maxFanOut)], 1))
	}
	return d.awaitMembers(now, p, search)
}

// searchVerdict returns the verdict to forward a packet along chains of agents, one of which may hold its flow and is to say so.
func (d *Director) searchVerdict(now time.Time, route Route, p Packet, service NameHash, search *flowSearch, chains []Chain) Verdict {
	search.sentAt = now
	search.asked = slices.Concat(chains...)
	verdict := d.forwardVerdict(now, route, p, service, chains...)
	verdict.Forward.Searched = true
	return verdict
}

// chains splits agents into chains of at most the given length.
func chains(agents []Endpoint, length int) []Chain {
	var all []Chain
	for chain := range slices.Chunk(agents, length) {
		all = append(all, chain)
	}
	return all
}

// awaitMembers requests a fresh list of members, after which a flow that no known agent holds is reset.
func (d *Director) awaitMembers(now time.Time, p Packet, search *flowSearch) Verdict {
	flow := p.CallerFlow()
	if balancer, ok := d.relayToHolder(now, p, search.rejectedBy); ok {
		return relayVerdict(p, balancer)
	}
	if len(search.rejectedBy) == 0 || p.Flags.Has(FlagReset) || d.config.Policy.WithoutProofs {
		return Verdict{Flow: flow, Reason: ReasonNoAgent, RequestID: p.RequestID}
	}
	if _, pending := d.pendingResets[flow]; !pending && len(d.pendingResets) < searchCapacity {
		d.pendingResets[flow] = pendingReset{requestID: p.RequestID, seq: p.Ack, since: now}
	}
	return Verdict{Action: ActRefreshMembers, Flow: flow, Reason: ReasonPendingReset, RequestID: p.RequestID}
}

// searchFor returns the state of the search for a flow, which it creates when there is none.
func (d *Director) searchFor(now time.Time, flow Flow) *flowSearch {
	search, ok := d.searches.Get(now, flow)
	if !ok {
		search = &flowSearch{}
		d.searches.Put(now, flow, search)
	}
	return search
}

// ResolvePendingResets returns resets of the flows that no agent can hold; the agents on a fresh list of members must have
// been added before. The list was requested from the store at requestedAt, so flows that began to wait for a list later are
// skipped. Flows that an agent may hold which is silent here wait until all other balancers have been asked about it; Tick
// returns their resets.
func (d *Director) ResolvePendingResets(now, requestedAt time.Time) []Verdict {
	return d.resolveResets(now, func(pending pendingReset) bool { return !pending.since.After(requestedAt) })
}

// resolveResets decides about the matching pending resets.
func (d *Director) resolveResets(now time.Time, matches func(pendingReset) bool) []Verdict {
	var verdicts []Verdict
	for flow, pending := range d.pendingResets {
		if !matches(pending) {
			continue
		}
		switch d.endOf(now, flow) {
		case endUnproved:
			delete(d.pendingResets, flow)
		case endAwaited:
			pending.listed = true
			d.pendingResets[flow] = pending
		case endProved:
			delete(d.pendingResets, flow)
			verdicts = append(verdicts, Verdict{Action: ActReset, Flow: flow, Reason: ReasonOwnerEnded, RequestID: pending.requestID, Seq: pending.seq})
		}
	}
	slices.SortFunc(verdicts, func(a, b Verdict) int { return a.Flow.Compare(b.Flow) })
	return verdicts
}

// possibleOwners returns the agents other than those in rejectedBy that may hold a flow whose address has a route.
func (d *Director) possibleOwners(now time.Time, flow Flow, rejectedBy []Endpoint) []Endpoint {
	var owners []Endpoint
	route := d.routes.ByAddress[flow.Service]
	for _, service := range d.searchOrder(flow.Service, route.ServiceFor(flow)) {
		responsive, silent := d.holders(now, service, flow, rejectedBy)
		for _, agent := range append(responsive, silent...) {
			if !slices.Contains(owners, agent) {
				owners = append(owners, agent)
			}
		}
	}
	return owners
}

// holders returns the agents of a service, except those in rejectedBy, that may hold a flow: the responsive ones and the
// silent ones. Of a service that the flow's address is not known to have been routed to, these are only the agents that
// hold flows of the address or don't know it.
func (d *Director) holders(now time.Time, service NameHash, flow Flow, rejectedBy []Endpoint) (responsive, silent []Endpoint) {
	responsive, silent = d.Agents.holders(now, service, flow, rejectedBy)
	if slices.Contains(d.servicesByAddress[flow.Service], service) {
		return responsive, silent
	}
	unrelated := func(agent Endpoint) bool { return !d.Agents.mayHold(agent, flow.Service) }
	return slices.DeleteFunc(responsive, unrelated), slices.DeleteFunc(silent, unrelated)
}

// searchOrder returns the services whose agents may hold flows of an address: the given one first, then those that the
// address is known to have been routed to, then all others that agents report, since the address may have been routed to
// any of them before this balancer started.
func (d *Director) searchOrder(address Endpoint, first NameHash) []NameHash {
	services := []NameHash{first}
	for _, known := range [][]NameHash{d.servicesByAddress[address], d.Agents.services()} {
		for _, service := range known {
			if !slices.Contains(services, service) {
				services = append(services, service)
			}
		}
	}
	return services
}

// HasPendingResets reports whether resets of flows wait for a fresh list of members.
func (d *Director) HasPendingResets() bool {
	for _, pending := range d.pendingResets {
		if !pending.listed {
			return true
		}
	}
	return false
}
