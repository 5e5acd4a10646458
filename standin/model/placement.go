package model

import (
	"container/heap"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/cyclamendock/cyclamendock/lib/admit"
	"github.com/cyclamendock/cyclamendock/lib/fleet"
	"github.com/cyclamendock/cyclamendock/lib/steer"
	"github.com/cyclamendock/cyclamendock/lib/wire"
)

const (
	flowCapacity       = 2000
	modelService       = 1
	requestRate        = 0.5 // requests per second on each open flow
	typicalServiceTime = 20 * time.Millisecond
	windowDuration     = 5 * time.Second
)

// PlacementConfig configures one run of the placement simulation.
type PlacementConfig struct {
	Backends     int
	Duration     time.Duration
	FlowDuration time.Duration // mean duration of a flow
	Flows        int           // mean number of open flows
	Policy       steer.Policy
	RecoverAt    time.Duration // time at which the slowed backend server recovers; zero for never
	Seed         uint64
	Slots        int           // concurrent requests of each backend server
	Slowdown     float64       // factor of the slowed backend server's service time
	SlowdownAt   time.Duration // time at which the first backend server is slowed; zero for never
}

// PlacementResult holds the results of one run.
type PlacementResult struct {
	Accepted     int       // flows
	Hops         float64   // hand-overs between agents per accepted flow
	Imbalance    float64   // largest over mean number of open flows per backend server; mean of the snapshots after the warm-up
	Refused      int       // flows
	SlowedShares []float64 // new flows of the first backend server over the mean of the others, by window
}

// backend is a backend server with the agent beside it.
type backend struct {
	accepted int // new flows in this window
	flows    int // open flows
	placer   *steer.Placer
	speed    *admit.SpeedEstimator
}

// placementSimulation is one run in virtual time.
type placementSimulation struct {
	addresses []netip.AddrPort // agents' addresses; the backend server of the first one is slowed
	agents    map[netip.AddrPort]*backend
	config    PlacementConfig
	flowEnds  flowEndHeap
	hops      int
	meanLoad  uint32
	now       time.Time
	random    *rand.Rand
	result    PlacementResult
	snapshots int
	start     time.Time
	table     *steer.Table
}

// SimulatePlacement runs the placement simulation.
func SimulatePlacement(c PlacementConfig) PlacementResult {
	p := &placementSimulation{
		agents: map[netip.AddrPort]*backend{},
		config: c,
		now:    time.Unix(0, 0),
		random: rand.New(rand.NewPCG(c.Seed, 4)),
		start:  time.Unix(0, 0),
		table:  steer.NewTable(),
	}
	p.build()
	p.run()
	if p.result.Accepted > 0 {
		p.result.Hops = float64(p.hops) / float64(p.result.Accepted)
	}
	p.result.Imbalance /= float64(max(p.snapshots, 1))
	return p.result
}

func (p *placementSimulation) build() {
	var agents []steer.Agent
	for i := range p.config.Backends {
		address := netip.MustParseAddrPort(fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250+1))
		p.addresses = append(p.addresses, address)
		p.agents[address] = &backend{
			placer: steer.NewPlacer(steer.PlacerConfig{Capacity: 1 << 15, Policy: p.config.Policy, Self: address}),
			speed:  admit.NewSpeedEstimator(p.now),
		}
		agents = append(agents, steer.Agent{Address: address, Weight: 100})
	}
	p.table.Set(p.now.Add(-time.Hour), modelService, agents)
}

// run opens flows at random times, at the rate that keeps config.Flows open on average.
func (p *placementSimulation) run() {
	const step = 20 * time.Millisecond
	rate := float64(p.config.Flows) / p.config.FlowDuration.Seconds()
	nextHeartbeat, nextWindow, nextOpen := p.start, p.start.Add(windowDuration), p.start
	for p.now.Sub(p.start) < p.config.Duration {
		p.now = p.now.Add(step)
		p.closeEnded()
		for nextOpen.Before(p.now) {
			p.openFlow()
			nextOpen = nextOpen.Add(time.Duration(p.random.ExpFloat64() / rate * float64(time.Second)))
		}
		p.serveRequests(step)
		if p.now.After(nextHeartbeat) {
			nextHeartbeat = p.now.Add(fleet.HeartbeatInterval)
			p.refreshMeanLoad()
		}
		if p.now.After(nextWindow) {
			nextWindow = nextWindow.Add(windowDuration)
			p.snapshot()
		}
	}
}

func (p *placementSimulation) load(b *backend) uint32 {
	return admit.Load(admit.Usage{Flows: b.flows, MaxConnections: flowCapacity, Slots: p.config.Slots, Speed: b.speed.Value()})
}

