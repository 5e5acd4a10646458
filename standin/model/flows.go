package model

import (
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cyclamendock/cyclamendock/lib/flows"
)

const (
	announceInterval = 770 * time.Millisecond
	// coldFactor multiplies a backend server's service time for coldDuration after its start.
	coldFactor   = 1.6
	coldDuration = 2 * time.Second
	// hopDelay is the one-way delay between processes, callerDelay that between a caller and a host.
	hopDelay     = 4 * time.Millisecond
	callerDelay  = 3 * time.Millisecond
	flowLifetime = time.Minute
	maxQueueTime = 1200 * time.Millisecond
	lostAfter    = 4 * time.Second
	// membersDelay is the time until the list of members, confirmed by the other balancers, arrives.
	membersDelay = 10 * time.Millisecond
	// powerOnSpread is the span within which the hosts start, each at a random time.
	powerOnSpread = 400 * time.Millisecond
	// snapshotInterval is the interval between an agent's snapshots of its open flows.
	snapshotInterval = 2 * time.Second
	// routerDelay is the time from a balancer's start until the routers send it flows.
	routerDelay = 250 * time.Millisecond
	// queueLimitPerSlot is the number of requests that a backend server queues for each slot before it refuses others.
	queueLimitPerSlot = 4
	// defaultWarmUp is the time before the measurement starts, unless the configuration states another one.
	defaultWarmUp = 5 * time.Second
)

var (
	flowService  = "desk"
	floodAddress = flows.Endpoint{IP: [4]byte{198, 18, 0, 2}, Port: 443}
	flowAddress  = flows.Endpoint{IP: [4]byte{198, 18, 0, 1}, Port: 443}
)

// FlowsConfig configures one run of the flow simulation.
type FlowsConfig struct {
	Admission          flows.Admission
	Agents             int
	Balancers          int
	Duration           time.Duration // length of the measurement, after the warm-up
	FloodRate          float64       // requests per second of a second route, each of which uses a new flow
	LatencyTarget      time.Duration // response time within which a request counts as on time
	LongFlowPause      time.Duration // mean pause between the requests of a session
	LongFlowRate       float64       // requests per second of sessions, each of which uses a flow for LongFlowRequests requests
	LongFlowRequests   int
	OutageAt           time.Duration // start of the power loss, from the start of the measurement
	OutageDuration     time.Duration // length of the power loss at all hosts; zero for none
	PersistentCallers  int           // callers that keep a flow open for many requests
	PersistentFlowRate float64       // requests per second of the persistent callers
	Policy             flows.Policy
	Seed               uint64
	ServiceTime        time.Duration // mean service time of a request
	ShortFlowRate      float64       // requests per second that use a new flow each
	Speeds             []float64     // speed of each backend server; 1 for those that are missing
	Slots              int           // requests that a backend server runs at once
	Timeout            time.Duration // time after which callers abandon a request
	UnsafePersistent   bool          // the requests of persistent callers must not be repeated once sent on an open flow
	WarmUp             time.Duration // time before the measurement starts; defaultWarmUp if zero
	WithoutSnapshots   bool          // agents store no snapshots of their open flows
}

// FlowsResult holds the results of one run.
type FlowsResult struct {
	Failed       int           // requests without a response
	Flood        FlowCounts    // requests of the second route; the other counts are of the first one
	Messages     int           // sent between balancers and agents, warm-up included
	OnTime       int           // requests answered within the latency target
	OnTimeShares []float64     // share of requests on time, by the ShareWindow in which they were issued
	RefusedAfter time.Duration // time within which 99 % of the openings that were reset were reset, seen from their callers
	Requests     int           // issued during the measurement
	Resets       int           // resets of flows with a request, warm-up included
	Shed         int           // requests that backend servers refused, warm-up included
}

// FlowCounts counts requests of one route.
type FlowCounts struct {
	OnTime   int // answered within the latency target
	Requests int
}

// ShareWindow is the length of the window of each share in FlowsResult.OnTimeShares.
const ShareWindow = 500 * time.Millisecond

// flowSimulation is one run of the flow simulation.
type flowSimulation struct {
	agents       []*agentHost
	attempts     map[flows.Flow]*attempt // unfinished attempts
	balancers    []*balancerHost
	clock        virtualClock
	config       FlowsConfig
	createdFlows int
	measureFrom  time.Time
	messages     int
	packets      []flows.Packet // indexed by the number that their datagram encodes
	persistent   []*persistentCaller
	random       *rand.Rand
	refusedAfter []time.Duration // time from the start of an attempt until its opening was reset
	requests     []*request
	resets       int
	shed         int // requests that backend servers refused
}

