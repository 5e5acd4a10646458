package carry

import "time"

// An Ending tells how a request ended for the agent.
type Ending string

// The endings of requests.
const (
	// EndingAbandoned means that the caller closed its flow before an answer.
	EndingAbandoned Ending = "abandoned"
	// EndingAnswered means that the response has begun.
	EndingAnswered Ending = "answered"
	// EndingLost means that the backend server ended before an answer.
	EndingLost Ending = "lost"
	// EndingTimedOut means that the request's timeout passed before an answer.
	EndingTimedOut Ending = "timedOut"
)

// An Ended is a request that is no longer in progress.
type Ended struct {
	Ahead  int // requests in progress when it came, itself included
	Ending Ending
	Flow   Flow
	ID     string // empty when it could not be read
	Took   time.Duration
	Waited time.Duration // at the agent, before Took begins
}

// endedCapacity is how many ended requests are kept until they are taken.
const endedCapacity = 256

// follow records a packet of an open flow on its way to the backend server.
func (c *Carrier) follow(now time.Time, f *Forward, p Packet) {
	flow := p.FromCaller()
	known, ok := c.flows.Get(now, flow)
	if !ok || known.tentative {
		c.trackTentative(now, f, p)
		return
	}
	if len(f.Asked) > 0 || len(f.Next) > 0 {
		known.balancer = f.Origin
	}
	known.ack = p.Ack
	if p.Flags.Has(FlagReset) || p.Flags.Has(FlagFin) {
		c.end(now, flow, known, EndingAbandoned) // the caller waits for nothing more
		c.idle(known)
		return
	}
	if p.Length == 0 || !known.busy && !known.brings(p) {
		return // no data, or data of a request that has been answered
	}
	if !known.busy {
		c.begin(now, known)
	}
	if !known.requested {
		known.request = p.Request
		known.requested = true
		known.since = now
	}
	if known.brings(p) {
		known.next = p.Seq + uint32(p.Length)
	}
	known.sent = true
	known.until = now.Add(f.Timeout)
}

// brings reports whether a packet has data that the caller had not sent before.
func (h *held) brings(p Packet) bool {
	return !h.sent || int32(p.Seq+uint32(p.Length)-h.next) > 0
}

// trackTentative remembers who sent data of a flow that this agent does not know. The agent may have restarted; whether the
// flow is here shows in what the backend server does, and until then it counts as no work.
func (c *Carrier) trackTentative(now time.Time, f *Forward, p Packet) {
	if p.Length > 0 {
		c.flows.Put(now, p.FromCaller(), &held{balancer: f.Origin, tentative: true})
	}
}

// begin records that a request, or the flow that will bring one, has come.
func (c *Carrier) begin(now time.Time, known *held) {
	c.busy++
	known.ahead = c.busy
	known.busy = true
	known.since = now
	known.until = now.Add(openingLimit)
}

// end keeps how a request ended until TakeEnded.
func (c *Carrier) end(now time.Time, flow Flow, known *held, ending Ending) {
	if !known.busy || !known.requested || len(c.ended) == endedCapacity {
		return
	}
	c.ended = append(c.ended, Ended{Ahead: known.ahead, Ending: ending, Flow: flow, ID: known.request, Took: now.Sub(known.since), Waited: known.waited})
}

// TakeEnded returns the requests that have ended since it was last called.
func (c *Carrier) TakeEnded() []Ended {
	ended := c.ended
	c.ended = nil
	return ended
}

// idle records that a flow has no request in progress.
func (c *Carrier) idle(known *held) {
	if known.busy {
		c.busy = max(0, c.busy-1)
	}
	known.busy = false
	known.requested = false
	known.waited = 0
}

// finish records that the response to a request has begun.
func (c *Carrier) finish(now time.Time, flow Flow, known *held) {
	c.end(now, flow, known, EndingAnswered)
	c.idle(known)
	work := now.Sub(known.since)
	if slots := c.config.Server.Slots(); known.ahead > slots {
		work = work * time.Duration(slots) / time.Duration(known.ahead)
	}
	if c.pace == 0 {
		c.pace = work
	}
	c.pace += time.Duration(float64(work-c.pace) * paceWeight)
}

func (c *Carrier) drop(flow Flow, known *held) {
	c.flows.Delete(flow)
	c.idle(known)
}
