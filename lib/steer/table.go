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
	// candidateCount is the number of agents offered a new flow.
	candidateCount = 3
	// ownerMemory is how long the previous owner of a new flow is named after a membership change.
	ownerMemory = 10 * time.Second
)

// A Backend is one agent that may take new flows of a service.
type Backend struct {
	Address  netip.AddrPort
	Draining bool // named only as a previous owner
	Suspect  bool
	Weight   uint32
}

// A Choice is the ordered list of agents for one new flow.
type Choice struct {
	Candidates []netip.AddrPort
	Previous   netip.AddrPort
}

// A Table maps new flows to agents by weighted rendezvous hashing.
type Table struct {
	changed  map[uint16]time.Time
	current  map[uint16][]Backend
	previous map[uint16][]Backend
}

// NewTable returns a table without backends.
func NewTable() *Table {
	return &Table{
		changed:  map[uint16]time.Time{},
		current:  map[uint16][]Backend{},
		previous: map[uint16][]Backend{},
	}
}

// Clone returns a table that can change without changing this one.
func (t *Table) Clone() *Table {
	return &Table{changed: maps.Clone(t.changed), current: maps.Clone(t.current), previous: maps.Clone(t.previous)}
}

// Set replaces the backends of a service and keeps the replaced ones for a while.
func (t *Table) Set(now time.Time, service uint16, backends []Backend) {
	if slices.Equal(t.current[service], backends) {
		return
	}
	if !t.remembers(now, service) {
		t.previous[service] = t.current[service]
	}
	t.current[service] = backends
	t.changed[service] = now
}

// Choose returns the candidates of a new flow, appended to the given slice.
func (t *Table) Choose(now time.Time, service uint16, id []byte, dst []netip.AddrPort) Choice {
	backends := t.current[service]
	key := xxhash.Sum64(id)
	choice := Choice{Candidates: rank(backends, key, dst[:0])}
	if len(choice.Candidates) == 0 || !t.remembers(now, service) {
		return choice
	}
	owner := first(t.previous[service], key)
	if owner.IsValid() && owner != choice.Candidates[0] && answers(backends, owner) {
		choice.Previous = owner
	}
	return choice
}

func (t *Table) remembers(now time.Time, service uint16) bool {
	changed, ok := t.changed[service]
	return ok && now.Sub(changed) < ownerMemory
}

// rank returns the best candidates, with a spare looked at in case one of them is suspect.
func rank(backends []Backend, key uint64, dst []netip.AddrPort) []netip.AddrPort {
	var best [candidateCount + 1]Backend
	var scores [candidateCount + 1]float64
	count := 0
	for _, backend := range backends {
		if backend.Draining {
			continue
		}
		score := rendezvousScore(backend, key)
		at := count
		for at > 0 && score > scores[at-1] {
			at--
		}
		if at == len(best) {
			continue
		}
		if count < len(best) {
			count++
		}
		copy(best[at+1:count], best[at:count-1])
		copy(scores[at+1:count], scores[at:count-1])
		best[at], scores[at] = backend, score
	}
	return selectCandidates(best[:count], dst)
}

// selectCandidates leaves suspects out unless there are no others.
func selectCandidates(best []Backend, dst []netip.AddrPort) []netip.AddrPort {
	for _, suspect := range []bool{false, true} {
		for _, backend := range best {
			if backend.Suspect == suspect && len(dst) < candidateCount {
				dst = append(dst, backend.Address)
			}
		}
		if len(dst) > 0 {
			return dst
		}
	}
	return dst
}

func first(backends []Backend, key uint64) netip.AddrPort {
	var owner netip.AddrPort
	best := math.Inf(-1)
	for _, backend := range backends {
		score := rendezvousScore(backend, key)
		if !backend.Draining && score > best {
			best, owner = score, backend.Address
		}
	}
	return owner
}

// rendezvousScore maps a backend and a key to a score whose greatest is taken in proportion to the weights.
func rendezvousScore(backend Backend, key uint64) float64 {
	const mantissa = 53
	var b [16]byte
	ip := backend.Address.Addr().As4()
	copy(b[:4], ip[:])
	binary.BigEndian.PutUint16(b[4:6], backend.Address.Port())
	binary.BigEndian.PutUint64(b[8:], key)
	uniform := (float64(xxhash.Sum64(b[:])>>(64-mantissa)) + 0.5) / (1 << mantissa)
	return -float64(max(backend.Weight, 1)) / math.Log(uniform)
}

// answers reports whether a backend is still a member and not suspect, so that asking it is worth a hop.
func answers(backends []Backend, address netip.AddrPort) bool {
	for _, backend := range backends {
		if backend.Address == address {
			return !backend.Suspect
		}
	}
	return false
}
