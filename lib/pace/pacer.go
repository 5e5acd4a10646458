package pace

import (
	"math"
	"time"
)

const (
	// contactTimeout is the time without a message of any balancer after which the next one comes from balancers that take the
	// backend server for idle. Balancers in use send one each second.
	contactTimeout = 2 * time.Second
	// flowMarginDivisor divides the greatest number of flows to get the margin for flows whose end the agent can't observe.
	flowMarginDivisor = 50
	// unknownMarginFactor times this margin is kept while the agent does not know all flows.
	unknownMarginFactor = 4
	// Unlimited is the room of a backend server without limits.
	Unlimited = math.MaxInt
)

// Refusal tells why a new flow may not be accepted.
type Refusal string

// The reasons why a new flow may not be accepted.
const (
	// RefusedCold means that a cold backend server has got as many new flows in the last second as it may.
	RefusedCold Refusal = "cold"
	// RefusedFlows means that the backend server holds as many flows as it may.
	RefusedFlows Refusal = "flows"
	// RefusedNone means that the new flow may be accepted.
	RefusedNone Refusal = ""
	// RefusedPace means that as many requests are in progress as the ramp allows.
	RefusedPace Refusal = "pace"
)

// Settings holds what the deployment has enabled.
type Settings struct {
	ColdFactor float64 // times Limits.ColdPerSecond is the rate that a cold backend server may be given
	ColdLimit  bool    // the limit for cold backend servers applies
	ColdSlack  float64 // new flows per second above that rate
	Pacing     bool    // backend servers that start or recover have a ramp
}

// Limits holds the limits of a backend server in one version of the configuration.
type Limits struct {
	ColdPerSecond float64 // requests per second that a cold backend server can handle; zero when there is no limit
	MaxFlows      int     // zero when there is no limit
	Version       uint64  // version of the configuration; zero when no limits are known
}

// Load describes the backend server at the time of a decision.
type Load struct {
	Busy          int  // requests in progress, including new flows whose first request is expected
	Cold          bool // it has started a short time ago and is still slow
	Flows         int  // open flows
	FlowsComplete bool // no other flow can be open
	Slots         int  // requests that it can run at once
}

// Change is the begin or the end of a ramp.
type Change struct {
	Began bool
	Cause Cause
	Took  time.Duration // length of a ramp that has ended
}

// Pacer decides for one agent whether its backend server may be given one more new flow.
type Pacer struct {
	blockedUntil time.Time // until when an earlier agent may have used up the limit for cold backend servers
	changes      []Change  // since the last TakeChanges
	lastContact  time.Time // zero before the first message of a balancer
	limits       Limits
	openings     Window
	process      int64 // start of the last process of the backend server
	ramp         ramp
	ready        bool
	rampSeen     bool // the ramp in progress is in changes
	settings     Settings
}

// New returns a pacer of a backend server that is not ready yet.
func New(settings Settings) *Pacer { return &Pacer{settings: settings} }

// SetLimits applies limits of a later version and reports whether they were.
func (p *Pacer) SetLimits(limits Limits) bool {
	if limits.Version <= p.limits.Version {
		return false
	}
	p.limits = limits
	return true
}

// Limits returns the limits in force.
func (p *Pacer) Limits() Limits { return p.limits }

// BlockCold refuses new flows of a cold backend server for as long as those that an earlier agent may have delivered count.
func (p *Pacer) BlockCold(startedAt time.Time) { p.blockedUntil = startedAt.Add(windowLength) }

// UnblockCold ends the effect of BlockCold: no earlier agent has delivered to this process of the backend server.
func (p *Pacer) UnblockCold() { p.blockedUntil = time.Time{} }

// Observe records the state of the backend server, and begins or ends ramps. Process is the start of its process, a number that grows.
func (p *Pacer) Observe(now time.Time, process int64, ready bool, load Load) {
	switch {
	case !ready || !p.settings.Pacing:
	case process > p.process:
		p.begin(now, CauseStart)
	case !p.ready:
		p.begin(now, CauseReady)
	}
	p.ready = ready
	if ready {
		p.process = max(p.process, process)
	}
	p.update(now, load)
}

