package admit

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

const serviceTime = 100 * time.Millisecond

func testKinds() []Kind {
	return []Kind{
		{Name: "booking", QueueLimit: 20, Share: 40, TypicalDuration: serviceTime, Urgency: 3},
		{Name: "query", QueueLimit: 20, Share: 30, TypicalDuration: serviceTime, Urgency: 2},
		{Name: "report", QueueLimit: 20, Share: 30, TypicalDuration: serviceTime, Urgency: 1},
	}
}

// simulation drives a controller in virtual time; each request runs for serviceTime.
type simulation struct {
	completed    map[int]int // number of completed requests by kind
	controller   *Controller
	endTimes     map[uint64]time.Time // end of each running request by ID
	lastID       uint64
	now          time.Time
	pendingKinds map[uint64]int // kinds of queued and running requests by ID
	rejected     map[int]int    // number of rejected requests by kind
	reporter     interface{ Fatalf(string, ...any) }
}

func newSimulation(reporter interface{ Fatalf(string, ...any) }, slots int) *simulation {
	now := time.Unix(0, 0)
	return &simulation{
		completed:    map[int]int{},
		controller:   NewController(now, Config{Kinds: testKinds(), Slots: slots}),
		endTimes:     map[uint64]time.Time{},
		now:          now,
		pendingKinds: map[uint64]int{},
		rejected:     map[int]int{},
		reporter:     reporter,
	}
}

func (s *simulation) apply(decisions []Decision) {
	for _, d := range decisions {
		kind, pending := s.pendingKinds[d.ID]
		if !pending {
			s.reporter.Fatalf("decision on request %d, which is not pending", d.ID)
		}
		if d.Reason != "" {
			s.rejected[kind]++
			delete(s.pendingKinds, d.ID)
			continue
		}
		if _, running := s.endTimes[d.ID]; running {
			s.reporter.Fatalf("request %d was started twice", d.ID)
		}
		s.endTimes[d.ID] = s.now.Add(serviceTime)
	}
	if violation := s.controller.CheckInvariants(); violation != "" {
		s.reporter.Fatalf("violated invariant: %s", violation)
	}
}

func (s *simulation) arrive(kind int, timeout time.Duration) {
	s.lastID++
	s.pendingKinds[s.lastID] = kind
	s.apply(s.controller.Submit(s.now, Request{Deadline: s.now.Add(timeout), ID: s.lastID, Kind: kind}))
}

func (s *simulation) advance(step time.Duration) {
	s.now = s.now.Add(step)
	for id, end := range s.endTimes {
		if end.After(s.now) {
			continue
		}
		delete(s.endTimes, id)
		s.completed[s.pendingKinds[id]]++
		delete(s.pendingKinds, id)
		s.apply(s.controller.Finish(s.now, id))
	}
	s.apply(s.controller.Tick(s.now))
}

// simulateFlood runs one minute of virtual time in which one kind arrives at floodRate requests per second and every
// other kind at 90 % of its guaranteed share.
func simulateFlood(t *testing.T, slots, floodedKind, floodRate int) *simulation {
	sim := newSimulation(t, slots)
	const step = 10 * time.Millisecond
	capacity := float64(slots) / serviceTime.Seconds()
	pendingArrivals := make([]float64, len(testKinds()))
	for range int(time.Minute / step) {
		for kind, k := range testKinds() {
			rate := capacity * float64(k.Share) / percent * 0.9
			if kind == floodedKind {
				rate = float64(floodRate)
			}
			for pendingArrivals[kind] += rate * step.Seconds(); pendingArrivals[kind] >= 1; pendingArrivals[kind]-- {
				sim.arrive(kind, 2*time.Second)
			}
		}
		sim.advance(step)
	}
	return sim
}

func TestFloodOfOneKindLeavesOtherKindsTheirThroughput(t *testing.T) {
	for _, slots := range []int{2, 7} {
		for flooded, kind := range testKinds() {
			baseline := simulateFlood(t, slots, flooded, 0)
			overloaded := simulateFlood(t, slots, flooded, 10*slots*int(time.Second/serviceTime))
			for other, otherKind := range testKinds() {
				if other == flooded {
					continue
				}
				g := gomega.NewWithT(t)
				throughputRatio := float64(overloaded.completed[other]) / float64(baseline.completed[other])
				g.Expect(throughputRatio).To(gomega.BeNumerically(">=", 0.95),
					"%d slots, flood of %s, throughput of %s", slots, kind.Name, otherKind.Name)
			}
		}
	}
}

