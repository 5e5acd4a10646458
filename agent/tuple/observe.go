package tuple

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/cyclamendock/cyclamendock/lib/flows"
	"github.com/cyclamendock/cyclamendock/lib/logs"
	"github.com/cyclamendock/cyclamendock/lib/stats"
)

const (
	// answeredLogsPerSecond limits the log lines about answered requests.
	answeredLogsPerSecond = 10
	// unansweredLogsPerSecond limits the log lines about requests that ended without an answer.
	unansweredLogsPerSecond = 50
)

// meter holds the metrics of an agent and the rate limiters of its request logs.
type meter struct {
	answeredLimiter   *logs.Limiter
	endedRequests     map[flows.Ending]*metrics.Counter
	flowResets        *metrics.Counter
	forwardedPackets  *metrics.Counter
	requestSeconds    *metrics.Histogram
	unansweredLimiter *logs.Limiter
}

func newMeter(server *stats.Server) *meter {
	m := &meter{
		answeredLimiter:   logs.NewLimiter(answeredLogsPerSecond),
		endedRequests:     map[flows.Ending]*metrics.Counter{},
		flowResets:        server.Counter("cyclamendock_agent_flows_reset_total"),
		forwardedPackets:  server.Counter("cyclamendock_agent_packets_passed_total"),
		requestSeconds:    server.Histogram("cyclamendock_agent_request_seconds"),
		unansweredLimiter: logs.NewLimiter(unansweredLogsPerSecond),
	}
	for _, ending := range []flows.Ending{flows.EndingAbandoned, flows.EndingAnswered, flows.EndingLost, flows.EndingTimedOut} {
		m.endedRequests[ending] = server.Counter("cyclamendock_agent_requests_total", "ending", string(ending))
	}
	return m
}

// registerGauges registers the gauges of flows, requests and the backend server's state.
func (n *Node) registerGauges(server *stats.Server) {
	gauge := func(name string, read func() int) {
		server.Gauge(name, func() float64 {
			n.mu.Lock()
			defer n.mu.Unlock()
			return float64(read())
		})
	}
	gauge("cyclamendock_agent_flows", n.dispatcher.Flows)
	gauge("cyclamendock_agent_requests_in_progress", n.dispatcher.Busy)
	gauge("cyclamendock_agent_flows_waiting", n.dispatcher.Waiting)
	gauge("cyclamendock_agent_zone_emptied", func() int {
		if n.dispatcher.ZoneEvacuated() {
			return 1
		}
		return 0
	})
	gauge("cyclamendock_agent_backend_ready", func() int {
		if n.server.State(time.Now()) == flows.StateReady {
			return 1
		}
		return 0
	})
}

// recordEnded counts all requests that have ended and logs as many as the rate limits allow.
func (n *Node) recordEnded(now time.Time, ended []flows.Ended) {
	for _, e := range ended {
		n.meter.endedRequests[e.Ending].Inc()
		limiter := n.meter.unansweredLimiter
		if e.Ending == flows.EndingAnswered {
			n.meter.requestSeconds.Update(e.Took.Seconds())
			limiter = n.meter.answeredLimiter
		}
		suppressed, ok := limiter.Allow(now)
		if !ok {
			continue
		}
		n.config.Log.Info("Request ended.", logs.Fields{
			"ahead":      e.InFlight,
			"caller":     e.Flow.Caller.String(),
			"ending":     string(e.Ending),
			"request":    e.RequestID,
			"route":      e.Flow.Service.String(),
			"suppressed": suppressed,
			"took":       e.Took.Round(time.Millisecond).String(),
			"waited":     e.QueueTime.Round(time.Millisecond).String(),
		})
	}
}
