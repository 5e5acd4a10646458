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
	connections  = 2000
	modelService = 1
	requestRate  = 0.5 // per open flow and second
	typical      = 20 * time.Millisecond
	window       = 5 * time.Second
)

// A PlacementConfig holds one run of the placement model.
type PlacementConfig struct {
	Backends int
	CoolAt   time.Duration // when the slowed backend server is fast again, zero for never
	Duration time.Duration
	Flows    int           // open on average
	Hold     time.Duration // of a flow on average
	Policy   steer.Policy
	Seed     uint64
	SlowAt   time.Duration // when the first backend server is slowed, zero for never
	Slowdown float64
	Slots    int
}

// A PlacementResult is what one run showed.
type PlacementResult struct {
	Hops      float64 // between agents, per opening
	Imbalance float64 // greatest share over mean share, mean of the snapshots after the warm-up
	Opened    int
	Refused   int
	SlowShare []float64 // new flows of the slowed backend server over the mean of the others, per window
}

type backend struct {
	flows  int
	opened int // in this window
	placer *steer.Placer
	speed  *admit.Speed
}

// A placement is one run in virtual time.
type placement struct {
	agents    map[netip.AddrPort]*backend
	ends      endings
	config    PlacementConfig
	hops      int
	mean      uint32
	now       time.Time
	order     []netip.AddrPort
	random    *rand.Rand
	result    PlacementResult
	snapshots int
	start     time.Time
	table     *steer.Table
}

// Place runs the placement model.
func Place(c PlacementConfig) PlacementResult {
	p := &placement{
		agents: map[netip.AddrPort]*backend{},
		config: c,
		now:    time.Unix(0, 0),
		random: rand.New(rand.NewPCG(c.Seed, 4)),
		start:  time.Unix(0, 0),
		table:  steer.NewTable(),
	}
	p.build()
	p.run()
	if p.result.Opened > 0 {
		p.result.Hops = float64(p.hops) / float64(p.result.Opened)
	}
	p.result.Imbalance /= float64(max(p.snapshots, 1))
	return p.result
}

func (p *placement) build() {
	var backends []steer.Backend
	for i := range p.config.Backends {
		address := netip.MustParseAddrPort(fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250+1))
		p.order = append(p.order, address)
		p.agents[address] = &backend{
			placer: steer.NewPlacer(steer.PlacerConfig{Capacity: 1 << 15, Policy: p.config.Policy, Self: address}),
			speed:  admit.NewSpeed(p.now),
		}
		backends = append(backends, steer.Backend{Address: address, Weight: 100})
	}
	p.table.Set(p.now.Add(-time.Hour), modelService, backends)
}

// run opens flows at random so that the wanted number is open on average.
func (p *placement) run() {
	const step = 20 * time.Millisecond
	rate := float64(p.config.Flows) / p.config.Hold.Seconds()
	nextBeat, nextWindow, nextOpen := p.start, p.start.Add(window), p.start
	for p.now.Sub(p.start) < p.config.Duration {
		p.now = p.now.Add(step)
		p.closeEnded()
		for nextOpen.Before(p.now) {
			p.open()
			nextOpen = nextOpen.Add(time.Duration(p.random.ExpFloat64() / rate * float64(time.Second)))
		}
		p.sample(step)
		if p.now.After(nextBeat) {
			nextBeat = p.now.Add(fleet.HeartbeatInterval)
			p.beat()
		}
		if p.now.After(nextWindow) {
			nextWindow = nextWindow.Add(window)
			p.snapshot()
		}
	}
}

func (p *placement) load(b *backend) uint32 {
	return admit.Load(admit.Usage{Connections: connections, Flows: b.flows, Slots: p.config.Slots, Speed: b.speed.Value()})
}

// beat refreshes the service's mean as heartbeat replies do.
func (p *placement) beat() {
	var sum uint64
	for _, b := range p.agents {
		sum += uint64(p.load(b))
	}
	p.mean = uint32(sum / uint64(len(p.agents)))
}

func (p *placement) open() {
	id := binary.BigEndian.AppendUint64(nil, p.random.Uint64())
	choice := p.table.Choose(p.now, modelService, id, nil)
	f := wire.Forward{Candidates: choice.Candidates, Previous: choice.Previous, Service: modelService}
	key := steer.Key{ID: string(id), Service: modelService}
	at, from := choice.Candidates[0], netip.AddrPort{}
	for {
		b := p.agents[at]
		outcome := b.placer.Place(p.now, key, from, steer.Load{Mean: p.mean, Self: p.load(b)}, &f)
		switch outcome.Action {
		case steer.Pass:
			p.hops++
			from, at = at, outcome.To
			continue
		case steer.Take:
			p.take(b)
		default:
			p.result.Refused++
		}
		return
	}
}

func (p *placement) take(b *backend) {
	p.result.Opened++
	b.flows++
	b.opened++
	hold := time.Duration(p.random.ExpFloat64() * float64(p.config.Hold))
	heap.Push(&p.ends, ending{at: p.now.Add(hold), backend: b})
}

func (p *placement) closeEnded() {
	for len(p.ends) > 0 && p.ends[0].at.Before(p.now) {
		heap.Pop(&p.ends).(ending).backend.flows--
	}
}

// sample lets each backend server answer the requests of its open flows.
func (p *placement) sample(step time.Duration) {
	for i, address := range p.order {
		b := p.agents[address]
		expected := float64(b.flows) * requestRate * step.Seconds()
		count := int(expected)
		if p.random.Float64() < expected-float64(count) {
			count++
		}
		took := time.Duration(float64(typical) * (1 + 0.2*p.random.Float64()) * p.slowdown(i))
		for range count {
			b.speed.Sample(p.now, took, typical*6/5)
		}
		b.speed.Tick(p.now)
	}
}

func (p *placement) slowdown(i int) float64 {
	passed := p.now.Sub(p.start)
	cooled := p.config.CoolAt > 0 && passed >= p.config.CoolAt
	if i == 0 && p.config.SlowAt > 0 && passed >= p.config.SlowAt && !cooled {
		return p.config.Slowdown
	}
	return 1
}

// snapshot records the shares of open flows and of the window's new flows.
func (p *placement) snapshot() {
	greatest, sum, others := 0, 0, 0
	for i, address := range p.order {
		b := p.agents[address]
		greatest = max(greatest, b.flows)
		sum += b.flows
		if i > 0 {
			others += b.opened
		}
	}
	slow := p.agents[p.order[0]].opened
	if others > 0 {
		p.result.SlowShare = append(p.result.SlowShare, float64(slow*(len(p.order)-1))/float64(others))
	}
	for _, b := range p.agents {
		b.opened = 0
	}
	if p.now.Sub(p.start) > 3*p.config.Hold && sum > 0 {
		p.snapshots++
		p.result.Imbalance += float64(greatest*len(p.order)) / float64(sum)
	}
}

// An ending is the end of one open flow.
type ending struct {
	at      time.Time
	backend *backend
}

// endings is a heap of the flows that are open.
type endings []ending

// Len returns the number of open flows.
func (e endings) Len() int { return len(e) }

// Less orders flows by their end.
func (e endings) Less(i, j int) bool { return e[i].at.Before(e[j].at) }

// Swap exchanges two flows.
func (e endings) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push adds a flow.
func (e *endings) Push(x any) { *e = append(*e, x.(ending)) }

// Pop removes the last flow.
func (e *endings) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

var _ heap.Interface = (*endings)(nil)
