package tuple

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/cyclamendock/cyclamendock/lib/flows"
	"github.com/cyclamendock/cyclamendock/lib/logs"
	"github.com/cyclamendock/cyclamendock/lib/pace"
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
	rejectedOpenings  map[pace.Refusal]*metrics.Counter
	requestSeconds    *metrics.Histogram
	unansweredLimiter *logs.Limiter
}

func newMeter(server *stats.Server) *meter {
	m := &meter{
		answeredLimiter:   logs.NewLimiter(answeredLogsPerSecond),
		endedRequests:     map[flows.Ending]*metrics.Counter{},
		flowResets:        server.Counter("cyclamendock_agent_flows_reset_total"),
		forwardedPackets:  server.Counter("cyclamendock_agent_packets_passed_total"),
		rejectedOpenings:  map[pace.Refusal]*metrics.Counter{},
		requestSeconds:    server.Histogram("cyclamendock_agent_request_seconds"),
		unansweredLimiter: logs.NewLimiter(unansweredLogsPerSecond),
	}
	for _, ending := range []flows.Ending{flows.EndingAbandoned, flows.EndingAnswered, flows.EndingLost, flows.EndingTimedOut} {
		m.endedRequests[ending] = server.Counter("cyclamendock_agent_requests_total", "ending", string(ending))
	}
	for _, refusal := range []pace.Refusal{pace.RefusedCold, pace.RefusedFlows, pace.RefusedPace} {
		m.rejectedOpenings[refusal] = server.Counter("cyclamendock_agent_openings_rejected_total", "reason", string(refusal))
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
	gauge("cyclamendock_agent_flows_open", n.dispatcher.OpenFlows)
	gauge("cyclamendock_agent_pace", n.dispatcher.Pace)
	gauge("cyclamendock_agent_room", func() int { return limitGauge(n.dispatcher.Room(time.Now())) })
	gauge("cyclamendock_agent_flows_limit", func() int { return limitGauge(n.dispatcher.FlowLimit(time.Now())) })
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

// limitGauge returns the value of a gauge for a limit, -1 for none.
func limitGauge(limit int) int {
	if limit == pace.Unlimited {
		return -1
	}
	return limit
}

// recordPace logs, up to a rate, the begins and ends of slow starts, and counts the openings rejected by reason.
func (n *Node) recordPace(now time.Time, changes []pace.Change, refusals map[pace.Refusal]int) {
	for _, change := range changes {
		if change.Began {
			n.logLimited(now, "Slow start has begun.", logs.Fields{"cause": string(change.Cause)})
			continue
		}
		n.logLimited(now, "Slow start has ended.", logs.Fields{"cause": string(change.Cause), "took": change.Took.Round(time.Millisecond).String()})
	}
	for refusal, count := range refusals {
		n.meter.rejectedOpenings[refusal].Add(count)
	}
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
