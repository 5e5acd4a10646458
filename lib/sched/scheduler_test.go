package sched

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func TestFloodOfOneServiceDoesNotDelayOthers(t *testing.T) {
	g := gomega.NewWithT(t)
	s := NewScheduler[string](Config{Depth: 1000, Quantum: 1500, Total: 2000})
	for range 1000 {
		s.Push(1, ClassOpening, 1200, "flood")
	}
	for range 10 {
		s.Push(2, ClassEstablished, 1200, "other")
	}
	otherItems := 0
	for range 40 {
		value, _ := s.Pop()
		if value == "other" {
			otherItems++
		}
	}
	g.Expect(otherItems).To(gomega.Equal(10))
}

func TestEstablishedPacketsGoBeforeOpeningPackets(t *testing.T) {
	g := gomega.NewWithT(t)
	s := NewScheduler[string](Config{Depth: 10, Quantum: 1500, Total: 100})
	s.Push(1, ClassOpening, 1200, "opening")
	s.Push(1, ClassEstablished, 100, "established")
	value, _ := s.Pop()
	g.Expect(value).To(gomega.Equal("established"))
}

func TestQueuesAreBoundedAndLoseNoItem(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const depth = 8
		s := NewScheduler[int](Config{Depth: depth, Quantum: 500, Total: 3 * depth})
		pushed, popped := 0, 0
		for i := range rapid.IntRange(1, 200).Draw(t, "steps") {
			service := rapid.Uint16Range(1, 4).Draw(t, "service")
			if rapid.Bool().Draw(t, "push") {
				class := Class(rapid.IntRange(0, 1).Draw(t, "class"))
				if s.Push(service, class, rapid.IntRange(1, 1500).Draw(t, "size"), i) {
					pushed++
				}
			} else if _, ok := s.Pop(); ok {
				popped++
			}
			if s.Len() > 3*depth {
				t.Fatalf("%d items are queued, more than the total limit", s.Len())
			}
		}
		for {
			if _, ok := s.Pop(); !ok {
				break
			}
			popped++
		}
		if popped != pushed {
			t.Fatalf("%d items were pushed but %d popped", pushed, popped)
		}
	})
}

func TestBucketLimitsRateAndBurst(t *testing.T) {
	g := gomega.NewWithT(t)
	start := time.Unix(0, 0)
	b := NewTokenBucket(start, 10)
	allowed := 0
	for i := range 2000 {
		if b.Allow(start.Add(time.Duration(i) * time.Millisecond)) {
			allowed++
		}
	}
	g.Expect(allowed).To(gomega.BeNumerically("~", 30, 1))
}
