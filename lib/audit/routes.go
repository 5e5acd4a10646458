package audit

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"
)

const percent = 100

// matchKey identifies the routes that compete for the same flows or requests.
type matchKey struct {
	address netip.AddrPort
	method  string
	owner   string
}

// nameKey identifies a route.
type nameKey struct {
	name  string
	owner string
}

func (r Route) nameKey() nameKey { return nameKey{name: r.Name, owner: r.Owner} }

func (c *checker) checkRoutes() {
	names := map[nameKey]Route{}
	for _, route := range c.config.Routes {
		c.checkRouteName(route, names)
		if route.Owner == "" {
			c.checkAddress(route.Place, route.Address)
			c.checkShares(route)
		}
		c.checkTimes(route)
	}
	c.checkShadowed()
}

func (c *checker) checkRouteName(route Route, names map[nameKey]Route) {
	place := c.schema.at(route.Place, FieldName)
	if route.Name == "" {
		c.invalid(place, "the "+c.schema.Route+" has no name", "give it a name that no other one has")
		return
	}
	if other, exists := names[route.nameKey()]; exists {
		c.invalid(place, "the name "+quote(route.Name)+" is also that of "+other.Place, "give each "+c.schema.Route+" its own name")
		return
	}
	names[route.nameKey()] = route
}

func (c *checker) checkTimes(route Route) {
	if route.Endless {
		return
	}
	c.checkPositive(route.Place, FieldTimeout, int64(route.Timeout), "timeout")
	c.checkPositive(route.Place, FieldLatencyTarget, int64(route.LatencyTarget), "latency target")
	c.checkPositive(route.Place, FieldTypicalDuration, int64(route.TypicalDuration), "typical duration")
	c.checkPositive(route.Place, FieldQueueLimit, route.QueueLimit, "queue limit")
	if route.Timeout <= 0 {
		return
	}
	c.checkBelowTimeout(route, FieldLatencyTarget, route.LatencyTarget, "latency target")
	c.checkBelowTimeout(route, FieldTypicalDuration, route.TypicalDuration, "typical duration")
}

func (c *checker) checkBelowTimeout(route Route, field Field, value time.Duration, what string) {
	if value > route.Timeout {
		c.contradiction(c.schema.at(route.Place, field), fmt.Sprintf("the %s of %v is above the timeout of %v", what, value, route.Timeout),
			"reduce the "+what+" or raise the timeout")
	}
}

// checkShares reports services that are not listed and weights that can't be used.
func (c *checker) checkShares(route Route) {
	if len(route.Shares) == 0 {
		c.invalid(c.schema.at(route.Place, FieldService), "the "+c.schema.Route+" has no service", "name a service that receives its flows")
		return
	}
	anyPositive, seen := false, map[string]bool{}
	for _, share := range route.Shares {
		place := c.schema.at(share.Place, FieldService)
		switch {
		case share.Service == "":
			c.invalid(place, "the name of the service is missing", "name a service")
		case seen[share.Service]:
			c.invalid(place, "the service "+quote(share.Service)+" is named twice by the same "+c.schema.Route, "add the weights up in one share")
		case c.config.ServicesListed && !c.services[share.Service]:
			c.invalid(place, "the service "+quote(share.Service)+" is not among the services", "add the service or correct the name")
		}
		seen[share.Service] = true
		anyPositive = anyPositive || share.Weight > 0
	}
	c.checkWeights(route, anyPositive)
}

// checkWeights reports negative weights, and those of zero depending on whether another share has a positive one.
func (c *checker) checkWeights(route Route, anyPositive bool) {
	for _, share := range route.Shares {
		place := c.schema.at(share.Place, FieldWeight)
		switch {
		case share.Weight < 0:
			c.invalid(place, fmt.Sprintf("the weight %d is negative", share.Weight), "give a weight above zero, or remove the share")
		case share.Weight == 0 && anyPositive:
			c.add(SeverityNote, ClassUnreachable, place, "the share has weight 0 beside others, so that "+quote(share.Service)+" receives no new flow",
				"remove the share unless this is intended")
		case share.Weight == 0:
			c.invalid(place, "no share of the "+c.schema.Route+" has a weight above zero", "give at least one share a weight above zero")
		}
	}
}

// checkShadowed reports each route that can't match because another one matches all that it matches.
func (c *checker) checkShadowed() {
	groups := map[matchKey][]Route{}
	for _, route := range c.config.Routes {
		key := matchKey{address: route.Address, method: route.Method, owner: route.Owner}
		switch {
		case route.Owner != "": // routes of a service compete within it
			key.address = netip.AddrPort{}
			if route.Method == "" || route.PathPrefix == "" {
				continue
			}
		case !canReceive(route.Address):
			continue
		}
		groups[key] = append(groups[key], route)
	}
	for _, routes := range groups {
		for i, winner := range c.findWinners(routes) {
			if winner != i {
				c.addShadowed(routes[i], routes[winner])
			}
		}
	}
}

// findWinners returns for each of the routes that compete the index of the one that takes effect where it would match.
func (c *checker) findWinners(routes []Route) []int {
	if c.schema.FirstMatchWins {
		return findFirstCovering(routes)
	}
	winners := make([]int, len(routes))
	for i := range winners {
		winners[i] = len(routes) - 1
	}
	return winners
}

// findFirstCovering returns for each route the index of the first one whose path prefix covers its own.
func findFirstCovering(routes []Route) []int {
	order := make([]int, len(routes))
	for i := range order {
		order[i] = i
	}
	// In this order, the prefixes that cover a path prefix come before it, and all between them and it are covered by them too.
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(strings.Compare(routes[a].PathPrefix, routes[b].PathPrefix), cmp.Compare(a, b))
	})
	first := make([]int, len(routes))
	var covering []int // routes whose prefixes cover the present one, shortest first
	for _, i := range order {
		for len(covering) > 0 && !strings.HasPrefix(routes[i].PathPrefix, routes[covering[len(covering)-1]].PathPrefix) {
			covering = covering[:len(covering)-1]
		}
		first[i] = i
		if len(covering) > 0 {
			first[i] = min(i, first[covering[len(covering)-1]])
		}
		covering = append(covering, i)
	}
	return first
}

func (c *checker) addShadowed(route, other Route) {
	what := "the same address and port " + route.Address.String()
	if route.Owner != "" {
		what = "the same method and a path prefix that covers this one"
	}
	c.add(SeverityError, ClassUnreachable, route.Place,
		fmt.Sprintf("%s never matches: %s (%s) has %s and takes precedence", c.label(route), c.label(other), other.Place, what),
		"remove one of the two, or make them differ")
}
