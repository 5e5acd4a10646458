package flows

import (
	"slices"
	"time"
)

const (
	// fastReportInterval is the interval of reports to a balancer that keeps placing flows here, whose choices are only
	// as good as its reports are recent.
	fastReportInterval = 100 * time.Millisecond
	// loadReportWindow is how long after its last message a balancer gets periodic reports.
	loadReportWindow = 2 * time.Second
	// minFrequentOpenings is the number of new flows within loadReportWindow from which a balancer gets reports at
	// fastReportInterval.
	minFrequentOpenings = 2
	// slowReportInterval is the interval of reports to all other balancers, which only need to know that the agent is up.
	slowReportInterval = time.Second
	// stateReportWindow is how long after its last message a balancer gets reports of changed states.
	stateReportWindow = 10 * time.Minute
)

// subscriber is a balancer to which an agent reports.
type subscriber struct {
	lastMessage      time.Time
	lastReport       time.Time
	openings         int       // new flows since windowStart
	previousOpenings int       // new flows in the window before windowStart
	windowStart      time.Time // start of the current window of loadReportWindow
}

// Subscribers schedules an agent's reports to each balancer by the flows and packets that the balancer sends.
type Subscribers struct {
	byBalancer map[Endpoint]*subscriber
}

// DueReport is a balancer to which a report is due.
type DueReport struct {
	Balancer Endpoint
	Interval time.Duration // longest time until the next report while the balancer keeps sending packets
}

// NewSubscribers returns an empty set of subscribers.
func NewSubscribers() *Subscribers { return &Subscribers{byBalancer: map[Endpoint]*subscriber{}} }

// RecordMessage records a message of a balancer, which subscribes it; opening tells whether the message opens a flow.
func (s *Subscribers) RecordMessage(now time.Time, balancer Endpoint, opening bool) {
	sub := s.byBalancer[balancer]
	if sub == nil {
		sub = &subscriber{windowStart: now}
		s.byBalancer[balancer] = sub
	}
	sub.lastMessage = now
	if now.Sub(sub.windowStart) > loadReportWindow {
		sub.previousOpenings, sub.openings, sub.windowStart = sub.openings, 0, now
	}
	if opening {
		sub.openings++
	}
}

// DueReports returns the balancers to which a report is due, in order: those that sent a message recently, each at its
// report interval, or all subscribers when the agent's state has changed.
func (s *Subscribers) DueReports(now time.Time, changed bool) []DueReport {
	var due []DueReport
	for balancer, sub := range s.byBalancer {
		silence := now.Sub(sub.lastMessage)
		if silence > stateReportWindow {
			delete(s.byBalancer, balancer)
			continue
		}
		interval := sub.reportInterval()
		if changed || silence <= loadReportWindow && now.Sub(sub.lastReport) >= interval {
			sub.lastReport = now
			due = append(due, DueReport{Balancer: balancer, Interval: interval})
		}
	}
	slices.SortFunc(due, func(x, y DueReport) int { return x.Balancer.Compare(y.Balancer) })
	return due
}

// reportInterval returns the interval between reports to a balancer, by the rate at which it opens flows.
func (s *subscriber) reportInterval() time.Duration {
	if max(s.openings, s.previousOpenings) >= minFrequentOpenings {
		return fastReportInterval
	}
	return slowReportInterval
}
