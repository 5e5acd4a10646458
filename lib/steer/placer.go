package steer

import (
	"math"
	"net/netip"
	"time"

	"github.com/cyclamendock/cyclamendock/lib/wire"
)

// Closed is the load of an agent that takes no new flow.
const Closed uint32 = math.MaxUint32

const (
	// maxHops is how often one datagram travels between agents before the agent that has it ends the search.
	maxHops = 8
	// passLimit is how long a flow that was passed on may stay unanswered before its first agent takes it back.
	passLimit = 700 * time.Millisecond
	// recordMemory is how long an agent remembers what became of a new flow.
	recordMemory = 15 * time.Second
)

// An Action tells the agent what to do with a datagram that opens a flow.
type Action int

const (
	// Pass sends the datagram to another agent.
	Pass Action = iota + 1
	// Refuse answers the caller that no agent takes the flow.
	Refuse
	// Take gives the datagram to the local QUIC endpoint.
	Take
)

// String returns the action's name as it appears in metrics.
func (a Action) String() string {
	switch a {
	case Pass:
		return "pass"
	case Refuse:
		return "refuse"
	default:
		return "take"
	}
}

// A Key names a new flow: its service, caller and first destination connection ID.
type Key struct {
	Caller  netip.AddrPort
	ID      string
	Service uint16
}

// A Load is what an agent knows when it decides about a new flow, in parts per million of capacity.
type Load struct {
	Mean uint32 // of the service
	Self uint32
}

// An Outcome is the decision about one datagram.
type Outcome struct {
	Action Action
	To     netip.AddrPort
}

// A Policy selects how new flows are spread over candidates.
type Policy int

const (
	// CompareMean compares two candidates unless the first is at or under the mean.
	CompareMean Policy = iota
	// CompareTwo always compares two candidates.
	CompareTwo
	// FirstBelowLimit takes at the first candidate that is not closed.
	FirstBelowLimit
	// HashOnly takes at the first candidate in any case.
	HashOnly
)

type fate int

const (
	fateAsked fate = iota
	fateMine
	fatePassed
	fateRefused
)

type record struct {
	decided time.Time
	expires time.Time
	fate    fate
	offer   wire.Forward // as it was passed on, without its datagram
	self    uint32
	to      netip.AddrPort
}

// A PlacerConfig holds what a Placer needs.
type PlacerConfig struct {
	Capacity int // records
	Policy   Policy
	Self     netip.AddrPort
}

// A Placer decides for one agent which new flows it takes, passes on or refuses.
type Placer struct {
	config  PlacerConfig
	order   []Key
	records map[Key]*record
}

// NewPlacer returns a placer that remembers nothing.
func NewPlacer(config PlacerConfig) *Placer {
	return &Placer{config: config, records: map[Key]*record{}}
}

// Place decides about a datagram that came from the given sender and updates its routing fields.
func (p *Placer) Place(now time.Time, key Key, sender netip.AddrPort, load Load, f *wire.Forward) Outcome {
	p.expire(now)
	f.Hops++
	if known := p.records[key]; known != nil && known.fate != fateAsked {
		return p.follow(now, key, known, sender, load, f)
	}
	switch f.Phase {
	case wire.PhaseAsk:
		return p.answer(now, key, sender, f)
	case wire.PhaseFinal:
		return p.settle(now, key, load)
	case wire.PhaseOffer:
		if f.Previous.IsValid() && f.Previous != p.config.Self {
			f.Phase = wire.PhaseAsk
			return Outcome{Action: Pass, To: f.Previous}
		}
	}
	return p.decide(now, key, load, f)
}

// Owned reports whether the agent has taken the flow.
func (p *Placer) Owned(key Key) bool {
	known := p.records[key]
	return known != nil && known.fate == fateMine
}

// Len returns the number of remembered flows.
func (p *Placer) Len() int { return len(p.records) }

// follow repeats an earlier decision for a retransmitted or second datagram.
func (p *Placer) follow(now time.Time, key Key, known *record, sender netip.AddrPort, load Load, f *wire.Forward) Outcome {
	switch known.fate {
	case fateMine:
		return Outcome{Action: Take}
	case fateRefused:
		return Outcome{Action: Refuse}
	}
	if f.Phase == wire.PhaseFinal {
		return p.settle(now, key, load)
	}
	if f.Hops > maxHops {
		return p.settle(now, key, load)
	}
	if crossed(known, sender, f) {
		return p.resolve(now, key, known, load, f)
	}
	if unanswered(now, known, f) && load.Self != Closed {
		return p.settle(now, key, load)
	}
	hops, datagram := f.Hops, f.Datagram
	*f = known.offer
	f.Hops, f.Datagram = hops, datagram
	return Outcome{Action: Pass, To: known.to}
}

// resolve breaks the tie between two agents that have passed the same flow to each other.
func (p *Placer) resolve(now time.Time, key Key, known *record, load Load, f *wire.Forward) Outcome {
	theirs := Closed
	if f.Best == known.to {
		theirs = f.BestLoad
	}
	if known.self == Closed && theirs == Closed {
		return p.remember(now, key, record{fate: fateRefused}, Outcome{Action: Refuse})
	}
	if precedes(known.self, p.config.Self, theirs, known.to) {
		return p.settle(now, key, load)
	}
	f.Phase = wire.PhaseFinal
	return p.pass(now, key, known.to, Load{Mean: load.Mean, Self: known.self}, f)
}

