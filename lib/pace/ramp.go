package pace

import "time"

// Cause tells why a ramp has begun.
type Cause string

// The causes of ramps.
const (
	// CauseFailing means that most responses of late have failed.
	CauseFailing Cause = "failing"
	// CauseReachable means that balancers have reached the agent again after a time in which none did.
	CauseReachable Cause = "reachable"
	// CauseReady means that the backend server has become ready again.
	CauseReady Cause = "ready"
	// CauseSlow means that responses of late take several times the usual service time.
	CauseSlow Cause = "slow"
	// CauseStart means that a process of the backend server has started.
	CauseStart Cause = "start"
)

const (
	// endingFactor times the usual service time is the recent one above which a new ramp begins. It exceeds slowFactor, so that a
	// backend server that has just ended a ramp doesn't begin the next one at once.
	endingFactor = 3.0
	// failureShare is the share of failed responses above which a new ramp begins.
	failureShare = 0.5
	// maxBackoff is the smallest factor by which slow responses reduce the limit at once.
	maxBackoff = 0.5
	// maxPause is the longest time without new flows after a failed response.
	maxPause = 2 * time.Second
	// maxRamp is the time after which a ramp ends that no response has failed in: responses that are still slow then are usual.
	maxRamp = 10 * time.Second
	// minLimit is the lowest limit: without any request there is no response that could raise it.
	minLimit = 1.0
	// minPause is the time without new flows after the first failed response at the lowest limit. A limit of requests in progress
	// alone would not hold back a backend server that fails at once.
	minPause = 50 * time.Millisecond
	// minSamples is the number of responses from which averages of late are relied on.
	minSamples = 8
	// recentWeight is the weight of a response in the averages of late.
	recentWeight = 0.2
	// referenceSamples is the number of responses at the start of a ramp whose service time is the reference while no usual one is
	// known. So few requests run then that they don't slow each other down.
	referenceSamples = 3
	// slowFactor times the usual service time is the recent one from which responses count as slow. A backend server that works at 0.6
	// of its speed takes 1.7 times as long, which more requests in progress don't cause.
	slowFactor = 2.0
	// usualWeight is the weight of a response in the usual service time. It lets a slow-down of a hundred responses stand out.
	usualWeight = 0.02
)

// Response describes a response of the backend server.
type Response struct {
	Failed      bool          // it states an error, or did not come in time
	ServiceTime time.Duration // without the time that the request waited for others; ignored if Failed
}

// ramp limits the requests in progress of a backend server that starts or recovers: to one slot at first, one more with each good
// response that comes while the limit is used, and less on slow or failed responses.
type ramp struct {
	active        bool
	began         time.Time
	cause         Cause
	failures      float64       // average of late of failed responses, from 0 to 1
	lastBackoff   time.Time     // when slow responses last reduced the limit
	lastFailure   time.Time     // zero when none has failed in this ramp
	limit         float64       // requests in progress
	pause         time.Duration // after the next failed response at the lowest limit
	pausedUntil   time.Time
	recent        time.Duration // average of late of the service time
	samples       int           // responses in recent and failures
	timed         int           // responses in recent
	usual         time.Duration // service time of good responses outside of ramps; zero until known
	startedWarmed bool          // usual was known when the ramp began
}

// begin begins a ramp, or begins the one in progress anew.
func (r *ramp) begin(now time.Time, cause Cause) {
	*r = ramp{active: true, began: now, cause: cause, limit: minLimit, pause: minPause, startedWarmed: r.usual > 0, usual: r.usual}
}

// record applies a response that came while busy requests, including its own, were in progress.
func (r *ramp) record(now time.Time, response Response, busy int, cold bool) {
	r.samples++
	if response.Failed {
		r.failures += (1 - r.failures) * recentWeight
	} else {
		r.failures -= r.failures * recentWeight
		r.recordTime(response.ServiceTime, cold)
	}
	switch {
	case !r.active:
		r.watch(now)
	case response.Failed:
		r.backOffFailed(now)
	case r.slow(slowFactor):
		r.backOffSlow(now)
	case float64(busy) >= r.limit/2:
		r.pause = minPause
		r.limit++
	}
}

// recordTime updates the averages of the service time. That of a cold backend server is not usual.
func (r *ramp) recordTime(serviceTime time.Duration, cold bool) {
	r.timed++
	weight := max(recentWeight, 1/float64(r.timed))
	r.recent += time.Duration(float64(serviceTime-r.recent) * weight)
	switch {
	case !r.active && cold:
	case !r.active && r.usual == 0:
		r.usual = serviceTime
	case !r.active:
		r.usual += time.Duration(float64(serviceTime-r.usual) * usualWeight)
	case !r.startedWarmed && r.timed <= referenceSamples:
		r.usual = r.recent
	}
}

// watch begins a ramp when responses have become slow or fail.
func (r *ramp) watch(now time.Time) {
	switch {
	case r.samples < minSamples:
	case r.failures > failureShare:
		r.begin(now, CauseFailing)
	case r.slow(endingFactor):
		r.begin(now, CauseSlow)
	}
}

// slow reports whether the service time of late exceeds the usual one by the given factor.
func (r *ramp) slow(factor float64) bool {
	return r.usual > 0 && float64(r.recent) > factor*float64(r.usual)
}

// backOffFailed reduces the limit after a failed response, and pauses new flows when it is the lowest.
func (r *ramp) backOffFailed(now time.Time) {
	r.lastFailure = now
	if r.limit > minLimit {
		r.limit = max(minLimit, r.limit/2)
		return
	}
	r.pausedUntil = now.Add(r.pause)
	r.pause = min(2*r.pause, maxPause)
}

// backOffSlow reduces the limit by how slow the responses are, once in the time that a response takes.
func (r *ramp) backOffSlow(now time.Time) {
	if now.Sub(r.lastBackoff) < r.recent {
		return
	}
	r.lastBackoff = now
	r.limit = max(minLimit, r.limit*max(maxBackoff, slowFactor*float64(r.usual)/float64(r.recent)))
}

// update ends a ramp and reports whether it did: once all slots may be used, or after maxRamp without failed responses.
func (r *ramp) update(now time.Time, slots int, cold bool) bool {
	if !r.active {
		return false
	}
	r.limit = min(r.limit, float64(slots+1))
	full := r.limit > float64(slots)
	expired := now.Sub(r.began) > maxRamp && now.Sub(r.lastFailure) > maxRamp
	if !full && !expired {
		return false
	}
	if expired && r.recent > 0 && !cold {
		r.usual = r.recent
	}
	r.active = false
	r.failures, r.recent, r.samples, r.timed = 0, 0, 0, 0
	return true
}

// room returns how many more requests may be in progress while a ramp lasts.
func (r *ramp) room(now time.Time, busy, slots int) int {
	if now.Before(r.pausedUntil) {
		return 0
	}
	return max(0, min(int(r.limit), slots)-busy)
}
