package model

import (
	"time"

	"github.com/cyclamendock/cyclamendock/lib/carry"
)

const (
	// answerLength and shedLength are the sizes in bytes by which callers tell the two answers apart.
	answerLength  = 2000
	shedLength    = 10
	requestLength = 100 // bytes
	// maxTries is how often a caller asks on a flow of its own before it gives up.
	maxTries = 3
	// openingLimit is how long a caller waits for the backend server to accept its flow.
	openingLimit = 1400 * time.Millisecond
)

// openingRepeats are when a caller sends its opening packet.
var openingRepeats = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

// A request is what a caller wants once.
type request struct {
	answered time.Time
	asked    time.Time
	keeper   *keeper // whose flow it uses, nil for a flow of its own
	tries    int
}

// A keeper is a caller that keeps a flow for many requests.
type keeper struct {
	busy bool
	flow carry.Flow // zero when none is open
	seq  uint32
}

// An attempt is one try of a request on one flow.
type attempt struct {
	flow    carry.Flow
	open    bool
	request *request
	seq     uint32
}

func (f *flows) startCallers() {
	f.ask(f.config.Fresh, func() *keeper { return nil })
	var keepers []*keeper
	for range f.config.Callers {
		keepers = append(keepers, &keeper{})
	}
	if len(keepers) > 0 {
		f.ask(f.config.Kept, func() *keeper { return keepers[f.random.IntN(len(keepers))] })
	}
}

// ask makes requests at a rate per second.
func (f *flows) ask(rate float64, next func() *keeper) {
	if rate <= 0 || f.clock.now.After(f.started.Add(f.config.Duration)) {
		return
	}
	pause := time.Duration(f.random.ExpFloat64() / rate * float64(time.Second))
	f.clock.after(pause, func() {
		r := &request{asked: f.clock.now, keeper: next()}
		if r.keeper != nil && r.keeper.busy {
			r.keeper = nil // asks on a flow of its own meanwhile
		}
		if r.keeper != nil {
			r.keeper.busy = true
		}
		f.requests = append(f.requests, r)
		f.try(r)
		f.ask(rate, next)
	})
}

// try sends a request, on the kept flow if there is one.
func (f *flows) try(r *request) {
	left := r.asked.Add(f.config.Timeout).Sub(f.clock.now)
	if r.tries == maxTries || left <= 0 {
		f.giveUp(r)
		return
	}
	r.tries++
	a := &attempt{request: r}
	if k := r.keeper; k != nil && k.flow != (carry.Flow{}) {
		a.flow, a.open, a.seq = k.flow, true, k.seq
	} else {
		a.flow = f.newFlow()
	}
	f.waiting[a.flow] = a
	if a.open {
		f.sendRequest(a, 200*time.Millisecond)
	} else {
		f.open(a)
	}
	f.clock.after(left, func() {
		if f.waiting[a.flow] == a {
			f.end(a)
			f.sendEnd(a)
			f.giveUp(r)
		}
	})
}

func (f *flows) giveUp(r *request) {
	if r.keeper != nil {
		r.keeper.busy = false
	}
}

func (f *flows) newFlow() carry.Flow {
	f.ports++
	caller := carry.Endpoint{IP: [4]byte{100, 64, byte(f.ports >> 22), byte(f.ports >> 14)}, Port: uint16(1024 + f.ports&0x3fff)}
	return carry.Flow{Caller: caller, Service: flowAddress}
}

func (f *flows) packetOf(a *attempt, flags carry.Flags, length int) carry.Packet {
	return carry.Packet{Destination: a.flow.Service, Flags: flags, Length: length, Seq: a.seq, Source: a.flow.Caller}
}

// open sends the packet that opens a flow, and again while nothing comes back.
func (f *flows) open(a *attempt) {
	for _, repeat := range openingRepeats {
		f.clock.after(repeat, func() {
			if f.waiting[a.flow] == a && !a.open {
				p := f.packetOf(a, carry.FlagSyn, 0)
				p.Age = repeat
				f.send(p)
			}
		})
	}
	f.clock.after(openingLimit, func() {
		if f.waiting[a.flow] == a && !a.open {
			f.end(a)
			f.try(a.request)
		}
	})
}

// sendRequest sends the request, and again after growing pauses.
func (f *flows) sendRequest(a *attempt, pause time.Duration) {
	if f.waiting[a.flow] != a {
		return
	}
	f.send(f.packetOf(a, carry.FlagAck, requestLength))
	f.clock.after(pause, func() { f.sendRequest(a, 2*pause) })
}

func (f *flows) sendEnd(a *attempt) { f.send(f.packetOf(a, carry.FlagAck|carry.FlagFin, 0)) }

// end forgets an attempt; a kept flow whose request failed is not used again.
func (f *flows) end(a *attempt) {
	delete(f.waiting, a.flow)
	if a.request.keeper != nil {
		a.request.keeper.flow = carry.Flow{}
	}
}

// reset tells a caller that its flow has ended.
func (f *flows) reset(flow carry.Flow) {
	f.clock.after(callerDelay, func() {
		if a := f.waiting[flow]; a != nil {
			f.end(a)
			f.try(a.request)
		}
	})
}

// receive takes a packet of a backend server.
func (f *flows) receive(p carry.Packet) {
	a := f.waiting[p.FromServer()]
	if a == nil {
		return
	}
	switch {
	case p.Flags.Has(carry.FlagSyn):
		if !a.open {
			a.open = true
			f.sendRequest(a, 200*time.Millisecond)
		}
	case p.Length == shedLength:
		f.end(a)
		f.try(a.request)
	case p.Length == answerLength:
		f.finish(a)
	}
}

// finish keeps the flow of an answered request open, or closes it.
func (f *flows) finish(a *attempt) {
	a.request.answered = f.clock.now
	delete(f.waiting, a.flow)
	k := a.request.keeper
	if k == nil {
		f.sendEnd(a)
		return
	}
	k.busy = false
	k.flow = a.flow
	k.seq = a.seq + requestLength
}
