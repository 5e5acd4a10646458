package steer

import (
	"math"
	"net/netip"
	"time"

	"github.com/cyclamendock/cyclamendock/lib/wire"
)

// ClosedLoad is the load of an agent that accepts no new flows.
const ClosedLoad uint32 = math.MaxUint32

const (
	// maxHops is the number of hops after which the receiving agent accepts or rejects the flow itself.
	maxHops = 8
	// forwardTimeout is the age of a forward after which the first agent accepts a flow that the caller still tries
	// to open.
	forwardTimeout = 700 * time.Millisecond
	// recordLifetime is how long an agent keeps its decision about a new flow.
	recordLifetime = 15 * time.Second
)

// Action is what an agent does with a datagram that opens a flow.
type Action int

const (
	// ActionForward forwards the datagram to another agent.
	ActionForward Action = iota + 1
	// ActionReject rejects the flow because no agent accepts it.
	ActionReject
	// ActionAccept accepts the flow and delivers the datagram to the local QUIC endpoint.
	ActionAccept
)

// String returns the name of the action in metrics.
func (a Action) String() string {
	switch a {
	case ActionForward:
		return "pass"
	case ActionReject:
		return "refuse"
	default:
		return "take"
	}
}

// FlowKey identifies a new flow.
type FlowKey struct {
	Caller       netip.AddrPort
	ConnectionID string // destination connection ID of the caller's first packet
	Service      uint16
}

// Load holds the loads that an agent's decision about a new flow depends on, in parts per million of capacity.
type Load struct {
	Mean uint32 // mean load of the service's agents
	Self uint32 // load of this agent, or ClosedLoad
}

// Outcome is the decision about one datagram.
type Outcome struct {
	Action Action
	To     netip.AddrPort // receiver of a forwarded datagram
}

// Policy selects how new flows are distributed over the candidates.
type Policy int

const (
	// CompareMean accepts at the first candidate whose load is at most the mean, or else at the least loaded one.
	CompareMean Policy = iota
	// CompareAll accepts at the least loaded candidate.
	CompareAll
	// FirstBelowLimit accepts at the first candidate that is not closed.
	FirstBelowLimit
	// HashOnly accepts at the first candidate even if it is closed.
	HashOnly
)

type flowState int

const (
	flowQueried   flowState = iota // another agent asked whether this one owns the flow; it does not
	flowAccepted                   // this agent owns the flow
	flowForwarded                  // the flow was forwarded to another agent
	flowRejected                   // no agent accepted the flow
)

// record is an agent's decision about a new flow.
type record struct {
	decidedAt time.Time
	expiresAt time.Time
	forward   wire.Forward   // routing fields as forwarded, without the datagram
	peer      netip.AddrPort // receiver of a forwarded flow, or sender of an owner query
	selfLoad  uint32         // load of this agent when it forwarded the flow
	state     flowState
}

// PlacerConfig holds the settings of a Placer.
type PlacerConfig struct {
	Capacity int // maximum number of records
	Policy   Policy
	Self     netip.AddrPort // address of this agent
}

// Placer decides for one agent whether it accepts, forwards or rejects new flows.
type Placer struct {
	config  PlacerConfig
	order   []decidedFlow // decisions, oldest first; only the last one of a flow has a record
	records map[FlowKey]*record
}

// decidedFlow names a decision about a flow.
type decidedFlow struct {
	key      FlowKey
	decision *record
}

// NewPlacer returns a placer without records.
func NewPlacer(config PlacerConfig) *Placer {
	return &Placer{config: config, records: map[FlowKey]*record{}}
}

// Place decides about a datagram from the given sender and updates the routing fields of the forward.
func (p *Placer) Place(now time.Time, key FlowKey, sender netip.AddrPort, load Load, f *wire.Forward) Outcome {
	p.evictExpired(now)
	f.Hops++
	if known := p.records[key]; known != nil && known.state != flowQueried {
		return p.applyRecord(now, key, known, sender, load, f)
	}
	switch f.Phase {
	case wire.PhaseOwnerQuery:
		return p.replyNotOwner(now, key, sender, f)
	case wire.PhaseAssign:
		return p.acceptUnlessClosed(now, key, load)
	case wire.PhaseOffer:
		if f.PreviousOwner.IsValid() && f.PreviousOwner != p.config.Self {
			f.Phase = wire.PhaseOwnerQuery
			return Outcome{Action: ActionForward, To: f.PreviousOwner}
		}
	}
	return p.evaluateOffer(now, key, load, f)
}

