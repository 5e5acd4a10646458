package flows

import (
	"cmp"
	"slices"
	"time"
)

const (
	// candidateCount is how many agents are compared for a new flow.
	candidateCount = 3
	// otherZoneCost is the utilisation that is added to the cost of a candidate in another zone than the balancer's.
	otherZoneCost = 0.1
	// slotsPerFlow is the number of slots that an open flow is expected to occupy on average.
	slotsPerFlow = 0.05
)

// candidates returns the first agents in the hash order of a new flow that can be given new flows, without those in
// skip. Those without room are left out while others have some.
func (a *Agents) candidates(now time.Time, service NameHash, flow Flow, skip []Endpoint) []Endpoint {
	var chosen, withoutRoom []Endpoint
	a.lastUsed[service] = now
	mayPlace := a.placementFilter(now, service)
	usable := a.placeable(service, func(agent *agentState) bool { return mayPlace(agent) && agent.hasRoom() })
	for _, agent := range rankedBy(usable, flow) {
		switch {
		case !mayPlace(agent) || slices.Contains(skip, agent.address):
		case agent.hasRoom():
			chosen = append(chosen, agent.address)
		case len(withoutRoom) < candidateCount:
			withoutRoom = append(withoutRoom, agent.address)
		}
		if len(chosen) == candidateCount {
			break
		}
	}
	if len(chosen) == 0 {
		return withoutRoom
	}
	return chosen
}

// hasRoom reports whether an agent is expected to accept one more new flow.
func (a *Agents) hasRoom(address Endpoint) bool {
	agent := a.byAddress[address]
	return agent == nil || agent.hasRoom()
}

// hasRoom reports whether an agent is expected to accept one more new flow.
func (s *agentState) hasRoom() bool { return !s.report.RoomLimited || s.report.Room > s.assigned }

// recordNoRoom records that agents have rejected a new flow for lack of room, until their next reports.
func (a *Agents) recordNoRoom(agents []Endpoint) {
	for _, address := range agents {
		if agent := a.byAddress[address]; agent != nil {
			agent.report.Room, agent.report.RoomLimited = 0, true
		}
	}
}

// placementFilter returns the condition on which an agent of a service is given new flows: it is eligible and on the list
// of members, by which other balancers find its flows, and is not in an evacuated availability zone. An agent that has restarted and can't read the list is used while
// the service has no listed one that may be alive, as after a power loss during an outage of the store.
func (a *Agents) placementFilter(now time.Time, service NameHash) func(*agentState) bool {
	needed := ListingUnknown
	for _, agent := range a.byService[service] {
		if agent.listing == ListingConfirmed && !a.Lost(now, agent.address) {
			needed = ListingConfirmed
		}
	}
	return func(agent *agentState) bool {
		return agent.listing == needed && agent.eligible(now) && !a.evacuated(agent)
	}
}

// Availability tells how many agents of a service a balancer knows, and what it can use them for.
type Availability struct {
	Known     int
	Evacuated int // in evacuated availability zones
	Ready     int // can be given new flows
	Silent    int // have an overdue report
}

// availability returns the availability of a service.
func (a *Agents) availability(now time.Time, service NameHash) Availability {
	mayPlace := a.placementFilter(now, service)
	var result Availability
	for _, agent := range a.byService[service] {
		result.Known++
		if a.evacuated(agent) {
			result.Evacuated++
		}
		switch {
		case mayPlace(agent):
			result.Ready++
		case agent.suspect(now):
			result.Silent++
		}
	}
	return result
}

// sortByCost sorts candidates by utilisation, with a small preference for those in the given zone.
func (a *Agents) sortByCost(candidates []Endpoint, zone NameHash) {
	slices.SortStableFunc(candidates, func(x, y Endpoint) int {
		return cmp.Compare(a.byAddress[x].cost(zone), a.byAddress[y].cost(zone))
	})
}

// leastLoaded returns the agent with the lowest utilisation among those of a service that can be given new flows. One that has room
// is preferred.
func (a *Agents) leastLoaded(now time.Time, service NameHash) (Endpoint, bool) {
	var best *agentState
	mayPlace := a.placementFilter(now, service)
	for _, agent := range a.byService[service] {
		if !mayPlace(agent) || best != nil && best.hasRoom() && !agent.hasRoom() {
			continue
		}
		if best == nil || agent.hasRoom() && !best.hasRoom() || agent.utilisation() < best.utilisation() {
			best = agent
		}
	}
	if best == nil {
		return Endpoint{}, false
	}
	return best.address, true
}

// holders returns the agents, except those in rejectedBy, that may hold a flow of a service: the responsive ones in hash
// order, and the silent ones.
func (a *Agents) holders(now time.Time, service NameHash, flow Flow, rejectedBy []Endpoint) (responsive, silent []Endpoint) {
	a.lastUsed[service] = now
	for _, agent := range a.ranked(service, flow) {
		switch {
		case slices.Contains(rejectedBy, agent.address) || a.Lost(now, agent.address):
		case agent.suspect(now) || agent.stale(now):
			if !agent.report.holdsNone() {
				silent = append(silent, agent.address)
			}
		default:
			responsive = append(responsive, agent.address)
		}
	}
	for _, address := range a.Unreported(now) {
		if !slices.Contains(rejectedBy, address) {
			silent = append(silent, address)
		}
	}
	return responsive, silent
}

// utilisation returns the expected fraction of the backend server's slots in use; above one, requests wait for a slot.
func (s *agentState) utilisation() float64 {
	slots := float64(max(s.report.Slots, 1))
	busy := (float64(s.report.Busy)+s.meanBusy)/2 + float64(s.assigned)
	return (busy + slotsPerFlow*float64(s.report.Flows)) / slots
}

// cost returns the utilisation of an agent, raised when it is not in the given zone.
func (s *agentState) cost(zone NameHash) float64 {
	cost := s.utilisation()
	if s.report.Zone != zone {
		cost += otherZoneCost
	}
	return cost
}
