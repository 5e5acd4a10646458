package flows

import (
	"slices"

	"github.com/cyclamendock/cyclamendock/lib/subset"
)

// minSubsetReady is how many agents of a subset must accept new flows. With fewer, the whole service is used.
const minSubsetReady = 6

// subsets holds the agents of each service that a balancer places new flows on and sends hellos to. Messages between balancers and
// agents then grow with the balancers, not with the product of both, and most flows stay in their availability zone.
type subsets struct {
	byService map[NameHash][]*agentState // picked since the service's agents last changed
	config    subset.Config
	self      Endpoint
	zone      NameHash
}

func newSubsets(config DirectorConfig) subsets {
	return subsets{byService: map[NameHash][]*agentState{}, config: config.Subset, self: config.Self, zone: config.Zone}
}

// invalidate records that the agents of a service have changed.
func (s *subsets) invalidate(service NameHash) { delete(s.byService, service) }

// of returns the subset of a service with the given agents.
func (s *subsets) of(service NameHash, agents []*agentState) []*agentState {
	if !s.config.Enabled() {
		return agents
	}
	picked, ok := s.byService[service]
	if !ok {
		picked = subset.Pick(s.config, agents,
			func(agent *agentState) bool { return agent.report.Zone == s.zone },
			func(agent *agentState) uint64 { return mix(s.self.key(), agent.address.key()) })
		s.byService[service] = picked
	}
	return picked
}

// placeable returns the agents of a service to place new flows on: the subset, or all while too few of it accept flows.
func (a *Agents) placeable(service NameHash, mayPlace func(*agentState) bool) []*agentState {
	agents := a.byService[service]
	picked := a.subsets.of(service, agents)
	if len(picked) == len(agents) {
		return agents
	}
	ready := 0
	for _, agent := range picked {
		if mayPlace(agent) {
			ready++
		}
	}
	if ready < minSubsetReady {
		return agents
	}
	return picked
}

// inSubset reports whether an agent is in the subset of its service.
func (a *Agents) inSubset(agent *agentState) bool {
	if !a.subsets.config.Enabled() {
		return true
	}
	service := agent.report.Service
	return slices.Contains(a.subsets.of(service, a.byService[service]), agent)
}
