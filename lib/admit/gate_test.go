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
		{Name: "booking", QueueLimit: 20, Share: 40, Typical: serviceTime, Urgency: 3},
		{Name: "query", QueueLimit: 20, Share: 30, Typical: serviceTime, Urgency: 2},
		{Name: "report", QueueLimit: 20, Share: 30, Typical: serviceTime, Urgency: 1},
	}
}

// A bench drives a gate with virtual time and requests that each take the service time.
type bench struct {
	ends    map[uint64]time.Time
	gate    *Gate
	kinds   map[uint64]int
	next    uint64
	now     time.Time
	refused map[int]int
	done    map[int]int
	t       interface{ Fatalf(string, ...any) }
}

func newBench(t interface{ Fatalf(string, ...any) }, slots int) *bench {
	now := time.Unix(0, 0)
	return &bench{
		done:    map[int]int{},
		ends:    map[uint64]time.Time{},
		gate:    NewGate(now, Config{Kinds: testKinds(), Slots: slots}),
		kinds:   map[uint64]int{},
		now:     now,
		refused: map[int]int{},
		t:       t,
	}
}

func (b *bench) take(decisions []Decision) {
	for _, d := range decisions {
		kind, known := b.kinds[d.ID]
		if !known {
			b.t.Fatalf("request %d was decided twice", d.ID)
		}
		if d.Reason != "" {
			b.refused[kind]++
			delete(b.kinds, d.ID)
			continue
		}
		if _, runs := b.ends[d.ID]; runs {
			b.t.Fatalf("request %d was started twice", d.ID)
		}
		b.ends[d.ID] = b.now.Add(serviceTime)
	}
	if broken := b.gate.Check(); broken != "" {
		b.t.Fatalf("invariant: %s", broken)
	}
}

func (b *bench) arrive(kind int, deadline time.Duration) {
	b.next++
	b.kinds[b.next] = kind
	b.take(b.gate.Arrive(b.now, Request{Deadline: b.now.Add(deadline), ID: b.next, Kind: kind}))
}

func (b *bench) advance(step time.Duration) {
	b.now = b.now.Add(step)
	for id, end := range b.ends {
		if end.After(b.now) {
			continue
		}
		delete(b.ends, id)
		b.done[b.kinds[id]]++
		delete(b.kinds, id)
		b.take(b.gate.Finish(b.now, id))
	}
	b.take(b.gate.Tick(b.now))
}

// flood runs for a minute of virtual time with the other kinds just under their shares.
func flood(t *testing.T, slots, flooded, perSecond int) *bench {
	b := newBench(t, slots)
	const step = 10 * time.Millisecond
	capacity := float64(slots) / serviceTime.Seconds()
	due := make([]float64, len(testKinds()))
	for range int(time.Minute / step) {
		for kind, k := range testKinds() {
			rate := capacity * float64(k.Share) / percent * 0.9
			if kind == flooded {
				rate = float64(perSecond)
			}
			for due[kind] += rate * step.Seconds(); due[kind] >= 1; due[kind]-- {
				b.arrive(kind, 2*time.Second)
			}
		}
		b.advance(step)
	}
	return b
}

func TestFloodOfAnyKindLeavesTheOthersTheirShare(t *testing.T) {
	for _, slots := range []int{2, 7} {
		for flooded, kind := range testKinds() {
			calm := flood(t, slots, flooded, 0)
			loud := flood(t, slots, flooded, 10*slots*int(time.Second/serviceTime))
			for other, otherKind := range testKinds() {
				if other == flooded {
					continue
				}
				g := gomega.NewWithT(t)
				kept := float64(loud.done[other]) / float64(calm.done[other])
				g.Expect(kept).To(gomega.BeNumerically(">=", 0.95), "%d slots, flood of %s, %s", slots, kind.Name, otherKind.Name)
			}
		}
	}
}

func TestUnusedShareIsLent(t *testing.T) {
	g := gomega.NewWithT(t)
	b := newBench(t, 4)
	for range 4 {
		b.arrive(2, time.Minute)
	}
	g.Expect(b.gate.Running()).To(gomega.Equal(4))
}

func TestEveryRequestIsDecidedOnceAndWorkNeverWaitsForNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBench(t, rapid.IntRange(1, 8).Draw(t, "slots"))
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				deadline := time.Duration(rapid.IntRange(0, 3000).Draw(t, "deadline")) * time.Millisecond
				b.arrive(rapid.IntRange(0, 2).Draw(t, "kind"), deadline)
			case 2:
				b.advance(time.Duration(rapid.IntRange(0, 300).Draw(t, "passed")) * time.Millisecond)
			case 3:
				b.take(b.gate.SetLimit(b.now, rapid.IntRange(0, 10).Draw(t, "limit")))
			}
			if b.gate.Waiting() > 0 && b.gate.Running() < b.gate.Limit() {
				t.Fatalf("%d wait while %d of %d run", b.gate.Waiting(), b.gate.Running(), b.gate.Limit())
			}
		}
		for range 100 {
			b.advance(time.Second)
		}
		if len(b.kinds) != 0 {
			t.Fatalf("%d requests were never decided", len(b.kinds))
		}
	})
}

func TestCancelledRequestNeverStarts(t *testing.T) {
	g := gomega.NewWithT(t)
	b := newBench(t, 1)
	b.arrive(0, time.Minute)
	b.arrive(0, time.Minute)
	b.take(b.gate.Cancel(2))
	g.Expect(b.refused[0]).To(gomega.Equal(1))
	b.advance(time.Second)
	g.Expect(b.gate.Running()).To(gomega.Equal(0))
}

func TestFullQueueRefuses(t *testing.T) {
	g := gomega.NewWithT(t)
	b := newBench(t, 1)
	for range 30 {
		b.arrive(0, time.Minute)
	}
	g.Expect(b.gate.Waiting()).To(gomega.Equal(20))
	g.Expect(b.refused[0]).To(gomega.Equal(9))
}
