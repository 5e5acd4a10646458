package carry

import (
	"slices"
	"time"
)

const (
	deliveryCount = 1 << 10 // deliveries whose return can be recognised
	heldCapacity  = 1 << 14 // flows
	// openingLimit is how long a flow that was taken counts as work before its first request comes.
	openingLimit = 300 * time.Millisecond
	// paceWeight is the weight of a new duration in the mean duration of requests.
	paceWeight    = 0.1
	queueCapacity = 256 // new flows and requests
	// waitLimit is how long a new flow may wait; its caller gives up a little later.
	waitLimit = 1200 * time.Millisecond
)

// An AgentAction tells an agent what to do with a packet.
type AgentAction int

const (
	// AgentNothing drops the packet.
	AgentNothing AgentAction = iota
	// AgentDeliver gives the packet to the backend server with the given echo.
	AgentDeliver
	// AgentMessage sends the message to another process.
	AgentMessage
	// AgentOwn tells a balancer that the flow is here.
	AgentOwn
	// AgentReset resets the flow.
	AgentReset
)

// An AgentVerdict is the decision about one packet at an agent.
type AgentVerdict struct {
	Action   AgentAction
	Datagram []byte // of a flow that has waited
	Echo     uint32
	Flow     Flow
	Forward  Forward // without its datagram
	Kind     MessageKind
	Reason   Reason
	Request  string // ID of the request that the flow had in progress, when it could be read
	Seq      uint32
	To       Endpoint
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
	ack         uint32 // that the caller sent last
	ahead       int    // requests in progress when this one came, itself included
	balancer    Endpoint
	busy        bool
	established bool   // the backend server has gone on after its handshake
	next        uint32 // sequence number behind the caller's data so far
	request     string // ID of the request in progress, when it could be read
	requested   bool   // the request in progress has come; else only the flow that will bring it
	sent        bool   // the caller has sent data
	since       time.Time
	tentative   bool          // nothing has shown yet that the backend server holds it
	until       time.Time     // when the caller of the request in progress has given up
	waited      time.Duration // of the request in progress, or of the flow before it was let in
}

// A Carrier decides for one agent what happens to packets of flows.
type Carrier struct {
	subscribers *Subscribers
	busy        int
	config      CarrierConfig
	deliveries  []delivery
	ended       []Ended
	flows       *Cache[Flow, *held]
	nextEcho    uint32
	pace        time.Duration // mean work of a request; zero when none has ended
	queue       *WaitQueue
}

// NewCarrier returns a carrier without flows.
func NewCarrier(config CarrierConfig) *Carrier {
	return &Carrier{
		subscribers: NewSubscribers(),
		config:      config,
		deliveries:  make([]delivery, deliveryCount),
		flows:       NewCache[Flow, *held](heldCapacity, config.FlowLifetime),
		nextEcho:    config.FirstEcho,
		queue:       NewWaitQueue(queueCapacity),
	}
}

// Forwarded decides about a packet that a balancer or another agent has sent.
func (c *Carrier) Forwarded(now time.Time, f *Forward, p Packet) AgentVerdict {
	c.subscribers.Heard(now, f.Origin, p.Opens())
	if f.Service != c.config.Service {
		return c.pass(f, p)
	}
	if p.Opens() {
		return c.open(now, f, p)
	}
	if c.config.Server.Closed() {
		return c.lose(now, f, p)
	}
	if c.hold(now, f, p) {
		return AgentVerdict{Flow: p.FromCaller(), Reason: ReasonHeld}
	}
	c.follow(now, f, p)
	return c.deliver(f, p)
}

// Bounced decides about a packet that the backend server has returned. A flow that it has held before and holds
// no longer has ended, since flows never move.
func (c *Carrier) Bounced(now time.Time, p Packet) AgentVerdict {
	flow := p.FromCaller()
	slot := &c.deliveries[p.Echo%deliveryCount]
	if slot.echo != p.Echo || slot.forward.Origin == (Endpoint{}) {
		return AgentVerdict{Flow: flow, Reason: ReasonNotHeld}
	}
	f := slot.forward
	*slot = delivery{}
	if !p.Opens() {
		return c.lose(now, &f, p)
	}
	if known, ok := c.flows.Get(now, flow); ok && !known.established {
		c.drop(flow, known)
		f.Full = true
	}
	return c.pass(&f, p)
}

// lose decides about a packet of an open flow that the backend server does not hold: the flow has ended if it held it
// before, and may be elsewhere if it did not.
func (c *Carrier) lose(now time.Time, f *Forward, p Packet) AgentVerdict {
	flow := p.FromCaller()
	if known, ok := c.flows.Get(now, flow); ok {
		c.end(now, flow, known, EndingLost)
		c.drop(flow, known)
		if known.established {
			return AgentVerdict{Action: AgentReset, Flow: flow, Reason: ReasonOwnerEnded, Request: known.request, Seq: p.Ack}
		}
	}
	return c.pass(f, p)
}

// Refused decides about a packet whose delivery failed because the backend server's port is closed.
func (c *Carrier) Refused(now time.Time, p Packet, echo uint32) AgentVerdict {
	p.Echo = echo
	return c.Bounced(now, p)
}

