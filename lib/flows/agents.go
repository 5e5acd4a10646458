package flows

import (
	"cmp"
	"slices"
	"time"

	"github.com/cyclamendock/cyclamendock/lib/zones"
)

const (
	// busyMeanWeight is the weight of a new report in the moving average of an agent's requests in progress.
	busyMeanWeight = 0.1
	leftCapacity   = 1 << 12 // addresses
	// leftLifetime is how long Add ignores the address of an agent that has left, which other balancers may still name.
	leftLifetime = time.Minute
	// joinGrace is how long an agent that has just started may take to register in the store.
	joinGrace = 5 * time.Second
)

// agentState is a balancer's state for one agent.
type agentState struct {
	address       Endpoint
	assigned      int           // new flows sent to it since its last report
	dormant       bool          // silent for so long that nothing waits for it; see Agents.GiveUpSilent
	firstReport   time.Time     // zero when it has never reported
	helloPending  bool          // the pending report was requested by a hello, which is answered at once
	helloInterval time.Duration // shortest time until the next hello
	lastHello     time.Time
	lastLimits    time.Time // when it was last sent the limits of its service
	lastReport    time.Time // zero when it has never reported
	limitsDue     bool      // it is in Agents.limitsDue
	listing       Listing   // as far as this balancer knows
	marked        bool      // its entry is marked for removal, as far as this balancer knows
	meanBusy      float64   // moving average of the requests in progress
	pendingSince  time.Time // when the pending report was first expected
	report        Report    // last report
	reportPending bool      // it was added or sent a packet or a hello, and has not reported since
	zonesSentAt   time.Time // when it was last sent a Zones message; zero when it was sent none
}

// Agents tracks the reports and the liveness of all agents for one balancer.
type Agents struct {
	Zones zones.Tracker // evacuated availability zones

	byAddress  map[Endpoint]*agentState
	byService  map[NameHash][]*agentState  // only agents that have reported and were not made dormant since
	hash       uint64                      // of the addresses of all agents that are not dormant, in any order
	lastReport time.Time                   // time of the last report of any agent
	lastUsed   map[NameHash]time.Time      // time of the last packet for each service
	leftAt     *Cache[Endpoint, time.Time] // time at which the agent of each address left
	limitsDue  []Endpoint                  // agents that are to be sent the limits of their service
	lostAfter  time.Duration
	subsets    subsets
}

// NewAgents returns an empty set. An agent that is silent for lostAfter counts as lost, as callers have given up on its
// flows by then.
func NewAgents(lostAfter time.Duration) *Agents {
	return &Agents{
		byAddress: map[Endpoint]*agentState{},
		byService: map[NameHash][]*agentState{},
		lastUsed:  map[NameHash]time.Time{},
		leftAt:    NewCache[Endpoint, time.Time](leftCapacity, leftLifetime),
		lostAfter: lostAfter,
	}
}

// Add adds the address of an agent, unless its agent has left recently, and reports whether it was added.
func (a *Agents) Add(now time.Time, address Endpoint) bool {
	if a.byAddress[address] != nil || a.leftAt.Has(now, address) {
		return false
	}
	a.hash ^= address.hash()
	a.byAddress[address] = &agentState{
		address:       address,
		helloInterval: minHelloInterval,
		listing:       ListingUnknown,
		pendingSince:  now,
		reportPending: true,
	}
	return true
}

// AddListed adds the address of an agent on a list of members that was requested from the store at the given time; marked tells
// whether its entry is marked for removal. An agent that is added so is dormant. One that has replaced a marked entry runs, so that
// it counts as silent only from now on. An address whose agent left before that belongs to a new agent, since an agent removes
// itself from the store before it reports StateLeft.
func (a *Agents) AddListed(now, requestedAt time.Time, address Endpoint, marked bool) {
	if leftAt, ok := a.leftAt.Get(now, address); ok && requestedAt.After(leftAt) {
		a.leftAt.Delete(address)
	}
	added := a.Add(now, address)
	agent := a.byAddress[address]
	if agent == nil {
		return
	}
	replaced := agent.marked && !marked
	agent.marked = marked
	switch {
	case added && marked:
		a.makeDormant(agent)
	case agent.dormant && replaced:
		a.revive(now, agent)
	}
	if agent.listing == ListingUnknown && !marked {
		agent.listing = ListingConfirmed
	}
}

// Remove removes an agent.
func (a *Agents) Remove(address Endpoint) {
	agent := a.byAddress[address]
	if agent == nil {
		return
	}
	if !agent.dormant {
		a.hash ^= address.hash()
	}
	delete(a.byAddress, address)
	a.removeFromService(agent)
}

