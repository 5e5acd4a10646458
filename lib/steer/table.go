package steer

import (
	"encoding/binary"
	"maps"
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// candidateCount is the maximum number of agents that a new flow is offered to.
	candidateCount = 3
	// previousOwnerWindow is how long after a membership change a flow's previous owner is included in choices.
	previousOwnerWindow = 10 * time.Second
)

// Agent is an agent of a service.
type Agent struct {
	Address  netip.AddrPort
	Draining bool   // used only as a previous owner, not as a candidate
	Suspect  bool   // suspected to have failed
	Weight   uint32 // relative share of the new flows
}

// Choice names the agents that may own one new flow.
type Choice struct {
	Candidates    []netip.AddrPort // in order of preference
	PreviousOwner netip.AddrPort   // first candidate before a recent membership change, zero when there is none to query
}

// Table maps new flows to agents by weighted rendezvous hashing. The maps are indexed by service.
type Table struct {
	changedAt map[uint16]time.Time // time of the latest membership change
	current   map[uint16][]Agent
	previous  map[uint16][]Agent // membership before the recent changes
}

// NewTable returns a table without agents.
func NewTable() *Table {
	return &Table{
		changedAt: map[uint16]time.Time{},
		current:   map[uint16][]Agent{},
		previous:  map[uint16][]Agent{},
	}
}

// Clone returns an independent copy of the table.
func (t *Table) Clone() *Table {
	return &Table{changedAt: maps.Clone(t.changedAt), current: maps.Clone(t.current), previous: maps.Clone(t.previous)}
}

// Set replaces the agents of a service; the replaced ones still determine the previous owners for a limited time.
func (t *Table) Set(now time.Time, service uint16, agents []Agent) {
	if slices.Equal(t.current[service], agents) {
		return
	}
	if !t.recentlyChanged(now, service) {
		t.previous[service] = t.current[service]
	}
	t.current[service] = agents
	t.changedAt[service] = now
}

// Choose returns the agents for a new flow with the given connection ID and stores the candidates in dst, whose
// contents it overwrites.
func (t *Table) Choose(now time.Time, service uint16, id []byte, dst []netip.AddrPort) Choice {
	agents := t.current[service]
	key := xxhash.Sum64(id)
	choice := Choice{Candidates: rankCandidates(agents, key, dst[:0])}
	if len(choice.Candidates) == 0 || !t.recentlyChanged(now, service) {
		return choice
	}
	owner := highestScoring(t.previous[service], key)
	if owner.IsValid() && owner != choice.Candidates[0] && isReachable(agents, owner) {
		choice.PreviousOwner = owner
	}
	return choice
}

func (t *Table) recentlyChanged(now time.Time, service uint16) bool {
	changedAt, ok := t.changedAt[service]
	return ok && now.Sub(changedAt) < previousOwnerWindow
}

// rankCandidates returns the candidates with the highest scores. It ranks one agent more than needed, as a
// replacement for a suspect.
func rankCandidates(agents []Agent, key uint64, dst []netip.AddrPort) []netip.AddrPort {
	var best [candidateCount + 1]Agent
	var scores [candidateCount + 1]float64
	count := 0
	for _, agent := range agents {
		if agent.Draining {
			continue
		}
		score := rendezvousScore(agent, key)
		position := count
		for position > 0 && score > scores[position-1] {
			position--
		}
		if position == len(best) {
			continue
		}
		if count < len(best) {
			count++
		}
		copy(best[position+1:count], best[position:count-1])
		copy(scores[position+1:count], scores[position:count-1])
		best[position], scores[position] = agent, score
	}
	return selectCandidates(best[:count], dst)
}

// selectCandidates omits suspects unless all ranked agents are suspect.
func selectCandidates(best []Agent, dst []netip.AddrPort) []netip.AddrPort {
	for _, suspect := range []bool{false, true} {
		for _, agent := range best {
			if agent.Suspect == suspect && len(dst) < candidateCount {
				dst = append(dst, agent.Address)
			}
		}
		if len(dst) > 0 {
			return dst
		}
	}
	return dst
}

func highestScoring(agents []Agent, key uint64) netip.AddrPort {
	var address netip.AddrPort
	bestScore := math.Inf(-1)
	for _, agent := range agents {
		score := rendezvousScore(agent, key)
		if !agent.Draining && score > bestScore {
			bestScore, address = score, agent.Address
		}
	}
	return address
}

// rendezvousScore returns the score of an agent for a key; each agent has the highest score for a share of the keys
// proportional to its weight.
func rendezvousScore(agent Agent, key uint64) float64 {
	const mantissa = 53
	var b [16]byte
	ip := agent.Address.Addr().As4()
	copy(b[:4], ip[:])
	binary.BigEndian.PutUint16(b[4:6], agent.Address.Port())
	binary.BigEndian.PutUint64(b[8:], key)
	uniform := (float64(xxhash.Sum64(b[:])>>(64-mantissa)) + 0.5) / (1 << mantissa)
	return -float64(max(agent.Weight, 1)) / math.Log(uniform)
}

// isReachable reports whether an agent is still a member and not suspect; a query to any other would waste a hop.
func isReachable(agents []Agent, address netip.AddrPort) bool {
	for _, agent := range agents {
		if agent.Address == address {
			return !agent.Suspect
		}
	}
	return false
}
