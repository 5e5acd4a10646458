package flows

import (
	"slices"
	"time"
)

const (
	// dormantAfterFactor times lostAfter is how long an agent has to be silent to become dormant.
	dormantAfterFactor = 2
	// dormantLifetime is how long a dormant agent is sent hellos. Its entry has been removed by then, unless it was heard elsewhere.
	dormantLifetime = time.Hour
	// markedPatience is how long an agent whose entry is marked for removal may take to answer the first hellos.
	markedPatience = time.Second
	// dormantHelloInterval is the interval between hellos to an agent that is dormant or not ready.
	dormantHelloInterval = 2 * time.Second
	// maxHelloInterval is the longest interval between hellos to a silent agent. It leaves time for several of them between the end
	// of a cut and lostAfter, since datagrams get lost.
	maxHelloInterval = 500 * time.Millisecond
	// minHelloInterval is the first interval between hellos to one agent; it doubles with each hello.
	minHelloInterval = 50 * time.Millisecond
	// reportGrace is how long the report of an agent that was sent a packet may be overdue before the agent is suspect.
	reportGrace = 150 * time.Millisecond
	// serviceUseWindow is how long a service counts as in use after a packet for it.
	serviceUseWindow = 10 * time.Second
	// staleAfter is how old the report of an agent of a service in use may be before the agent is sent a hello.
	staleAfter = time.Second
)

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
		if agent.dormant && a.lost(now, agent) {
			agent.helloInterval = dormantHelloInterval
		}
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
	if agent.report.State != StateReady && silence > dormantHelloInterval {
		return true
	}
	return silence > staleAfter && now.Sub(a.lastUsed[agent.report.Service]) < serviceUseWindow && a.inSubset(agent)
}

// Suspect reports whether an agent is not in the set, has never reported, or has an overdue report.
func (a *Agents) Suspect(now time.Time, address Endpoint) bool {
	agent := a.byAddress[address]
	return agent == nil || agent.suspect(now)
}

// Lost reports whether an agent is not in the set, or silent for so long that callers have given up on its flows.
func (a *Agents) Lost(now time.Time, address Endpoint) bool {
	agent := a.byAddress[address]
	return agent == nil || a.lost(now, agent)
}

// lost reports whether an agent has been silent for too long. One whose entry is marked for removal has been silent to another
// balancer for long, so that it has only the time to answer some hellos before its first report here.
func (a *Agents) lost(now time.Time, agent *agentState) bool {
	silence := now.Sub(agent.pendingSince)
	switch {
	case agent.marked && agent.lastReport.IsZero():
		return silence > markedPatience
	case agent.dormant:
		return true
	default:
		return agent.reportPending && silence > a.lostAfter
	}
}

// Unreachable reports whether an agent is overdue with its report, and no agent has reported for as long as those in use
// may take. While this balancer sends few packets, a single dead agent suffices, so others should be sent hellos.
func (a *Agents) Unreachable(now time.Time) bool {
	overdue := false
	for _, agent := range a.byAddress {
		if agent.dormant {
			continue
		}
		if !agent.lastReport.IsZero() && now.Sub(agent.lastReport) <= fastReportInterval+reportGrace {
			return false
		}
		overdue = overdue || agent.suspect(now)
	}
	return overdue
}

// Unreported returns the agents that have never reported and are not lost; they may belong to any service.
func (a *Agents) Unreported(now time.Time) []Endpoint {
	var unreported []Endpoint
	for address, agent := range a.byAddress {
		if agent.lastReport.IsZero() && !a.Lost(now, address) {
			unreported = append(unreported, address)
		}
	}
	slices.SortFunc(unreported, Endpoint.Compare)
	return unreported
}

