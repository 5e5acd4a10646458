package admit

import (
	"time"
)

const (
	// creditSpan is how much of its guaranteed share a kind may save up.
	creditSpan = 2 * time.Second
	// smoothing is the weight in per cent of a new duration in a kind's estimate.
	smoothing = 20
	percent   = 100
)

// A Reason tells why a request was refused.
type Reason string

const (
	// ReasonCancelled means that the caller has gone.
	ReasonCancelled Reason = "cancelled"
	// ReasonClosed means that the agent no longer takes requests.
	ReasonClosed Reason = "closed"
	// ReasonDeadline means that the request could not have met its deadline.
	ReasonDeadline Reason = "deadline"
	// ReasonQueueFull means that too many requests of the kind wait already.
	ReasonQueueFull Reason = "queueFull"
)

// A Kind is one kind of work on a service.
type Kind struct {
	Name       string
	QueueLimit int
	Share      int // per cent of the slots
	Typical    time.Duration
	Urgency    int // greater is more urgent
}

// A Config holds the limits of a Gate.
type Config struct {
	Kinds []Kind
	Slots int
}

// A Request is one request that asks for a slot.
type Request struct {
	Deadline time.Time
	ID       uint64
	Kind     int // index into Config.Kinds
}

// A Decision starts or refuses one request.
type Decision struct {
	ID     uint64
	Reason Reason // empty when the request starts
}

type queue struct {
	credit   time.Duration // slot time the kind may still use under its guarantee
	estimate time.Duration
	waiting  []Request
}

type running struct {
	charged time.Duration
	kind    int
	started time.Time
}

// A Gate shares the slots of one backend server among kinds of work.
type Gate struct {
	accrued time.Time
	config  Config
	limit   int
	queues  []queue
	running map[uint64]running
}

// NewGate returns a gate with all slots free.
func NewGate(now time.Time, config Config) *Gate {
	g := &Gate{accrued: now, limit: config.Slots, running: map[uint64]running{}}
	g.setConfig(config)
	return g
}

// Reconfigure applies new limits and keeps what runs and waits, as long as the kinds keep their order.
func (g *Gate) Reconfigure(now time.Time, config Config) []Decision {
	g.accrue(now)
	g.limit = config.Slots
	g.setConfig(config)
	return g.fill(now)
}

// SetLimit changes how many requests may run at once, at least one and at most the slots.
func (g *Gate) SetLimit(now time.Time, limit int) []Decision {
	g.accrue(now)
	g.limit = max(1, min(limit, g.config.Slots))
	return g.fill(now)
}

// Arrive adds a request and returns what can be decided now.
func (g *Gate) Arrive(now time.Time, request Request) []Decision {
	g.accrue(now)
	q := &g.queues[request.Kind]
	if len(q.waiting) >= g.config.Kinds[request.Kind].QueueLimit {
		return append(g.fill(now), Decision{ID: request.ID, Reason: ReasonQueueFull})
	}
	q.waiting = append(q.waiting, request)
	return g.fill(now)
}

// Finish frees the slot of a request that has ended.
func (g *Gate) Finish(now time.Time, id uint64) []Decision {
	g.accrue(now)
	run, ok := g.running[id]
	if !ok {
		return nil
	}
	delete(g.running, id)
	q := &g.queues[run.kind]
	used := now.Sub(run.started)
	q.credit += run.charged - used
	q.estimate += (used - q.estimate) * smoothing / percent
	return g.fill(now)
}

// Cancel removes a request that still waits and reports nothing when it already runs.
func (g *Gate) Cancel(id uint64) []Decision {
	for k := range g.queues {
		q := &g.queues[k]
		for i, request := range q.waiting {
			if request.ID != id {
				continue
			}
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			return []Decision{{ID: id, Reason: ReasonCancelled}}
		}
	}
	return nil
}

// Tick refuses the requests that can no longer meet their deadlines.
func (g *Gate) Tick(now time.Time) []Decision {
	g.accrue(now)
	var decisions []Decision
	for k := range g.queues {
		decisions = g.dropLate(now, k, decisions)
	}
	return append(decisions, g.fill(now)...)
}

