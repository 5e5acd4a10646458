package admit

import (
	"slices"
	"time"
)

const (
	// coldSpeed is the assumed speed of a backend server that has just started, in per mille.
	coldSpeed = 250
	fullSpeed = 1000
	minSpeed  = 50
	// medianSpan is how many samples the median is taken of.
	medianSpan = 5
	// slowWeight is the weight in per cent of a sample that is slower than the current speed.
	slowWeight = 25
	// fastWeight is the weight in per cent of a sample that is faster than the current speed. It is small, so that
	// backend servers that warm up side by side do not drift apart by who was asked first.
	fastWeight = 10
	// loneWeight is the weight in per cent of the first slow sample after idle time.
	loneWeight = 50
	// idleRecovery is how much speed returns per second without samples, in per mille.
	idleRecovery = 50
	// trialSpan is how long a recovering backend server works on a new flow before it gets another one.
	trialSpan = time.Second
	// shedSlowdown is how many times slower than usual a shed request counts.
	shedSlowdown = 4
	// limitHeadroom lets the concurrency limit stay above the speed, in per mille.
	limitHeadroom = 1500
)

// A Speed follows how fast a backend server works compared with its typical durations.
type Speed struct {
	allowance int  // per mille that idle time added to the measured speed and no sample has confirmed
	doubted   bool // the last samples were slower than the speed
	measured  int  // per mille
	recent    []int
	sampled   time.Time
	tried     time.Time // when a flow came that counts on the allowance, zero when none did
}

// NewSpeed returns the speed of a backend server that has just started.
func NewSpeed(now time.Time) *Speed {
	return &Speed{measured: coldSpeed, sampled: now}
}

// Sample records how long a request took and how long it typically takes.
func (s *Speed) Sample(now time.Time, took, typical time.Duration) {
	if typical <= 0 {
		return
	}
	s.sampled = now
	observed := s.observe(speedOf(took, typical))
	if hoped := s.measured + s.allowance; observed >= hoped {
		s.measured = hoped
	}
	s.doubted = observed < s.measured
	s.allowance = 0
	s.tried = time.Time{}
	weight := fastWeight
	if observed < s.measured {
		weight = slowWeight
		if len(s.recent) == 1 {
			weight = loneWeight
		}
	}
	s.measured += (observed - s.measured) * weight / percent
	if observed == fullSpeed && s.measured > fullSpeed-percent/fastWeight {
		s.measured = fullSpeed
	}
}

// observe returns the median of the latest samples, so that a few late ones do not count.
func (s *Speed) observe(sample int) int {
	s.recent = append(s.recent, sample)
	if len(s.recent) > medianSpan {
		s.recent = s.recent[1:]
	}
	ordered := slices.Sorted(slices.Values(s.recent))
	return ordered[len(ordered)/2]
}

func speedOf(took, typical time.Duration) int {
	if took <= typical {
		return fullSpeed
	}
	return max(minSpeed, int(typical*fullSpeed/took))
}

// Shed records that the backend server turned a request away.
func (s *Speed) Shed(now time.Time, typical time.Duration) {
	s.Sample(now, typical*shedSlowdown, typical)
}

// Try records that a new flow came to a backend server that was slow when last seen, and holds back what idle time
// added until a sample or the time tells more.
func (s *Speed) Try(now time.Time) {
	if s.doubted && s.allowance > 0 {
		s.tried = now
	}
}

// Tick lets the speed recover while no sample comes, so that the backend server is tried again.
func (s *Speed) Tick(now time.Time) {
	if now.Sub(s.tried) >= trialSpan {
		s.tried = time.Time{}
	}
	if now.Sub(s.sampled) < time.Second {
		return
	}
	s.sampled = now
	s.recent = s.recent[:0]
	s.allowance = min(s.allowance+idleRecovery, fullSpeed-s.measured)
}

// Value returns the speed in per mille of the typical one.
func (s *Speed) Value() int {
	if s.tried.IsZero() {
		return s.measured + s.allowance
	}
	return s.measured
}

// Limit returns how many of the slots should be used at this speed.
func (s *Speed) Limit(slots int) int {
	wanted := slots * s.Value() * limitHeadroom / (fullSpeed * fullSpeed)
	return max(1, min(slots, wanted))
}
