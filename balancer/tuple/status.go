package tuple

import (
	"net/netip"
	"time"

	"github.com/cyclamendock/cyclamendock/lib/fault"
	"github.com/cyclamendock/cyclamendock/lib/flows"
)

// RPC methods for operators.
const (
	MethodStatus = "Tuple.Status"
	MethodTrace  = "Tuple.Trace"
)

// AgentStatus is a balancer's view of one agent.
type AgentStatus struct {
	Address       string
	Busy          int
	Flows         int
	HeardMS       int64 // milliseconds since the last report; -1 when the agent has never reported
	Slots         int
	State         string
	Suspect       bool
	Warming       bool
	ZoneEvacuated bool  // the agent, or this balancer, knows that its availability zone is evacuated
	WorkMS        int64 // mean service time of a request in milliseconds
}

// Status is a balancer's view of its configuration, agents and peers.
type Status struct {
	Agents       []AgentStatus
	Balancers    []string
	ConfigAgeMS  int64 // milliseconds since any balancer read the configuration from the store
	EraAgeMS     int64 // milliseconds since this balancer has known StoreEra
	Hints        int   // flows whose agent is remembered
	Ready        bool
	StoreEra     uint64       // rises when the store loses its latest changes
	Version      uint64       // version of the configuration
	Waiting      int          // flows that wait for an agent
	Zones        []ZoneStatus // evacuated availability zones
	ZonesAgeMS   int64        // milliseconds since any balancer listed the evacuated availability zones; -1 when none has or they are never listed
	ZonesEnabled bool         // this balancer takes part in listing them
	ZonesKnown   bool
}

// ZoneStatus is a balancer's view of one evacuated availability zone.
type ZoneStatus struct {
	Agents  int    // agents in the availability zone that have reported
	Hash    string // hash of the name
	Name    string // empty when the balancer knows only the hash
	SinceMS int64  // milliseconds since this balancer learnt of the evacuation
	Version string // version of the store with which it learnt of it
}

// TraceRequest identifies a flow by the caller's and the route's address and port.
type TraceRequest struct {
	Caller string
	Route  string
}

// Trace is the decision that a balancer would make now about a packet of a flow.
type Trace struct {
	No    []string // agents that recently answered that they do not hold the flow
	Order []string // agents that a search would ask in this order, unresponsive ones last
	Owner string   // agent that is remembered to hold the flow; empty when unknown
	Route string   // name of the route; empty when there is none
}

// Status returns this balancer's view of its configuration, agents and peers.
func (h *RPCHandler) Status(_ StateRequest, status *Status) error {
	n := h.node
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	status.ConfigAgeMS = now.Sub(n.configReads.lastRead).Milliseconds()
	status.EraAgeMS = n.guard.EraAge(now).Milliseconds()
	status.StoreEra = n.guard.Era()
	status.Hints = n.director.HintCount()
	status.Ready = !n.shuttingDown.Load() && n.director.Ready()
	status.Version = n.director.Version()
	status.Waiting = n.director.Waiting()
	n.addZoneStatus(now, status)
	for _, balancer := range n.peers.list {
		status.Balancers = append(status.Balancers, balancer.String())
	}
	for _, address := range n.director.Agents.Addresses() {
		status.Agents = append(status.Agents, n.agentStatus(now, address))
	}
	return nil
}

// addZoneStatus adds the evacuated availability zones; n.mu must be held.
func (n *Node) addZoneStatus(now time.Time, status *Status) {
	tracker := &n.director.Agents.Zones
	status.ZonesEnabled = n.zoneSync.enabled()
	status.ZonesKnown = tracker.State().Known
	status.ZonesAgeMS = -1
	if !n.zoneSync.reads.lastRead.IsZero() {
		status.ZonesAgeMS = now.Sub(n.zoneSync.reads.lastRead).Milliseconds()
	}
	for _, evacuation := range tracker.Evacuations() {
		status.Zones = append(status.Zones, ZoneStatus{
			Agents:  n.director.Agents.CountIn(flows.NameHash(evacuation.Hash)),
			Hash:    formatZoneHash(evacuation.Hash),
			Name:    n.zoneNames[evacuation.Hash],
			SinceMS: now.Sub(evacuation.Since).Milliseconds(),
			Version: evacuation.Version.String(),
		})
	}
}

func (n *Node) agentStatus(now time.Time, address flows.Endpoint) AgentStatus {
	report, age := n.director.Agents.LastReport(now, address)
	sinceReport := age.Milliseconds()
	if !n.director.Agents.HasReported(address) {
		sinceReport = -1
	}
	return AgentStatus{
		Address:       address.String(),
		Busy:          report.Busy,
		Flows:         report.Flows,
		HeardMS:       sinceReport,
		Slots:         report.Slots,
		State:         report.State.String(),
		Suspect:       n.director.Agents.Suspect(now, address),
		Warming:       report.Warming,
		ZoneEvacuated: n.director.Agents.Evacuated(address),
		WorkMS:        report.MeanServiceTime.Milliseconds(),
	}
}

// Trace returns the decision that this balancer would make about a packet of a flow, or an Invalid fault when the flow
// is malformed.
func (h *RPCHandler) Trace(request TraceRequest, trace *Trace) error {
	caller, callerErr := netip.ParseAddrPort(request.Caller)
	route, routeErr := netip.ParseAddrPort(request.Route)
	if callerErr != nil || routeErr != nil {
		return fault.New(fault.Invalid, "the flow is malformed", "give two addresses with ports, such as 100.64.0.7:40001 and 198.18.0.1:443")
	}
	n := h.node
	n.mu.Lock()
	defer n.mu.Unlock()
	result := n.director.Trace(time.Now(), flows.Flow{Caller: flows.EndpointOf(caller), Service: flows.EndpointOf(route)})
	trace.No = addressStrings(result.RejectedBy)
	trace.Order = addressStrings(result.SearchOrder)
	trace.Route = result.Route
	if result.Owner.IsSet() {
		trace.Owner = result.Owner.String()
	}
	return nil
}

func addressStrings(endpoints []flows.Endpoint) []string {
	list := make([]string, len(endpoints))
	for i, endpoint := range endpoints {
		list[i] = endpoint.String()
	}
	return list
}