// ServerEnded resets the flows that the backend server held, since it has ended. Their callers may have nothing left to
// send, so that they would hear of it only at their time limits.
func (c *Carrier) ServerEnded(now time.Time) []AgentVerdict {
	var verdicts []AgentVerdict
	c.flows.Each(func(flow Flow, known *held) {
		if !known.established {
			return
		}
		c.end(now, flow, known, EndingLost)
		c.idle(known)
		verdicts = append(verdicts, AgentVerdict{
			Action: AgentReset, Flow: flow, Reason: ReasonOwnerEnded, Request: known.request, Seq: known.ack,
		})
	})
	slices.SortFunc(verdicts, func(a, b AgentVerdict) int { return a.Flow.Compare(b.Flow) })
	for _, verdict := range verdicts {
		c.flows.Delete(verdict.Flow)
	}
	return verdicts
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
		known = &held{}
		if !c.flows.Put(now, flow, known) {
			return Endpoint{}, false
		}
	}
	known.tentative = false
	if p.Length > 0 && known.busy && known.requested {
		c.finish(now, flow, known)
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
func (c *Carrier) Greeted(now time.Time, balancer Endpoint) {
	c.subscribers.Heard(now, balancer, false)
}

// Due returns the balancers that should get a report now, or all when the state has changed.
func (c *Carrier) Due(now time.Time, changed bool) []Due { return c.subscribers.Due(now, changed) }

// Report returns what the agent tells balancers now.
func (c *Carrier) Report(now time.Time) Report {
	return Report{
		Busy:    c.busy + c.queue.Len(),
		Every:   reportRarely,
		Flows:   c.flows.Len(),
		Pace:    c.pace,
		Service: c.config.Service,
		Slots:   c.config.Server.Slots(),
		State:   c.config.Server.State(now),
		Warming: c.config.Server.Warming(now),
		Zone:    c.config.Zone,
	}
}

// Busy returns the number of requests in progress.
func (c *Carrier) Busy() int { return c.busy }

// Flows returns the number of flows that the backend server may hold.
func (c *Carrier) Flows() int { return c.flows.Len() }

// Sweep forgets what has expired.
func (c *Carrier) Sweep(now time.Time) {
	c.flows.Sweep(now)
	c.busy = 0
	c.flows.Each(func(flow Flow, known *held) {
		if known.busy && now.After(known.until) {
			c.end(now, flow, known, EndingTimedOut)
			known.busy = false
			known.requested = false
		}
		if known.busy {
			c.busy++
		}
	})
}

// open takes a new flow, passes it on, or lets it wait when the backend server is too busy.
func (c *Carrier) open(now time.Time, f *Forward, p Packet) AgentVerdict {
	if c.config.Server.State(now) != StateReady {
		return c.pass(f, p)
	}
	flow := p.FromCaller()
	if c.queue.find(flow) != nil {
		return AgentVerdict{Flow: flow, Reason: ReasonHeld}
	}
	if _, repeated := c.flows.Get(now, flow); repeated {
		return c.deliver(f, p)
	}
	if c.queue.Len() > 0 || !c.load().meets(f.Aim) {
		return c.wait(now, f, p)
	}
	known, taken := c.take(now, flow)
	if !taken {
		f.Full = true
		return c.pass(f, p)
	}
	if len(f.Asked) > 0 {
		known.balancer = f.Origin
	}
	return c.deliver(f, p)
}

// take makes room for a new flow and reports false when the agent holds too many.
func (c *Carrier) take(now time.Time, flow Flow) (*held, bool) {
	known := &held{}
	if !c.flows.Put(now, flow, known) {
		return nil, false
	}
	c.begin(now, known)
	return known, true
}

// wait passes a new flow on while other agents are left to ask; then it lets the flow wait here if it can still be
// served in time, or refuses it at once.
func (c *Carrier) wait(now time.Time, f *Forward, p Packet) AgentVerdict {
	f.Full = true
	if len(f.Next) > 0 {
		return c.pass(f, p)
	}
	load := c.load()
	load.Busy += c.queue.Len()
	if load.finish(f.Aim) > f.Timeout || !c.queue.add(newQueued(now, f, p, waitLimit)) {
		f.Last = true
		return c.pass(f, p)
	}
	return AgentVerdict{Action: AgentOwn, Flow: p.FromCaller(), Reason: ReasonHeld, To: f.Origin}
}

// Waiting returns the number of new flows and requests that wait.
func (c *Carrier) Waiting() int { return c.queue.Len() }

// load returns the work of the backend server without what waits at this agent.
func (c *Carrier) load() Report {
	return Report{Busy: c.busy, Pace: c.pace, Slots: c.config.Server.Slots()}
}

func (c *Carrier) deliver(f *Forward, p Packet) AgentVerdict {
	c.nextEcho++
	if c.nextEcho == 0 {
		c.nextEcho++
	}
	kept := *f
	kept.Datagram = nil
	c.deliveries[c.nextEcho%deliveryCount] = delivery{echo: c.nextEcho, forward: kept}
	return AgentVerdict{Action: AgentDeliver, Echo: c.nextEcho, Flow: p.FromCaller()}
}

// pass sends a packet to the next agent on its list, or back to its balancer when there is none.
func (c *Carrier) pass(f *Forward, p Packet) AgentVerdict {
	verdict := AgentVerdict{Action: AgentMessage, Flow: p.FromCaller(), Forward: *f, Kind: KindReturn, Reason: ReasonNotHeld, To: f.Origin}
	verdict.Forward.Asked = append(slices.Clone(f.Asked), c.config.Self)
	if len(f.Next) > 0 {
		verdict.Kind = KindForward
		verdict.To = f.Next[0]
		verdict.Forward.Next = f.Next[1:]
	}
	return verdict
}