func TestUnusedShareServesOtherKinds(t *testing.T) {
	g := gomega.NewWithT(t)
	sim := newSimulation(t, 4)
	for range 4 {
		sim.arrive(2, time.Minute)
	}
	g.Expect(sim.controller.Running()).To(gomega.Equal(4))
}

func TestEachRequestIsDecidedOnceAndNoFreeSlotIsLeftWhileRequestsWait(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t, rapid.IntRange(1, 8).Draw(t, "slots"))
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				timeout := time.Duration(rapid.IntRange(0, 3000).Draw(t, "timeout")) * time.Millisecond
				sim.arrive(rapid.IntRange(0, 2).Draw(t, "kind"), timeout)
			case 2:
				sim.advance(time.Duration(rapid.IntRange(0, 300).Draw(t, "elapsed")) * time.Millisecond)
			case 3:
				sim.apply(sim.controller.SetLimit(sim.now, rapid.IntRange(0, 10).Draw(t, "limit")))
			}
			if sim.controller.Waiting() > 0 && sim.controller.Running() < sim.controller.Limit() {
				t.Fatalf("%d requests wait while %d of at most %d run", sim.controller.Waiting(), sim.controller.Running(), sim.controller.Limit())
			}
		}
		for range 100 {
			sim.advance(time.Second)
		}
		if len(sim.pendingKinds) != 0 {
			t.Fatalf("%d requests were never decided", len(sim.pendingKinds))
		}
	})
}

func TestCancelledRequestNeverStarts(t *testing.T) {
	g := gomega.NewWithT(t)
	sim := newSimulation(t, 1)
	sim.arrive(0, time.Minute)
	sim.arrive(0, time.Minute)
	sim.apply(sim.controller.Cancel(2))
	g.Expect(sim.rejected[0]).To(gomega.Equal(1))
	sim.advance(time.Second)
	g.Expect(sim.controller.Running()).To(gomega.Equal(0))
}

func TestFullQueueRejectsRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	sim := newSimulation(t, 1)
	for range 30 {
		sim.arrive(0, time.Minute)
	}
	g.Expect(sim.controller.Waiting()).To(gomega.Equal(20))
	g.Expect(sim.rejected[0]).To(gomega.Equal(9))
}

// Guards against a change of the configuration that removes or moves kinds of requests: queued requests of a removed kind got no
// decision, so that their callers waited for good, and the end of a running one made the agent panic.
func TestRequestsOfARemovedKindAreRejectedOrFinish(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(0, 0)
	kind := func(name string) Kind {
		return Kind{Name: name, QueueLimit: 5, Share: 30, TypicalDuration: 50 * time.Millisecond}
	}
	c := NewController(now, Config{Kinds: []Kind{kind("feeds"), kind("bookings"), kind("documents")}, Slots: 1})
	deadline := now.Add(time.Minute)
	submit := func(id uint64, kind int) []Decision {
		return c.Submit(now, Request{Deadline: deadline, ID: id, Kind: kind})
	}
	g.Expect(submit(1, 2)).To(gomega.Equal([]Decision{{ID: 1}}))
	g.Expect(submit(2, 0)).To(gomega.BeEmpty())
	g.Expect(submit(3, 2)).To(gomega.BeEmpty())
	g.Expect(submit(4, 1)).To(gomega.BeEmpty())
	g.Expect(c.Reconfigure(now, Config{Kinds: []Kind{kind("bookings"), kind("feeds")}, Slots: 1})).
		To(gomega.Equal([]Decision{{ID: 3, Reason: ReasonClosed}}))
	g.Expect(c.Waiting()).To(gomega.Equal(2))
	g.Expect(submit(5, 2)).To(gomega.Equal([]Decision{{ID: 5, Reason: ReasonClosed}}), "its kind was looked up before")
	started := c.Finish(now, 1)
	g.Expect(started).To(gomega.HaveLen(1), "the slot of the removed kind is free")
	g.Expect(c.Finish(now, started[0].ID)).To(gomega.HaveLen(1))
	g.Expect(c.Waiting()).To(gomega.BeZero())
	g.Expect(c.CheckInvariants()).To(gomega.BeEmpty())
}
