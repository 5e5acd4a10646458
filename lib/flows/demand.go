package flows

import (
	"math"
	"time"
)

const (
	// demandMemory is the time after which a request counts 1/e in the demand of its route.
	demandMemory = time.Second
	// minDemand is the demand below which a route is forgotten.
	minDemand = 0.05
	million   = 1e6
)

// demand tracks how many requests and new flows of each route reach an agent, those of the last second above all.
type demand map[Endpoint]*routeDemand

type routeDemand struct {
	at    time.Time // when count was valid
	count float64   // requests and new flows, weighted by their age
}

// decay brings the count up to date.
func (r *routeDemand) decay(now time.Time) {
	r.count *= math.Exp(-now.Sub(r.at).Seconds() / demandMemory.Seconds())
	r.at = now
}

// record records a request or new flow of a route.
func (d demand) record(now time.Time, address Endpoint) {
	route := d[address]
	if route == nil {
		route = &routeDemand{at: now}
		d[address] = route
	}
	route.decay(now)
	route.count++
}

// belowMean reports whether a route has less demand than the mean of all routes that have any.
func (d demand) belowMean(now time.Time, address Endpoint) bool {
	total, own := int64(0), int64(0) // in millionths: the sum of integers does not depend on the order of a map
	for other, route := range d {
		route.decay(now)
		if route.count < minDemand {
			delete(d, other)
			continue
		}
		millionths := int64(route.count * million)
		total += millionths
		if other == address {
			own = millionths
		}
	}
	return own*int64(len(d)) < total
}
