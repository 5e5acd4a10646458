package admit

import (
	"slices"
	"time"
)

const (
	// creditWindow limits the credit that a kind can accumulate to its guaranteed slot time over this period.
	creditWindow = 2 * time.Second
	// estimateWeight is the weight in per cent of the latest duration in a kind's moving average.
	estimateWeight = 20
	percent        = 100
)

// Reason states why a request was rejected.
type Reason string

const (
	// ReasonCancelled means that the caller cancelled the request while it was queued.
	ReasonCancelled Reason = "cancelled"
	// ReasonClosed means that the agent no longer accepts requests.
	ReasonClosed Reason = "closed"
	// ReasonDeadline means that the request was not expected to finish before its deadline.
	ReasonDeadline Reason = "deadline"
	// ReasonQueueFull means that the queue of the request's kind had reached its limit.
	ReasonQueueFull Reason = "queueFull"
)

// Kind holds the limits of one kind of request.
type Kind struct {
	Name            string
	QueueLimit      int           // maximum number of queued requests
	Share           int           // guaranteed share of the slots, in per cent
	TypicalDuration time.Duration // typical duration of a request, the initial value of its estimate
	Urgency         int           // priority among kinds beyond their share, greater is more urgent
}

// Config holds the limits of a Controller.
type Config struct {
	Kinds []Kind
	Slots int // maximum number of concurrent requests
}

// Request is a request that needs a slot.
type Request struct {
	Deadline time.Time
	ID       uint64
	Kind     int // index into Config.Kinds
}

// Decision states that a request starts or that it is rejected.
type Decision struct {
	ID     uint64
	Reason Reason // reason for the rejection, empty when the request starts
}

type kindQueue struct {
	credit   time.Duration // guaranteed slot time left, negative when the kind has used more than its share
	estimate time.Duration // moving average of the request durations
	waiting  []Request
}

// removedKind is the kind of a running request whose kind is not configured any more.
const removedKind = -1

type runningRequest struct {
	chargedTime time.Duration // estimate deducted from the credit at the start
	kind        int           // index into Config.Kinds, or removedKind
	startedAt   time.Time
}

// Controller is the admission controller that shares the slots of one backend server among kinds of requests.
type Controller struct {
	config      Config
	lastAccrual time.Time   // time up to which the kinds have received their credit
	limit       int         // concurrency limit, at most config.Slots
	queues      []kindQueue // one per entry of config.Kinds
	running     map[uint64]runningRequest
}

// NewController returns a controller with all slots free.
func NewController(now time.Time, config Config) *Controller {
	c := &Controller{lastAccrual: now, limit: config.Slots, running: map[uint64]runningRequest{}}
	c.setConfig(config)
	return c
}

// Reconfigure applies new limits. It keeps running requests, and queued ones unless their kind, which its name identifies, is gone.
func (c *Controller) Reconfigure(now time.Time, config Config) []Decision {
	c.accrueCredit(now)
	c.limit = config.Slots
	decisions := c.setConfig(config)
	return append(decisions, c.startWaiting(now)...)
}

// SetLimit sets the concurrency limit, clamped to between one and the number of slots.
func (c *Controller) SetLimit(now time.Time, limit int) []Decision {
	c.accrueCredit(now)
	c.limit = max(1, min(limit, c.config.Slots))
	return c.startWaiting(now)
}

// Submit queues a request and returns the decisions that can be made now.
func (c *Controller) Submit(now time.Time, request Request) []Decision {
	c.accrueCredit(now)
	if request.Kind >= len(c.queues) {
		return append(c.startWaiting(now), Decision{ID: request.ID, Reason: ReasonClosed}) // the kind was removed meanwhile
	}
	q := &c.queues[request.Kind]
	if len(q.waiting) >= c.config.Kinds[request.Kind].QueueLimit {
		return append(c.startWaiting(now), Decision{ID: request.ID, Reason: ReasonQueueFull})
	}
	q.waiting = append(q.waiting, request)
	return c.startWaiting(now)
}

// Finish frees the slot of a completed request, corrects its kind's credit and updates the duration estimate.
func (c *Controller) Finish(now time.Time, id uint64) []Decision {
	c.accrueCredit(now)
	finished, ok := c.running[id]
	if !ok {
		return nil
	}
	delete(c.running, id)
	if finished.kind == removedKind {
		return c.startWaiting(now)
	}
	q := &c.queues[finished.kind]
	used := now.Sub(finished.startedAt)
	q.credit += finished.chargedTime - used
	q.estimate += (used - q.estimate) * estimateWeight / percent
	return c.startWaiting(now)
}

