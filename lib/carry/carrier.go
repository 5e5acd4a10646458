package carry

import (
	"slices"
	"time"
)

const (
	deliveryCount = 1 << 10 // deliveries whose return can be recognised
	heldCapacity  = 1 << 14 // flows
	// acquaintance is how long an agent tells a balancer that has sent it something of a changed state.
	acquaintance = 10 * time.Minute
	// interest is how long an agent keeps reporting its load to a balancer that has sent it something.
	interest = 2 * time.Second
	// openingLimit is how long a flow that was taken counts as work before its first request.
	openingLimit = 1500 * time.Millisecond
	// paceWeight is the weight of a new duration in the mean duration of requests.
	paceWeight = 0.1
)

// A CarryAction tells an agent what to do with a packet.
type CarryAction int

const (
	// CarryNothing drops the packet.
	CarryNothing CarryAction = iota
	// CarryDeliver gives the packet to the backend server with the given echo.
	CarryDeliver
	// CarryMessage sends the message to another process.
	CarryMessage
	// CarryReset resets the flow.
	CarryReset
)

// A CarryVerdict is the decision about one packet at an agent.
type CarryVerdict struct {
	Action  CarryAction
	Echo    uint32
	Flow    Flow
	Forward Forward // without its datagram
	Kind    MessageKind
	Reason  Reason
	Seq     uint32
	To      Endpoint
}

// ReasonNotHeld means that the backend server does not hold or take the flow.
const ReasonNotHeld Reason = "notHeld"

// A CarrierConfig holds what a Carrier needs.
type CarrierConfig struct {
	FirstEcho    uint32 // random, so that packets of an earlier process are not taken for those of this one
	FlowLifetime time.Duration
	Self         Endpoint
	Server       *Server
	Service      ServiceID
	Zone         ServiceID
}

type delivery struct {
	echo    uint32
	forward Forward
}

// held is a flow that the backend server holds or may hold.
type held struct {
	ack         uint32 // the last one of the caller
	balancer    Endpoint
	busy        bool
	established bool // the backend server has gone on after its handshake
	since       time.Time
}

// A Carrier decides for one agent what happens to packets of flows.
type Carrier struct {
	balancers  map[Endpoint]time.Time // last message of each
	busy       int
	config     CarrierConfig
	deliveries []delivery
	flows      *Cache[Flow, *held]
	nextEcho   uint32
	pace       time.Duration // mean duration of requests; zero when none has ended
}

// NewCarrier returns a carrier without flows.
func NewCarrier(config CarrierConfig) *Carrier {
	return &Carrier{
		balancers:  map[Endpoint]time.Time{},
		config:     config,
		deliveries: make([]delivery, deliveryCount),
		flows:      NewCache[Flow, *held](heldCapacity, config.FlowLifetime),
		nextEcho:   config.FirstEcho,
	}
}

// Forwarded decides about a packet that a balancer or another agent has sent.
func (c *Carrier) Forwarded(now time.Time, f *Forward, p Packet) CarryVerdict {
	c.balancers[f.Origin] = now
	if f.Service != c.config.Service {
		return c.pass(f, p)
	}
	if p.Opens() {
		return c.open(now, f, p)
	}
	c.follow(now, f, p)
	return c.deliver(f, p)
}

// Bounced decides about a packet that the backend server has returned. A flow that it has held before and holds
// no longer has ended, since flows never move.
func (c *Carrier) Bounced(now time.Time, p Packet) CarryVerdict {
	flow := p.FromCaller()
	slot := &c.deliveries[p.Echo%deliveryCount]
	if slot.echo != p.Echo || slot.forward.Origin == (Endpoint{}) {
		return CarryVerdict{Flow: flow, Reason: ReasonNotHeld}
	}
	f := slot.forward
	*slot = delivery{}
	known, ok := c.flows.Get(now, flow)
	if ok && !p.Opens() {
		c.drop(flow, known)
		if known.established {
			return CarryVerdict{Action: CarryReset, Flow: flow, Reason: ReasonOwnerEnded, Seq: p.Ack}
		}
	}
	if ok && p.Opens() && !known.established {
		c.drop(flow, known)
		f.Full = true
	}
	return c.pass(&f, p)
}

// Refused decides about a packet whose delivery failed because the backend server's port is closed.
func (c *Carrier) Refused(now time.Time, p Packet, echo uint32) CarryVerdict {
	p.Echo = echo
	return c.Bounced(now, p)
}

// FromServer records a packet that the backend server sends to a caller, and returns the balancer that should be
// told that the flow is here.
func (c *Carrier) FromServer(now time.Time, p Packet) (balancer Endpoint, tell bool) {
	flow := p.FromServer()
	known, ok := c.flows.Get(now, flow)
	if !ok {
		if p.Flags.Has(FlagReset) || p.Flags.Has(FlagFin) {
			return Endpoint{}, false
		}
		known = &held{since: now}
		if !c.flows.Put(now, flow, known) {
			return Endpoint{}, false
		}
	}
	if p.Length > 0 && known.busy {
		c.finish(now, known)
	}
	if !p.Flags.Has(FlagSyn) {
		known.established = true
	}
	if p.Flags.Has(FlagReset) || p.Flags.Has(FlagFin) {
		c.drop(flow, known)
		return Endpoint{}, false
	}
	balancer, known.balancer = known.balancer, Endpoint{}
	return balancer, balancer.Known()
}

