package model

import (
	"time"

	"github.com/cyclamendock/cyclamendock/lib/flows"
)

const (
	// responseLength and shedResponseLength are the sizes in bytes by which callers tell a response from a refusal.
	responseLength     = 2000
	shedResponseLength = 10
	requestLength      = 100 // bytes
	// maxAttempts is the number of attempts after which a caller abandons a request.
	maxAttempts = 3
	// openTimeout is the time after which a caller abandons a flow that the backend server hasn't accepted.
	openTimeout = 1400 * time.Millisecond
)

// synDelays are the times, from the start of an attempt, at which a caller sends a copy of its Syn packet.
var synDelays = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

// request is one request of a caller, with all its attempts.
type request struct {
	answeredAt time.Time // zero without a response
	attempts   int
	address    flows.Endpoint    // address of the route
	caller     *persistentCaller // caller whose flow the request uses; nil for a flow of its own
	issuedAt   time.Time
}

// persistentCaller is a caller that keeps a flow open for many requests.
type persistentCaller struct {
	busy    bool
	flow    flows.Flow // zero when none is open
	nextSeq uint32
	session *session // nil when the caller sends requests for as long as the simulation runs
}

// attempt is one attempt at a request, on one flow.
type attempt struct {
	established bool // the backend server has accepted the flow
	flow        flows.Flow
	nextSeq     uint32
	request     *request
	startedAt   time.Time
}

// startCallers starts the request streams on short and on persistent flows.
func (f *flowSimulation) startCallers() {
	f.startSessions()
	noCaller := func() *persistentCaller { return nil }
	f.scheduleRequests(flowAddress, f.config.ShortFlowRate, noCaller)
	f.scheduleRequests(floodAddress, f.config.FloodRate, noCaller)
	for range f.config.PersistentCallers {
		f.persistent = append(f.persistent, &persistentCaller{})
	}
	if len(f.persistent) > 0 {
		f.scheduleRequests(flowAddress, f.config.PersistentFlowRate, func() *persistentCaller { return f.persistent[f.random.IntN(len(f.persistent))] })
	}
}

// scheduleRequests issues requests of a route at a mean rate per second until the end of the measurement.
func (f *flowSimulation) scheduleRequests(address flows.Endpoint, rate float64, chooseCaller func() *persistentCaller) {
	if rate <= 0 || f.clock.now.After(f.measureFrom.Add(f.config.Duration)) {
		return
	}
	pause := time.Duration(f.random.ExpFloat64() / rate * float64(time.Second))
	f.clock.after(pause, func() {
		r := &request{address: address, caller: chooseCaller(), issuedAt: f.clock.now}
		if r.caller != nil && r.caller.busy {
			r.caller = nil // the persistent flow is in use, so this request opens its own
		}
		if r.caller != nil {
			r.caller.busy = true
		}
		f.requests = append(f.requests, r)
		f.startAttempt(r)
		f.scheduleRequests(address, rate, chooseCaller)
	})
}

// startAttempt sends a request on the caller's persistent flow if one is open, otherwise on a new flow.
func (f *flowSimulation) startAttempt(r *request) {
	remaining := r.issuedAt.Add(f.config.Timeout).Sub(f.clock.now)
	if r.attempts == maxAttempts || remaining <= 0 {
		f.releaseCaller(r)
		return
	}
	r.attempts++
	a := &attempt{request: r, startedAt: f.clock.now}
	if caller := r.caller; caller != nil && caller.flow != (flows.Flow{}) {
		a.flow, a.established, a.nextSeq = caller.flow, true, caller.nextSeq
	} else {
		a.flow = f.newFlow(r.address)
	}
	f.attempts[a.flow] = a
	if a.established {
		f.sendRequest(a, 200*time.Millisecond)
	} else {
		f.openFlow(a)
	}
	f.clock.after(remaining, func() {
		if f.attempts[a.flow] == a {
			f.endAttempt(a)
			f.sendFin(a)
			f.releaseCaller(r)
		}
	})
}

// releaseCaller makes a request's persistent caller available again.
func (f *flowSimulation) releaseCaller(r *request) {
	if r.caller == nil {
		return
	}
	r.caller.busy = false
	if r.caller.session != nil {
		f.continueSession(r.caller)
	}
}

