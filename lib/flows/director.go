package flows

import (
	"slices"
	"time"

	"github.com/cyclamendock/cyclamendock/lib/reach"
	"github.com/cyclamendock/cyclamendock/lib/subset"
)

// Reason tells why a packet was dropped, queued or answered with a reset.
type Reason string

const (
	// ReasonFannedOut means that other agents that were sent the packet at the same time may still hold the flow.
	ReasonFannedOut Reason = "fannedOut"
	// ReasonNoAgent means that no agent accepts new flows, or that none can be tried for an open flow.
	ReasonNoAgent Reason = "noAgent"
	// ReasonNoConfig means that this balancer has no configuration yet.
	ReasonNoConfig Reason = "noConfig"
	// ReasonNoRoute means that the configuration has no route for the address.
	ReasonNoRoute Reason = "noRoute"
	// ReasonOwnerEnded means that the backend server that held the flow has ended.
	ReasonOwnerEnded Reason = "ownerEnded"
	// ReasonPendingReset means that the flow is reset unless a fresh list of members names an agent that may hold it.
	ReasonPendingReset Reason = "pendingReset"
	// ReasonQueued means that the packet is queued until an agent or its backend server has capacity.
	ReasonQueued Reason = "queued"
	// ReasonRelayed means that another balancer hears an agent that may hold the flow.
	ReasonRelayed Reason = "relayed"
	// ReasonRouteRemoved means that a newer configuration has removed the flow's route.
	ReasonRouteRemoved Reason = "routeRemoved"
	// ReasonSaturated means that every agent is too busy to serve the flow in time.
	ReasonSaturated Reason = "saturated"
	// ReasonZoneEmptied means that all agents that could serve the flow are in evacuated availability zones.
	ReasonZoneEmptied Reason = "zoneEmptied"
)

// Action tells a balancer what to do with a packet.
type Action int

const (
	// ActDrop drops the packet.
	ActDrop Action = iota
	// ActForward sends Verdict.Forward along each chain in Verdict.Chains.
	ActForward
	// ActRelay sends the packet to the balancer Verdict.RelayTo, which hears an agent that may hold the flow.
	ActRelay
	// ActRefreshMembers drops the packet and reads the list of members from the store, to be followed by
	// Director.ResolvePendingResets.
	ActRefreshMembers
	// ActReset resets the flow towards its caller.
	ActReset
)

// Verdict is a director's decision about one packet.
type Verdict struct {
	Action    Action
	Awaited   []Endpoint // agents that may hold the flow and have not rejected the packet
	Chains    []Chain    // agents to send the message to
	Flow      Flow
	Forward   Forward // message to send
	IsOpening bool    // the packet opens a new flow
	Reason    Reason
	RelayTo   Endpoint
	RequestID string // ID of the request in the packet; empty when it could not be read
	Seq       uint32 // sequence number of the reset
}

// Chain is a list of agents that a message is sent along: each one that rejects its packet forwards it to the next.
type Chain []Endpoint

// Send calls send for each chain with the message for its first agent.
func (v *Verdict) Send(send func(forward *Forward, to Endpoint)) {
	for _, chain := range v.Chains {
		v.Forward.Next = chain[1:]
		send(&v.Forward, chain[0])
	}
}

const (
	hintCapacity      = 1 << 16 // flows
	maxQueuedOpenings = 512
	removedCapacity   = 4096    // addresses
	searchCapacity    = 1 << 12 // flows
	// searchLifetime is how long the state of a search is kept after its last packet.
	searchLifetime = 5 * time.Second
	// searchTimeout is how long a search may go without a result before all agents of a service are tried at once.
	searchTimeout = 150 * time.Millisecond
)

// DirectorConfig configures a Director.
type DirectorConfig struct {
	Admission    Admission     // how to decide when not all requests can be served in time
	FlowLifetime time.Duration // time after which an idle flow is forgotten
	LostAfter    time.Duration // silence after which an agent is lost, as callers have given up on its flows
	MaxQueueTime time.Duration // longest time that a new flow is queued until an agent accepts it
	Policy       Policy
	Self         Endpoint      // balancer's address for messages between processes
	Subset       subset.Config // agents of a service that new flows are placed on
	Zone         NameHash
}

// queuedOpening is an opening packet that waits until an agent accepts its flow.
type queuedOpening struct {
	datagram []byte
	packet   Packet
	since    time.Time // when the caller first tried to open the flow
}