// Cancel removes a queued request and returns no decision when the request is already running.
func (c *Controller) Cancel(id uint64) []Decision {
	for k := range c.queues {
		q := &c.queues[k]
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

// Tick rejects the queued requests that can no longer meet their deadlines.
func (c *Controller) Tick(now time.Time) []Decision {
	c.accrueCredit(now)
	var decisions []Decision
	for k := range c.queues {
		decisions = c.rejectLate(now, k, decisions)
	}
	return append(decisions, c.startWaiting(now)...)
}

// Running returns the number of requests that hold a slot.
func (c *Controller) Running() int { return len(c.running) }

// Waiting returns the number of queued requests.
func (c *Controller) Waiting() int {
	total := 0
	for k := range c.queues {
		total += len(c.queues[k].waiting)
	}
	return total
}

// Limit returns the concurrency limit.
func (c *Controller) Limit() int { return c.limit }

// CheckInvariants returns a description of the first violated invariant, or an empty string.
func (c *Controller) CheckInvariants() string {
	if len(c.running) > c.config.Slots {
		return "more requests are running than there are slots"
	}
	for k, kind := range c.config.Kinds {
		if len(c.queues[k].waiting) > kind.QueueLimit {
			return "the queue of kind " + kind.Name + " exceeds its limit"
		}
	}
	return ""
}

// setConfig applies limits, moves queues and running requests to the new places of their kinds, and returns rejections of the queued
// requests whose kinds are gone.
func (c *Controller) setConfig(config Config) []Decision {
	queues := make([]kindQueue, len(config.Kinds))
	for k, kind := range config.Kinds {
		queues[k] = kindQueue{credit: c.creditLimit(kind, config.Slots), estimate: kind.TypicalDuration}
	}
	var decisions []Decision
	moved := make([]int, len(c.queues)) // new place of each kind, or removedKind
	for k, q := range c.queues {
		name := c.config.Kinds[k].Name
		moved[k] = slices.IndexFunc(config.Kinds, func(kind Kind) bool { return kind.Name == name })
		if moved[k] != removedKind {
			queues[moved[k]] = q
			continue
		}
		for _, request := range q.waiting {
			decisions = append(decisions, Decision{ID: request.ID, Reason: ReasonClosed})
		}
	}
	for id, request := range c.running {
		if request.kind != removedKind {
			request.kind = moved[request.kind]
			c.running[id] = request
		}
	}
	c.config = config
	c.queues = queues
	return decisions
}

func (c *Controller) creditLimit(kind Kind, slots int) time.Duration {
	return creditWindow * time.Duration(kind.Share*slots) / percent
}

// accrueCredit adds the guaranteed slot time since the last call to each kind's credit.
func (c *Controller) accrueCredit(now time.Time) {
	elapsed := now.Sub(c.lastAccrual)
	if elapsed <= 0 {
		return
	}
	c.lastAccrual = now
	for k, kind := range c.config.Kinds {
		q := &c.queues[k]
		limit := max(c.creditLimit(kind, c.limit), q.estimate)
		q.credit += elapsed * time.Duration(kind.Share*c.limit) / percent
		q.credit = max(-limit, min(q.credit, limit))
	}
}

// startWaiting starts queued requests while slots are free.
func (c *Controller) startWaiting(now time.Time) []Decision {
	var decisions []Decision
	for len(c.running) < c.limit {
		k := c.nextKind()
		if k < 0 {
			break
		}
		q := &c.queues[k]
		request := q.waiting[0]
		q.waiting = q.waiting[1:]
		if c.missesDeadline(now, q, request) {
			decisions = append(decisions, Decision{ID: request.ID, Reason: ReasonDeadline})
			continue
		}
		c.running[request.ID] = runningRequest{chargedTime: q.estimate, kind: k, startedAt: now}
		q.credit -= q.estimate
		decisions = append(decisions, Decision{ID: request.ID})
	}
	return decisions
}

// nextKind returns the kind whose request starts next, or -1 when none is queued: kinds within their guaranteed
// share go first, then the most urgent kind, then the one with the most credit.
func (c *Controller) nextKind() int {
	best := -1
	for k := range c.queues {
		if len(c.queues[k].waiting) == 0 {
			continue
		}
		if best < 0 || c.hasPriority(k, best) {
			best = k
		}
	}
	return best
}

func (c *Controller) hasPriority(a, b int) bool {
	guaranteedA, guaranteedB := c.queues[a].credit > 0, c.queues[b].credit > 0
	if guaranteedA != guaranteedB {
		return guaranteedA
	}
	urgencyA, urgencyB := c.config.Kinds[a].Urgency, c.config.Kinds[b].Urgency
	if urgencyA != urgencyB {
		return urgencyA > urgencyB
	}
	return c.queues[a].credit > c.queues[b].credit
}

func (c *Controller) missesDeadline(now time.Time, q *kindQueue, request Request) bool {
	return now.Add(q.estimate).After(request.Deadline)
}

func (c *Controller) rejectLate(now time.Time, k int, decisions []Decision) []Decision {
	q := &c.queues[k]
	kept := q.waiting[:0]
	for _, request := range q.waiting {
		if c.missesDeadline(now, q, request) {
			decisions = append(decisions, Decision{ID: request.ID, Reason: ReasonDeadline})
		} else {
			kept = append(kept, request)
		}
	}
	q.waiting = kept
	return decisions
}
