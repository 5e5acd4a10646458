package admit

import (
	"slices"
	"time"
)

const (
	// initialSpeed is the assumed speed of a backend server that has just started, in per mille.
	initialSpeed = 250
	fullSpeed    = 1000 // per mille
	minSpeed     = 50   // per mille
	// medianWindow is the number of latest samples whose median is used.
	medianWindow = 5
	// slowWeight is the weight in per cent of a median below the current speed.
	slowWeight = 25
	// fastWeight is the weight in per cent of a median at or above the current speed. It is small so that backend
	// servers that warm up together keep similar speeds, whichever of them gets the first requests.
	fastWeight = 10
	// firstSlowWeight is the weight in per cent of the first sample after idle time when it is slow.
	firstSlowWeight = 50
	// idleRecoveryRate is the speed added per second without samples, in per mille.
	idleRecoveryRate = 50
	// trialDuration is how long a new flow on a recovering backend server holds back the idle allowance.
	trialDuration = time.Second
	// shedSlowdown is the multiple of the typical duration at which a shed request is sampled.
	shedSlowdown = 4
	// limitHeadroom is the ratio of the concurrency limit to the speed, in per mille.
	limitHeadroom = 1500
)

// SpeedEstimator estimates how fast a backend server handles requests relative to their typical durations.
type SpeedEstimator struct {
	idleAllowance int       // speed added during idle time and not confirmed by a sample yet, in per mille
	lastUpdate    time.Time // time of the latest sample or idle recovery step
	measured      int       // speed according to the samples, in per mille
	recentSamples []int     // up to medianWindow latest samples, in per mille
	sampledSlow   bool      // the latest median was below the measured speed
	trialStart    time.Time // time of the latest new flow admitted on the idle allowance, zero without a trial
}

// NewSpeedEstimator returns an estimate for a backend server that has just started.
func NewSpeedEstimator(now time.Time) *SpeedEstimator {
	return &SpeedEstimator{lastUpdate: now, measured: initialSpeed}
}

// RecordDuration records the duration of a request and the typical duration of its kind.
func (s *SpeedEstimator) RecordDuration(now time.Time, duration, typical time.Duration) {
	if typical <= 0 {
		return
	}
	s.lastUpdate = now
	median := s.medianWith(relativeSpeed(duration, typical))
	if expected := s.measured + s.idleAllowance; median >= expected {
		s.measured = expected
	}
	s.sampledSlow = median < s.measured
	s.idleAllowance = 0
	s.trialStart = time.Time{}
	weight := fastWeight
	if median < s.measured {
		weight = slowWeight
		if len(s.recentSamples) == 1 {
			weight = firstSlowWeight
		}
	}
	s.measured += (median - s.measured) * weight / percent
	// Integer division would otherwise stop the average just below full speed.
	if median == fullSpeed && s.measured > fullSpeed-percent/fastWeight {
		s.measured = fullSpeed
	}
}

// medianWith adds a sample and returns the median of the latest samples, which ignores a few slow outliers.
func (s *SpeedEstimator) medianWith(sample int) int {
	s.recentSamples = append(s.recentSamples, sample)
	if len(s.recentSamples) > medianWindow {
		s.recentSamples = s.recentSamples[1:]
	}
	ordered := slices.Sorted(slices.Values(s.recentSamples))
	return ordered[len(ordered)/2]
}

func relativeSpeed(duration, typical time.Duration) int {
	if duration <= typical {
		return fullSpeed
	}
	return max(minSpeed, int(typical*fullSpeed/duration))
}

// RecordShed records that the backend server rejected a request because it was overloaded.
func (s *SpeedEstimator) RecordShed(now time.Time, typical time.Duration) {
	s.RecordDuration(now, typical*shedSlowdown, typical)
}

// RecordNewFlow records a new flow. If the backend server was slow when last sampled, the idle allowance does not count until
// the next sample or until the trial ends, so that the server gets one trial flow at a time.
func (s *SpeedEstimator) RecordNewFlow(now time.Time) {
	if s.sampledSlow && s.idleAllowance > 0 {
		s.trialStart = now
	}
}

// Tick raises the speed during time without samples, so that a slow backend server gets new flows again.
func (s *SpeedEstimator) Tick(now time.Time) {
	if now.Sub(s.trialStart) >= trialDuration {
		s.trialStart = time.Time{}
	}
	if now.Sub(s.lastUpdate) < time.Second {
		return
	}
	s.lastUpdate = now
	s.recentSamples = s.recentSamples[:0]
	s.idleAllowance = min(s.idleAllowance+idleRecoveryRate, fullSpeed-s.measured)
}

// Value returns the speed in per mille of the typical speed.
func (s *SpeedEstimator) Value() int {
	if s.trialStart.IsZero() {
		return s.measured + s.idleAllowance
	}
	return s.measured
}

// Limit returns the concurrency limit for this speed, between one and the number of slots.
func (s *SpeedEstimator) Limit(slots int) int {
	limit := slots * s.Value() * limitHeadroom / (fullSpeed * fullSpeed)
	return max(1, min(slots, limit))
}
