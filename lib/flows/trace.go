package flows

import (
	"slices"
	"time"
)

// Trace describes a director's state for one flow.
type Trace struct {
	Owner       Endpoint   // agent in the hint cache; zero when there is none
	RejectedBy  []Endpoint // agents that do not hold the flow, as found by a search
	Route       string     // name of the route; empty when there is none
	SearchOrder []Endpoint // agents that a search would try, in order, silent ones last
}

// Trace returns the director's state for a flow without changing it.
func (d *Director) Trace(now time.Time, flow Flow) Trace {
	var trace Trace
	if owner, ok := d.hints.Peek(now, flow); ok {
		trace.Owner = owner
	}
	if search, ok := d.searches.Peek(now, flow); ok {
		trace.RejectedBy = slices.Clone(search.rejectedBy)
	}
	route, ok := d.routes.ByAddress[flow.Service]
	if !ok {
		return trace
	}
	trace.Route = route.Name
	for _, service := range d.searchOrder(flow.Service, route.ServiceFor(flow)) {
		responsive, silent := d.holders(now, service, flow, nil)
		trace.SearchOrder = append(append(trace.SearchOrder, responsive...), silent...)
	}
	return trace
}

// HintCount returns the number of entries in the hint cache.
func (d *Director) HintCount() int { return d.hints.Len() }
