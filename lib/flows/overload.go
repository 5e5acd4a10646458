package flows

import "time"

const (
	// lastingOverload is how long requests may miss their latency targets in the queue before the overload counts as
	// lasting. The backlog after a power loss is served sooner.
	lastingOverload = 2 * time.Second
	// overloadPause is the time without such requests after which an overload is over.
	overloadPause = time.Second
)

// overload tracks since when an agent has more work than its backend server can do.
type overload struct {
	lastMissed time.Time // when an entry that had missed its latency target was last queued
	since      time.Time // since when there have been such entries; zero while there is no overload
}

// update records whether entries that have missed their latency targets are queued.
func (o *overload) update(now time.Time, missed bool) {
	if missed && o.since.IsZero() {
		o.since = now
	}
	if missed {
		o.lastMissed = now
	}
	if now.Sub(o.lastMissed) > overloadPause {
		o.since = time.Time{}
	}
}

// prolong records that the overload goes on.
func (o *overload) prolong(now time.Time) { o.lastMissed = now }

// lasting reports whether waiting is of no use: what comes in exceeds what the backend server can do, so that each new
// flow that is queued makes another one late. Refused at once, its caller may still find another agent in time.
func (o *overload) lasting(now time.Time) bool { return o.lastsFor(now, lastingOverload) }

// lastsFor reports whether the overload has lasted for longer than the given time.
func (o *overload) lastsFor(now time.Time, duration time.Duration) bool {
	return !o.since.IsZero() && now.Sub(o.since) > duration
}