// RecordReport records an agent's report and reports whether the agent's state or service has changed, or it was dormant.
func (a *Agents) RecordReport(now time.Time, address Endpoint, report Report) bool {
	if report.State == StateLeft {
		removed := a.byAddress[address] != nil
		a.Remove(address)
		a.leftAt.Put(now, address, now)
		return removed
	}
	a.leftAt.Delete(address)
	a.Add(now, address)
	a.forgiveSilence(now)
	agent := a.byAddress[address]
	woken := a.wake(agent)
	agent.marked = false // it is asked to replace its entry, see MustJoin
	first := agent.lastReport.IsZero()
	changed := woken || first || agent.report.State != report.State || agent.report.Service != report.Service
	if woken || first || agent.report.Service != report.Service {
		a.removeFromService(agent)
		a.byService[report.Service] = append(a.byService[report.Service], agent)
		a.subsets.invalidate(report.Service)
	}
	if first {
		agent.meanBusy = float64(report.Busy)
		agent.firstReport = now
	}
	agent.meanBusy += (float64(report.Busy) - agent.meanBusy) * busyMeanWeight
	a.lastReport = now
	agent.assigned = 0
	agent.helloPending = false
	agent.lastReport = now
	agent.helloInterval = minHelloInterval
	if report.Listing != ListingUnknown { // a restarted agent that does not know yet may still have its entry
		agent.listing = report.Listing
	}
	agent.report = report
	agent.reportPending = false
	if !report.LimitsKnown {
		a.requestLimits(now, agent)
	}
	return changed
}

// Unlisted returns the agents that report but are missing from a list of members, except those that may still be
// joining.
func (a *Agents) Unlisted(now time.Time, listed []Endpoint) []Endpoint {
	var missing []Endpoint
	for address, agent := range a.byAddress {
		if agent.report.State == StateGone {
			continue // an agent without a backend server holds no flows and removes itself from the store
		}
		if !agent.suspect(now) && now.Sub(agent.firstReport) > joinGrace && !slices.Contains(listed, address) {
			missing = append(missing, address)
		}
	}
	slices.SortFunc(missing, Endpoint.Compare)
	return missing
}

// Has reports whether the address belongs to an agent in the set.
func (a *Agents) Has(address Endpoint) bool { return a.byAddress[address] != nil }

// State returns the last reported state of an agent, or StateUnknown.
func (a *Agents) State(address Endpoint) State {
	agent := a.byAddress[address]
	if agent == nil {
		return StateUnknown
	}
	return agent.report.State
}

// HasReported reports whether an agent has ever reported.
func (a *Agents) HasReported(address Endpoint) bool {
	agent := a.byAddress[address]
	return agent != nil && !agent.lastReport.IsZero()
}

// ServiceOf returns the service of an agent, or false when it has never reported.
func (a *Agents) ServiceOf(address Endpoint) (NameHash, bool) {
	agent := a.byAddress[address]
	if agent == nil || agent.lastReport.IsZero() {
		return 0, false
	}
	return agent.report.Service, true
}

// mayHold reports whether the backend server of an agent may hold a flow of a service address.
func (a *Agents) mayHold(agent, address Endpoint) bool {
	state := a.byAddress[agent]
	return state == nil || state.report.mayHold(address)
}

// LastReport returns the last report of an agent and its age.
func (a *Agents) LastReport(now time.Time, address Endpoint) (Report, time.Duration) {
	agent := a.byAddress[address]
	if agent == nil {
		return Report{}, 0
	}
	return agent.report, now.Sub(agent.lastReport)
}

// Addresses returns the addresses of all agents that are not dormant, in order.
func (a *Agents) Addresses() []Endpoint {
	all := make([]Endpoint, 0, len(a.byAddress))
	for address, agent := range a.byAddress {
		if !agent.dormant {
			all = append(all, address)
		}
	}
	slices.SortFunc(all, Endpoint.Compare)
	return all
}

// Hash returns a hash of the addresses of all agents that are not dormant, which is the same in every process.
func (a *Agents) Hash() uint64 { return a.hash }

// Len returns the number of agents.
func (a *Agents) Len() int { return len(a.byAddress) }

// ReportedCount returns the number of agents that have ever reported and are not dormant.
func (a *Agents) ReportedCount() int {
	count := 0
	for _, agent := range a.byAddress {
		if !agent.lastReport.IsZero() && !agent.dormant {
			count++
		}
	}
	return count
}

// services returns the services of all agents that have reported, in order.
func (a *Agents) services() []NameHash {
	services := make([]NameHash, 0, len(a.byService))
	for service, agents := range a.byService {
		if len(agents) > 0 {
			services = append(services, service)
		}
	}
	slices.Sort(services)
	return services
}

// ranked returns the agents of a service ordered by rendezvous hashing with a flow.
func (a *Agents) ranked(service NameHash, flow Flow) []*agentState {
	return rankedBy(a.byService[service], flow)
}

// rankedBy returns agents ordered by rendezvous hashing with a flow.
func rankedBy(agents []*agentState, flow Flow) []*agentState {
	hash := flow.Hash()
	type scored struct {
		agent *agentState
		score uint64
	}
	scores := make([]scored, len(agents))
	for i, agent := range agents {
		scores[i] = scored{agent: agent, score: mix(hash, agent.address.key())}
	}
	slices.SortFunc(scores, func(x, y scored) int { return cmp.Compare(y.score, x.score) })
	order := make([]*agentState, len(scores))
	for i, s := range scores {
		order[i] = s.agent
	}
	return order
}

// removeFromService removes an agent from the agents of its service.
func (a *Agents) removeFromService(agent *agentState) {
	agents := a.byService[agent.report.Service]
	a.subsets.invalidate(agent.report.Service)
	a.byService[agent.report.Service] = slices.DeleteFunc(agents, func(other *agentState) bool { return other == agent })
}

// eligible reports whether an agent can be given new flows.
func (s *agentState) eligible(now time.Time) bool {
	return s.report.State == StateReady && !s.suspect(now)
}
