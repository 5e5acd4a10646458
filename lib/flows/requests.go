package flows

import (
	"time"

	"github.com/cyclamendock/cyclamendock/lib/pace"
)

// Ending tells how a request ended.
type Ending string

// The endings of requests.
const (
	// EndingAbandoned means that the caller closed its flow before the response.
	EndingAbandoned Ending = "abandoned"
	// EndingAnswered means that the response has begun.
	EndingAnswered Ending = "answered"
	// EndingLost means that the backend server ended before the response.
	EndingLost Ending = "lost"
	// EndingTimedOut means that the request's timeout passed before the response.
	EndingTimedOut Ending = "timedOut"
)

// Ended describes a request that is no longer in progress.
type Ended struct {
	Ending    Ending
	Flow      Flow
	InFlight  int           // requests in progress when this one arrived, including itself
	QueueTime time.Duration // time in the agent's queue, not part of Took
	RequestID string        // empty when it could not be read
	Took      time.Duration // time from delivery to the end
}

// maxEndedRequests is how many ended requests are kept until TakeEnded; further ones are not recorded.
const maxEndedRequests = 256

// trackPacket updates the state of an open flow with a packet that is delivered to the backend server.
func (d *Dispatcher) trackPacket(now time.Time, f *Forward, p Packet) {
	flow := p.CallerFlow()
	state, ok := d.flows.Get(now, flow)
	if !ok || state.tentative {
		d.trackTentative(now, f, p)
		d.forgetRestored(p)
		return
	}
	if f.Searched || len(f.RejectedBy) > 0 || len(f.Next) > 0 {
		state.ownerRecipient = f.Origin
	}
	state.lastAck = p.Ack
	if p.Flags.Has(FlagReset) || p.Flags.Has(FlagFin) {
		d.recordEnded(now, flow, state, EndingAbandoned) // the caller expects no response any more
		d.recordAbandoned(now, state)
		d.clearRequest(now, flow, state)
		d.markClosed(state, true)
		return
	}
	if p.Length == 0 || !state.inProgress && !state.hasNewData(p) {
		return // no data, or a retransmission of a request that has been answered
	}
	if !state.inProgress {
		d.beginRequest(now, state)
	}
	if !state.requestSeen {
		d.recordHandshake(now, state)
		state.requestID = p.RequestID
		state.requestSeen = true
		state.startedAt = now
		d.service.SetSlots(now, d.config.Server.Slots())
		d.service.Arrive(now, flow)
	}
	if state.hasNewData(p) {
		state.nextSeq = p.Seq + uint32(p.Length)
	}
	state.dataSeen = true
	state.deadline = now.Add(f.Timeout)
}

// hasNewData reports whether a packet contains data that the caller has not sent before.
func (s *flowState) hasNewData(p Packet) bool {
	return !s.dataSeen || int32(p.Seq+uint32(p.Length)-s.nextSeq) > 0
}

// trackTentative records the balancer that forwarded data of an untracked flow. After a restart of the agent the backend
// server may hold the flow; until it sends a packet for it, its requests don't count as in progress.
func (d *Dispatcher) trackTentative(now time.Time, f *Forward, p Packet) {
	if p.Length > 0 {
		d.flows.Put(now, p.CallerFlow(), &flowState{openedAt: now, ownerRecipient: f.Origin, tentative: true})
	}
}

// beginRequest records that a request, or an opening whose first request is expected, has arrived.
func (d *Dispatcher) beginRequest(now time.Time, state *flowState) {
	d.busy++
	state.inFlight = d.busy
	state.inProgress = true
	state.startedAt = now
	state.deadline = now.Add(maxHandshakeTime)
}

// recordEnded records the end of the request in progress, if any, for TakeEnded.
func (d *Dispatcher) recordEnded(now time.Time, flow Flow, state *flowState, ending Ending) {
	if !state.inProgress || !state.requestSeen || len(d.ended) == maxEndedRequests {
		return
	}
	d.ended = append(d.ended, Ended{Ending: ending, Flow: flow, InFlight: state.inFlight, QueueTime: state.queueTime, RequestID: state.requestID, Took: now.Sub(state.startedAt)})
}

// TakeEnded returns the requests that have ended since the last call.
func (d *Dispatcher) TakeEnded() []Ended {
	ended := d.ended
	d.ended = nil
	return ended
}

// clearRequest records that a flow has no request in progress, and returns the time for which the request was in service
// at the backend server; it reports false when that is not known.
func (d *Dispatcher) clearRequest(now time.Time, flow Flow, state *flowState) (time.Duration, bool) {
	if state.inProgress {
		d.busy = max(0, d.busy-1)
	}
	state.endRequest()
	d.service.SetSlots(now, d.config.Server.Slots())
	return d.service.End(now, flow)
}

// endRequest forgets the request in progress.
func (s *flowState) endRequest() {
	s.inProgress = false
	s.queueTime = 0
	s.requestID = ""
	s.requestSeen = false
}

// recordAnswered records that the response to a request has begun, and updates the mean service time. A failed response is
// no sample: a backend server that refuses a request does so at once, which says nothing about the time that others take.
func (d *Dispatcher) recordAnswered(now time.Time, flow Flow, state *flowState, failed bool) {
	d.recordEnded(now, flow, state, EndingAnswered)
	serviceTime, ok := d.clearRequest(now, flow, state)
	if failed {
		d.recordResponse(now, pace.Response{Failed: true})
	}
	if failed || !ok {
		return
	}
	if d.meanServiceTime == 0 {
		d.meanServiceTime = serviceTime
	}
	d.meanServiceTime += time.Duration(float64(serviceTime-d.meanServiceTime) * serviceTimeWeight)
	d.recordResponse(now, pace.Response{ServiceTime: serviceTime})
}

// removeFlow stops tracking a flow.
func (d *Dispatcher) removeFlow(now time.Time, flow Flow, state *flowState) {
	d.flows.Delete(flow)
	d.clearRequest(now, flow, state)
	d.markClosed(state, false)
}
