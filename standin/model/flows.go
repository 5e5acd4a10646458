package model

import (
	"encoding/binary"
	"math/rand/v2"
	"time"

	"github.com/cyclamendock/cyclamendock/lib/carry"
)

const (
	announceEvery = 770 * time.Millisecond
	// coldFactor and coldTime are how much longer a backend server works after its start, and until when.
	coldFactor = 1.6
	coldTime   = 2 * time.Second
	// hopDelay is one way between processes, callerDelay one way between a caller and a host.
	hopDelay     = 4 * time.Millisecond
	callerDelay  = 3 * time.Millisecond
	flowLifetime = time.Minute
	holdLimit    = 1200 * time.Millisecond
	lostAfter    = 4 * time.Second
	// proofDelay is how long other balancers take to confirm the members.
	proofDelay = 10 * time.Millisecond
	// returnSpread is how far apart hosts come back after a loss of power.
	returnSpread = 400 * time.Millisecond
	// routerDelay is how long routers take to use a balancer that is ready.
	routerDelay = 250 * time.Millisecond
	// shedQueue is how many requests a backend server lets wait for each slot.
	shedQueue = 4
	// warmUp is the time before the requests that count.
	warmUp = 5 * time.Second
)

var (
	flowService = "desk"
	flowAddress = carry.Endpoint{IP: [4]byte{198, 18, 0, 1}, Port: 443}
)

// A FlowsConfig holds one run of the model of carried flows.
type FlowsConfig struct {
	Agents    int
	Aim       time.Duration // within which an answer is wanted
	Away      time.Duration // how long all hosts are without power, zero for not at all
	AwayAt    time.Duration
	Balancers int
	Callers   int           // that keep a flow open for many requests
	Duration  time.Duration // of the requests that count
	Fresh     float64       // requests per second that come on a flow each
	Kept      float64       // requests per second on kept flows
	Policy    carry.Policy
	Seed      uint64
	Slots     int
	Timeout   time.Duration // after which callers give up
	Work      time.Duration // of a request
}

// A FlowsResult is what one run showed.
type FlowsResult struct {
	Asked    int
	Failed   int
	InAim    int
	Messages int       // between processes of the system
	Shares   []float64 // of requests answered within their aim, for each Window of their asking
}

// Window is the span of one of a result's shares.
const Window = 500 * time.Millisecond

// A flows is one run.
type flows struct {
	agents    []*agentHost
	balancers []*balancerHost
	clock     virtualClock
	config    FlowsConfig
	messages  int
	packets   []carry.Packet // by the index that is their datagram
	ports     int
	random    *rand.Rand
	requests  []*request
	started   time.Time
	waiting   map[carry.Flow]*attempt
}

// Flows runs the decisions of balancers and agents in virtual time.
func Flows(config FlowsConfig) FlowsResult {
	f := &flows{
		config:  config,
		random:  rand.New(rand.NewPCG(config.Seed, 0)),
		waiting: map[carry.Flow]*attempt{},
	}
	f.clock.now = time.Unix(0, 0)
	f.started = f.clock.now.Add(warmUp)
	for i := range config.Balancers {
		f.balancers = append(f.balancers, &balancerHost{address: hostAddress(1, i), flows: f})
	}
	for i := range config.Agents {
		f.agents = append(f.agents, &agentHost{address: hostAddress(2, i), flows: f})
	}
	f.powerOn(0)
	if config.Away > 0 {
		f.clock.after(warmUp+config.AwayAt, f.losePower)
	}
	f.startCallers()
	f.clock.runUntil(f.started.Add(config.Duration + config.Timeout))
	return f.result()
}

func hostAddress(group, i int) carry.Endpoint {
	return carry.Endpoint{IP: [4]byte{10, byte(group), byte(i >> 8), byte(i)}, Port: 7000}
}

func (f *flows) losePower() {
	for _, b := range f.balancers {
		b.director = nil
		b.ready = false
	}
	for _, a := range f.agents {
		a.carrier = nil
		a.backend = nil
	}
	f.powerOn(f.config.Away)
}

// powerOn starts all hosts after a while, one after the other.
func (f *flows) powerOn(away time.Duration) {
	later := func() time.Duration { return away + time.Duration(f.random.Int64N(int64(returnSpread))) }
	for _, a := range f.agents {
		f.clock.after(later(), a.start)
	}
	for _, b := range f.balancers {
		f.clock.after(later(), b.start)
	}
}

// datagram stands for a packet in messages.
func (f *flows) datagram(p carry.Packet) []byte {
	f.packets = append(f.packets, p)
	return binary.BigEndian.AppendUint32(nil, uint32(len(f.packets)-1))
}

func (f *flows) packet(datagram []byte) carry.Packet {
	return f.packets[binary.BigEndian.Uint32(datagram)]
}

// route returns the balancer to which the routers send a flow, or nil when all are down.
func (f *flows) route(flow carry.Flow) *balancerHost {
	var best *balancerHost
	score := uint64(0)
	for i, b := range f.balancers {
		if !b.ready {
			continue
		}
		if s := flow.Hash() * uint64(2*i+3); best == nil || s > score {
			best, score = b, s
		}
	}
	return best
}

// send carries a packet of a caller to a balancer.
func (f *flows) send(p carry.Packet) {
	f.clock.after(callerDelay, func() {
		if b := f.route(p.FromCaller()); b != nil {
			b.carry(p)
		}
	})
}

// message carries something between two processes of the system.
func (f *flows) message(deliver func()) {
	f.messages++
	f.clock.after(hopDelay, deliver)
}

func (f *flows) agent(address carry.Endpoint) *agentHost {
	return f.agents[int(address.IP[2])<<8|int(address.IP[3])]
}

func (f *flows) balancer(address carry.Endpoint) *balancerHost {
	return f.balancers[int(address.IP[2])<<8|int(address.IP[3])]
}

func (f *flows) result() FlowsResult {
	result := FlowsResult{Messages: f.messages}
	windows := int(f.config.Duration / Window)
	asked, met := make([]int, windows), make([]int, windows)
	for _, r := range f.requests {
		passed := r.asked.Sub(f.started)
		if passed < 0 || passed >= f.config.Duration {
			continue
		}
		window := int(passed / Window)
		asked[window]++
		result.Asked++
		switch {
		case r.answered.IsZero():
			result.Failed++
		case r.answered.Sub(r.asked) <= f.config.Aim:
			met[window]++
			result.InAim++
		}
	}
	for i := range asked {
		result.Shares = append(result.Shares, float64(met[i])/float64(max(asked[i], 1)))
	}
	return result
}
