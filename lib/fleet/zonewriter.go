package fleet

import (
	"time"

	"github.com/cyclamendock/cyclamendock/lib/store"
)

const (
	// ZoneWriterCount is the number of balancers of a zone that may write the zone's object.
	ZoneWriterCount = 3

	writeDelay   = time.Second     // changes are collected for this long before they are written
	retryBackoff = 2 * time.Second // pause after a failed platform call
	rankDelay    = 3 * time.Second // additional write delay per rank
)

// Task is a platform call that the caller of Tick must make.
type Task int

const (
	// TaskNone requires no call.
	TaskNone Task = iota
	// TaskLoad requires the zone's object to be read and merged into the replica.
	TaskLoad
	// TaskSave requires the zone's records to be written by compare-and-swap on Version.
	TaskSave
)

// ZoneWriter decides when a balancer writes its zone's records to the platform.
type ZoneWriter struct {
	callPending  bool
	dirtySince   time.Time     // zero while the stored object is up to date
	loaded       bool          // the object has been read since the last failure or conflict
	retryAt      time.Time     // no call before this time
	storedDigest uint64        // digest of the records in the stored object
	version      store.Version // of the stored object
}

// NewZoneWriter returns a ZoneWriter that has not read the zone's object yet.
func NewZoneWriter() *ZoneWriter { return &ZoneWriter{} }

// WriterRank returns a balancer's zero-based rank among the writers of its zone's object, by rendezvous hashing.
func WriterRank(self Record, balancers []Record) int {
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
func (w *ZoneWriter) Version() store.Version { return w.version }

// Tick returns the platform call that is due; digest is the digest of the zone's records in the local replica.
func (w *ZoneWriter) Tick(now time.Time, rank int, digest uint64) Task {
	if rank >= ZoneWriterCount || w.callPending || now.Before(w.retryAt) {
		return TaskNone
	}
	if !w.loaded {
		w.callPending = true
		return TaskLoad
	}
	if digest == w.storedDigest {
		w.dirtySince = time.Time{}
		return TaskNone
	}
	if w.dirtySince.IsZero() {
		w.dirtySince = now
	}
	if now.Sub(w.dirtySince) < writeDelay+time.Duration(rank)*rankDelay {
		return TaskNone
	}
	w.callPending = true
	return TaskSave
}

// Loaded records the version and digest of the zone's object; both are zero when the object doesn't exist.
func (w *ZoneWriter) Loaded(version store.Version, digest uint64) {
	w.callPending = false
	w.loaded = true
	w.storedDigest = digest
	w.version = version
}

// Saved records a successful write.
func (w *ZoneWriter) Saved(version store.Version, digest uint64) {
	w.Loaded(version, digest)
	w.dirtySince = time.Time{}
}

// Failed records a call without a usable response; the object is read again after a backoff.
func (w *ZoneWriter) Failed(now time.Time) {
	w.callPending = false
	w.loaded = false
	w.retryAt = now.Add(retryBackoff)
}

// Conflicted records a write that failed because another balancer had changed the object; it is read again.
func (w *ZoneWriter) Conflicted() {
	w.callPending = false
	w.loaded = false
}

// Reload makes the object be read again, since the platform may have lost it; no call must be in progress.
func (w *ZoneWriter) Reload() { w.loaded = false }
