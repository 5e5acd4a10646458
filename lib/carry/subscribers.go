package carry

import (
	"slices"
	"time"
)

const (
	// stateInterest is how long an agent tells a balancer that has sent it something of a changed state.
	stateInterest = 10 * time.Minute
	// loadInterest is how long an agent keeps reporting its load to a balancer that has sent it something.
	loadInterest = 2 * time.Second
	// busyOpenings is how many new flows within loadInterest make a balancer want reports often.
	busyOpenings = 2
	// reportOften is the pause between reports to a balancer that places flows here all the time: its choice is as
	// good as its reports are young.
	reportOften = 100 * time.Millisecond
	// reportRarely is the pause between reports to any other balancer, which only has to know that the agent lives.
	reportRarely = time.Second
)

// A subscriber is a balancer to which an agent reports.
type subscriber struct {
	began    time.Time // of the present count of openings
	heard    time.Time // last message
	last     int       // openings counted before began
	openings int
	reported time.Time
}

// Subscribers decide when an agent reports to which balancer, so that reports follow the flows between the two.
type Subscribers struct {
	byBalancer map[Endpoint]*subscriber
}

// A Due is a balancer that should get a report now.
type Due struct {
	Balancer Endpoint
	Every    time.Duration // at most until the next report, if the balancer goes on sending
}

// NewSubscribers returns a set without balancers.
func NewSubscribers() *Subscribers { return &Subscribers{byBalancer: map[Endpoint]*subscriber{}} }

// Heard records a message of a balancer.
func (s *Subscribers) Heard(now time.Time, balancer Endpoint, opens bool) {
	known := s.byBalancer[balancer]
	if known == nil {
		known = &subscriber{began: now}
		s.byBalancer[balancer] = known
	}
	known.heard = now
	if now.Sub(known.began) > loadInterest {
		known.last, known.openings, known.began = known.openings, 0, now
	}
	if opens {
		known.openings++
	}
}

// Due returns the balancers that should get a report now: those that place flows here, those that have sent
// something for the first time in a while, or all of them when the agent's state has changed.
func (s *Subscribers) Due(now time.Time, changed bool) []Due {
	var due []Due
	for balancer, known := range s.byBalancer {
		silent := now.Sub(known.heard)
		if silent > stateInterest {
			delete(s.byBalancer, balancer)
			continue
		}
		every := known.every()
		if changed || silent <= loadInterest && now.Sub(known.reported) >= every {
			known.reported = now
			due = append(due, Due{Balancer: balancer, Every: every})
		}
	}
	slices.SortFunc(due, func(x, y Due) int { return x.Balancer.Compare(y.Balancer) })
	return due
}

func (l *subscriber) every() time.Duration {
	if max(l.openings, l.last) >= busyOpenings {
		return reportOften
	}
	return reportRarely
}
