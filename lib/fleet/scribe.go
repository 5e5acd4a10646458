package fleet

import "time"

const (
	// ScribeCount is the number of balancers of a zone that may write the zone's object.
	ScribeCount = 3

	writeDelay   = time.Second     // changes are collected for this long before they are written
	retryBackoff = 2 * time.Second // pause after a failed platform call
	rankDelay    = 3 * time.Second // additional write delay per rank
)

// A Task is a platform call that the caller of Tick must make.
type Task int

const (
	// TaskNone requires no call.
	TaskNone Task = iota
	// TaskLoad requires the zone's object to be read and merged into the replica.
	TaskLoad
	// TaskSave requires the zone's records to be written by compare-and-swap on Version.
	TaskSave
)

// A Scribe decides when a balancer writes its zone's records to the platform.
type Scribe struct {
	callPending  bool
	dirtySince   time.Time // zero while the stored object is up to date
	loaded       bool      // the object has been read since the last failure or conflict
	retryAt      time.Time // no call before this time
	storedDigest uint64    // digest of the records in the stored object
	version      uint64    // of the stored object
}

// NewScribe returns a Scribe that has not read the zone's object yet.
func NewScribe() *Scribe { return &Scribe{} }

// Rank returns a balancer's zero-based rank among the writers of its zone's object, by rendezvous hashing.
func Rank(self Record, balancers []Record) int {
	key := NameHash("scribe/" + self.Zone)
	own := mixHashes(key, self.NameHash())
	rank := 0
	for i := range balancers {
		other := mixHashes(key, balancers[i].NameHash())
		if balancers[i].Zone == self.Zone && (other > own || other == own && balancers[i].Name < self.Name) {
			rank++
		}
	}
	return rank
}

// Version returns the version of the zone's object that a write must expect.
func (s *Scribe) Version() uint64 { return s.version }

// Tick returns the platform call that is due; digest is the digest of the zone's records in the local replica.
func (s *Scribe) Tick(now time.Time, rank int, digest uint64) Task {
	if rank >= ScribeCount || s.callPending || now.Before(s.retryAt) {
		return TaskNone
	}
	if !s.loaded {
		s.callPending = true
		return TaskLoad
	}
	if digest == s.storedDigest {
		s.dirtySince = time.Time{}
		return TaskNone
	}
	if s.dirtySince.IsZero() {
		s.dirtySince = now
	}
	if now.Sub(s.dirtySince) < writeDelay+time.Duration(rank)*rankDelay {
		return TaskNone
	}
	s.callPending = true
	return TaskSave
}

// Loaded records the version and digest of the zone's object; both are zero when the object doesn't exist.
func (s *Scribe) Loaded(version, digest uint64) {
	s.callPending = false
	s.loaded = true
	s.storedDigest = digest
	s.version = version
}

// Saved records a successful write.
func (s *Scribe) Saved(version, digest uint64) {
	s.Loaded(version, digest)
	s.dirtySince = time.Time{}
}

// Failed records a call without a usable response; the object is read again after a backoff.
func (s *Scribe) Failed(now time.Time) {
	s.callPending = false
	s.loaded = false
	s.retryAt = now.Add(retryBackoff)
}

// Outdated records a write that failed because another balancer had changed the object; it is read again.
func (s *Scribe) Outdated() {
	s.callPending = false
	s.loaded = false
}
