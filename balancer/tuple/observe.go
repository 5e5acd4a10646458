package tuple

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/cyclamendock/cyclamendock/lib/flows"
	"github.com/cyclamendock/cyclamendock/lib/logs"
	"github.com/cyclamendock/cyclamendock/lib/stats"
)

const (
	// placementLogsPerSecond limits the log lines about placed flows.
	placementLogsPerSecond = 5
	// notForwardedLogsPerSecond limits the log lines about packets that were not forwarded, and separately those about
	// resets.
	notForwardedLogsPerSecond = 50
	// agentLogsPerSecond limits the log lines about changed agents.
	agentLogsPerSecond = 50
	// zoneLogsPerSecond limits the log lines about lists of evacuated availability zones that have failed.
	zoneLogsPerSecond = 1
)

// newAgents counts the agents that a balancer has met since the last summary. A balancer that starts meets all of them,
// and a line for each would grow with the product of balancers and agents.
type newAgents struct {
	byState map[flows.State]int
	flows   int // that these agents hold
}

func (a *newAgents) record(report flows.Report) {
	if a.byState == nil {
		a.byState = map[flows.State]int{}
	}
	a.byState[report.State]++
	a.flows += report.Flows
}

// take returns the summary and starts a new one; it reports false when no agent was met.
func (a *newAgents) take() (logs.Fields, bool) {
	if len(a.byState) == 0 {
		return nil, false
	}
	fields := logs.Fields{"flows": a.flows}
	for state, count := range a.byState {
		fields[state.String()] = count
	}
	*a = newAgents{}
	return fields, true
}

// meter holds the packet counters of a balancer and the rate limiters of its packet logs.
type meter struct {
	agentLimiter     *logs.Limiter
	dropLimiter      *logs.Limiter
	forwarded        *metrics.Counter
	notForwarded     map[flows.Reason]*metrics.Counter
	placementLimiter *logs.Limiter
	queries          *metrics.Counter // messages that ask all other balancers about silent agents
	relayed          *metrics.Counter // packets that other balancers could not deliver
	resetLimiter     *logs.Limiter
	server           *stats.Server
	zoneLimiter      *logs.Limiter
}

func newMeter(server *stats.Server) *meter {
	return &meter{
		agentLimiter:     logs.NewLimiter(agentLogsPerSecond),
		dropLimiter:      logs.NewLimiter(notForwardedLogsPerSecond),
		forwarded:        server.Counter("cyclamendock_balancer_packets_total"),
		notForwarded:     map[flows.Reason]*metrics.Counter{},
		queries:          server.Counter("cyclamendock_balancer_queries_total"),
		relayed:          server.Counter("cyclamendock_balancer_packets_relayed_total"),
		placementLimiter: logs.NewLimiter(placementLogsPerSecond),
		resetLimiter:     logs.NewLimiter(notForwardedLogsPerSecond),
		server:           server,
		zoneLimiter:      logs.NewLimiter(zoneLogsPerSecond),
	}
}

// registerGauges registers the metrics that are read from the balancer's current state.
func (n *Node) registerGauges(server *stats.Server) {
	gauge := func(name string, read func() float64) {
		server.Gauge(name, func() float64 {
			n.mu.Lock()
			defer n.mu.Unlock()
			return read()
		})
	}
	gauge("cyclamendock_balancer_agents", func() float64 { return float64(n.director.Agents.ReportedCount()) })
	gauge("cyclamendock_balancer_agents_dormant", func() float64 { return float64(n.director.Agents.DormantCount()) })
	gauge("cyclamendock_balancer_config_version", func() float64 { return float64(n.director.Version()) })
	gauge("cyclamendock_balancer_config_age_seconds", func() float64 { return time.Since(n.configReads.lastRead).Seconds() })
	gauge("cyclamendock_balancer_flows_waiting", func() float64 { return float64(n.director.Waiting()) })
	gauge("cyclamendock_balancer_peers", func() float64 { return float64(len(n.peers.list)) })
	gauge("cyclamendock_balancer_zones_emptied", func() float64 { return float64(n.director.Agents.Zones.State().Len()) })
	gauge("cyclamendock_balancer_zones_known", func() float64 {
		if n.director.Agents.Zones.State().Known {
			return 1
		}
		return 0
	})
}

// logPlacement logs a rate-limited sample of placed flows with the inputs of the decision.
func (n *Node) logPlacement(now time.Time, verdict *flows.Verdict) {
	suppressed, ok := n.meter.placementLimiter.Allow(now)
	if !ok {
		return
	}
	n.mu.Lock()
	version := n.director.Version()
	report, age := n.director.Agents.LastReport(now, verdict.Chains[0][0])
	n.mu.Unlock()
	n.config.Log.Info("Flow placed.", logs.Fields{
		"age":        age.Round(time.Millisecond).String(),
		"agent":      verdict.Chains[0][0].String(),
		"busy":       report.Busy,
		"caller":     verdict.Flow.Caller.String(),
		"config":     version,
		"others":     len(verdict.Chains[0]) - 1,
		"route":      verdict.Flow.Service.String(),
		"slots":      report.Slots,
		"suppressed": suppressed,
	})
}

// logAgentChange logs a change of an agent that this balancer had met before.
func (n *Node) logAgentChange(now time.Time, agent flows.Endpoint, report flows.Report) {
	suppressed, ok := n.meter.agentLimiter.Allow(now)
	if !ok {
		return
	}
	n.config.Log.Info("Agent changed.", logs.Fields{
		"agent":      agent.String(),
		"busy":       report.Busy,
		"flows":      report.Flows,
		"state":      report.State.String(),
		"suppressed": suppressed,
	})
}

// logNewAgents logs one line about all agents that this balancer has met since the last one.
func (n *Node) logNewAgents() {
	n.mu.Lock()
	fields, ok := n.newAgents.take()
	n.mu.Unlock()
	if ok {
		n.config.Log.Info("New agents.", fields)
	}
}

// logNotForwarded counts and logs a packet that was not forwarded to an agent.
func (n *Node) logNotForwarded(now time.Time, verdict *flows.Verdict) {
	n.countNotForwarded(verdict.Reason)
	limiter, text := n.meter.dropLimiter, "Packet not forwarded."
	if verdict.Action == flows.ActReset {
		limiter, text = n.meter.resetLimiter, "Flow reset."
	}
	suppressed, ok := limiter.Allow(now)
	if !ok {
		return
	}
	n.mu.Lock()
	version := n.director.Version()
	availability := n.director.Availability(now, verdict.Flow)
	n.mu.Unlock()
	awaited := ""
	if len(verdict.Awaited) > 0 {
		awaited = verdict.Awaited[0].String()
	}
	n.config.Log.Info(text, logs.Fields{
		"agents":     availability.Known,
		"awaited":    len(verdict.Awaited),
		"awaitedOne": awaited,
		"caller":     verdict.Flow.Caller.String(),
		"config":     version,
		"evacuated":  availability.Evacuated,
		"ready":      availability.Ready,
		"reason":     string(verdict.Reason),
		"request":    verdict.RequestID,
		"route":      verdict.Flow.Service.String(),
		"silent":     availability.Silent,
		"suppressed": suppressed,
	})
}

func (n *Node) countNotForwarded(reason flows.Reason) {
	n.mu.Lock()
	counter := n.meter.notForwarded[reason]
	if counter == nil {
		counter = n.meter.server.Counter("cyclamendock_balancer_packets_not_carried_total", "reason", string(reason))
		n.meter.notForwarded[reason] = counter
	}
	n.mu.Unlock()
	counter.Inc()
}