// Director decides for one balancer where to send callers' packets.
type Director struct {
	Agents *Agents

	config            DirectorConfig
	handOvers         handOverQuotas
	hints             *Cache[Flow, Endpoint] // agent that holds each flow, as far as known
	lastTick          time.Time
	pendingResets     map[Flow]pendingReset
	queuedOpenings    map[Flow]queuedOpening
	reach             *reach.Asker[Endpoint]     // whether other balancers hear the agents that this one doesn't hear
	removedAddresses  *Cache[Endpoint, struct{}] // addresses whose route a newer configuration removed
	routes            Routes
	searches          *Cache[Flow, *flowSearch]
	servicesByAddress map[Endpoint][]NameHash // services that each address is or was routed to
}

// NewDirector returns a director without routes and agents.
func NewDirector(config DirectorConfig) *Director {
	agents := NewAgents(config.LostAfter)
	agents.subsets = newSubsets(config)
	return &Director{
		Agents:            agents,
		config:            config,
		handOvers:         handOverQuotas{},
		hints:             NewCache[Flow, Endpoint](hintCapacity, config.FlowLifetime),
		pendingResets:     map[Flow]pendingReset{},
		queuedOpenings:    map[Flow]queuedOpening{},
		reach:             reach.NewAsker(Endpoint.Compare),
		removedAddresses:  NewCache[Endpoint, struct{}](removedCapacity, config.FlowLifetime),
		searches:          NewCache[Flow, *flowSearch](searchCapacity, searchLifetime),
		servicesByAddress: map[Endpoint][]NameHash{},
	}
}

// Version returns the version of the current routes; zero when there are none yet.
func (d *Director) Version() uint64 { return d.routes.Version }

// SetRoutes applies routes that are newer than the current ones and reports whether they were.
func (d *Director) SetRoutes(now time.Time, routes Routes) bool {
	if routes.Version <= d.routes.Version {
		return false
	}
	for address := range d.routes.ByAddress {
		if _, kept := routes.ByAddress[address]; !kept {
			d.removedAddresses.Put(now, address, struct{}{})
		}
	}
	for address, route := range routes.ByAddress {
		d.removedAddresses.Delete(address)
		for _, share := range route.Shares {
			d.learnService(address, share.Service)
		}
	}
	d.changeLimits(routes)
	d.handOvers.retain(routes)
	d.routes = routes
	return true
}

// learnService records that an address is or was routed to a service.
func (d *Director) learnService(address Endpoint, service NameHash) {
	if !slices.Contains(d.servicesByAddress[address], service) {
		d.servicesByAddress[address] = append(d.servicesByAddress[address], service)
	}
}

// Ready reports whether this balancer has routes and has received a report of an agent.
func (d *Director) Ready() bool { return d.routes.Version > 0 && d.Agents.ReportedCount() > 0 }

// HandlePacket decides about a packet of a caller; datagram is copied when the packet is queued.
func (d *Director) HandlePacket(now time.Time, p Packet, datagram []byte) Verdict {
	flow := p.CallerFlow()
	switch {
	case d.routes.Version == 0 && p.IsOpening():
		return d.queueOpening(now, p, datagram)
	case d.routes.Version == 0:
		return Verdict{Flow: flow, Reason: ReasonNoConfig}
	}
	route, ok := d.routes.ByAddress[flow.Service]
	if !ok {
		return d.handleUnrouted(now, p)
	}
	if p.IsOpening() {
		return d.openFlow(now, route, p, datagram)
	}
	if owner, service, ok := d.lookupOwner(now, route, flow); ok {
		return d.forwardVerdict(now, route, p, service, Chain{owner})
	}
	if balancer, ok := d.relayToOwner(now, p); ok {
		return relayVerdict(p, balancer)
	}
	return d.searchOwner(now, route, p)
}

// Availability returns the availability of the service of a flow; it is zero when the flow has no route.
func (d *Director) Availability(now time.Time, flow Flow) Availability {
	route, ok := d.routes.ByAddress[flow.Service]
	if !ok {
		return Availability{}
	}
	return d.Agents.availability(now, route.ServiceFor(flow))
}

// lookupOwner returns the agent that holds a flow according to the hint cache, and the agent's service, which may be one
// that the route had earlier. It reports false when there is no usable hint.
func (d *Director) lookupOwner(now time.Time, route Route, flow Flow) (Endpoint, NameHash, bool) {
	owner, ok := d.lookupHint(now, flow)
	if !ok || d.Agents.Lost(now, owner) {
		return Endpoint{}, 0, false
	}
	service, reported := d.Agents.ServiceOf(owner)
	if !reported {
		return owner, route.ServiceFor(flow), true
	}
	return owner, service, slices.Contains(d.servicesByAddress[flow.Service], service)
}

