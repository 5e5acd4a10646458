package carry

import (
	"cmp"
	"slices"
	"time"
)

const (
	// candidateCount is how many agents are compared for a new flow.
	candidateCount = 3
	// flowWeight is the share of a slot that an open flow is expected to need.
	flowWeight = 0.05
	// warmingFactor is how much dearer work is on a backend server that has just started.
	warmingFactor = 1.6
	// zoneMargin is how much more utilised a candidate may be for being in the balancer's own zone.
	zoneMargin = 0.1
)

// candidates returns the agents that a new flow is offered to, in its order.
func (a *Agents) candidates(now time.Time, service ServiceID, flow Flow, skip []Endpoint) []Endpoint {
	var chosen []Endpoint
	a.used[service] = now
	for _, member := range a.ranked(service, flow) {
		if !member.eligible(now) || slices.Contains(skip, member.address) {
			continue
		}
		chosen = append(chosen, member.address)
		if len(chosen) == candidateCount {
			break
		}
	}
	return chosen
}

// sortByCost puts the candidates with the least work first, those in the zone before others that are about as busy.
func (a *Agents) sortByCost(candidates []Endpoint, zone ServiceID) {
	slices.SortStableFunc(candidates, func(x, y Endpoint) int {
		return cmp.Compare(a.byAddress[x].cost(zone), a.byAddress[y].cost(zone))
	})
}

// leastLoaded returns the eligible agent of a service with the lowest utilisation.
func (a *Agents) leastLoaded(now time.Time, service ServiceID) (Endpoint, bool) {
	var best *agent
	for _, member := range a.byService[service] {
		if member.eligible(now) && (best == nil || member.utilisation() < best.utilisation()) {
			best = member
		}
	}
	if best == nil {
		return Endpoint{}, false
	}
	return best.address, true
}

// holders returns the agents that may hold a flow of a service: first those that answer, then the silent ones.
func (a *Agents) holders(now time.Time, service ServiceID, flow Flow, no []Endpoint) (answering, silent []Endpoint) {
	a.used[service] = now
	for _, member := range a.ranked(service, flow) {
		switch {
		case slices.Contains(no, member.address) || a.Lost(now, member.address):
		case member.suspect(now) || member.stale(now):
			silent = append(silent, member.address)
		default:
			answering = append(answering, member.address)
		}
	}
	for _, address := range a.Unheard(now) {
		if !slices.Contains(no, address) {
			silent = append(silent, address)
		}
	}
	return answering, silent
}

// utilisation returns the expected part of the backend server's slots in use; over one means that work waits.
func (g *agent) utilisation() float64 {
	slots := float64(max(g.report.Slots, 1))
	busy := (float64(g.report.Busy)+g.mean)/2 + float64(g.assigned)
	used := (busy + flowWeight*float64(g.report.Flows)) / slots
	if g.report.Warming {
		used *= warmingFactor
	}
	return used
}

func (g *agent) cost(zone ServiceID) float64 {
	cost := g.utilisation()
	if g.report.Zone != zone {
		cost += zoneMargin
	}
	return cost
}
