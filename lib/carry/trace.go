package carry

import (
	"slices"
	"time"
)

// A Trace is what a director knows of one flow.
type Trace struct {
	No    []Endpoint // agents that said no in a search
	Order []Endpoint // agents that a search would ask, silent ones last
	Owner Endpoint   // zero when no hint is kept
	Route string     // name; empty when there is none
}

// Trace returns what is known of a flow and changes nothing.
func (d *Director) Trace(now time.Time, flow Flow) Trace {
	var trace Trace
	if owner, ok := d.hints.Peek(now, flow); ok {
		trace.Owner = owner
	}
	if known, ok := d.searches.Peek(now, flow); ok {
		trace.No = slices.Clone(known.no)
	}
	route, ok := d.routes.ByAddress[flow.Service]
	if !ok {
		return trace
	}
	trace.Route = route.Name
	for _, service := range d.servicesOf(flow.Service, route.Service(flow)) {
		answering, silent := d.Agents.holders(now, service, flow, nil)
		trace.Order = append(append(trace.Order, answering...), silent...)
	}
	return trace
}

// Hints returns the number of flows whose agent is remembered.
func (d *Director) Hints() int { return d.hints.Len() }
