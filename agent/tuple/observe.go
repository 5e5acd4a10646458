package tuple

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/cyclamendock/cyclamendock/lib/carry"
	"github.com/cyclamendock/cyclamendock/lib/logs"
	"github.com/cyclamendock/cyclamendock/lib/stats"
)

const (
	// answeredLines is how many lines about ordinary requests are logged each second.
	answeredLines = 10
	// unusualLines is how many lines about requests without an answer are logged each second.
	unusualLines = 50
)

// A meter counts what an agent does.
type meter struct {
	answered *logs.Limiter
	ended    map[carry.Ending]*metrics.Counter
	passed   *metrics.Counter
	resets   *metrics.Counter
	unusual  *logs.Limiter
	work     *metrics.Histogram
}

func newMeter(server *stats.Server) *meter {
	m := &meter{
		answered: logs.NewLimiter(answeredLines),
		ended:    map[carry.Ending]*metrics.Counter{},
		passed:   server.Counter("cyclamendock_agent_packets_passed_total"),
		resets:   server.Counter("cyclamendock_agent_flows_reset_total"),
		unusual:  logs.NewLimiter(unusualLines),
		work:     server.Histogram("cyclamendock_agent_request_seconds"),
	}
	for _, ending := range []carry.Ending{carry.EndingAbandoned, carry.EndingAnswered, carry.EndingLost, carry.EndingTimedOut} {
		m.ended[ending] = server.Counter("cyclamendock_agent_requests_total", "ending", string(ending))
	}
	return m
}

// registerGauges serves what the agent holds now.
func (n *Node) registerGauges(server *stats.Server) {
	gauge := func(name string, read func() int) {
		server.Gauge(name, func() float64 {
			n.mu.Lock()
			defer n.mu.Unlock()
			return float64(read())
		})
	}
	gauge("cyclamendock_agent_flows", n.carrier.Flows)
	gauge("cyclamendock_agent_requests_in_progress", n.carrier.Busy)
	gauge("cyclamendock_agent_flows_waiting", n.carrier.Waiting)
	gauge("cyclamendock_agent_backend_ready", func() int {
		if n.server.State(time.Now()) == carry.StateReady {
			return 1
		}
		return 0
	})
}

// observe counts and logs the requests that have ended, the ordinary ones sampled.
func (n *Node) observe(now time.Time, ended []carry.Ended) {
	for _, e := range ended {
		n.meter.ended[e.Ending].Inc()
		limiter := n.meter.unusual
		if e.Ending == carry.EndingAnswered {
			n.meter.work.Update(e.Took.Seconds())
			limiter = n.meter.answered
		}
		suppressed, ok := limiter.Allow(now)
		if !ok {
			continue
		}
		n.config.Log.Info("Request ended.", logs.Fields{
			"ahead":      e.Ahead,
			"caller":     e.Flow.Caller.String(),
			"ending":     string(e.Ending),
			"request":    e.ID,
			"route":      e.Flow.Service.String(),
			"suppressed": suppressed,
			"took":       e.Took.Round(time.Millisecond).String(),
			"waited":     e.Waited.Round(time.Millisecond).String(),
		})
	}
}
