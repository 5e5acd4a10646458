package tuple

import (
	"net/netip"
	"time"

	"github.com/cyclamendock/cyclamendock/lib/flows"
	"github.com/cyclamendock/cyclamendock/lib/netio"
	"github.com/cyclamendock/cyclamendock/lib/zones"
)

const (
	// zoneRepeats is how many times a balancer that has listed a change sends it again to all balancers, since datagrams get lost.
	zoneRepeats = 2
	// zoneRetryPause is the pause between attempts to list the evacuated availability zones, of the reader alone and of all other
	// balancers together, during an outage of the store.
	zoneRetryPause = 100 * time.Millisecond
)

// zoneSync decides when a balancer lists the evacuated availability zones for all balancers, by the rules of configReads, and how their
// state spreads by digests. A watch of the configuration that returns does not count as such a list.
type zoneSync struct {
	reads   configReads
	repeats int            // how many times a changed state is still to be sent to all balancers
	tracker *zones.Tracker // state of this balancer
}

// newZoneSync returns the state of a balancer that has listed nothing yet; it never has to when zoneDeadline is zero.
func newZoneSync(self netip.AddrPort, zoneDeadline, configDeadline time.Duration, random func() float64, tracker *zones.Tracker) zoneSync {
	return zoneSync{reads: newConfigReads(self, min(zoneDeadline, configDeadline), random), tracker: tracker}
}

// enabled reports whether the evacuated availability zones are listed in this deployment.
func (s *zoneSync) enabled() bool { return s.reads.deadline > 0 }

// due reports whether this balancer has to list the evacuated availability zones; withConfig tells that it reads the configuration now.
func (s *zoneSync) due(now time.Time, withConfig bool) bool {
	return s.enabled() && !now.Before(s.reads.retryAt) && (withConfig || s.reads.due(now))
}

// recordList records a complete list that was requested at the given time. It returns what has changed, and whether all balancers have to
// be told. The list that each balancer makes at its start is not for all: when many start, their notices would grow with the square of
// their number.
func (s *zoneSync) recordList(now, requestedAt time.Time, state zones.State) (change zones.Change, forAll bool) {
	change = s.tracker.Apply(now, state)
	if s.reads.lastRead.IsZero() {
		s.reads.recordRead(requestedAt)
		return change, false
	}
	s.reads.recordNotice(requestedAt, s.reads.self)
	if change.Any() {
		s.repeats = zoneRepeats
	}
	return change, true
}

// recordListFailure records that the list has failed. The reader tries again soon, all others together as often, and a balancer that
// knows neither the state nor how many others there are only at the usual pause.
func (s *zoneSync) recordListFailure(now time.Time, balancers int) {
	pause := netio.MaxRetryPause
	switch {
	case s.reads.isReader():
		pause = zoneRetryPause
	case !s.reads.lastRead.IsZero():
		pause = min(time.Duration(balancers)*zoneRetryPause, netio.MaxRetryPause)
	}
	s.reads.pauseUntil(now.Add(time.Duration((0.5 + s.reads.random()) * float64(pause))))
}

// retrySoon ends a pause after a failed list, as the store has answered another call.
func (s *zoneSync) retrySoon() { s.reads.pauseUntil(time.Time{}) }

// recordDigest records the state in another balancer's digest and returns what has changed. A notice of a list that is older than this
// balancer's state does not delay the next list.
func (s *zoneSync) recordDigest(now time.Time, theirs flows.Digest, from netip.AddrPort) zones.Change {
	if theirs.ZonesFromStore && !s.tracker.State().Later(theirs.Zones) {
		s.reads.recordNotice(now, from)
	}
	return s.tracker.Apply(now, theirs.Zones)
}

// ahead reports whether the sender of a digest lacks this balancer's state.
func (s *zoneSync) ahead(theirs flows.Digest) bool {
	ours := s.tracker.State()
	return ours.Later(theirs.Zones) && ours.Differs(theirs.Zones)
}

// takeRepeat reports whether a changed state is to be sent to all balancers once more.
func (s *zoneSync) takeRepeat() bool {
	repeat := s.repeats > 0
	s.repeats = max(0, s.repeats-1)
	return repeat
}