func (f *flowSimulation) newFlow(address flows.Endpoint) flows.Flow {
	f.createdFlows++
	caller := flows.Endpoint{IP: [4]byte{100, 64, byte(f.createdFlows >> 22), byte(f.createdFlows >> 14)}, Port: uint16(1024 + f.createdFlows&0x3fff)}
	return flows.Flow{Caller: caller, Service: address}
}

func (f *flowSimulation) newPacket(a *attempt, flags flows.Flags, length int) flows.Packet {
	return flows.Packet{Destination: a.flow.Service, Flags: flags, Length: length, Seq: a.nextSeq, Source: a.flow.Caller}
}

// openFlow sends the Syn packet, repeats it until the flow is accepted, and starts another attempt after openTimeout.
func (f *flowSimulation) openFlow(a *attempt) {
	for _, delay := range synDelays {
		f.clock.after(delay, func() {
			if f.attempts[a.flow] == a && !a.established {
				p := f.newPacket(a, flows.FlagSyn, 0)
				p.OpeningAge = delay
				f.sendToBalancer(p)
			}
		})
	}
	f.clock.after(openTimeout, func() {
		if f.attempts[a.flow] == a && !a.established {
			f.endAttempt(a)
			f.startAttempt(a.request)
		}
	})
}

// sendRequest sends the request and repeats it with exponential backoff until the attempt ends.
func (f *flowSimulation) sendRequest(a *attempt, pause time.Duration) {
	if f.attempts[a.flow] != a {
		return
	}
	f.sendToBalancer(f.newPacket(a, flows.FlagAck, requestLength))
	f.clock.after(pause, func() { f.sendRequest(a, 2*pause) })
}

func (f *flowSimulation) sendFin(a *attempt) {
	f.sendToBalancer(f.newPacket(a, flows.FlagAck|flows.FlagFin, 0))
}

// endAttempt drops a failed attempt; a persistent flow whose request failed is not used again.
func (f *flowSimulation) endAttempt(a *attempt) {
	delete(f.attempts, a.flow)
	if a.request.caller != nil {
		a.request.caller.flow = flows.Flow{}
	}
}

// resetFlow delivers a reset to the caller, which closes an idle flow, or starts another attempt if it may.
func (f *flowSimulation) resetFlow(flow flows.Flow) {
	f.clock.after(callerDelay, func() {
		a := f.attempts[flow]
		if a == nil {
			f.closeIdleFlow(flow)
			return
		}
		f.resets++
		if !a.established && a.startedAt.After(f.measureFrom) {
			f.refusedAfter = append(f.refusedAfter, f.clock.now.Sub(a.startedAt))
		}
		f.endAttempt(a)
		if a.established && a.request.caller != nil && f.config.UnsafePersistent {
			f.releaseCaller(a.request)
			return
		}
		f.startAttempt(a.request)
	})
}

// closeIdleFlow makes the persistent caller that keeps a flow open use another one for its next request.
func (f *flowSimulation) closeIdleFlow(flow flows.Flow) {
	for _, caller := range f.persistent {
		if caller.flow == flow {
			caller.flow = flows.Flow{}
		}
	}
}

// receiveAtCaller processes a packet from a backend server at its caller.
func (f *flowSimulation) receiveAtCaller(p flows.Packet) {
	a := f.attempts[p.ServerFlow()]
	if a == nil {
		return
	}
	switch {
	case p.Flags.Has(flows.FlagSyn):
		if !a.established {
			a.established = true
			f.sendRequest(a, 200*time.Millisecond)
		}
	case p.Length == shedResponseLength:
		f.shed++
		f.endAttempt(a)
		f.sendFin(a)
		f.startAttempt(a.request)
	case p.Length == responseLength:
		f.finishRequest(a)
	}
}

// finishRequest records the response, and closes the flow unless it belongs to a persistent caller.
func (f *flowSimulation) finishRequest(a *attempt) {
	a.request.answeredAt = f.clock.now
	delete(f.attempts, a.flow)
	caller := a.request.caller
	if caller == nil {
		f.sendFin(a)
		return
	}
	caller.flow = a.flow
	caller.nextSeq = a.nextSeq + requestLength
	f.releaseCaller(a.request)
}
