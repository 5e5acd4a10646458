package admit

import "time"

const (
	// coldSpeed is the assumed speed of a backend server that has just started, in per mille.
	coldSpeed = 250
	fullSpeed = 1000
	minSpeed  = 50
	// slowWeight is the weight in per cent of a sample that is slower than the current speed.
	slowWeight = 25
	// fastWeight is the weight in per cent of a sample that is faster than the current speed.
	fastWeight = 10
	// idleRecovery is how much speed returns per second without samples, in per mille.
	idleRecovery = 50
	// shedSlowdown is how many times slower than usual a shed request counts.
	shedSlowdown = 4
	// limitHeadroom lets the concurrency limit stay above the speed, in per mille.
	limitHeadroom = 1500
)

// A Speed follows how fast a backend server works compared with its typical durations.
type Speed struct {
	sampled time.Time
	value   int // per mille
}

// NewSpeed returns the speed of a backend server that has just started.
func NewSpeed(now time.Time) *Speed {
	return &Speed{sampled: now, value: coldSpeed}
}

// Sample records how long a request took and how long it typically takes.
func (s *Speed) Sample(now time.Time, took, typical time.Duration) {
	if typical <= 0 {
		return
	}
	s.sampled = now
	observed := fullSpeed
	if took > typical {
		observed = max(minSpeed, int(typical*fullSpeed/took))
	}
	weight := fastWeight
	if observed < s.value {
		weight = slowWeight
	}
	s.value += (observed - s.value) * weight / percent
	if observed == fullSpeed && s.value > fullSpeed-percent/fastWeight {
		s.value = fullSpeed
	}
}

// Shed records that the backend server turned a request away.
func (s *Speed) Shed(now time.Time, typical time.Duration) {
	s.Sample(now, typical*shedSlowdown, typical)
}

// Tick lets the speed recover while no sample comes.
func (s *Speed) Tick(now time.Time) {
	if now.Sub(s.sampled) < time.Second {
		return
	}
	s.sampled = now
	s.value = min(fullSpeed, s.value+idleRecovery)
}

// Value returns the speed in per mille of the typical one.
func (s *Speed) Value() int { return s.value }

// Limit returns how many of the slots should be used at this speed.
func (s *Speed) Limit(slots int) int {
	wanted := slots * s.value * limitHeadroom / (fullSpeed * fullSpeed)
	return max(1, min(slots, wanted))
}
