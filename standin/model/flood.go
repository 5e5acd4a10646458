package model

import (
	"math/rand/v2"
	"time"

	"github.com/cyclamendock/cyclamendock/lib/admit"
	"github.com/cyclamendock/cyclamendock/lib/config"
)

// FloodConfig configures one run of the flood simulation.
type FloodConfig struct {
	Duration       time.Duration
	FloodedKind    string        // name of the flooded kind of work
	Kinds          []config.Kind // kinds of work of the service; the simulation leaves out feeds
	OverloadFactor float64       // request rate of the flooded kind, as a multiple of the capacity; zero for no flood
	Seed           uint64
	SingleQueue    bool // all kinds share one queue
	Slots          int  // concurrent requests of the simulated backend server
}

// floodSimulation is one run in virtual time.
type floodSimulation struct {
	completed  map[int]int // number of completed requests, by index of the kind
	config     FloodConfig
	controller *admit.Controller
	endTimes   map[uint64]time.Time // end times of the running requests, by ID
	kindOf     map[uint64]int       // index of the kind of each queued or running request, by ID
	kinds      []config.Kind
	lastID     uint64
	now        time.Time
	random     *rand.Rand
}

// RetainedThroughput returns the smallest ratio, over the kinds that are not flooded, of the throughput during the flood
// to that without it.
func RetainedThroughput(c FloodConfig) float64 {
	normal := c
	normal.OverloadFactor = 0
	baseline, flooded := runFlood(normal), runFlood(c)
	retained := 1.0
	for k, kind := range baseline.kinds {
		if kind.Name == c.FloodedKind || baseline.completed[k] == 0 {
			continue
		}
		retained = min(retained, float64(flooded.completed[k])/float64(baseline.completed[k]))
	}
	return retained
}

func runFlood(c FloodConfig) *floodSimulation {
	f := &floodSimulation{
		completed: map[int]int{},
		config:    c,
		endTimes:  map[uint64]time.Time{},
		kindOf:    map[uint64]int{},
		now:       time.Unix(0, 0),
		random:    rand.New(rand.NewPCG(c.Seed, 5)),
	}
	for _, kind := range c.Kinds {
		if kind.Class != config.ClassFeed {
			f.kinds = append(f.kinds, kind)
		}
	}
	f.controller = admit.NewController(f.now, admit.Config{Kinds: f.admitKinds(), Slots: c.Slots})
	f.run()
	return f
}

func (f *floodSimulation) admitKinds() []admit.Kind {
	var kinds []admit.Kind
	queue := 0
	for _, kind := range f.kinds {
		queue += kind.QueueLimit
		kinds = append(kinds, admit.Kind{
			Name: kind.Name, QueueLimit: kind.QueueLimit, Share: kind.Share, TypicalDuration: kind.TypicalDuration, Urgency: kind.Urgency,
		})
	}
	if f.config.SingleQueue {
		return []admit.Kind{{Name: "all", QueueLimit: queue, Share: 100, TypicalDuration: f.kinds[0].TypicalDuration}}
	}
	return kinds
}

func (f *floodSimulation) run() {
	const step = time.Millisecond
	for end := f.now.Add(f.config.Duration); f.now.Before(end); f.now = f.now.Add(step) {
		for k, kind := range f.kinds {
			for range f.drawArrivals(kind, step) {
				f.arrive(k, kind)
			}
		}
		f.finishDue()
		f.applyDecisions(f.controller.Tick(f.now))
	}
}

// drawArrivals draws the number of requests of a kind that arrive in one step. Kinds that are not flooded use 80 per cent
// of their share of the capacity.
func (f *floodSimulation) drawArrivals(kind config.Kind, step time.Duration) int {
	capacity := float64(f.config.Slots) / kind.TypicalDuration.Seconds()
	rate := capacity * float64(kind.Share) / 100 * 0.8
	if kind.Name == f.config.FloodedKind && f.config.OverloadFactor > 0 {
		rate = capacity * f.config.OverloadFactor
	}
	expected := rate * step.Seconds()
	count := int(expected)
	if f.random.Float64() < expected-float64(count) {
		count++
	}
	return count
}

func (f *floodSimulation) arrive(k int, kind config.Kind) {
	f.lastID++
	f.kindOf[f.lastID] = k
	queue := k
	if f.config.SingleQueue {
		queue = 0
	}
	f.applyDecisions(f.controller.Submit(f.now, admit.Request{Deadline: f.now.Add(kind.Timeout), ID: f.lastID, Kind: queue}))
}

// applyDecisions starts the admitted requests, with a service time of 50 to 150 per cent of the typical one, and drops
// the refused ones.
func (f *floodSimulation) applyDecisions(decisions []admit.Decision) {
	for _, d := range decisions {
		if d.Reason != "" {
			delete(f.kindOf, d.ID)
			continue
		}
		typical := f.kinds[f.kindOf[d.ID]].TypicalDuration
		f.endTimes[d.ID] = f.now.Add(time.Duration(float64(typical) * (0.5 + f.random.Float64())))
	}
}

func (f *floodSimulation) finishDue() {
	for id, end := range f.endTimes {
		if end.After(f.now) {
			continue
		}
		delete(f.endTimes, id)
		f.completed[f.kindOf[id]]++
		delete(f.kindOf, id)
		f.applyDecisions(f.controller.Finish(f.now, id))
	}
}