// answer tells the asking agent that the flow is not here and remembers who asked.
func (p *Placer) answer(now time.Time, key Key, sender netip.AddrPort, f *wire.Forward) Outcome {
	f.Phase = wire.PhaseAnswer
	offer := routing(f)
	offer.Phase = wire.PhaseOffer
	p.remember(now, key, record{fate: fateAsked, offer: offer, to: sender}, Outcome{})
	return Outcome{Action: Pass, To: sender}
}

// settle ends the search at this agent, which takes the flow unless it has closed meanwhile.
func (p *Placer) settle(now time.Time, key Key, load Load) Outcome {
	if load.Self == Closed && p.config.Policy != HashOnly {
		return p.remember(now, key, record{fate: fateRefused}, Outcome{Action: Refuse})
	}
	return p.remember(now, key, record{fate: fateMine}, Outcome{Action: Take})
}

// decide compares this agent with the best one so far.
func (p *Placer) decide(now time.Time, key Key, load Load, f *wire.Forward) Outcome {
	if asked := p.records[key]; asked != nil && fromBalancer(f) {
		f.Phase = wire.PhaseAnswer
		return Outcome{Action: Pass, To: asked.to}
	}
	f.Phase = wire.PhaseOffer
	f.Previous = netip.AddrPort{} // has been asked, so that no later candidate asks it again
	if p.takesAtOnce(load) {
		return p.settle(now, key, load)
	}
	best, bestLoad := f.Best, f.BestLoad
	if load.Self != Closed && (!best.IsValid() || precedes(load.Self, p.config.Self, bestLoad, best)) {
		best, bestLoad = p.config.Self, load.Self
	}
	f.Best, f.BestLoad = best, bestLoad
	f.Candidates = without(f.Candidates, p.config.Self)
	if len(f.Candidates) > 0 {
		return p.pass(now, key, f.Candidates[0], load, f)
	}
	switch {
	case !best.IsValid():
		return p.remember(now, key, record{fate: fateRefused}, Outcome{Action: Refuse})
	case best == p.config.Self:
		return p.settle(now, key, load)
	}
	f.Phase = wire.PhaseFinal
	return p.pass(now, key, best, load, f)
}

func (p *Placer) takesAtOnce(load Load) bool {
	switch p.config.Policy {
	case CompareMean:
		return load.Self != Closed && load.Self <= load.Mean
	case FirstBelowLimit:
		return load.Self != Closed
	case HashOnly:
		return true
	default:
		return false
	}
}

func (p *Placer) pass(now time.Time, key Key, to netip.AddrPort, load Load, f *wire.Forward) Outcome {
	if f.Hops > maxHops {
		return p.settle(now, key, load)
	}
	kept := record{fate: fatePassed, offer: routing(f), self: load.Self, to: to}
	return p.remember(now, key, kept, Outcome{Action: Pass, To: to})
}

func (p *Placer) remember(now time.Time, key Key, kept record, outcome Outcome) Outcome {
	kept.decided = now
	kept.expires = now.Add(recordMemory)
	if p.records[key] == nil {
		p.makeRoom()
		p.order = append(p.order, key)
	}
	p.records[key] = &kept
	return outcome
}

func (p *Placer) makeRoom() {
	for len(p.records) >= p.config.Capacity && len(p.order) > 0 {
		p.dropOldest()
	}
}

func (p *Placer) dropOldest() {
	delete(p.records, p.order[0])
	p.order = p.order[1:]
}

func (p *Placer) expire(now time.Time) {
	for len(p.order) > 0 {
		oldest := p.records[p.order[0]]
		if oldest != nil && now.Before(oldest.expires) {
			return
		}
		p.dropOldest()
	}
}

// precedes orders agents by load, and equal loads by address, so that any two agents agree.
func precedes(load uint32, address netip.AddrPort, otherLoad uint32, other netip.AddrPort) bool {
	if load != otherLoad {
		return load < otherLoad
	}
	return address.Compare(other) < 0
}

// without returns the candidates but one, so that no agent is offered the same datagram twice.
func without(candidates []netip.AddrPort, self netip.AddrPort) []netip.AddrPort {
	rest := make([]netip.AddrPort, 0, len(candidates))
	for _, candidate := range candidates {
		if candidate != self {
			rest = append(rest, candidate)
		}
	}
	return rest
}

// routing returns a copy of the forward without its datagram.
func routing(f *wire.Forward) wire.Forward {
	kept := *f
	kept.Candidates = append([]netip.AddrPort(nil), f.Candidates...)
	kept.Datagram = nil
	return kept
}

// fromBalancer reports whether this agent is the first that the datagram has reached.
func fromBalancer(f *wire.Forward) bool { return f.Hops == 1 }

// unanswered reports whether a caller still opens a flow that was passed on long ago, so that the
// agent it went to is likely dead.
func unanswered(now time.Time, known *record, f *wire.Forward) bool {
	return fromBalancer(f) && now.Sub(known.decided) >= passLimit
}

// crossed reports whether an offer comes from the agent to which this one has offered the same flow.
func crossed(known *record, sender netip.AddrPort, f *wire.Forward) bool {
	return sender == known.to && f.Phase == wire.PhaseOffer && known.offer.Phase == wire.PhaseOffer
}
