package carry

import (
	"slices"
	"time"
)

// A Reason tells why a packet was dropped, held or answered with a reset.
type Reason string

const (
	// ReasonAsked means that the agents that may hold the flow have been asked.
	ReasonAsked Reason = "asked"
	// ReasonHeld means that no agent takes new flows now and that one may soon.
	ReasonHeld Reason = "held"
	// ReasonNoAgent means that no agent takes new flows.
	ReasonNoAgent Reason = "noAgent"
	// ReasonNoConfig means that this balancer has no configuration yet.
	ReasonNoConfig Reason = "noConfig"
	// ReasonNoRoute means that the configuration has no route for the address.
	ReasonNoRoute Reason = "noRoute"
	// ReasonOwnerEnded means that the backend server that held the flow has ended.
	ReasonOwnerEnded Reason = "ownerEnded"
	// ReasonProving means that the end of the flow awaits a fresh list of members.
	ReasonProving Reason = "proving"
	// ReasonRouteRemoved means that a newer configuration has dropped the flow's route.
	ReasonRouteRemoved Reason = "routeRemoved"
	// ReasonSaturated means that every agent is too busy to serve the flow in time.
	ReasonSaturated Reason = "saturated"
)

// An Action tells a balancer what to do with a packet.
type Action int

const (
	// ActDrop does nothing.
	ActDrop Action = iota
	// ActForward sends the message to each of the agents.
	ActForward
	// ActProve does nothing until the store's list of members has been read.
	ActProve
	// ActReset resets the flow.
	ActReset
)

// A Verdict is the decision about one packet.
type Verdict struct {
	Action  Action
	Flow    Flow
	Forward Forward
	Opens   bool // the packet asks for a new flow
	Reason  Reason
	Request string // ID of the request in the packet, when it could be read
	Seq     uint32 // of the reset
	To      []Endpoint
}

const (
	hintCapacity   = 1 << 16 // flows
	searchCapacity = 1 << 12 // flows
	// searchMemory is how long the answers to a search are kept.
	searchMemory = 5 * time.Second
	// roundLimit is how long a round of a search may go unanswered before all agents are asked at once.
	roundLimit   = 150 * time.Millisecond
	waitCapacity = 512 // new flows
	// removedMemory is how many removed routes are remembered.
	removedMemory = 4096
)

// A DirectorConfig holds what a Director needs.
type DirectorConfig struct {
	FlowLifetime time.Duration // of an idle flow
	HoldLimit    time.Duration // that a new flow waits for an agent to take it
	LostAfter    time.Duration // of silence, after which an agent's flows have ended for their callers
	Policy       Policy
	Self         Endpoint // for messages between processes
	Zone         ServiceID
}

type waiting struct {
	datagram []byte
	packet   Packet
	since    time.Time
}

// A Director decides for one balancer where callers' packets go.
type Director struct {
	Agents *Agents

	config   DirectorConfig
	hints    *Cache[Flow, Endpoint]
	proofs   map[Flow]ending
	removed  *Cache[Endpoint, struct{}]
	routes   Routes
	searches *Cache[Flow, *search]
	served   map[Endpoint][]ServiceID // services that each address has ever had
	waits    map[Flow]waiting
}

// NewDirector returns a director without configuration and agents.
func NewDirector(config DirectorConfig) *Director {
	return &Director{
		Agents:   NewAgents(config.LostAfter),
		config:   config,
		hints:    NewCache[Flow, Endpoint](hintCapacity, config.FlowLifetime),
		proofs:   map[Flow]ending{},
		removed:  NewCache[Endpoint, struct{}](removedMemory, config.FlowLifetime),
		searches: NewCache[Flow, *search](searchCapacity, searchMemory),
		served:   map[Endpoint][]ServiceID{},
		waits:    map[Flow]waiting{},
	}
}

// Version returns the version of the configuration in force.
func (d *Director) Version() uint64 { return d.routes.Version }

// SetRoutes takes a newer configuration and reports whether it was one.
func (d *Director) SetRoutes(now time.Time, routes Routes) bool {
	if routes.Version <= d.routes.Version {
		return false
	}
	for address := range d.routes.ByAddress {
		if _, kept := routes.ByAddress[address]; !kept {
			d.removed.Put(now, address, struct{}{})
		}
	}
	for address, route := range routes.ByAddress {
		d.removed.Delete(address)
		for _, share := range route.Shares {
			if !slices.Contains(d.served[address], share.Service) {
				d.served[address] = append(d.served[address], share.Service)
			}
		}
	}
	d.routes = routes
	return true
}

// Ready reports whether this balancer can place flows.
func (d *Director) Ready() bool { return d.routes.Version > 0 && d.Agents.Heard() > 0 }

