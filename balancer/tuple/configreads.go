package tuple

import (
	"math"
	"net/netip"
	"time"
)

const (
	// configCheckShare is the share of the time allowed for applying a change after which the configuration is read again.
	// With takeoverShare, the rest suffices for a read and its notice.
	configCheckShare = 0.6
	// takeoverShare is the share of that time within which another balancer takes over when the reader has failed.
	takeoverShare = 0.25
	// takeoverBalancers is the number of balancers up to which few of them take over at once.
	takeoverBalancers = 1024
	// takeoverMargin leaves the reader time for its read and its notice.
	takeoverMargin = 150 * time.Millisecond
	// joinTimeout is how long agents that have started during an outage of the store take to register after it.
	joinTimeout = 3 * time.Second
)

// configReads tracks which balancer reads the configuration for all of them. The reader sends the others a notice after
// each read and so stays the reader; the others take over after a random time without a notice. It needs no knowledge of
// which balancers are alive.
type configReads struct {
	deadline     time.Duration  // time within which a change must be applied
	lastRead     time.Time      // last time that the configuration is known to have been read from the store
	random       func() float64 // uniform in [0, 1)
	retryAt      time.Time      // end of the pause after a failed read
	reader       netip.AddrPort // balancer that last sent a notice of a read; zero when there was none
	self         netip.AddrPort
	takeover     time.Duration // time after which this balancer takes over, drawn anew after each read
	unreadableAt time.Time     // last time that the store is known to have been unreadable
}

func newConfigReads(self netip.AddrPort, deadline time.Duration, random func() float64) configReads {
	return configReads{deadline: deadline, random: random, self: self}
}

// recordNotice records that a balancer has read the configuration at the given time for all of them. Of several that have
// taken over at once the one with the lowest address stays the reader, so that they don't all yield to each other.
func (r *configReads) recordNotice(readAt time.Time, reader netip.AddrPort) {
	contested := r.isReader() && reader != r.self && readAt.Sub(r.lastRead) < takeoverMargin
	r.recordRead(readAt)
	if !contested || reader.Compare(r.self) < 0 {
		r.reader = reader
	}
}

// recordRead records that the configuration was read at the given time, without a notice to others.
func (r *configReads) recordRead(readAt time.Time) {
	if !r.lastRead.IsZero() && readAt.Sub(r.lastRead) > r.deadline {
		r.unreadableAt = readAt
	}
	r.lastRead = readAt
	r.takeover = drawTakeover(r.deadline, r.random())
}

// recordFailure records that the store could not be read.
func (r *configReads) recordFailure(now time.Time) { r.unreadableAt = now }

// pauseUntil delays the next read of this balancer.
func (r *configReads) pauseUntil(end time.Time) { r.retryAt = end }

// due reports whether this balancer has to read the configuration.
func (r *configReads) due(now time.Time) bool {
	wait := time.Duration(configCheckShare * float64(r.deadline))
	if r.reader != r.self {
		wait += r.takeover
	}
	return now.Sub(r.lastRead) > wait && !now.Before(r.retryAt)
}

// forgetReader records that a balancer does not answer, so that nobody waits for it until the next notice.
func (r *configReads) forgetReader(reader netip.AddrPort) {
	if r.reader == reader {
		r.reader = netip.AddrPort{}
	}
}

// isReader reports whether this balancer was the last one to read the configuration.
func (r *configReads) isReader() bool { return r.reader == r.self }

// untilSettled returns how long it still takes, after an outage of the store, until every agent that has flows is on the
// list of members: those that could not register may have been given flows while their service had no others.
func (r *configReads) untilSettled(now time.Time) time.Duration {
	if r.unreadableAt.IsZero() {
		return 0
	}
	return max(0, r.unreadableAt.Add(joinTimeout).Sub(now))
}

// drawTakeover returns a random time for a uniform sample in [0, 1). Short times are so rare that of up to
// takeoverBalancers balancers only a few take over before the notice of the first of them arrives.
func drawTakeover(deadline time.Duration, sample float64) time.Duration {
	longest := takeoverShare*float64(deadline) - float64(takeoverMargin)
	share := 1 + math.Log(1-sample)/math.Log(takeoverBalancers)
	return takeoverMargin + time.Duration(longest*max(0, share))
}
