package fleet

import "time"

const (
	// ScribeCount is how many balancers of a zone may write its object.
	ScribeCount = 3

	scribeBatch   = time.Second
	scribeBackoff = 2 * time.Second
	scribeTurn    = 3 * time.Second
)

// A Task is a platform call that a scribe wants to be made.
type Task int

const (
	// TaskNone asks for nothing.
	TaskNone Task = iota
	// TaskLoad asks for the zone's object to be read and merged.
	TaskLoad
	// TaskSave asks for the zone's records to be written over the known version.
	TaskSave
)

// A Scribe decides when a balancer writes its zone's records to the platform.
type Scribe struct {
	busy       bool
	dirtySince time.Time
	loaded     bool
	notBefore  time.Time
	stored     uint64 // digest
	version    uint64
}

// NewScribe returns a scribe that has not read the zone's object yet.
func NewScribe() *Scribe { return &Scribe{} }

// Rank returns the place of a balancer among those that may write its zone's object.
func Rank(self Record, balancers []Record) int {
	key := NameHash("scribe/" + self.Zone)
	own := mix(key, self.NameHash())
	rank := 0
	for i := range balancers {
		other := mix(key, balancers[i].NameHash())
		if balancers[i].Zone == self.Zone && (other > own || other == own && balancers[i].Name < self.Name) {
			rank++
		}
	}
	return rank
}

// Version returns the version of the zone's object that a save must expect.
func (s *Scribe) Version() uint64 { return s.version }

// Tick returns the platform call that has fallen due, given the digest of the zone's records here.
func (s *Scribe) Tick(now time.Time, rank int, digest uint64) Task {
	if rank >= ScribeCount || s.busy || now.Before(s.notBefore) {
		return TaskNone
	}
	if !s.loaded {
		s.busy = true
		return TaskLoad
	}
	if digest == s.stored {
		s.dirtySince = time.Time{}
		return TaskNone
	}
	if s.dirtySince.IsZero() {
		s.dirtySince = now
	}
	if now.Sub(s.dirtySince) < scribeBatch+time.Duration(rank)*scribeTurn {
		return TaskNone
	}
	s.busy = true
	return TaskSave
}

// Loaded records what the platform holds; zero values mean that the object doesn't exist.
func (s *Scribe) Loaded(version, digest uint64) {
	s.busy = false
	s.loaded = true
	s.stored = digest
	s.version = version
}

// Saved records a write that took effect.
func (s *Scribe) Saved(version, digest uint64) {
	s.Loaded(version, digest)
	s.dirtySince = time.Time{}
}

// Failed records a call without a usable answer, after which the object must be read again.
func (s *Scribe) Failed(now time.Time) {
	s.busy = false
	s.loaded = false
	s.notBefore = now.Add(scribeBackoff)
}

// Outdated records that another balancer has written meanwhile.
func (s *Scribe) Outdated() {
	s.busy = false
	s.loaded = false
}