// Packet decides about a packet of a caller; datagram is copied when it has to wait.
func (d *Director) Packet(now time.Time, p Packet, datagram []byte) Verdict {
	flow := p.FromCaller()
	if d.routes.Version == 0 {
		return Verdict{Flow: flow, Reason: ReasonNoConfig}
	}
	route, ok := d.routes.ByAddress[flow.Service]
	if !ok {
		return d.unrouted(now, p)
	}
	if p.Opens() {
		return d.open(now, route, p, datagram)
	}
	if owner, service, ok := d.ownerOf(now, route, flow); ok {
		return d.forward(now, route, p, service, []Endpoint{owner}, nil)
	}
	return d.search(now, route, p)
}

// ownerOf returns the agent that is known to hold a flow, and its service, which may be one that the route had before.
func (d *Director) ownerOf(now time.Time, route Route, flow Flow) (Endpoint, ServiceID, bool) {
	owner, ok := d.hint(now, flow)
	if !ok || d.Agents.Lost(now, owner) {
		return Endpoint{}, 0, false
	}
	service, known := d.Agents.ServiceOf(owner)
	if !known {
		return owner, route.Service(flow), true
	}
	return owner, service, slices.Contains(d.servicesOf(flow.Service, route.Service(flow)), service)
}

// hint returns the agent that is remembered to hold a flow.
func (d *Director) hint(now time.Time, flow Flow) (Endpoint, bool) {
	if d.config.Policy.WithoutHints {
		return Endpoint{}, false
	}
	return d.hints.Get(now, flow)
}

// Returned decides about a packet that every agent on its list has refused.
func (d *Director) Returned(now time.Time, f *Forward, p Packet) Verdict {
	flow := p.FromCaller()
	route, ok := d.routes.ByAddress[flow.Service]
	if !ok {
		return d.unrouted(now, p)
	}
	if owner, ok := d.hint(now, flow); ok && slices.Contains(f.Asked, owner) {
		d.hints.Delete(flow)
	}
	if p.Opens() {
		return d.openElsewhere(now, route, p, f)
	}
	known := d.searchOf(now, flow)
	for _, agent := range f.Asked {
		if !slices.Contains(known.no, agent) && d.answersFor(agent, f.Service) {
			known.no = append(known.no, agent)
		}
	}
	if known.fanned && now.Sub(known.began) < roundLimit && d.mayBeHeld(now, flow, known.no) {
		return Verdict{Flow: flow, Reason: ReasonAsked}
	}
	return d.ask(now, route, p, known)
}

// answersFor reports whether an agent's no concerns the flow and not only a service that is not its own.
func (d *Director) answersFor(agent Endpoint, service ServiceID) bool {
	own, known := d.Agents.ServiceOf(agent)
	return !known || own == service
}

// Report takes an agent's report and reports whether its state has changed. What an agent answered before its service
// was known may have concerned another service only, so that it is asked again.
func (d *Director) Report(now time.Time, agent Endpoint, report Report) bool {
	before, known := d.Agents.ServiceOf(agent)
	changed := d.Agents.Report(now, agent, report)
	if known && before == report.Service {
		return changed
	}
	d.searches.Each(func(_ Flow, s *search) {
		s.no = slices.DeleteFunc(s.no, func(other Endpoint) bool { return other == agent })
	})
	return changed
}

// Owner records which agent holds a flow.
func (d *Director) Owner(now time.Time, flow Flow, owner Endpoint) {
	d.hints.Put(now, flow, owner)
	d.searches.Delete(flow)
	delete(d.proofs, flow)
}

// unrouted decides about a packet to an address without a route. An address that this balancer has never
// known may be one of a configuration that has not reached it, so that only removed routes end flows.
func (d *Director) unrouted(now time.Time, p Packet) Verdict {
	if _, gone := d.removed.Get(now, p.Destination); gone {
		return reset(p, ReasonRouteRemoved)
	}
	if p.Opens() {
		return reset(p, ReasonNoRoute)
	}
	return Verdict{Flow: p.FromCaller(), Reason: ReasonNoRoute}
}

func (d *Director) forward(now time.Time, route Route, p Packet, service ServiceID, to, next []Endpoint) Verdict {
	for _, agent := range to {
		d.Agents.Sent(now, agent, p.Opens())
	}
	return Verdict{
		Action: ActForward,
		Flow:   p.FromCaller(),
		Opens:  p.Opens(),
		Forward: Forward{
			Aim:     route.Aim,
			Next:    next,
			Origin:  d.config.Self,
			Service: service,
			Timeout: route.Timeout,
			Urgency: route.Urgency,
		},
		To: to,
	}
}

func reset(p Packet, reason Reason) Verdict {
	return Verdict{Action: ActReset, Flow: p.FromCaller(), Reason: reason, Request: p.Request, Seq: p.Ack}
}
