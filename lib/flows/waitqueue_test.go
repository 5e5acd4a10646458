package flows

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var floodAddress = Endpoint{IP: [4]byte{198, 18, 0, 2}, Port: 443}

const (
	// testMaxWait is how long the entries of these tests are queued at most.
	testMaxWait = 5 * time.Second
	testTarget  = 300 * time.Millisecond
)

func testQueueEntry(address Endpoint, i int, since time.Time) *queueEntry {
	flow := Flow{Caller: Endpoint{IP: [4]byte{100, 64, 0, 1}, Port: uint16(i)}, Service: address}
	p := Packet{Destination: flow.Service, Source: flow.Caller}
	return newQueueEntry(since, &Forward{LatencyTarget: testTarget}, p, testMaxWait)
}

// popNext removes and returns the next entry at a time at which no entry can meet its latency target, or nil.
func popNext(queue *WaitQueue) *queueEntry {
	entry := queue.peek(time.Unix(1<<30, 0))
	if entry != nil {
		queue.pop(entry)
	}
	return entry
}

func TestOldestEntryThatCanMeetItsTargetIsFirst(t *testing.T) {
	start := time.Unix(0, 0)
	tests := map[string]struct {
		answeredAt time.Duration // from the first entry's request
		expected   uint16        // port of the next entry
	}{
		"all can":              {testTarget, 0},
		"the oldest can not":   {testTarget + time.Millisecond, 1},
		"only the newest can":  {testTarget + 2*time.Second, 2},
		"none can":             {testTarget + 3*time.Second, 2},
		"service time unknown": {0, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			queue := NewWaitQueue(10)
			for i := range 3 {
				queue.add(testQueueEntry(testAddress, i, start.Add(time.Duration(i)*time.Second)))
			}
			next := queue.peek(start.Add(test.answeredAt))
			g.Expect(next.flow().Caller.Port).To(gomega.Equal(test.expected))
			queue.pop(next)
			g.Expect(queue.find(next.flow())).To(gomega.BeNil())
			g.Expect(queue.Len()).To(gomega.Equal(2))
		})
	}
}

func TestWaitQueueCountsEntriesByAge(t *testing.T) {
	g := gomega.NewWithT(t)
	queue := NewWaitQueue(10)
	for i := range 3 {
		queue.add(testQueueEntry(testAddress, i, time.Unix(int64(i), 0)))
	}
	g.Expect(queue.countAfter(time.Unix(0, 0))).To(gomega.Equal(2))
	g.Expect(queue.hasMissed(time.Unix(0, 0).Add(testTarget))).To(gomega.BeFalse())
	g.Expect(queue.hasMissed(time.Unix(0, 1).Add(testTarget))).To(gomega.BeTrue())
}

func TestRoutesShareQueueFairlyDuringFlood(t *testing.T) {
	g := gomega.NewWithT(t)
	queue := NewWaitQueue(1000)
	dequeued := map[Endpoint]int{}
	for tick := range 100 {
		for i := range 10 {
			queue.add(testQueueEntry(floodAddress, tick*10+i, time.Unix(int64(tick), 0)))
		}
		queue.add(testQueueEntry(testAddress, tick, time.Unix(int64(tick), 0)))
		for range 2 { // capacity for 2 of 11 new entries
			dequeued[popNext(queue).flow().Service]++
		}
		queue.expire(time.Unix(int64(tick), 0))
	}
	g.Expect(dequeued[testAddress]).To(gomega.BeNumerically(">=", 95))
}

func TestIdleRouteGetsNoCredit(t *testing.T) {
	g := gomega.NewWithT(t)
	queue := NewWaitQueue(1000)
	for i := range 200 {
		queue.add(testQueueEntry(floodAddress, i, time.Unix(0, 0)))
	}
	for range 100 {
		popNext(queue)
	}
	for i := range 50 {
		queue.add(testQueueEntry(testAddress, i, time.Unix(0, 0)))
	}
	dequeued := map[Endpoint]int{}
	for range 20 {
		dequeued[popNext(queue).flow().Service]++
	}
	g.Expect(dequeued[floodAddress]).To(gomega.Equal(10))
}

func TestWaitQueueLengthIsExactAndBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(1, 8).Draw(t, "capacity")
		queue := NewWaitQueue(capacity)
		expected := 0
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				address := []Endpoint{testAddress, floodAddress}[rapid.IntRange(0, 1).Draw(t, "route")]
				if queue.add(testQueueEntry(address, step, time.Unix(int64(step), 0))) {
					expected++
				}
			case 2:
				if expected > 0 {
					expected--
				}
				popNext(queue)
			case 3:
				expected -= len(queue.expire(time.Unix(int64(rapid.IntRange(0, step).Draw(t, "now")), 0).Add(testMaxWait)))
			}
			if queue.Len() != expected || expected > capacity {
				t.Fatalf("%d entries are queued, %d expected, capacity %d", queue.Len(), expected, capacity)
			}
			if found := queue.peek(time.Unix(0, 0)) != nil; found != (expected > 0) {
				t.Fatal(fmt.Sprint("peek disagrees with ", expected, " queued entries"))
			}
		}
	})
}
