package flows

import (
	"slices"
	"time"

	"github.com/cyclamendock/cyclamendock/lib/reach"
)

const (
	// maxTickGap is the longest time between two ticks of a balancer that was running all the while.
	maxTickGap = 250 * time.Millisecond
)

// end tells whether a flow that all responsive agents have rejected has ended.
type end int

const (
	endUnproved end = iota // an agent that has not rejected the flow may hold it
	endAwaited             // other balancers are being asked whether they hear an agent that may hold it
	endProved
)

// endOf returns whether a flow has ended. That an agent is silent here is no proof alone: a link may be cut between it and this
// balancer only.
func (d *Director) endOf(now time.Time, flow Flow) end {
	search, ok := d.searches.Get(now, flow)
	if !ok {
		return endUnproved
	}
	if _, routed := d.routes.ByAddress[flow.Service]; !routed || len(d.possibleOwners(now, flow, search.rejectedBy)) > 0 {
		return endUnproved
	}
	result := endProved
	for _, agent := range d.lostHolders(now, flow, search.rejectedBy) {
		switch d.reach.Ask(agent) {
		case reach.Heard:
			return endUnproved
		case reach.Pending:
			result = endAwaited
		}
	}
	return result
}

// lostHolders returns the agents that are lost here and may hold a flow, except those in rejectedBy, in order.
func (d *Director) lostHolders(now time.Time, flow Flow, rejectedBy []Endpoint) []Endpoint {
	var agents []Endpoint
	for address, agent := range d.Agents.byAddress {
		if d.Agents.lost(now, agent) && d.mayHoldFlow(agent, flow) && !slices.Contains(rejectedBy, address) {
			agents = append(agents, address)
		}
	}
	slices.SortFunc(agents, Endpoint.Compare)
	return agents
}

// mayHoldFlow reports whether an agent may hold a flow of an address, by its last report.
func (d *Director) mayHoldFlow(agent *agentState, flow Flow) bool {
	switch {
	case agent.lastReport.IsZero():
		return true
	case agent.report.holdsNone():
		return false
	case slices.Contains(d.servicesByAddress[flow.Service], agent.report.Service):
		return true
	default:
		return agent.report.mayHold(flow.Service)
	}
}

// relayToOwner returns the balancer that hears the agent which holds a packet's flow, while this one doesn't.
func (d *Director) relayToOwner(now time.Time, p Packet) (Endpoint, bool) {
	owner, ok := d.lookupHint(now, p.CallerFlow())
	if !ok || p.Relayed || !d.Agents.Has(owner) || !d.Agents.Lost(now, owner) {
		return Endpoint{}, false
	}
	d.reach.Ask(owner)
	return d.reach.HeardBy(owner)
}

// relayToHolder returns a balancer that hears an agent which may hold a packet's flow and is lost here. The others are asked about such
// agents, except for further packets of a flow that waits for the answers.
func (d *Director) relayToHolder(now time.Time, p Packet, rejectedBy []Endpoint) (Endpoint, bool) {
	_, pending := d.pendingResets[p.CallerFlow()]
	if p.Relayed || pending && !d.reach.AnyHeard() {
		return Endpoint{}, false
	}
	for _, agent := range d.lostHolders(now, p.CallerFlow(), rejectedBy) {
		d.reach.Ask(agent)
		if balancer, ok := d.reach.HeardBy(agent); ok {
			return balancer, true
		}
	}
	return Endpoint{}, false
}

func relayVerdict(p Packet, balancer Endpoint) Verdict {
	return Verdict{Action: ActRelay, Flow: p.CallerFlow(), Reason: ReasonRelayed, RelayTo: balancer, RequestID: p.RequestID}
}

// DueQueries returns the messages to be sent to all other balancers now. It must be called regularly.
func (d *Director) DueQueries(now time.Time) []Query {
	var queries []Query
	for agents := range slices.Chunk(d.reach.Tick(now), maxAgentsPerMessage) {
		queries = append(queries, Query{Agents: agents})
	}
	return queries
}

// HandleQuery returns which of the agents that another balancer doesn't hear this one has heard lately, and those that it knows but has
// not, to be sent hellos. An agent is out of reach only once nobody has heard it for LostAfter; it may have been in reach until its next
// report was due.
func (d *Director) HandleQuery(now time.Time, query Query) (heard Heard, unsure []Endpoint) {
	for _, address := range query.Agents {
		agent := d.Agents.byAddress[address]
		switch {
		case agent == nil:
		case !agent.lastReport.IsZero() && now.Sub(agent.lastReport) <= d.config.LostAfter+slowReportInterval:
			heard.Agents = append(heard.Agents, address)
		default:
			unsure = append(unsure, address)
		}
	}
	return heard, unsure
}

// RecordHeard records that another balancer hears some agents.
func (d *Director) RecordHeard(heard Heard, balancer Endpoint) {
	for _, agent := range heard.Agents {
		d.reach.RecordHeard(agent, balancer)
	}
}

// forgiveStall takes a time in which this process did not run out of the silence of the agents: their reports wait in its socket.
func (d *Director) forgiveStall(now time.Time) {
	if gap := now.Sub(d.lastTick); !d.lastTick.IsZero() && gap > maxTickGap {
		d.Agents.forgive(now, gap)
	}
	d.lastTick = now
}
