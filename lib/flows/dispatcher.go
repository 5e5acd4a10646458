package flows

import (
	"slices"
	"time"

	"github.com/cyclamendock/cyclamendock/lib/fifo"
	"github.com/cyclamendock/cyclamendock/lib/pace"
	"github.com/cyclamendock/cyclamendock/lib/zones"
)

const (
	closedCapacity = 1 << 13 // flows
	// closedLifetime is how long a flow that the backend server has closed may still have packets under way.
	closedLifetime = 5 * time.Second
	// deliveryTableSize is the number of recent deliveries that a bounced packet can be matched to.
	deliveryTableSize = 1 << 10
	flowCapacity      = 1 << 14 // flows
	// maxOpeningWait is how long a new flow may stay queued; its caller gives up a little later.
	maxOpeningWait = 1200 * time.Millisecond
	queueCapacity  = 256 // new flows and requests
	// serviceTimeWeight is the weight of a new sample in the moving average of the service time.
	serviceTimeWeight = 0.1
)

// AgentAction tells an agent what to do with a packet.
type AgentAction int

const (
	// AgentDrop drops the packet.
	AgentDrop AgentAction = iota
	// AgentDeliver delivers the packet to the backend server with AgentVerdict.Echo set in it.
	AgentDeliver
	// AgentForwardOrReturn sends AgentVerdict.Forward to AgentVerdict.To, which is the next agent or the packet's balancer.
	AgentForwardOrReturn
	// AgentSendOwner sends an Owner message for the flow to the balancer AgentVerdict.To.
	AgentSendOwner
	// AgentReset resets the flow towards its caller.
	AgentReset
)

// AgentVerdict is an agent's decision about one packet.
type AgentVerdict struct {
	Action    AgentAction
	Datagram  []byte // datagram of a queued packet; nil when the verdict is about the packet just handled
	Echo      uint32 // echo to deliver the packet with
	Flow      Flow
	Forward   Forward     // message to send, without its datagram
	Kind      MessageKind // kind of the message to send
	Reason    Reason
	RequestID string   // ID of the flow's request in progress; empty when it could not be read
	Seq       uint32   // sequence number of the reset
	To        Endpoint // recipient of the message
}

// ReasonNotHeld means that the backend server does not hold the flow or does not accept it.
const ReasonNotHeld Reason = "notHeld"

// DispatcherConfig configures a Dispatcher.
type DispatcherConfig struct {
	Admission    Admission     // how to decide when not all requests can be served in time
	FirstEcho    uint32        // random, so that bounced packets of an earlier process match no delivery of this one
	FlowLifetime time.Duration // time after which an idle flow is forgotten
	KnownFrom    time.Time     // from when this process knows all flows of its backend server; zero if it does from the start
	Pacing       pace.Settings
	Self         Endpoint // agent's address for messages between processes
	Server       *Server
	Service      NameHash
	Zone         NameHash
}

// delivery is a packet that was delivered to the backend server and may bounce.
type delivery struct {
	echo    uint32
	forward Forward // without its datagram
}

// flowState is the state of a flow that the backend server holds or may hold.
type flowState struct {
	closedByCaller bool          // the caller has closed or reset it, and the backend server has sent no data since
	dataSeen       bool          // the caller has sent data; nextSeq is valid
	deadline       time.Time     // when the caller of the request in progress gives up
	established    bool          // the backend server has sent a packet after its handshake
	inFlight       int           // requests in progress when the current one arrived, including itself
	inProgress     bool          // a request, or an opening whose first request is expected, counts as busy
	lastAck        uint32        // caller's last acknowledgement number
	nextSeq        uint32        // sequence number after the caller's last data
	openedAt       time.Time     // when the flow was admitted or first seen
	ownerRecipient Endpoint      // balancer to send an Owner message to; zero when none is due
	queueTime      time.Duration // time that the request in progress, or the flow's opening, was queued
	requestID      string        // ID of the request in progress; empty when it could not be read
	requestSeen    bool          // the request in progress has arrived, not only the flow's opening
	startedAt      time.Time     // when the request in progress, or the flow's opening, arrived
	tentative      bool          // unconfirmed: the backend server has sent nothing for the flow yet
}