// GiveUpSilent makes agents dormant that have been silent for long, and returns them. Nothing waits for a dormant agent, and other
// balancers don't learn of it here, but it is sent hellos until it reports again: it may be back from a cut, and other balancers
// may use it. None becomes dormant while no agent is heard, or when more than half are silent, since then this balancer itself may
// be unreachable.
func (a *Agents) GiveUpSilent(now time.Time) []Endpoint {
	a.leftAt.Sweep(now)
	a.removeDormant(now)
	if a.Unreachable(now) {
		return nil
	}
	var silent []Endpoint
	awake := 0
	for address, agent := range a.byAddress {
		if agent.dormant {
			continue
		}
		awake++
		if agent.reportPending && now.Sub(agent.pendingSince) > dormantAfterFactor*a.lostAfter {
			silent = append(silent, address)
		}
	}
	if 2*len(silent) > awake {
		return nil
	}
	slices.SortFunc(silent, Endpoint.Compare)
	for _, address := range silent {
		a.makeDormant(a.byAddress[address])
	}
	return silent
}

// Dormant reports whether an agent is dormant.
func (a *Agents) Dormant(address Endpoint) bool {
	agent := a.byAddress[address]
	return agent != nil && agent.dormant
}

// MustJoin reports whether an agent that sends a report now should be asked to join the list of members again: its entry is, or may
// be, marked for removal. An agent without a backend server leaves the list by itself.
func (a *Agents) MustJoin(address Endpoint, report Report) bool {
	agent := a.byAddress[address]
	return agent != nil && (agent.dormant || agent.marked) && report.State != StateGone && report.State != StateLeft
}

// DormantCount returns the number of dormant agents.
func (a *Agents) DormantCount() int {
	count := 0
	for _, agent := range a.byAddress {
		if agent.dormant {
			count++
		}
	}
	return count
}

// TakeUnmarked returns the dormant agents whose entries are not known to be marked for removal, and takes them for marked from then on.
func (a *Agents) TakeUnmarked() []Endpoint {
	var unmarked []Endpoint
	for address, agent := range a.byAddress {
		if agent.dormant && !agent.marked {
			agent.marked = true
			unmarked = append(unmarked, address)
		}
	}
	slices.SortFunc(unmarked, Endpoint.Compare)
	return unmarked
}

// SetUnmarked records that the entry of an agent could not be marked for removal.
func (a *Agents) SetUnmarked(address Endpoint) {
	if agent := a.byAddress[address]; agent != nil {
		agent.marked = false
	}
}

func (a *Agents) makeDormant(agent *agentState) {
	agent.dormant = true
	a.hash ^= agent.address.hash()
	a.removeFromService(agent)
}

// revive ends the dormancy of an agent that has not reported here yet but is known to run.
func (a *Agents) revive(now time.Time, agent *agentState) {
	a.wake(agent)
	if !agent.lastReport.IsZero() {
		a.byService[agent.report.Service] = append(a.byService[agent.report.Service], agent)
		a.subsets.invalidate(agent.report.Service)
	}
	agent.helloInterval = minHelloInterval
	agent.pendingSince = now
	agent.reportPending = true
}

// wake ends the dormancy of an agent and reports whether it was dormant; the caller adds it to its service.
func (a *Agents) wake(agent *agentState) bool {
	if !agent.dormant {
		return false
	}
	agent.dormant = false
	a.hash ^= agent.address.hash()
	return true
}

// removeDormant removes agents that have been dormant for longer than entries of agents that have failed stay on the list.
func (a *Agents) removeDormant(now time.Time) {
	for address, agent := range a.byAddress {
		if agent.dormant && now.Sub(agent.pendingSince) > dormantLifetime {
			a.Remove(address)
		}
	}
}

// forgiveSilence is called with the first report after a time without any. Whatever kept the others silent in that time
// may have been at this balancer, such as a cut link or a freeze, so it does not count against them.
func (a *Agents) forgiveSilence(now time.Time) {
	gap := now.Sub(a.lastReport)
	if a.lastReport.IsZero() || gap <= slowReportInterval+reportGrace {
		return
	}
	a.forgive(now, gap)
}

// forgive takes a time that has just passed out of the silence of all agents.
func (a *Agents) forgive(now time.Time, duration time.Duration) {
	for _, agent := range a.byAddress {
		if agent.reportPending && !agent.dormant {
			agent.pendingSince = agent.pendingSince.Add(min(duration, now.Sub(agent.pendingSince)))
			agent.helloInterval = minHelloInterval
		}
	}
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