// Greeted records that a balancer wants reports.
func (c *Carrier) Greeted(now time.Time, balancer Endpoint) { c.balancers[balancer] = now }

// Report returns what the agent tells balancers now.
func (c *Carrier) Report(now time.Time) Report {
	return Report{
		Busy:    c.busy,
		Flows:   c.flows.Len(),
		Service: c.config.Service,
		Slots:   c.config.Server.Slots(),
		State:   c.config.Server.State(now),
		Warming: c.config.Server.Warming(now),
		Zone:    c.config.Zone,
	}
}

// Balancers returns the balancers that want reports of the load, or all that want to hear of a changed state.
func (c *Carrier) Balancers(now time.Time, changed bool) []Endpoint {
	var interested []Endpoint
	for balancer, heard := range c.balancers {
		silent := now.Sub(heard)
		if silent > acquaintance {
			delete(c.balancers, balancer)
			continue
		}
		if changed || silent <= interest {
			interested = append(interested, balancer)
		}
	}
	slices.SortFunc(interested, Endpoint.Compare)
	return interested
}

// Busy returns the number of requests in progress.
func (c *Carrier) Busy() int { return c.busy }

// Flows returns the number of flows that the backend server may hold.
func (c *Carrier) Flows() int { return c.flows.Len() }

// Sweep forgets what has expired.
func (c *Carrier) Sweep(now time.Time) {
	c.flows.Sweep(now)
	c.busy = 0
	c.flows.Each(func(_ Flow, known *held) {
		if known.busy && !known.established && now.Sub(known.since) > openingLimit {
			known.busy = false
		}
		if known.busy {
			c.busy++
		}
	})
}

// open takes a new flow, or passes it on when the backend server takes none or is too busy to serve it in time.
func (c *Carrier) open(now time.Time, f *Forward, p Packet) CarryVerdict {
	if c.config.Server.State(now) != StateReady {
		return c.pass(f, p)
	}
	flow := p.FromCaller()
	known, repeated := c.flows.Get(now, flow)
	if !repeated {
		if !c.admits(f) {
			f.Full = true
			return c.pass(f, p)
		}
		known = &held{busy: true, since: now}
		if !c.flows.Put(now, flow, known) {
			f.Full = true
			return c.pass(f, p)
		}
		c.busy++
	}
	if len(f.Asked) > 0 {
		known.balancer = f.Origin
	}
	return c.deliver(f, p)
}

// admits reports whether a new flow should be served here: at once if a slot is free, else within its aim when no
// other agent is left to ask, and as the last resort within its timeout.
func (c *Carrier) admits(f *Forward) bool {
	slots := c.config.Server.Slots()
	if c.busy < slots {
		return true
	}
	if len(f.Next) > 0 {
		return false
	}
	wait := c.pace * time.Duration(c.busy+1) / time.Duration(slots)
	if f.Urgent {
		return wait < f.Timeout
	}
	return wait < f.Aim
}

// follow records a packet of an open flow on its way to the backend server.
func (c *Carrier) follow(now time.Time, f *Forward, p Packet) {
	known, ok := c.flows.Get(now, p.FromCaller())
	if !ok {
		if p.Flags.Has(FlagReset) {
			return
		}
		// The agent may have restarted; whether the flow is here shows in what the backend server does.
		known = &held{since: now}
		if !c.flows.Put(now, p.FromCaller(), known) {
			return
		}
	}
	known.ack = p.Ack
	if len(f.Asked) > 0 || len(f.Next) > 0 {
		known.balancer = f.Origin
	}
	if p.Length > 0 && !known.busy {
		known.busy = true
		known.since = now
		c.busy++
	}
}

func (c *Carrier) deliver(f *Forward, p Packet) CarryVerdict {
	c.nextEcho++
	if c.nextEcho == 0 {
		c.nextEcho++
	}
	kept := *f
	kept.Datagram = nil
	c.deliveries[c.nextEcho%deliveryCount] = delivery{echo: c.nextEcho, forward: kept}
	return CarryVerdict{Action: CarryDeliver, Echo: c.nextEcho, Flow: p.FromCaller()}
}

// pass sends a packet to the next agent on its list, or back to its balancer when there is none.
func (c *Carrier) pass(f *Forward, p Packet) CarryVerdict {
	verdict := CarryVerdict{Action: CarryMessage, Flow: p.FromCaller(), Forward: *f, Kind: KindReturn, Reason: ReasonNotHeld, To: f.Origin}
	verdict.Forward.Asked = append(slices.Clone(f.Asked), c.config.Self)
	if len(f.Next) > 0 {
		verdict.Kind = KindForward
		verdict.To = f.Next[0]
		verdict.Forward.Next = f.Next[1:]
	}
	return verdict
}

// finish records that the response to a request has begun.
func (c *Carrier) finish(now time.Time, known *held) {
	known.busy = false
	c.busy = max(0, c.busy-1)
	took := now.Sub(known.since)
	if c.pace == 0 {
		c.pace = took
	}
	c.pace += time.Duration(float64(took-c.pace) * paceWeight)
}

func (c *Carrier) drop(flow Flow, known *held) {
	c.flows.Delete(flow)
	if known.busy {
		c.busy = max(0, c.busy-1)
	}
}
