package tuple

import (
	"net/netip"
	"time"

	"github.com/cyclamendock/cyclamendock/lib/carry"
	"github.com/cyclamendock/cyclamendock/lib/fault"
)

// The methods of the calls that operators make.
const (
	MethodStatus = "Tuple.Status"
	MethodTrace  = "Tuple.Trace"
)

// An AgentStatus is what a balancer knows of one agent.
type AgentStatus struct {
	Address string
	Busy    int
	Flows   int
	HeardMS int64 // milliseconds since its last report; negative when never
	Slots   int
	State   string
	Suspect bool
	Warming bool
	WorkMS  int64 // mean work of a request
}

// A Status is what a balancer knows.
type Status struct {
	Agents      []AgentStatus
	Balancers   []string
	ConfigAgeMS int64 // since some balancer read the configuration
	Hints       int
	Ready       bool
	Version     uint64
	Waiting     int
}

// A TraceRequest names a flow by its two ends.
type TraceRequest struct {
	Caller string
	Route  string
}

// A Trace is what a balancer would do with a packet of a flow now.
type Trace struct {
	No    []string // agents that said no in a search that is not forgotten yet
	Order []string // agents that a search would ask, silent ones last
	Owner string   // empty when no hint is kept
	Route string   // name; empty when there is none
}

// Status returns what this balancer knows.
func (c *Calls) Status(_ Ask, status *Status) error {
	n := c.node
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	status.ConfigAgeMS = now.Sub(n.checked).Milliseconds()
	status.Hints = n.director.Hints()
	status.Ready = !n.leaving.Load() && n.director.Ready()
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

func (n *Node) agentStatus(now time.Time, address carry.Endpoint) AgentStatus {
	report, age := n.director.Agents.Load(now, address)
	heard := age.Milliseconds()
	if !n.director.Agents.HeardOf(address) {
		heard = -1
	}
	return AgentStatus{
		Address: address.String(),
		Busy:    report.Busy,
		Flows:   report.Flows,
		HeardMS: heard,
		Slots:   report.Slots,
		State:   report.State.String(),
		Suspect: n.director.Agents.Suspect(now, address),
		Warming: report.Warming,
		WorkMS:  report.Pace.Milliseconds(),
	}
}

// Trace returns what this balancer would do with a packet of a flow, or an Invalid fault for a malformed one.
func (c *Calls) Trace(request TraceRequest, trace *Trace) error {
	caller, callerErr := netip.ParseAddrPort(request.Caller)
	route, routeErr := netip.ParseAddrPort(request.Route)
	if callerErr != nil || routeErr != nil {
		return fault.New(fault.Invalid, "the flow is malformed", "give two addresses with ports, such as 100.64.0.7:40001 and 198.18.0.1:443")
	}
	n := c.node
	n.mu.Lock()
	defer n.mu.Unlock()
	found := n.director.Trace(time.Now(), carry.Flow{Caller: carry.EndpointOf(caller), Service: carry.EndpointOf(route)})
	trace.No = texts(found.No)
	trace.Order = texts(found.Order)
	trace.Route = found.Route
	if found.Owner.Known() {
		trace.Owner = found.Owner.String()
	}
	return nil
}

func texts(endpoints []carry.Endpoint) []string {
	list := make([]string, len(endpoints))
	for i, endpoint := range endpoints {
		list[i] = endpoint.String()
	}
	return list
}