// Owns reports whether this agent has accepted the flow.
func (p *Placer) Owns(key FlowKey) bool {
	known := p.records[key]
	return known != nil && known.state == flowAccepted
}

// Len returns the number of records.
func (p *Placer) Len() int { return len(p.records) }

// applyRecord repeats an earlier decision for a retransmitted or further datagram of the flow. A flow that was
// forwarded may be decided anew.
func (p *Placer) applyRecord(
	now time.Time, key FlowKey, known *record, sender netip.AddrPort, load Load, f *wire.Forward,
) Outcome {
	switch known.state {
	case flowAccepted:
		return Outcome{Action: ActionAccept}
	case flowRejected:
		return Outcome{Action: ActionReject}
	}
	if f.Phase == wire.PhaseAssign {
		return p.acceptUnlessClosed(now, key, load)
	}
	if f.Hops > maxHops {
		return p.acceptUnlessClosed(now, key, load)
	}
	if offersCrossed(known, sender, f) {
		return p.breakTie(now, key, known, load, f)
	}
	if forwardTimedOut(now, known, f) && load.Self != ClosedLoad {
		return p.acceptUnlessClosed(now, key, load)
	}
	hops, datagram := f.Hops, f.Datagram
	*f = known.forward
	f.Hops, f.Datagram = hops, datagram
	return Outcome{Action: ActionForward, To: known.peer}
}

// breakTie decides between two agents that have forwarded the same flow to each other.
func (p *Placer) breakTie(now time.Time, key FlowKey, known *record, load Load, f *wire.Forward) Outcome {
	peerLoad := ClosedLoad
	if f.Best == known.peer {
		peerLoad = f.BestLoad
	}
	if known.selfLoad == ClosedLoad && peerLoad == ClosedLoad {
		return p.store(now, key, record{state: flowRejected}, Outcome{Action: ActionReject})
	}
	if ranksBefore(known.selfLoad, p.config.Self, peerLoad, known.peer) {
		return p.acceptUnlessClosed(now, key, load)
	}
	f.Phase = wire.PhaseAssign
	return p.forwardTo(now, key, known.peer, Load{Mean: load.Mean, Self: known.selfLoad}, f)
}

// replyNotOwner replies to an owner query that this agent does not own the flow and records the querying agent.
func (p *Placer) replyNotOwner(now time.Time, key FlowKey, sender netip.AddrPort, f *wire.Forward) Outcome {
	f.Phase = wire.PhaseOwnerReply
	routing := copyRouting(f)
	routing.Phase = wire.PhaseOffer
	p.store(now, key, record{forward: routing, peer: sender, state: flowQueried}, Outcome{})
	return Outcome{Action: ActionForward, To: sender}
}

// acceptUnlessClosed accepts the flow, or rejects it when this agent has closed. HashOnly accepts in either case.
func (p *Placer) acceptUnlessClosed(now time.Time, key FlowKey, load Load) Outcome {
	if load.Self == ClosedLoad && p.config.Policy != HashOnly {
		return p.store(now, key, record{state: flowRejected}, Outcome{Action: ActionReject})
	}
	return p.store(now, key, record{state: flowAccepted}, Outcome{Action: ActionAccept})
}

// evaluateOffer compares this agent with the least loaded agent that the flow has been offered to before.
func (p *Placer) evaluateOffer(now time.Time, key FlowKey, load Load, f *wire.Forward) Outcome {
	// The agent that queried this one decides about the flow, so a balancer's datagram is sent on to it.
	if queried := p.records[key]; queried != nil && isFirstHop(f) {
		f.Phase = wire.PhaseOwnerReply
		return Outcome{Action: ActionForward, To: queried.peer}
	}
	f.Phase = wire.PhaseOffer
	f.PreviousOwner = netip.AddrPort{} // already queried; later candidates must not query it again
	if p.acceptsImmediately(load) {
		return p.acceptUnlessClosed(now, key, load)
	}
	best, bestLoad := f.Best, f.BestLoad
	if load.Self != ClosedLoad && (!best.IsValid() || ranksBefore(load.Self, p.config.Self, bestLoad, best)) {
		best, bestLoad = p.config.Self, load.Self
	}
	f.Best, f.BestLoad = best, bestLoad
	f.Candidates = withoutAgent(f.Candidates, p.config.Self)
	if len(f.Candidates) > 0 {
		return p.forwardTo(now, key, f.Candidates[0], load, f)
	}
	switch {
	case !best.IsValid():
		return p.store(now, key, record{state: flowRejected}, Outcome{Action: ActionReject})
	case best == p.config.Self:
		return p.acceptUnlessClosed(now, key, load)
	}
	f.Phase = wire.PhaseAssign
	return p.forwardTo(now, key, best, load, f)
}