// RecordContact records a message of a balancer.
func (p *Pacer) RecordContact(now time.Time) {
	silent := !p.lastContact.IsZero() && now.Sub(p.lastContact) > contactTimeout
	p.lastContact = now
	if silent && p.ready && p.settings.Pacing {
		p.begin(now, CauseReachable)
	}
}

// RecordOpening records that the opening packet of a flow is delivered.
func (p *Pacer) RecordOpening(now time.Time) {
	if p.settings.ColdLimit {
		p.openings.Record(now)
	}
}

// RecordResponse records a response; load is of the time before it.
func (p *Pacer) RecordResponse(now time.Time, response Response, load Load) {
	if !p.settings.Pacing || !p.ready {
		return
	}
	p.ramp.record(now, response, load.Busy, load.Cold)
	p.update(now, load)
}

// Refuse returns why one more new flow may not be accepted, or RefusedNone. With onlyLimits, no other backend server has room, so that
// the ramp does not count.
func (p *Pacer) Refuse(now time.Time, load Load, onlyLimits bool) Refusal {
	switch {
	case p.flowRoom(load) <= 0:
		return RefusedFlows
	case p.ColdRoom(now, load) <= 0:
		return RefusedCold
	case !onlyLimits && p.rampRoom(now, load) <= 0:
		return RefusedPace
	}
	return RefusedNone
}

// Room returns how many more new flows may be accepted now, or Unlimited.
func (p *Pacer) Room(now time.Time, load Load) int {
	return max(0, min(p.flowRoom(load), p.ColdRoom(now, load), p.rampRoom(now, load)))
}

// ColdRoom returns how many more opening packets may be delivered now to a cold backend server, or Unlimited.
func (p *Pacer) ColdRoom(now time.Time, load Load) int {
	known := p.limits.Version > 0
	if !load.Cold || !p.settings.ColdLimit || known && p.limits.ColdPerSecond <= 0 {
		return Unlimited
	}
	if now.Before(p.blockedUntil) {
		return 0
	}
	return p.ColdLimit() - p.openings.Count(now)
}

// ColdLimit returns the greatest number of new flows in any second while the backend server is cold. Only the slack is allowed until
// the limits are known.
func (p *Pacer) ColdLimit() int {
	return int(p.limits.ColdPerSecond*p.settings.ColdFactor + p.settings.ColdSlack)
}

// Pace returns the limit of requests in progress, or zero while no ramp lasts.
func (p *Pacer) Pace() int {
	if !p.ramp.active {
		return 0
	}
	return int(p.ramp.limit)
}

// FlowLimit returns the greatest number of flows with which one more would not be accepted, or Unlimited.
func (p *Pacer) FlowLimit(complete bool) int {
	if p.limits.MaxFlows == 0 {
		return Unlimited
	}
	margin := max(1, p.limits.MaxFlows/flowMarginDivisor)
	if !complete {
		margin *= unknownMarginFactor
	}
	return max(1, p.limits.MaxFlows-margin)
}

// TakeChanges returns the begins and ends of ramps since the last call.
func (p *Pacer) TakeChanges() []Change {
	changes := p.changes
	p.changes = nil
	return changes
}

func (p *Pacer) flowRoom(load Load) int {
	limit := p.FlowLimit(load.FlowsComplete)
	if limit == Unlimited {
		return Unlimited
	}
	return limit - load.Flows
}

func (p *Pacer) rampRoom(now time.Time, load Load) int {
	if !p.ramp.active {
		return Unlimited
	}
	return p.ramp.room(now, load.Busy, load.Slots)
}

func (p *Pacer) begin(now time.Time, cause Cause) {
	p.ramp.begin(now, cause)
	p.noteBegin()
}

// update ends the ramp if it is over, and records in changes a ramp that responses have begun.
func (p *Pacer) update(now time.Time, load Load) {
	if p.ramp.active && !p.rampSeen {
		p.noteBegin()
	}
	if p.ramp.update(now, load.Slots, load.Cold) {
		p.changes = append(p.changes, Change{Cause: p.ramp.cause, Took: now.Sub(p.ramp.began)})
		p.rampSeen = false
	}
}

func (p *Pacer) noteBegin() {
	p.rampSeen = true
	p.changes = append(p.changes, Change{Began: true, Cause: p.ramp.cause})
}
