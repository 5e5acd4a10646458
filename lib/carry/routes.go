package carry

import "time"

// A Share is the weight of one service in a route.
type Share struct {
	Service ServiceID
	Weight  int
}

// A Route says where new flows to one address go.
type Route struct {
	Address Endpoint
	Aim     time.Duration // within which a response is wanted
	Name    string
	Shares  []Share       // at least one
	Timeout time.Duration // after which a response is worthless
	Urgency int           // greater is more urgent
}

// Routes are one version of the configuration.
type Routes struct {
	ByAddress   map[Endpoint]Route
	IdleTimeout time.Duration // after which an idle flow may be forgotten; zero when not set
	Version     uint64
}

// Service returns the service of a new flow on the route.
func (r Route) Service(flow Flow) ServiceID {
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

// Sends reports whether the route may send flows to the service.
func (r Route) Sends(service ServiceID) bool {
	for _, share := range r.Shares {
		if share.Service == service {
			return true
		}
	}
	return false
}
