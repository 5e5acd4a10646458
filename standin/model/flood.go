package model

import (
	"math/rand/v2"
	"time"

	"github.com/cyclamendock/cyclamendock/lib/admit"
	"github.com/cyclamendock/cyclamendock/lib/config"
)

// A FloodConfig holds one run of the flood model.
type FloodConfig struct {
	Duration time.Duration
	Factor   float64       // of the flood over what the backend server carries
	Flooded  string        // kind
	Kinds    []config.Kind // of the service; feeds are left out
	NoKinds  bool          // one queue for all
	Seed     uint64
	Slots    int
}

// A flood is one run in virtual time.
type flood struct {
	config FloodConfig
	done   map[int]int
	ends   map[uint64]time.Time
	gate   *admit.Gate
	kinds  []config.Kind
	next   uint64
	now    time.Time
	of     map[uint64]int
	random *rand.Rand
}

// Kept returns the least share of their calm throughput that the other kinds keep during a flood.
func Kept(c FloodConfig) float64 {
	calm := c
	calm.Factor = 0
	before, after := runFlood(calm), runFlood(c)
	kept := 1.0
	for k, kind := range before.kinds {
		if kind.Name == c.Flooded || before.done[k] == 0 {
			continue
		}
		kept = min(kept, float64(after.done[k])/float64(before.done[k]))
	}
	return kept
}

func runFlood(c FloodConfig) *flood {
	f := &flood{
		config: c,
		done:   map[int]int{},
		ends:   map[uint64]time.Time{},
		now:    time.Unix(0, 0),
		of:     map[uint64]int{},
		random: rand.New(rand.NewPCG(c.Seed, 5)),
	}
	for _, kind := range c.Kinds {
		if kind.Class != config.ClassFeed {
			f.kinds = append(f.kinds, kind)
		}
	}
	f.gate = admit.NewGate(f.now, admit.Config{Kinds: f.gateKinds(), Slots: c.Slots})
	f.run()
	return f
}

func (f *flood) gateKinds() []admit.Kind {
	var kinds []admit.Kind
	queue := 0
	for _, kind := range f.kinds {
		queue += kind.QueueLimit
		kinds = append(kinds, admit.Kind{
			Name: kind.Name, QueueLimit: kind.QueueLimit, Share: kind.Share, Typical: kind.Typical, Urgency: kind.Urgency,
		})
	}
	if f.config.NoKinds {
		return []admit.Kind{{Name: "all", QueueLimit: queue, Share: 100, Typical: f.kinds[0].Typical}}
	}
	return kinds
}

func (f *flood) run() {
	const step = time.Millisecond
	for end := f.now.Add(f.config.Duration); f.now.Before(end); f.now = f.now.Add(step) {
		for k, kind := range f.kinds {
			for range f.arrivals(kind, step) {
				f.arrive(k, kind)
			}
		}
		f.finishEnded()
		f.take(f.gate.Tick(f.now))
	}
}

// arrivals draws how many requests of a kind come in one step; calm kinds use 80 per cent of their share.
func (f *flood) arrivals(kind config.Kind, step time.Duration) int {
	capacity := float64(f.config.Slots) / kind.Typical.Seconds()
	rate := capacity * float64(kind.Share) / 100 * 0.8
	if kind.Name == f.config.Flooded && f.config.Factor > 0 {
		rate = capacity * f.config.Factor
	}
	expected := rate * step.Seconds()
	count := int(expected)
	if f.random.Float64() < expected-float64(count) {
		count++
	}
	return count
}

func (f *flood) arrive(k int, kind config.Kind) {
	f.next++
	f.of[f.next] = k
	queue := k
	if f.config.NoKinds {
		queue = 0
	}
	f.take(f.gate.Arrive(f.now, admit.Request{Deadline: f.now.Add(kind.Timeout), ID: f.next, Kind: queue}))
}

func (f *flood) take(decisions []admit.Decision) {
	for _, d := range decisions {
		if d.Reason != "" {
			delete(f.of, d.ID)
			continue
		}
		took := f.kinds[f.of[d.ID]].Typical
		f.ends[d.ID] = f.now.Add(time.Duration(float64(took) * (0.5 + f.random.Float64())))
	}
}

func (f *flood) finishEnded() {
	for id, end := range f.ends {
		if end.After(f.now) {
			continue
		}
		delete(f.ends, id)
		f.done[f.of[id]]++
		delete(f.of, id)
		f.take(f.gate.Finish(f.now, id))
	}
}
