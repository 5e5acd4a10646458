package flows

import "time"

// Share is the weight of one service in a route.
type Share struct {
	Service NameHash
	Weight  int
}

// Route maps the new flows to one service address to services.
type Route struct {
	Address       Endpoint
	LatencyTarget time.Duration // target latency of a response
	Name          string
	Shares        []Share       // services by weight, at least one
	Timeout       time.Duration // time after which the caller gives up
	Urgency       int           // greater is more urgent
}

// Routes is one version of the routing configuration.
type Routes struct {
	ByAddress   map[Endpoint]Route
	IdleTimeout time.Duration // time after which an idle flow may be forgotten; zero when not set
	Limits      map[NameHash]ServiceLimits
	Version     uint64
}

// ServiceFor returns the service for a flow on the route, chosen by weight from the flow's hash.
func (r Route) ServiceFor(flow Flow) NameHash {
	total := 0
	for _, share := range r.Shares {
		total += share.Weight
	}
	if total <= 0 {
		return r.Shares[0].Service
	}
	point := int(flow.Hash() % uint64(total))
	for _, share := range r.Shares {
		if point < share.Weight {
			return share.Service
		}
		point -= share.Weight
	}
	return r.Shares[0].Service
}

// HasService reports whether the service is among the route's shares.
func (r Route) HasService(service NameHash) bool {
	for _, share := range r.Shares {
		if share.Service == service {
			return true
		}
	}
	return false
}