// Running returns the number of requests that hold a slot.
func (g *Gate) Running() int { return len(g.running) }

// Waiting returns the number of requests that wait for a slot.
func (g *Gate) Waiting() int {
	total := 0
	for k := range g.queues {
		total += len(g.queues[k].waiting)
	}
	return total
}

// Limit returns how many requests may run at once.
func (g *Gate) Limit() int { return g.limit }

// Check returns the first invariant that does not hold, or an empty text.
func (g *Gate) Check() string {
	if len(g.running) > g.config.Slots {
		return "more requests run than there are slots"
	}
	for k, kind := range g.config.Kinds {
		if len(g.queues[k].waiting) > kind.QueueLimit {
			return "the queue of " + kind.Name + " is over its limit"
		}
	}
	return ""
}

func (g *Gate) setConfig(config Config) {
	queues := make([]queue, len(config.Kinds))
	copy(queues, g.queues)
	for k, kind := range config.Kinds {
		if queues[k].estimate == 0 {
			queues[k].estimate = kind.Typical
			queues[k].credit = g.creditLimit(kind, config.Slots)
		}
	}
	g.config = config
	g.queues = queues
}

func (g *Gate) creditLimit(kind Kind, slots int) time.Duration {
	return creditSpan * time.Duration(kind.Share*slots) / percent
}

// accrue adds each kind's guaranteed slot time since the last event.
func (g *Gate) accrue(now time.Time) {
	passed := now.Sub(g.accrued)
	if passed <= 0 {
		return
	}
	g.accrued = now
	for k, kind := range g.config.Kinds {
		q := &g.queues[k]
		limit := max(g.creditLimit(kind, g.limit), q.estimate)
		q.credit += passed * time.Duration(kind.Share*g.limit) / percent
		q.credit = max(-limit, min(q.credit, limit))
	}
}

// fill starts waiting requests while slots are free.
func (g *Gate) fill(now time.Time) []Decision {
	var decisions []Decision
	for len(g.running) < g.limit {
		k := g.nextKind()
		if k < 0 {
			break
		}
		q := &g.queues[k]
		request := q.waiting[0]
		q.waiting = q.waiting[1:]
		if g.late(now, q, request) {
			decisions = append(decisions, Decision{ID: request.ID, Reason: ReasonDeadline})
			continue
		}
		g.running[request.ID] = running{charged: q.estimate, kind: k, started: now}
		q.credit -= q.estimate
		decisions = append(decisions, Decision{ID: request.ID})
	}
	return decisions
}

// nextKind prefers kinds within their guarantee, then the most urgent, then the one with the most credit.
func (g *Gate) nextKind() int {
	best := -1
	for k := range g.queues {
		if len(g.queues[k].waiting) == 0 {
			continue
		}
		if best < 0 || g.goesBefore(k, best) {
			best = k
		}
	}
	return best
}

func (g *Gate) goesBefore(a, b int) bool {
	withinA, withinB := g.queues[a].credit > 0, g.queues[b].credit > 0
	if withinA != withinB {
		return withinA
	}
	urgencyA, urgencyB := g.config.Kinds[a].Urgency, g.config.Kinds[b].Urgency
	if urgencyA != urgencyB {
		return urgencyA > urgencyB
	}
	return g.queues[a].credit > g.queues[b].credit
}

func (g *Gate) late(now time.Time, q *queue, request Request) bool {
	return now.Add(q.estimate).After(request.Deadline)
}

func (g *Gate) dropLate(now time.Time, k int, decisions []Decision) []Decision {
	q := &g.queues[k]
	kept := q.waiting[:0]
	for _, request := range q.waiting {
		if g.late(now, q, request) {
			decisions = append(decisions, Decision{ID: request.ID, Reason: ReasonDeadline})
		} else {
			kept = append(kept, request)
		}
	}
	q.waiting = kept
	return decisions
}
