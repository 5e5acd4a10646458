package flows

import (
	"cmp"
	"slices"
	"time"
)

const (
	// busyMeanWeight is the weight of a new report in the moving average of an agent's requests in progress.
	busyMeanWeight = 0.1
	// forgetAfterFactor times lostAfter is how long an agent has to be silent to be forgotten.
	forgetAfterFactor = 2
	forgottenCapacity = 1 << 12 // addresses
	// forgottenLifetime is how long Add ignores a forgotten address, which other balancers may still name.
	forgottenLifetime = time.Minute
	// joinGrace is how long an agent that has just started may take to register in the store.
	joinGrace = 5 * time.Second
	// maxHelloInterval is the longest interval between hellos to one agent.
	maxHelloInterval = 2 * time.Second
	// minHelloInterval is the first interval between hellos to one agent; it doubles with each hello.
	minHelloInterval = 50 * time.Millisecond
	// reportGrace is how long the report of an agent that was sent a packet may be overdue before the agent is suspect.
	reportGrace = 150 * time.Millisecond
	// serviceUseWindow is how long a service counts as in use after a packet for it.
	serviceUseWindow = 10 * time.Second
	// staleAfter is how old the report of an agent of a service in use may be before the agent is sent a hello.
	staleAfter = time.Second
)

// agentState is a balancer's state for one agent.
type agentState struct {
	address       Endpoint
	assigned      int           // new flows sent to it since its last report
	firstReport   time.Time     // zero when it has never reported
	helloPending  bool          // the pending report was requested by a hello, which is answered at once
	helloInterval time.Duration // shortest time until the next hello
	lastHello     time.Time
	lastReport    time.Time // zero when it has never reported
	listing       Listing   // as far as this balancer knows
	meanBusy      float64   // moving average of the requests in progress
	pendingSince  time.Time // when the pending report was first expected
	report        Report    // last report
	reportPending bool      // it was added or sent a packet or a hello, and has not reported since
}

// Agents tracks the reports and the liveness of all agents for one balancer.
type Agents struct {
	byAddress   map[Endpoint]*agentState
	byService   map[NameHash][]*agentState  // only agents that have reported
	forgottenAt *Cache[Endpoint, time.Time] // time at which each address was forgotten
	hash        uint64                      // of all addresses, in any order
	lastReport  time.Time                   // time of the last report of any agent
	lastUsed    map[NameHash]time.Time      // time of the last packet for each service
	lostAfter   time.Duration
}

// NewAgents returns an empty set. An agent that is silent for lostAfter counts as lost, as callers have given up on its
// flows by then.
func NewAgents(lostAfter time.Duration) *Agents {
	return &Agents{
		byAddress:   map[Endpoint]*agentState{},
		byService:   map[NameHash][]*agentState{},
		forgottenAt: NewCache[Endpoint, time.Time](forgottenCapacity, forgottenLifetime),
		lastUsed:    map[NameHash]time.Time{},
		lostAfter:   lostAfter,
	}
}

