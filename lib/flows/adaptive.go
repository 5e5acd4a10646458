package flows

import (
	"slices"
	"time"

	"github.com/cyclamendock/cyclamendock/lib/quota"
)

// Admission selects how balancers and agents decide when not all requests can be served in time.
type Admission string

const (
	// AdmissionAdaptive delivers few requests ahead of the slots, so that the agent and not the backend server decides which
	// one is next, refuses new flows early, and bounds the hand-overs of those that are refused in the end.
	AdmissionAdaptive Admission = "adaptive"
	// AdmissionFixed delivers as many requests as are expected to be answered within half of their latency target.
	AdmissionFixed Admission = ""
)

const (
	// adaptiveSharePercent is the share of the latency target that waiting and service at the backend server may take. With
	// 50 %, backend servers still refuse requests that the agent could have held back; with 30 %, slots stay idle while new
	// flows open.
	adaptiveSharePercent = 40
	// openingSharePercent is the share of the latency target for which a new flow may stay queued. Hops on the way there
	// and back take as much again, and a refusal is to reach its caller before a quarter of the target has passed.
	openingSharePercent = 10
	// smallRouteSharePercent is that share for routes with less demand than the mean of all routes at the agent. Their
	// requests take turns with those of a flood, and may wait longer than these.
	smallRouteSharePercent = 16
	// handOverBurst and handOverShare bound the new flows of a route that are refused by several agents: so many at once,
	// and this share of the new flows that are placed.
	handOverBurst = 20
	handOverShare = 0.1
)

// mayDeliver reports whether one more request or new flow may be delivered to the backend server now.
func (d *Dispatcher) mayDeliver(target time.Duration) bool {
	load := d.serverLoad()
	if d.config.Admission != AdmissionAdaptive {
		return load.meetsTarget(target)
	}
	return load.Busy < load.Slots || load.expectedLatency(target) <= target*adaptiveSharePercent/percent
}

// recordDemand records that a request or new flow of a route has reached this agent.
func (d *Dispatcher) recordDemand(now time.Time, p Packet) {
	if d.config.Admission == AdmissionAdaptive {
		d.demand.record(now, p.Destination)
	}
}

// maxOpeningWait returns how long a new flow may stay queued.
func (d *Dispatcher) maxOpeningWait(now time.Time, f *Forward, p Packet) time.Duration {
	if !d.isSaturated(now, f) {
		return maxOpeningWait
	}
	if d.demand.belowMean(now, p.Destination) {
		return f.LatencyTarget * smallRouteSharePercent / percent
	}
	return f.LatencyTarget * openingSharePercent / percent
}

// isSaturated reports whether adaptive admission refuses new flows of a route early: requests have missed their latency targets in the
// queue for longer than callers of the route wait. A shorter backlog, as after a loss of power, is served late rather than refused, since
// callers run out of attempts before it is gone.
func (d *Dispatcher) isSaturated(now time.Time, f *Forward) bool {
	return d.config.Admission == AdmissionAdaptive && d.overload.lastsFor(now, f.Timeout)
}

// refusesEarly reports whether a new flow that is queued now would not be delivered within its wait. A flood on another
// route counts only with as many entries as this route has, as routes take turns.
func (d *Dispatcher) refusesEarly(now time.Time, f *Forward, p Packet) bool {
	return p.OpeningAge+d.queuedWait(now, f, p) > d.maxOpeningWait(now, f, p)
}

// queuedWait returns the time for which a new flow that is queued now is expected to stay queued.
func (d *Dispatcher) queuedWait(now time.Time, f *Forward, p Packet) time.Duration {
	load := d.serverLoad()
	load.Busy = max(load.Slots, 1) + d.queue.countAhead(p.Destination, now.Add(-f.LatencyTarget))
	return load.expectedLatency(f.LatencyTarget) - load.expectedServiceTime(f.LatencyTarget)
}

// countAhead returns how many entries that were requested after the given time are dequeued before a new entry of a
// route: those of the route itself, and as many of each other route, as routes take turns.
func (q *WaitQueue) countAhead(address Endpoint, after time.Time) int {
	own := 0
	if route := q.routes[address]; route != nil {
		own = route.countAfter(after)
	}
	count := own
	for other, route := range q.routes {
		if other != address {
			count += min(route.countAfter(after), own+1)
		}
	}
	return count
}

// handOverQuotas holds the quota of each route for hand-overs of new flows that are refused in the end. A new flow beyond
// the quota is decided about by the first agent that it reaches.
type handOverQuotas map[Endpoint]*quota.Quota

// place records that a new flow of a route is placed, and reports whether it may be handed over because of load.
func (h handOverQuotas) place(route Endpoint) bool {
	if h[route] == nil {
		h[route] = quota.New(handOverShare, handOverBurst)
	}
	h[route].Earn()
	return h[route].Allows()
}

// recordRefused records that a new flow has been refused after the given agents have rejected it.
func (h handOverQuotas) recordRefused(route Endpoint, rejectedBy []Endpoint) {
	if h[route] != nil && len(slices.Compact(slices.Clone(rejectedBy))) > 1 {
		h[route].Take()
	}
}

// retain removes the quotas of routes that are no longer configured.
func (h handOverQuotas) retain(routes Routes) {
	for address := range h {
		if _, ok := routes.ByAddress[address]; !ok {
			delete(h, address)
		}
	}
}