// Dispatcher decides for one agent whether packets are delivered, queued, forwarded, returned or reset.
type Dispatcher struct {
	admissions      []admission            // new flows whose first request is expected, oldest first
	busy            int                    // requests in progress
	callerClosed    int                    // flows that their callers have closed
	closed          *Cache[Flow, struct{}] // flows that the backend server has closed a short time ago
	coldQueue       *WaitQueue             // new flows that wait until the limit for cold backend servers permits them
	config          DispatcherConfig
	demand          demand     // requests and new flows by route, with adaptive admission
	deliveries      []delivery // ring, indexed by echo
	ended           []Ended    // requests that ended since the last TakeEnded
	flows           *Cache[Flow, *flowState]
	halfOpen        int // openings whose callers have given up, as of the last Sweep
	held            heldAddresses
	listing         Listing
	meanHandshake   time.Duration // moving average of the time from a flow's admission to its first request; zero until known
	meanServiceTime time.Duration // moving average of the time in service; zero until a request has been answered
	nextEcho        uint32
	overload        overload
	pacer           *pace.Pacer
	queue           *WaitQueue
	refusals        map[pace.Refusal]int // openings rejected since the last TakeRefusals
	restored        restoredFlows        // see Restore
	restoredUnseen  int                  // restored flows that are not in flows, as of the last Sweep
	service         *fifo.Queue[Flow]    // requests that the backend server has not answered
	subscribers     *Subscribers
	zone            zones.Own
}

// NewDispatcher returns a dispatcher without flows.
func NewDispatcher(config DispatcherConfig) *Dispatcher {
	d := &Dispatcher{
		closed:      NewCache[Flow, struct{}](closedCapacity, closedLifetime),
		coldQueue:   NewWaitQueue(queueCapacity),
		config:      config,
		demand:      demand{},
		deliveries:  make([]delivery, deliveryTableSize),
		flows:       NewCache[Flow, *flowState](flowCapacity, config.FlowLifetime),
		held:        heldAddresses{knownFrom: config.KnownFrom, lastSeen: map[Endpoint]time.Time{}, lifetime: config.FlowLifetime},
		nextEcho:    config.FirstEcho,
		pacer:       pace.New(config.Pacing),
		queue:       NewWaitQueue(queueCapacity),
		refusals:    map[pace.Refusal]int{},
		service:     fifo.NewQueue[Flow](),
		subscribers: NewSubscribers(),
	}
	if !config.KnownFrom.IsZero() {
		d.pacer.BlockCold(config.KnownFrom.Add(-config.FlowLifetime))
	}
	return d
}

// HandleForward decides about a packet that a balancer or another agent has forwarded.
func (d *Dispatcher) HandleForward(now time.Time, f *Forward, p Packet) AgentVerdict {
	d.subscribers.RecordMessage(now, f.Origin, p.IsOpening())
	d.pacer.RecordContact(now)
	if f.Service != d.config.Service {
		return d.forwardOrReturn(f, p)
	}
	if p.IsOpening() {
		return d.handleOpening(now, f, p)
	}
	if d.config.Server.Closed() {
		return d.handleNotHeld(now, f, p)
	}
	if d.queueRequest(now, f, p) {
		return AgentVerdict{Flow: p.CallerFlow(), Reason: ReasonQueued}
	}
	d.trackPacket(now, f, p)
	return d.deliver(f, p)
}

// HandleBounced decides about a packet that the backend server has returned because it doesn't hold or accept the flow.
func (d *Dispatcher) HandleBounced(now time.Time, p Packet) AgentVerdict {
	flow := p.CallerFlow()
	entry := &d.deliveries[p.Echo%deliveryTableSize]
	if entry.echo != p.Echo || entry.forward.Origin == (Endpoint{}) {
		return AgentVerdict{Flow: flow, Reason: ReasonNotHeld}
	}
	f := entry.forward
	*entry = delivery{}
	if !p.IsOpening() {
		return d.handleNotHeld(now, &f, p)
	}
	if state, ok := d.flows.Get(now, flow); ok && !state.established {
		d.removeFlow(now, flow, state)
		d.recordResponse(now, pace.Response{Failed: true})
		f.Overloaded = true
	}
	return d.forwardOrReturn(&f, p)
}

