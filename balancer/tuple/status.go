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
	Address string
	Busy    int
	Flows   int
	HeardMS int64 // milliseconds since the last report; -1 when the agent has never reported
	Slots   int
	State   string
	Suspect bool
	Warming bool
	WorkMS  int64 // mean service time of a request in milliseconds
}

// Status is a balancer's view of its configuration, agents and peers.
type Status struct {
	Agents      []AgentStatus
	Balancers   []string
	ConfigAgeMS int64 // milliseconds since any balancer read the configuration from the store
	EraAgeMS    int64 // milliseconds since this balancer has known StoreEra
	Hints       int   // flows whose agent is remembered
	Ready       bool
	StoreEra    uint64 // rises when the store loses its latest changes
	Version     uint64 // version of the configuration
	Waiting     int    // flows that wait for an agent
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
	for _, balancer := range n.peers.list {
		status.Balancers = append(status.Balancers, balancer.String())
	}
	for _, address := range n.director.Agents.Addresses() {
		status.Agents = append(status.Agents, n.agentStatus(now, address))
	}
	return nil
}

func (n *Node) agentStatus(now time.Time, address flows.Endpoint) AgentStatus {
	report, age := n.director.Agents.LastReport(now, address)
	sinceReport := age.Milliseconds()
	if !n.director.Agents.HasReported(address) {
		sinceReport = -1
	}
	return AgentStatus{
		Address: address.String(),
		Busy:    report.Busy,
		Flows:   report.Flows,
		HeardMS: sinceReport,
		Slots:   report.Slots,
		State:   report.State.String(),
		Suspect: n.director.Agents.Suspect(now, address),
		Warming: report.Warming,
		WorkMS:  report.MeanServiceTime.Milliseconds(),
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
