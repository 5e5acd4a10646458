package carry

import (
	"slices"
	"time"
)

const (
	// acquaintance is how long an agent tells a balancer that has sent it something of a changed state.
	acquaintance = 10 * time.Minute
	// interest is how long an agent keeps reporting its load to a balancer that has sent it something.
	interest = 2 * time.Second
	// busyOpenings is how many new flows within interest make a balancer want reports often.
	busyOpenings = 2
	// reportOften is the pause between reports to a balancer that places flows here all the time: its choice is as
	// good as its reports are young.
	reportOften = 100 * time.Millisecond
	// reportRarely is the pause between reports to any other balancer, which only has to know that the agent lives.
	reportRarely = time.Second
)

// A listener is a balancer to which an agent reports.
type listener struct {
	began    time.Time // of the present count of openings
	heard    time.Time // last message
	last     int       // openings counted before began
	openings int
	reported time.Time
}

// An Audience decides when an agent reports to which balancer, so that reports follow the flows between the two.
type Audience struct {
	listeners map[Endpoint]*listener
}

// A Due is a balancer that should get a report now.
type Due struct {
	Balancer Endpoint
	Every    time.Duration // at most until the next report, if the balancer goes on sending
}

// NewAudience returns an audience without balancers.
func NewAudience() *Audience { return &Audience{listeners: map[Endpoint]*listener{}} }

// Heard records a message of a balancer.
func (a *Audience) Heard(now time.Time, balancer Endpoint, opens bool) {
	known := a.listeners[balancer]
	if known == nil {
		known = &listener{began: now}
		a.listeners[balancer] = known
	}
	known.heard = now
	if now.Sub(known.began) > interest {
		known.last, known.openings, known.began = known.openings, 0, now
	}
	if opens {
		known.openings++
	}
}

// Due returns the balancers that should get a report now: those that place flows here, those that have sent
// something for the first time in a while, or all of them when the agent's state has changed.
func (a *Audience) Due(now time.Time, changed bool) []Due {
	var due []Due
	for balancer, known := range a.listeners {
		silent := now.Sub(known.heard)
		if silent > acquaintance {
			delete(a.listeners, balancer)
			continue
		}
		every := known.every()
		if changed || silent <= interest && now.Sub(known.reported) >= every {
			known.reported = now
			due = append(due, Due{Balancer: balancer, Every: every})
		}
	}
	slices.SortFunc(due, func(x, y Due) int { return x.Balancer.Compare(y.Balancer) })
	return due
}

func (l *listener) every() time.Duration {
	if max(l.openings, l.last) >= busyOpenings {
		return reportOften
	}
	return reportRarely
}