// refreshMeanLoad updates the mean load of the service, as heartbeat replies do.
func (p *placementSimulation) refreshMeanLoad() {
	var sum uint64
	for _, b := range p.agents {
		sum += uint64(p.load(b))
	}
	p.meanLoad = uint32(sum / uint64(len(p.agents)))
}

// openFlow opens one flow, which agents may forward to other candidates until one accepts or refuses it.
func (p *placementSimulation) openFlow() {
	id := binary.BigEndian.AppendUint64(nil, p.random.Uint64())
	choice := p.table.Choose(p.now, modelService, id, nil)
	f := wire.Forward{Candidates: choice.Candidates, PreviousOwner: choice.PreviousOwner, Service: modelService}
	key := steer.FlowKey{ConnectionID: string(id), Service: modelService}
	at, from := choice.Candidates[0], netip.AddrPort{}
	for {
		b := p.agents[at]
		outcome := b.placer.Place(p.now, key, from, steer.Load{Mean: p.meanLoad, Self: p.load(b)}, &f)
		switch outcome.Action {
		case steer.ActionForward:
			p.hops++
			from, at = at, outcome.To
			continue
		case steer.ActionAccept:
			p.acceptFlow(b)
		default:
			p.result.Refused++
		}
		return
	}
}

func (p *placementSimulation) acceptFlow(b *backend) {
	p.result.Accepted++
	b.flows++
	b.accepted++
	duration := time.Duration(p.random.ExpFloat64() * float64(p.config.FlowDuration))
	heap.Push(&p.flowEnds, flowEnd{at: p.now.Add(duration), backend: b})
}

func (p *placementSimulation) closeEnded() {
	for len(p.flowEnds) > 0 && p.flowEnds[0].at.Before(p.now) {
		heap.Pop(&p.flowEnds).(flowEnd).backend.flows--
	}
}

// serveRequests records one step's requests on the open flows in each backend server's speed.
func (p *placementSimulation) serveRequests(step time.Duration) {
	for i, address := range p.addresses {
		b := p.agents[address]
		expected := float64(b.flows) * requestRate * step.Seconds()
		count := int(expected)
		if p.random.Float64() < expected-float64(count) {
			count++
		}
		serviceTime := time.Duration(float64(typicalServiceTime) * (1 + 0.2*p.random.Float64()) * p.slowdownOf(i))
		for range count {
			b.speed.RecordDuration(p.now, serviceTime, typicalServiceTime*6/5)
		}
		b.speed.Tick(p.now)
	}
}

func (p *placementSimulation) slowdownOf(i int) float64 {
	elapsed := p.now.Sub(p.start)
	recovered := p.config.RecoverAt > 0 && elapsed >= p.config.RecoverAt
	if i == 0 && p.config.SlowdownAt > 0 && elapsed >= p.config.SlowdownAt && !recovered {
		return p.config.Slowdown
	}
	return 1
}

// snapshot records the imbalance of open flows, and the slowed backend server's share of the window's new flows.
func (p *placementSimulation) snapshot() {
	greatest, sum, others := 0, 0, 0
	for i, address := range p.addresses {
		b := p.agents[address]
		greatest = max(greatest, b.flows)
		sum += b.flows
		if i > 0 {
			others += b.accepted
		}
	}
	slowed := p.agents[p.addresses[0]].accepted
	if others > 0 {
		p.result.SlowedShares = append(p.result.SlowedShares, float64(slowed*(len(p.addresses)-1))/float64(others))
	}
	for _, b := range p.agents {
		b.accepted = 0
	}
	if p.now.Sub(p.start) > 3*p.config.FlowDuration && sum > 0 {
		p.snapshots++
		p.result.Imbalance += float64(greatest*len(p.addresses)) / float64(sum)
	}
}

// flowEnd holds the time at which an open flow ends, and its backend server.
type flowEnd struct {
	at      time.Time
	backend *backend
}

// flowEndHeap is a heap of the ends of all open flows, the earliest first.
type flowEndHeap []flowEnd

// Len returns the number of open flows.
func (h flowEndHeap) Len() int { return len(h) }

// Less reports whether flow i ends before flow j.
func (h flowEndHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }

// Swap exchanges two elements.
func (h flowEndHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push appends an element.
func (h *flowEndHeap) Push(x any) { *h = append(*h, x.(flowEnd)) }

// Pop removes and returns the last element.
func (h *flowEndHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

var _ heap.Interface = (*flowEndHeap)(nil)
