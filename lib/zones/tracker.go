package zones

import (
	"cmp"
	"slices"
	"time"

	"github.com/cyclamendock/cyclamendock/lib/store"
)

// Evacuation describes an evacuated availability zone.
type Evacuation struct {
	Hash    uint64
	Since   time.Time     // when this process learnt of it
	Version store.Version // of the first state with it that this process has had
}

// Change is the effect of a state on the one before.
type Change struct {
	Added      []uint64 // name hashes of availability zones that are evacuated since then
	FirstKnown bool     // no state was known before
	Removed    []uint64 // name hashes of availability zones that are no longer evacuated
}

// Any reports whether the set has changed, or is known for the first time.
func (c Change) Any() bool { return c.FirstKnown || len(c.Added) > 0 || len(c.Removed) > 0 }

// Tracker holds the latest known state. It learns only of complete lists, here or in another process, so that a failed read never takes
// an availability zone out of the set. The zero Tracker knows no state.
type Tracker struct {
	evacuations []Evacuation // ordered by hash
	state       State
}

// State returns the latest known state.
func (t *Tracker) State() State { return t.state }

// Evacuations returns the evacuated availability zones, ordered by hash.
func (t *Tracker) Evacuations() []Evacuation { return slices.Clone(t.evacuations) }

// Apply replaces the state by a later one and returns what has changed; it ignores any other state.
func (t *Tracker) Apply(now time.Time, state State) Change {
	if !state.Later(t.state) {
		return Change{}
	}
	change := Change{FirstKnown: !t.state.Known}
	for _, hash := range state.Hashes() {
		if !t.state.Contains(hash) {
			change.Added = append(change.Added, hash)
			t.evacuations = append(t.evacuations, Evacuation{Hash: hash, Since: now, Version: state.Version})
		}
	}
	for _, hash := range t.state.Hashes() {
		if !state.Contains(hash) {
			change.Removed = append(change.Removed, hash)
		}
	}
	t.evacuations = slices.DeleteFunc(t.evacuations, func(e Evacuation) bool { return !state.Contains(e.Hash) })
	slices.SortFunc(t.evacuations, func(x, y Evacuation) int { return cmp.Compare(x.Hash, y.Hash) })
	t.state = state
	return change
}