func (p *Placer) acceptsImmediately(load Load) bool {
	switch p.config.Policy {
	case CompareMean:
		return load.Self != ClosedLoad && load.Self <= load.Mean
	case FirstBelowLimit:
		return load.Self != ClosedLoad
	case HashOnly:
		return true
	default:
		return false
	}
}

func (p *Placer) forwardTo(now time.Time, key FlowKey, to netip.AddrPort, load Load, f *wire.Forward) Outcome {
	if f.Hops > maxHops {
		return p.acceptUnlessClosed(now, key, load)
	}
	forwarded := record{forward: copyRouting(f), peer: to, selfLoad: load.Self, state: flowForwarded}
	return p.store(now, key, forwarded, Outcome{Action: ActionForward, To: to})
}

func (p *Placer) store(now time.Time, key FlowKey, decision record, outcome Outcome) Outcome {
	decision.decidedAt = now
	decision.expiresAt = now.Add(recordLifetime)
	if p.records[key] == nil {
		p.evictForCapacity()
	}
	p.order = append(p.order, decidedFlow{key: key, decision: &decision})
	p.records[key] = &decision
	return outcome
}

func (p *Placer) evictForCapacity() {
	for len(p.records) >= p.config.Capacity && len(p.order) > 0 {
		p.evictOldest()
	}
}

// evictOldest removes the oldest decision, and the record of its flow unless that holds a later one.
func (p *Placer) evictOldest() {
	oldest := p.order[0]
	if p.records[oldest.key] == oldest.decision {
		delete(p.records, oldest.key)
	}
	p.order = p.order[1:]
}

func (p *Placer) evictExpired(now time.Time) {
	for len(p.order) > 0 && !now.Before(p.order[0].decision.expiresAt) {
		p.evictOldest()
	}
}

// ranksBefore orders agents by load and then by address, so that two agents always agree on the order.
func ranksBefore(load uint32, address netip.AddrPort, otherLoad uint32, other netip.AddrPort) bool {
	if load != otherLoad {
		return load < otherLoad
	}
	return address.Compare(other) < 0
}

// withoutAgent returns the candidates except one agent, so that no agent is offered the same flow twice.
func withoutAgent(candidates []netip.AddrPort, agent netip.AddrPort) []netip.AddrPort {
	remaining := make([]netip.AddrPort, 0, len(candidates))
	for _, candidate := range candidates {
		if candidate != agent {
			remaining = append(remaining, candidate)
		}
	}
	return remaining
}

// copyRouting returns a copy of the forward without its datagram.
func copyRouting(f *wire.Forward) wire.Forward {
	routing := *f
	routing.Candidates = append([]netip.AddrPort(nil), f.Candidates...)
	routing.Datagram = nil
	return routing
}

// isFirstHop reports whether the datagram came from a balancer rather than from another agent.
func isFirstHop(f *wire.Forward) bool { return f.Hops == 1 }

// forwardTimedOut reports whether the caller still tries to open a flow after forwardTimeout, in which case the agent
// that the flow was forwarded to has probably failed.
func forwardTimedOut(now time.Time, known *record, f *wire.Forward) bool {
	return isFirstHop(f) && now.Sub(known.decidedAt) >= forwardTimeout
}

// offersCrossed reports whether an offer comes from the agent to which this one has offered the same flow.
func offersCrossed(known *record, sender netip.AddrPort, f *wire.Forward) bool {
	return sender == known.peer && f.Phase == wire.PhaseOffer && known.forward.Phase == wire.PhaseOffer
}