// SimulateFlows runs the decision code of balancers and agents in virtual time.
func SimulateFlows(config FlowsConfig) FlowsResult {
	f := &flowSimulation{
		attempts: map[flows.Flow]*attempt{},
		config:   config,
		random:   rand.New(rand.NewPCG(config.Seed, 0)),
	}
	f.clock.now = time.Unix(0, 0)
	if f.config.WarmUp == 0 {
		f.config.WarmUp = defaultWarmUp
	}
	f.measureFrom = f.clock.now.Add(f.config.WarmUp)
	for i := range config.Balancers {
		f.balancers = append(f.balancers, &balancerHost{address: hostAddress(1, i), simulation: f})
	}
	for i := range config.Agents {
		f.agents = append(f.agents, &agentHost{address: hostAddress(2, i), simulation: f})
	}
	f.powerOn(0)
	if config.OutageDuration > 0 {
		f.clock.after(f.config.WarmUp+config.OutageAt, f.losePower)
	}
	f.startCallers()
	f.clock.runUntil(f.measureFrom.Add(config.Duration + config.Timeout))
	return f.result()
}

func hostAddress(group, i int) flows.Endpoint {
	return flows.Endpoint{IP: [4]byte{10, byte(group), byte(i >> 8), byte(i)}, Port: 7000}
}

func (f *flowSimulation) losePower() {
	for _, b := range f.balancers {
		b.director = nil
		b.inRotation = false
	}
	for _, a := range f.agents {
		a.dispatcher = nil
		a.backend = nil
	}
	f.powerOn(f.config.OutageDuration)
}

// powerOn starts every host after the outage, each with a random delay of up to powerOnSpread.
func (f *flowSimulation) powerOn(outage time.Duration) {
	randomDelay := func() time.Duration { return outage + time.Duration(f.random.Int64N(int64(powerOnSpread))) }
	for _, a := range f.agents {
		f.clock.after(randomDelay(), a.start)
	}
	for _, b := range f.balancers {
		f.clock.after(randomDelay(), b.start)
	}
}

// datagram stores a packet and returns its index in encoded form, which represents the packet in messages.
func (f *flowSimulation) datagram(p flows.Packet) []byte {
	f.packets = append(f.packets, p)
	return binary.BigEndian.AppendUint32(nil, uint32(len(f.packets)-1))
}

func (f *flowSimulation) packet(datagram []byte) flows.Packet {
	return f.packets[binary.BigEndian.Uint32(datagram)]
}

// balancerOf returns the balancer to which the routers send a flow, or nil when none is in rotation.
func (f *flowSimulation) balancerOf(flow flows.Flow) *balancerHost {
	var best *balancerHost
	highest := uint64(0)
	for i, b := range f.balancers {
		if !b.inRotation {
			continue
		}
		if score := flow.Hash() * uint64(2*i+3); best == nil || score > highest {
			best, highest = b, score
		}
	}
	return best
}

// sendToBalancer sends a caller's packet through the routers, and drops it when no balancer is in rotation.
func (f *flowSimulation) sendToBalancer(p flows.Packet) {
	f.clock.after(callerDelay, func() {
		if b := f.balancerOf(p.CallerFlow()); b != nil {
			b.receivePacket(p)
		}
	})
}

// sendMessage counts a message between two processes of the system and calls deliver after its delay.
func (f *flowSimulation) sendMessage(deliver func()) {
	f.messages++
	f.clock.after(hopDelay, deliver)
}

func (f *flowSimulation) agent(address flows.Endpoint) *agentHost {
	return f.agents[int(address.IP[2])<<8|int(address.IP[3])]
}

func (f *flowSimulation) balancer(address flows.Endpoint) *balancerHost {
	return f.balancers[int(address.IP[2])<<8|int(address.IP[3])]
}

func (f *flowSimulation) result() FlowsResult {
	result := FlowsResult{Messages: f.messages, RefusedAfter: percentile99(f.refusedAfter), Resets: f.resets, Shed: f.shed}
	windows := int(f.config.Duration / ShareWindow)
	requests, onTime := make([]int, windows), make([]int, windows)
	for _, r := range f.requests {
		elapsed := r.issuedAt.Sub(f.measureFrom)
		if elapsed < 0 || elapsed >= f.config.Duration {
			continue
		}
		if r.address == floodAddress {
			result.Flood.Requests++
			if !r.answeredAt.IsZero() && r.answeredAt.Sub(r.issuedAt) <= f.config.LatencyTarget {
				result.Flood.OnTime++
			}
			continue
		}
		window := int(elapsed / ShareWindow)
		requests[window]++
		result.Requests++
		switch {
		case r.answeredAt.IsZero():
			result.Failed++
		case r.answeredAt.Sub(r.issuedAt) <= f.config.LatencyTarget:
			onTime[window]++
			result.OnTime++
		}
	}
	for i := range requests {
		result.OnTimeShares = append(result.OnTimeShares, float64(onTime[i])/float64(max(requests[i], 1)))
	}
	return result
}

// percentile99 returns the smallest of the given times that at least 99 % of them don't exceed; zero without any.
func percentile99(times []time.Duration) time.Duration {
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[(len(times)*99+99)/100-1]
}
