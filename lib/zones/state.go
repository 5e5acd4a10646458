package zones

import (
	"slices"

	"github.com/cyclamendock/cyclamendock/lib/store"
)

// MaxZones is how many evacuated availability zones a State holds at most: a digest has room for no more.
const MaxZones = 16

// State is the set of evacuated availability zones at a version of the store. States can be compared with ==. The zero State is that of
// a process that does not know which availability zones are evacuated.
type State struct {
	Known   bool
	Version store.Version // of the store when the set was listed
	count   int
	hashes  [MaxZones]uint64 // the first count elements, in order; the others are zero
}

// NewState returns the known state with the given name hashes, of which it keeps the first MaxZones, and how many it left out.
func NewState(version store.Version, hashes []uint64) (State, int) {
	state := State{Known: true, Version: version}
	omitted := 0
	for _, hash := range hashes {
		switch {
		case slices.Contains(state.hashes[:state.count], hash):
		case state.count == MaxZones:
			omitted++
		default:
			state.hashes[state.count] = hash
			state.count++
		}
	}
	slices.Sort(state.hashes[:state.count])
	return state, omitted
}

// Contains reports whether an availability zone is known to be evacuated.
func (s State) Contains(zone uint64) bool { return slices.Contains(s.hashes[:s.count], zone) }

// Hashes returns the name hashes of the evacuated availability zones, in order.
func (s State) Hashes() []uint64 { return slices.Clone(s.hashes[:s.count]) }

// Len returns the number of evacuated availability zones.
func (s State) Len() int { return s.count }

// Later reports whether the state replaces another one: it is known, and the other one is not or is of an earlier version.
func (s State) Later(other State) bool {
	return s.Known && (!other.Known || s.Version.Compare(other.Version) > 0)
}

// Differs reports whether two states have different sets, or only one of them is known.
func (s State) Differs(other State) bool {
	return s.Known != other.Known || s.count != other.count || s.hashes != other.hashes
}
