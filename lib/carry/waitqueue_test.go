package carry

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var floodAddress = Endpoint{IP: [4]byte{198, 18, 0, 2}, Port: 443}

// testQueuedFor is how long the entries of these tests wait at most.
const testQueuedFor = 5 * time.Second

func testQueued(address Endpoint, i int, since time.Time) *queued {
	flow := Flow{Caller: Endpoint{IP: [4]byte{100, 64, 0, 1}, Port: uint16(i)}, Service: address}
	p := Packet{Destination: flow.Service, Source: flow.Caller}
	return newQueued(since, &Forward{}, p, testQueuedFor)
}

func TestNewestFlowOfARouteGoesFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	queue := NewWaitQueue(10)
	for i := range 3 {
		queue.add(testQueued(testAddress, i, time.Unix(int64(i), 0)))
	}
	next := queue.peek()
	g.Expect(next).NotTo(gomega.BeNil())
	g.Expect(next.flow().Caller.Port).To(gomega.Equal(uint16(2)))
}

func TestFloodOfOneRouteLeavesAnotherItsShare(t *testing.T) {
	g := gomega.NewWithT(t)
	queue := NewWaitQueue(1000)
	let := map[Endpoint]int{}
	for tick := range 100 {
		for i := range 10 {
			queue.add(testQueued(floodAddress, tick*10+i, time.Unix(int64(tick), 0)))
		}
		queue.add(testQueued(testAddress, tick, time.Unix(int64(tick), 0)))
		for range 2 { // slots for two of eleven
			let[queue.peek().flow().Service]++
			queue.pop()
		}
		queue.expire(time.Unix(int64(tick), 0))
	}
	g.Expect(let[testAddress]).To(gomega.BeNumerically(">=", 95))
}

func TestRouteThatWasIdleDoesNotCatchUp(t *testing.T) {
	g := gomega.NewWithT(t)
	queue := NewWaitQueue(1000)
	for i := range 200 {
		queue.add(testQueued(floodAddress, i, time.Unix(0, 0)))
	}
	for range 100 {
		queue.pop()
	}
	for i := range 50 {
		queue.add(testQueued(testAddress, i, time.Unix(0, 0)))
	}
	let := map[Endpoint]int{}
	for range 20 {
		let[queue.peek().flow().Service]++
		queue.pop()
	}
	g.Expect(let[floodAddress]).To(gomega.Equal(10))
}

func TestWaitQueueIsBoundedAndCountsRight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(1, 8).Draw(t, "capacity")
		queue := NewWaitQueue(capacity)
		waiting := 0
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				address := []Endpoint{testAddress, floodAddress}[rapid.IntRange(0, 1).Draw(t, "route")]
				if queue.add(testQueued(address, step, time.Unix(int64(step), 0))) {
					waiting++
				}
			case 2:
				if waiting > 0 {
					waiting--
				}
				queue.pop()
			case 3:
				waiting -= len(queue.expire(time.Unix(int64(rapid.IntRange(0, step).Draw(t, "now")), 0).Add(testQueuedFor)))
			}
			if queue.Len() != waiting || waiting > capacity {
				t.Fatalf("%d flows wait, %d expected, capacity %d", queue.Len(), waiting, capacity)
			}
			if found := queue.peek() != nil; found != (waiting > 0) {
				t.Fatal(fmt.Sprint("a turn with ", waiting, " flows"))
			}
		}
	})
}
