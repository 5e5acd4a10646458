package flows

import "time"

const (
	percent = 100
	// likelyLatencyPercent is the likely latency in percent of the expected one; service times vary.
	likelyLatencyPercent = 150
	// queuedSharePercent is the share of the latency target within which a queued flow must be expected to be answered while
	// an overload lasts.
	queuedSharePercent = 70
	// targetSharePercent is the share of the latency target that queueing and service may use; the rest is for the
	// handshake and variance.
	targetSharePercent = 50
	// unknownServiceTimeDivisor divides the latency target to estimate a service time that has not been measured.
	unknownServiceTimeDivisor = 4
)

// expectedLatency returns the time until one more request is expected to be answered.
func (r Report) expectedLatency(target time.Duration) time.Duration {
	slots := max(r.Slots, 1)
	concurrency := max(r.Busy+1, slots)
	return r.expectedServiceTime(target) * time.Duration(concurrency) / time.Duration(slots)
}

// expectedServiceTime returns the mean service time, or an estimate by the latency target until it is known.
func (r Report) expectedServiceTime(target time.Duration) time.Duration {
	if r.MeanServiceTime == 0 {
		return target / unknownServiceTimeDivisor
	}
	return r.MeanServiceTime
}

// likelyLatency returns a time within which one more request will most likely be answered; zero when no service time is
// known.
func (r Report) likelyLatency() time.Duration {
	return r.expectedLatency(0) * likelyLatencyPercent / percent
}

// meetsTarget reports whether one more request finds a free slot or is expected to meet its latency target.
func (r Report) meetsTarget(target time.Duration) bool {
	return r.Busy < r.Slots || r.expectedLatency(target) <= target*targetSharePercent/percent
}