// handleNotHeld resets an open flow that the backend server held and no longer holds: flows never move, so it has
// ended. A flow that it never held may be at another agent, so its packet is forwarded or returned.
func (d *Dispatcher) handleNotHeld(now time.Time, f *Forward, p Packet) AgentVerdict {
	flow := p.CallerFlow()
	if state, ok := d.flows.Get(now, flow); ok {
		verdict := AgentVerdict{Action: AgentReset, Flow: flow, Reason: ReasonOwnerEnded, RequestID: state.requestID, Seq: p.Ack}
		d.recordEnded(now, flow, state, EndingLost)
		d.removeFlow(now, flow, state)
		if state.established {
			return verdict
		}
	}
	return d.forwardOrReturn(f, p)
}

// HandleRefused decides about a packet whose delivery failed because the backend server's port is closed.
func (d *Dispatcher) HandleRefused(now time.Time, p Packet, echo uint32) AgentVerdict {
	p.Echo = echo
	return d.HandleBounced(now, p)
}

// ResetServerFlows returns resets for all flows that the ended backend server held. Callers that only wait for a
// response send no packet that could trigger a reset and would otherwise run into their timeouts.
func (d *Dispatcher) ResetServerFlows(now time.Time) []AgentVerdict {
	var verdicts []AgentVerdict
	d.flows.Each(func(flow Flow, state *flowState) {
		if !state.established {
			return
		}
		verdicts = append(verdicts, AgentVerdict{
			Action: AgentReset, Flow: flow, Reason: ReasonOwnerEnded, RequestID: state.requestID, Seq: state.lastAck,
		})
		d.recordEnded(now, flow, state, EndingLost)
		d.clearRequest(now, flow, state)
	})
	slices.SortFunc(verdicts, func(a, b AgentVerdict) int { return a.Flow.Compare(b.Flow) })
	for _, verdict := range verdicts {
		d.flows.Delete(verdict.Flow)
	}
	d.held.clear()
	d.service.Clear()
	return verdicts
}

// HandleServerPacket records a packet that the backend server sends to a caller, and returns the balancer to send an
// Owner message to, if any.
func (d *Dispatcher) HandleServerPacket(now time.Time, p Packet) (balancer Endpoint, notify bool) {
	flow := p.ServerFlow()
	d.held.record(now, flow.Service)
	if p.Flags.Has(FlagReset) || p.Flags.Has(FlagFin) {
		delete(d.restored.acks, flow)
		d.closed.Put(now, flow, struct{}{})
	}
	state, ok := d.flows.Get(now, flow)
	if !ok {
		if d.closed.Has(now, flow) {
			return Endpoint{}, false
		}
		state = &flowState{openedAt: now}
		if !d.flows.Put(now, flow, state) {
			return Endpoint{}, false
		}
	}
	state.tentative = false
	if p.Length > 0 {
		d.markClosed(state, false)
	}
	if p.Length > 0 && state.inProgress && state.requestSeen {
		d.recordAnswered(now, flow, state, p.Failed)
	}
	if !p.Flags.Has(FlagSyn) {
		state.established = true
	}
	if p.Flags.Has(FlagReset) || p.Flags.Has(FlagFin) {
		d.removeFlow(now, flow, state)
		return Endpoint{}, false
	}
	balancer, state.ownerRecipient = state.ownerRecipient, Endpoint{}
	return balancer, balancer.IsSet()
}

// HandleHello records a hello of a balancer, which subscribes it to reports.
func (d *Dispatcher) HandleHello(now time.Time, balancer Endpoint) {
	d.subscribers.RecordMessage(now, balancer, false)
	d.pacer.RecordContact(now)
}

// DueReports returns the balancers to which a report is due, which are all subscribers when the state has changed.
func (d *Dispatcher) DueReports(now time.Time, changed bool) []DueReport {
	return d.subscribers.DueReports(now, changed)
}

// TakeAddressAdded reports whether the backend server has got its first flow of a service address since the last call.
// Balancers should be told at once: they don't look for flows of other addresses here.
func (d *Dispatcher) TakeAddressAdded() bool { return d.held.takeAdded() }

