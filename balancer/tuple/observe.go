package tuple

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/cyclamendock/cyclamendock/lib/carry"
	"github.com/cyclamendock/cyclamendock/lib/logs"
	"github.com/cyclamendock/cyclamendock/lib/stats"
)

const (
	// placedLines is how many lines about flows that were placed are logged each second.
	placedLines = 5
	// unusualLines is how many lines about packets that were not carried are logged each second.
	unusualLines = 50
)

// A meter counts what a balancer does.
type meter struct {
	carried *metrics.Counter
	drops   *logs.Limiter
	placed  *logs.Limiter
	reasons map[carry.Reason]*metrics.Counter
	resets  *logs.Limiter
	server  *stats.Server
}

func newMeter(server *stats.Server) *meter {
	return &meter{
		carried: server.Counter("cyclamendock_balancer_packets_total"),
		drops:   logs.NewLimiter(unusualLines),
		placed:  logs.NewLimiter(placedLines),
		reasons: map[carry.Reason]*metrics.Counter{},
		resets:  logs.NewLimiter(unusualLines),
		server:  server,
	}
}

// registerGauges serves what the balancer knows now.
func (n *Node) registerGauges(server *stats.Server) {
	gauge := func(name string, read func() float64) {
		server.Gauge(name, func() float64 {
			n.mu.Lock()
			defer n.mu.Unlock()
			return read()
		})
	}
	gauge("cyclamendock_balancer_agents", func() float64 { return float64(n.director.Agents.Heard()) })
	gauge("cyclamendock_balancer_config_version", func() float64 { return float64(n.director.Version()) })
	gauge("cyclamendock_balancer_config_age_seconds", func() float64 { return time.Since(n.checked).Seconds() })
	gauge("cyclamendock_balancer_flows_waiting", func() float64 { return float64(n.director.Waiting()) })
	gauge("cyclamendock_balancer_peers", func() float64 { return float64(len(n.peers.list)) })
}

// logPlaced logs some of the flows that were placed, with what decided it.
func (n *Node) logPlaced(now time.Time, verdict *carry.Verdict) {
	suppressed, ok := n.meter.placed.Allow(now)
	if !ok {
		return
	}
	n.mu.Lock()
	version := n.director.Version()
	load, age := n.director.Agents.Load(now, verdict.To[0])
	n.mu.Unlock()
	n.config.Log.Info("Flow placed.", logs.Fields{
		"age":        age.Round(time.Millisecond).String(),
		"agent":      verdict.To[0].String(),
		"busy":       load.Busy,
		"caller":     verdict.Flow.Caller.String(),
		"config":     version,
		"others":     len(verdict.Forward.Next),
		"route":      verdict.Flow.Service.String(),
		"slots":      load.Slots,
		"suppressed": suppressed,
	})
}

// logVerdict counts and logs a packet that was not carried.
func (n *Node) logVerdict(now time.Time, verdict *carry.Verdict) {
	n.count(verdict.Reason)
	limiter, text := n.meter.drops, "Packet not carried."
	if verdict.Action == carry.ActReset {
		limiter, text = n.meter.resets, "Flow reset."
	}
	suppressed, ok := limiter.Allow(now)
	if !ok {
		return
	}
	n.config.Log.Info(text, logs.Fields{
		"caller":     verdict.Flow.Caller.String(),
		"config":     n.version(),
		"reason":     string(verdict.Reason),
		"request":    verdict.Request,
		"route":      verdict.Flow.Service.String(),
		"suppressed": suppressed,
	})
}

func (n *Node) count(reason carry.Reason) {
	n.mu.Lock()
	counter := n.meter.reasons[reason]
	if counter == nil {
		counter = n.meter.server.Counter("cyclamendock_balancer_packets_not_carried_total", "reason", string(reason))
		n.meter.reasons[reason] = counter
	}
	n.mu.Unlock()
	counter.Inc()
}
