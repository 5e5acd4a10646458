package fifo

import (
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/cyclamendock/cyclamendock/lib/seeded"
)

// modelServer serves requests in order of arrival and knows the work of each.
type modelServer struct {
	now     time.Time
	queue   *Queue[int]
	running map[int]time.Time // when each request in service is done
	slots   int
	waiting []int
	work    map[int]time.Duration
}

// start puts waiting requests into free slots.
func (s *modelServer) start() {
	for len(s.waiting) > 0 && len(s.running) < s.slots {
		s.running[s.waiting[0]] = s.now.Add(s.work[s.waiting[0]])
		s.waiting = s.waiting[1:]
	}
}

// next returns the running request that is done first.
func (s *modelServer) next() int {
	first := -1
	for request, done := range s.running {
		if first < 0 || done.Before(s.running[first]) || done.Equal(s.running[first]) && request < first {
			first = request
		}
	}
	return first
}

// Guards against a service time that contains waiting, or that grows or shrinks with the number of requests inside.
func TestServiceTimeIsTheWorkOfARequest(t *testing.T) {
	seeded.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		s := &modelServer{now: time.Unix(100, 0), queue: NewQueue[int](), running: map[int]time.Time{}, slots: slots, work: map[int]time.Duration{}}
		s.queue.SetSlots(s.now, slots)
		arrivals := rapid.SliceOfN(rapid.IntRange(0, 30), 1, 60).Draw(t, "pauses")
		for request, pause := range arrivals {
			arrival := s.now.Add(time.Duration(pause) * time.Millisecond)
			for len(s.running) > 0 && !s.running[s.next()].After(arrival) {
				s.answer(t, s.next())
			}
			s.now = arrival
			s.work[request] = time.Duration(rapid.IntRange(1, 80).Draw(t, "work")) * time.Millisecond
			s.waiting = append(s.waiting, request)
			s.start()
			s.queue.Arrive(s.now, request)
			if rapid.IntRange(0, 4).Draw(t, "shed") == 0 && len(s.waiting) > 0 {
				s.waiting = slices.Delete(s.waiting, len(s.waiting)-1, len(s.waiting))
				s.queue.End(s.now, request)
			}
		}
		for len(s.running) > 0 {
			s.answer(t, s.next())
		}
		if s.queue.InService()+s.queue.Waiting() != 0 {
			t.Fatal("requests are left after all have ended")
		}
	})
}

// answer ends a request and compares the queue's service time with its work.
func (s *modelServer) answer(t *rapid.T, request int) {
	s.now = s.running[request]
	delete(s.running, request)
	s.start()
	got, ok := s.queue.End(s.now, request)
	if !ok || got != s.work[request] {
		t.Fatalf("request %d of %v of work was in service for %v (%t)", request, s.work[request], got, ok)
	}
}

// Guards against requests that stay in service after they have ended, which would hold a slot for ever.
func TestEveryWayToEndFreesTheSlot(t *testing.T) {
	seeded.Check(t, func(t *rapid.T) {
		now := time.Unix(100, 0)
		queue := NewQueue[int]()
		slots := 1
		inside := map[int]bool{}
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now = now.Add(time.Millisecond)
			key := rapid.IntRange(0, 9).Draw(t, "key")
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0:
				slots = rapid.IntRange(1, 4).Draw(t, "slots")
				queue.SetSlots(now, slots)
			case 1:
				queue.Retain(now, func(other int) bool { return other != key })
				delete(inside, key)
			case 2:
				if rapid.Bool().Draw(t, "clear") {
					queue.Clear()
					clear(inside)
				}
			case 3, 4, 5, 6:
				queue.Arrive(now, key)
				inside[key] = true
			default:
				queue.End(now, key)
				delete(inside, key)
			}
			if queue.InService()+queue.Waiting() != len(inside) {
				t.Fatalf("%d in service and %d waiting of %d", queue.InService(), queue.Waiting(), len(inside))
			}
			if queue.InService() < min(slots, len(inside)) {
				t.Fatalf("%d in service of %d with %d slots", queue.InService(), len(inside), slots)
			}
		}
	})
}

// Guards against a sample of a request that was answered out of order, whose time in service is not known.
func TestRequestThatWaitsHasNoServiceTime(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(100, 0)
	queue := NewQueue[int]()
	queue.Arrive(now, 1)
	queue.Arrive(now, 2)
	_, ok := queue.End(now.Add(time.Second), 2)
	g.Expect(ok).To(gomega.BeFalse())
	_, ok = queue.End(now.Add(time.Second), 3)
	g.Expect(ok).To(gomega.BeFalse(), "an unknown request")
	took, ok := queue.End(now.Add(time.Second), 1)
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(took).To(gomega.Equal(time.Second))
}
