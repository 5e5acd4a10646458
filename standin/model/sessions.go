package model

import (
	"time"

	"github.com/cyclamendock/cyclamendock/lib/flows"
)

// session is the plan of a persistent caller that sends a number of requests and then closes its flow.
type session struct {
	due       time.Time // when the next request is due, as soon as the earlier one has ended
	remaining int       // requests that have not been sent
}

// startSessions starts sessions until the end of the measurement, with LongFlowRate requests per second altogether.
func (f *flowSimulation) startSessions() {
	rate := f.config.LongFlowRate / float64(max(f.config.LongFlowRequests, 1))
	if rate <= 0 || f.clock.now.After(f.measureFrom.Add(f.config.Duration)) {
		return
	}
	f.clock.after(f.randomPause(time.Duration(float64(time.Second)/rate)), func() {
		f.continueSession(&persistentCaller{session: &session{due: f.clock.now, remaining: f.config.LongFlowRequests}})
		f.startSessions()
	})
}

// continueSession sends a session's next request when it is due, and closes the flow after the last one.
func (f *flowSimulation) continueSession(caller *persistentCaller) {
	s := caller.session
	if s.remaining == 0 {
		f.closeSession(caller)
		return
	}
	s.remaining--
	caller.busy = true
	f.clock.after(max(0, s.due.Sub(f.clock.now)), func() {
		s.due = f.clock.now.Add(f.randomPause(f.config.LongFlowPause))
		r := &request{address: flowAddress, caller: caller, issuedAt: f.clock.now}
		f.requests = append(f.requests, r)
		f.startAttempt(r)
	})
}

// closeSession closes the flow of a session that has ended.
func (f *flowSimulation) closeSession(caller *persistentCaller) {
	if caller.flow != (flows.Flow{}) {
		f.sendFin(&attempt{flow: caller.flow, nextSeq: caller.nextSeq})
		caller.flow = flows.Flow{}
	}
}

// randomPause returns a random pause with the given mean, exponentially distributed.
func (f *flowSimulation) randomPause(mean time.Duration) time.Duration {
	return time.Duration(f.random.ExpFloat64() * float64(mean))
}
