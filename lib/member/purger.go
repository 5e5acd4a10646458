package member

import (
	"context"
	"time"

	"github.com/cyclamendock/cyclamendock/lib/fault"
	"github.com/cyclamendock/cyclamendock/lib/store"
)

// removalAge is how long an entry has to be marked for removal until it is deleted. It is several times entryCheckInterval, so that
// a process that runs has replaced its entry by then.
const removalAge = 3 * entryCheckInterval

// sighting is a version of a marked entry and when it was first seen.
type sighting struct {
	since   time.Time
	version store.Version
}

// Purger deletes the entries of processes that have failed for good. It must not be used by several goroutines at once.
type Purger struct {
	sightings map[string]sighting // by key
	store     store.Store
}

// NewPurger returns a purger that has seen no entries yet.
func NewPurger(s store.Store) *Purger { return &Purger{sightings: map[string]sighting{}, store: s} }

// Purge lists all entries and deletes those that it has seen marked for removal, in the same version, for removalAge. It returns the
// members whose entries it has deleted, together with an Unavailable fault when it could not go on.
func (p *Purger) Purge(ctx context.Context, now time.Time) ([]Member, error) {
	objects, err := p.store.List(ctx, Prefix)
	if err != nil {
		return nil, err
	}
	sightings := map[string]sighting{}
	var purged []Member
	for _, object := range objects {
		m, ok := decode(object)
		if !ok || !m.Marked {
			continue
		}
		seen := p.sightings[object.Key]
		if seen.version != object.Version {
			seen = sighting{since: now, version: object.Version}
		}
		sightings[object.Key] = seen
		if now.Sub(seen.since) < removalAge {
			continue
		}
		err := p.store.Delete(ctx, object.Key, object.Version)
		if fault.Is(err, fault.Stale) {
			continue // its process has replaced it meanwhile
		}
		if err != nil {
			return purged, err
		}
		delete(sightings, object.Key)
		purged = append(purged, m)
	}
	p.sightings = sightings
	return purged, nil
}