// Add adds the address of an agent, unless it was forgotten recently, and reports whether it was added.
func (a *Agents) Add(now time.Time, address Endpoint) bool {
	if a.byAddress[address] != nil || a.forgottenAt.Has(now, address) {
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

// AddListed adds the address of an agent on a list of members that was requested from the store at the given time. An
// address that was forgotten before that belongs to a new agent, since an agent removes itself from the store before it
// reports StateLeft.
func (a *Agents) AddListed(now, requestedAt time.Time, address Endpoint) {
	if forgottenAt, ok := a.forgottenAt.Get(now, address); ok && requestedAt.After(forgottenAt) {
		a.forgottenAt.Delete(address)
	}
	a.Add(now, address)
	if agent := a.byAddress[address]; agent != nil && agent.listing == ListingUnknown {
		agent.listing = ListingConfirmed
	}
}

// Remove removes an agent.
func (a *Agents) Remove(address Endpoint) {
	agent := a.byAddress[address]
	if agent == nil {
		return
	}
	a.hash ^= address.hash()
	delete(a.byAddress, address)
	a.removeFromService(agent)
}

// RecordReport records an agent's report and reports whether the agent's state or service has changed.
func (a *Agents) RecordReport(now time.Time, address Endpoint, report Report) bool {
	if report.State == StateLeft {
		removed := a.byAddress[address] != nil
		a.Remove(address)
		a.forgottenAt.Put(now, address, now)
		return removed
	}
	a.forgottenAt.Delete(address)
	a.Add(now, address)
	a.forgiveSilence(now)
	agent := a.byAddress[address]
	first := agent.lastReport.IsZero()
	changed := first || agent.report.State != report.State || agent.report.Service != report.Service
	if first || agent.report.Service != report.Service {
		a.removeFromService(agent)
		a.byService[report.Service] = append(a.byService[report.Service], agent)
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
	return changed
}

// forgiveSilence is called with the first report after a time without any. Whatever kept the others silent in that time
// may have been at this balancer, such as a cut link or a freeze, so it does not count against them.
func (a *Agents) forgiveSilence(now time.Time) {
	gap := now.Sub(a.lastReport)
	if a.lastReport.IsZero() || gap <= slowReportInterval+reportGrace {
		return
	}
	for _, agent := range a.byAddress {
		if agent.reportPending {
			agent.pendingSince = agent.pendingSince.Add(min(gap, now.Sub(agent.pendingSince)))
			agent.helloInterval = minHelloInterval
		}
	}
}

// ForgetSilent removes and returns the agents that have been silent for long. It removes none while no agent is heard, or
// when more than half are silent, since then this balancer itself may be unreachable.
func (a *Agents) ForgetSilent(now time.Time) []Endpoint {
	a.forgottenAt.Sweep(now)
	if a.Unreachable(now) {
		return nil
	}
	var silent []Endpoint
	for address, agent := range a.byAddress {
		if agent.reportPending && now.Sub(agent.pendingSince) > forgetAfterFactor*a.lostAfter {
			silent = append(silent, address)
		}
	}
	if 2*len(silent) > len(a.byAddress) {
		return nil
	}
	slices.SortFunc(silent, Endpoint.Compare)
	for _, address := range silent {
		a.Remove(address)
		a.forgottenAt.Put(now, address, now)
	}
	return silent
}

// RecentlyForgotten reports whether an address was forgotten recently and has not reported since.
func (a *Agents) RecentlyForgotten(now time.Time, address Endpoint) bool {
	return a.forgottenAt.Has(now, address)
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

// ExpectReport records that an agent was sent a packet, which makes it report; opening tells whether it opens a flow.
func (a *Agents) ExpectReport(now time.Time, address Endpoint, opening bool) {
	agent := a.byAddress[address]
	if agent == nil {
		return
	}
	if opening {
		agent.assigned++
	}
	if !agent.reportPending {
		agent.reportPending = true
		agent.pendingSince = now
	}
}

// DueHellos returns the agents to which a hello is due, and expects reports of them.
func (a *Agents) DueHellos(now time.Time) []Endpoint {
	var due []Endpoint
	for address, agent := range a.byAddress {
		if !a.needsHello(now, agent) || now.Sub(agent.lastHello) < agent.helloInterval {
			continue
		}
		agent.lastHello = now
		agent.helloInterval = min(agent.helloInterval*2, maxHelloInterval)
		if !agent.reportPending {
			agent.helloPending = true
			agent.reportPending = true
			agent.pendingSince = now
		}
		due = append(due, address)
	}
	slices.SortFunc(due, Endpoint.Compare)
	return due
}

// needsHello reports whether an agent should be asked for a report by a hello.
func (a *Agents) needsHello(now time.Time, agent *agentState) bool {
	if agent.suspect(now) {
		return true
	}
	silence := now.Sub(agent.lastReport)
	if agent.report.State != StateReady && silence > maxHelloInterval {
		return true
	}
	return silence > staleAfter && now.Sub(a.lastUsed[agent.report.Service]) < serviceUseWindow
}

// Has reports whether the address belongs to an agent in the set.
func (a *Agents) Has(address Endpoint) bool { return a.byAddress[address] != nil }

// Suspect reports whether an agent is not in the set, has never reported, or has an overdue report.
func (a *Agents) Suspect(now time.Time, address Endpoint) bool {
	agent := a.byAddress[address]
	return agent == nil || agent.suspect(now)
}

// Lost reports whether an agent is not in the set, or silent for so long that callers have given up on its flows.
func (a *Agents) Lost(now time.Time, address Endpoint) bool {
	agent := a.byAddress[address]
	return agent == nil || agent.reportPending && now.Sub(agent.pendingSince) > a.lostAfter
}

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

// Unreachable reports whether an agent is overdue with its report, and no agent has reported for as long as those in use
// may take. While this balancer sends few packets, a single dead agent suffices, so others should be sent hellos.
func (a *Agents) Unreachable(now time.Time) bool {
	overdue := false
	for _, agent := range a.byAddress {
		if !agent.lastReport.IsZero() && now.Sub(agent.lastReport) <= fastReportInterval+reportGrace {
			return false
		}
		overdue = overdue || agent.suspect(now)
	}
	return overdue
}

// Addresses returns the addresses of all agents in order.
func (a *Agents) Addresses() []Endpoint {
	all := make([]Endpoint, 0, len(a.byAddress))
	for address := range a.byAddress {
		all = append(all, address)
	}
	slices.SortFunc(all, Endpoint.Compare)
	return all
}

// Hash returns a hash of the addresses of all agents, which is the same in every process.
func (a *Agents) Hash() uint64 { return a.hash }

// Len returns the number of agents.
func (a *Agents) Len() int { return len(a.byAddress) }

// ReportedCount returns the number of agents that have ever reported.
func (a *Agents) ReportedCount() int {
	count := 0
	for _, agent := range a.byAddress {
		if !agent.lastReport.IsZero() {
			count++
		}
	}
	return count
}

// Unreported returns the agents that have never reported and are not lost; they may belong to any service.
func (a *Agents) Unreported(now time.Time) []Endpoint {
	var unreported []Endpoint
	for address, agent := range a.byAddress {
		if agent.lastReport.IsZero() && now.Sub(agent.pendingSince) <= a.lostAfter {
			unreported = append(unreported, address)
		}
	}
	slices.SortFunc(unreported, Endpoint.Compare)
	return unreported
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
	hash := flow.Hash()
	type scored struct {
		agent *agentState
		score uint64
	}
	agents := a.byService[service]
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
	a.byService[agent.report.Service] = slices.DeleteFunc(agents, func(other *agentState) bool { return other == agent })
}

// suspect reports whether an agent has never reported, or its report is overdue.
func (s *agentState) suspect(now time.Time) bool {
	timeout := s.report.Interval + reportGrace
	if s.helloPending {
		timeout = reportGrace
	}
	return s.lastReport.IsZero() || s.reportPending && now.Sub(s.pendingSince) > timeout
}

// stale reports whether an agent's last report is too old to rely on.
func (s *agentState) stale(now time.Time) bool {
	return now.Sub(s.lastReport) > 3*staleAfter/2+s.report.Interval
}

// eligible reports whether an agent can be given new flows.
func (s *agentState) eligible(now time.Time) bool {
	return s.report.State == StateReady && !s.suspect(now)
}