// Report returns the agent's current report; DueReport.Interval replaces its Interval for each balancer.
func (d *Dispatcher) Report(now time.Time) Report {
	addresses, known := d.held.list(now)
	room := d.Room(now)
	return Report{
		Addresses:       addresses,
		AddressesKnown:  known,
		Busy:            d.busy + d.Waiting(),
		Flows:           d.flows.Len(),
		Interval:        slowReportInterval,
		LimitsKnown:     d.LimitsKnown(),
		Listing:         d.listing,
		MeanServiceTime: d.meanServiceTime,
		Room:            min(room, maxStatedRoom),
		RoomLimited:     room <= maxStatedRoom,
		Service:         d.config.Service,
		Slots:           d.config.Server.Slots(),
		State:           d.config.Server.State(now),
		Warming:         d.config.Server.Warming(now),
		Zone:            d.config.Zone,
		ZoneEvacuated:   d.zone.Evacuated(),
	}
}

// SetListing sets what the agent's reports say about its entry in the list of members.
func (d *Dispatcher) SetListing(listing Listing) { d.listing = listing }

// SetZone records what a balancer states about this agent's availability zone, and reports whether that has changed whether the agent
// accepts new flows.
func (d *Dispatcher) SetZone(message Zones) bool {
	before := d.zone.Evacuated()
	return d.zone.Apply(message.Version, message.Evacuated) && before != message.Evacuated
}

// ZoneEvacuated reports whether this agent accepts no new flows, since its availability zone is evacuated.
func (d *Dispatcher) ZoneEvacuated() bool { return d.zone.Evacuated() }

// Busy returns the number of requests in progress.
func (d *Dispatcher) Busy() int { return d.busy }

// Flows returns the number of flows that the backend server holds or may hold.
func (d *Dispatcher) Flows() int { return d.flows.Len() }

// Sweep removes idle flows and ends requests whose timeout has passed.
func (d *Dispatcher) Sweep(now time.Time) {
	d.closed.Sweep(now)
	d.flows.Sweep(now)
	d.held.sweep(now)
	d.countEnded(now)
	d.countRestored(now)
	timedOut := 0
	d.busy = 0
	d.flows.Each(func(flow Flow, state *flowState) {
		if state.inProgress && now.After(state.deadline) {
			d.recordEnded(now, flow, state, EndingTimedOut)
			if state.requestSeen {
				timedOut++
			}
			state.endRequest()
		}
		if state.inProgress {
			d.busy++
		}
	})
	d.service.Retain(now, func(flow Flow) bool {
		state, ok := d.flows.Peek(now, flow)
		return ok && state.inProgress && state.requestSeen
	})
	for range timedOut {
		d.recordResponse(now, pace.Response{Failed: true})
	}
}

// Waiting returns the number of queued new flows and requests.
func (d *Dispatcher) Waiting() int { return d.queue.Len() + d.coldQueue.Len() }

// deliver assigns the packet an echo, by which HandleBounced recognises it if the backend server returns it.
func (d *Dispatcher) deliver(f *Forward, p Packet) AgentVerdict {
	d.nextEcho++
	if d.nextEcho == 0 {
		d.nextEcho++ // an echo of zero means that none is set
	}
	forward := *f
	forward.Datagram = nil
	d.deliveries[d.nextEcho%deliveryTableSize] = delivery{echo: d.nextEcho, forward: forward}
	return AgentVerdict{Action: AgentDeliver, Echo: d.nextEcho, Flow: p.CallerFlow()}
}

// forwardOrReturn forwards a packet to the next agent on its list, or returns it to its balancer when the list is empty.
func (d *Dispatcher) forwardOrReturn(f *Forward, p Packet) AgentVerdict {
	verdict := AgentVerdict{Action: AgentForwardOrReturn, Flow: p.CallerFlow(), Forward: *f, Kind: KindReturn, Reason: ReasonNotHeld, To: f.Origin}
	verdict.Forward.RejectedBy = append(slices.Clone(f.RejectedBy), d.config.Self)
	if len(f.Next) > 0 {
		verdict.Kind = KindForward
		verdict.To = f.Next[0]
		verdict.Forward.Next = f.Next[1:]
	}
	return verdict
}
