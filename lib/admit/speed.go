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
	// limitHeadroom is the concurrency limit in per mille of the slots that correspond to the speed.
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

// NewSpeedEstimator returns an estimator for a backend server that has just started.
func NewSpeedEstimator(now time.Time) *SpeedEstimator {
	return &SpeedEstimator{lastUpdate: now, measured: initialSpeed}
}

// RecordDuration records the duration of a request and the typical duration of its kind.
func (e *SpeedEstimator) RecordDuration(now time.Time, duration, typical time.Duration) {
	if typical <= 0 {
		return
	}
	e.lastUpdate = now
	median := e.addSample(relativeSpeed(duration, typical))
	if expected := e.measured + e.idleAllowance; median >= expected {
		e.measured = expected
	}
	e.sampledSlow = median < e.measured
	e.idleAllowance = 0
	e.trialStart = time.Time{}
	weight := fastWeight
	if median < e.measured {
		weight = slowWeight
		if len(e.recentSamples) == 1 {
			weight = firstSlowWeight
		}
	}
	e.measured += (median - e.measured) * weight / percent
	// Integer division would otherwise stop the average just below full speed.
	if median == fullSpeed && e.measured > fullSpeed-percent/fastWeight {
		e.measured = fullSpeed
	}
}

// addSample records a sample and returns the median of the latest samples, which ignores a few slow outliers.
func (e *SpeedEstimator) addSample(sample int) int {
	e.recentSamples = append(e.recentSamples, sample)
	if len(e.recentSamples) > medianWindow {
		e.recentSamples = e.recentSamples[1:]
	}
	ordered := slices.Sorted(slices.Values(e.recentSamples))
	return ordered[len(ordered)/2]
}

func relativeSpeed(duration, typical time.Duration) int {
	if duration <= typical {
		return fullSpeed
	}
	return max(minSpeed, int(typical*fullSpeed/duration))
}

// RecordShed records that the backend server rejected a request because it was overloaded.
func (e *SpeedEstimator) RecordShed(now time.Time, typical time.Duration) {
	e.RecordDuration(now, typical*shedSlowdown, typical)
}

// RecordNewFlow records a new flow. If the backend server was slow when last sampled, the idle allowance does not count
// until the next sample or until the trial ends, so that the server gets one trial flow at a time.
func (e *SpeedEstimator) RecordNewFlow(now time.Time) {
	if e.sampledSlow && e.idleAllowance > 0 {
		e.trialStart = now
	}
}

// Tick raises the speed during time without samples, so that a slow backend server gets new flows again.
func (e *SpeedEstimator) Tick(now time.Time) {
	if now.Sub(e.trialStart) >= trialDuration {
		e.trialStart = time.Time{}
	}
	if now.Sub(e.lastUpdate) < time.Second {
		return
	}
	e.lastUpdate = now
	e.recentSamples = e.recentSamples[:0]
	e.idleAllowance = min(e.idleAllowance+idleRecoveryRate, fullSpeed-e.measured)
}

// Value returns the speed in per mille of the typical speed.
func (e *SpeedEstimator) Value() int {
	if e.trialStart.IsZero() {
		return e.measured + e.idleAllowance
	}
	return e.measured
}

// Limit returns the concurrency limit for this speed, between one and the number of slots.
func (e *SpeedEstimator) Limit(slots int) int {
	limit := slots * e.Value() * limitHeadroom / (fullSpeed * fullSpeed)
	return max(1, min(slots, limit))
}