// lookupHint returns the agent that holds a flow according to the hint cache.
func (d *Director) lookupHint(now time.Time, flow Flow) (Endpoint, bool) {
	if d.config.Policy.WithoutHints {
		return Endpoint{}, false
	}
	return d.hints.Get(now, flow)
}

// HandleReturn decides about a packet that every agent on its list has rejected.
func (d *Director) HandleReturn(now time.Time, f *Forward, p Packet) Verdict {
	flow := p.CallerFlow()
	p.Relayed = f.Relayed
	route, ok := d.routes.ByAddress[flow.Service]
	if !ok {
		return d.handleUnrouted(now, p)
	}
	owner, known := d.lookupHint(now, flow)
	if known && slices.Contains(f.RejectedBy, owner) {
		d.hints.Delete(flow)
		known = false
	}
	if p.IsOpening() {
		return d.retryOpening(now, route, p, f)
	}
	if known && !d.Agents.Lost(now, owner) {
		return Verdict{Flow: flow, Reason: ReasonFannedOut} // another chain has found the flow
	}
	search := d.searchFor(now, flow)
	for _, agent := range f.RejectedBy {
		if !slices.Contains(search.rejectedBy, agent) && d.mayServe(agent, f.Service) {
			search.rejectedBy = append(search.rejectedBy, agent)
		}
	}
	if search.fannedOut && now.Sub(search.sentAt) < searchTimeout {
		awaited := slices.DeleteFunc(d.possibleOwners(now, flow, search.rejectedBy), func(agent Endpoint) bool {
			return !slices.Contains(search.asked, agent)
		})
		if len(awaited) > 0 {
			return Verdict{Awaited: awaited, Flow: flow, Reason: ReasonFannedOut, RequestID: p.RequestID}
		}
	}
	return d.tryNext(now, route, p, search)
}

// mayServe reports whether an agent may belong to a service. A rejection by an agent of another service does not show
// that the agent lacks the flow.
func (d *Director) mayServe(agent Endpoint, service NameHash) bool {
	own, reported := d.Agents.ServiceOf(agent)
	return !reported || own == service
}

// RecordReport records an agent's report and reports whether the agent's state or service has changed. When its
// service was unknown or has changed, searches try the agent again, since it may have rejected packets because of the
// service.
func (d *Director) RecordReport(now time.Time, agent Endpoint, report Report) bool {
	d.reach.Forget(agent)
	previous, reported := d.Agents.ServiceOf(agent)
	changed := d.Agents.RecordReport(now, agent, report)
	if reported && previous == report.Service {
		return changed
	}
	d.searches.Each(func(_ Flow, search *flowSearch) {
		search.rejectedBy = slices.DeleteFunc(search.rejectedBy, func(other Endpoint) bool { return other == agent })
	})
	return changed
}

// RecordOwner records in the hint cache which agent holds a flow, and ends the search for it.
func (d *Director) RecordOwner(now time.Time, flow Flow, owner Endpoint) {
	d.hints.Put(now, flow, owner)
	if service, reported := d.Agents.ServiceOf(owner); reported {
		d.learnService(flow.Service, service)
	}
	d.searches.Delete(flow)
	delete(d.pendingResets, flow)
}

// handleUnrouted decides about a packet to an address without a route. Open flows are reset only when the route was
// removed: any other address may be routed by a newer configuration that this balancer has not received yet.
func (d *Director) handleUnrouted(now time.Time, p Packet) Verdict {
	if _, removed := d.removedAddresses.Get(now, p.Destination); removed {
		return resetVerdict(p, ReasonRouteRemoved)
	}
	if p.IsOpening() {
		return resetVerdict(p, ReasonNoRoute)
	}
	return Verdict{Flow: p.CallerFlow(), Reason: ReasonNoRoute}
}

// forwardVerdict returns the verdict to forward a packet along chains of agents at the same time.
func (d *Director) forwardVerdict(now time.Time, route Route, p Packet, service NameHash, chains ...Chain) Verdict {
	for _, chain := range chains {
		d.Agents.ExpectReport(now, chain[0], p.IsOpening())
	}
	return Verdict{
		Action: ActForward,
		Chains: chains,
		Flow:   p.CallerFlow(),
		Forward: Forward{
			LatencyTarget: route.LatencyTarget,
			Origin:        d.config.Self,
			Relayed:       p.Relayed,
			Service:       service,
			Timeout:       route.Timeout,
			Urgency:       route.Urgency,
		},
		IsOpening: p.IsOpening(),
	}
}

// resetVerdict returns the verdict to reset the flow of a packet.
func resetVerdict(p Packet, reason Reason) Verdict {
	return Verdict{Action: ActReset, Flow: p.CallerFlow(), Reason: reason, RequestID: p.RequestID, Seq: p.Ack}
}
