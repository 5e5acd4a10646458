package carry

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var floodAddress = Endpoint{IP: [4]byte{198, 18, 0, 2}, Port: 443}

func testGuest(address Endpoint, i int, since time.Time) guest {
	flow := Flow{Caller: Endpoint{IP: [4]byte{100, 64, 0, 1}, Port: uint16(i)}, Service: address}
	return guest{packet: Packet{Destination: flow.Service, Source: flow.Caller}, since: since}
}

func TestNewestFlowOfARouteGoesFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	room := NewRoom(10)
	for i := range 3 {
		room.add(testGuest(testAddress, i, time.Unix(int64(i), 0)))
	}
	next, ok := room.peek()
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(next.packet.Source.Port).To(gomega.Equal(uint16(2)))
}

func TestFloodOfOneRouteLeavesAnotherItsShare(t *testing.T) {
	g := gomega.NewWithT(t)
	room := NewRoom(1000)
	let := map[Endpoint]int{}
	for tick := range 100 {
		for i := range 10 {
			room.add(testGuest(floodAddress, tick*10+i, time.Unix(int64(tick), 0)))
		}
		room.add(testGuest(testAddress, tick, time.Unix(int64(tick), 0)))
		for range 2 { // room for two of eleven
			next, _ := room.peek()
			let[next.packet.Destination]++
			room.pop()
		}
		room.expire(time.Unix(int64(tick-5), 0))
	}
	g.Expect(let[testAddress]).To(gomega.BeNumerically(">=", 95))
}

func TestRouteThatWasIdleDoesNotCatchUp(t *testing.T) {
	g := gomega.NewWithT(t)
	room := NewRoom(1000)
	for i := range 200 {
		room.add(testGuest(floodAddress, i, time.Unix(0, 0)))
	}
	for range 100 {
		room.pop()
	}
	for i := range 50 {
		room.add(testGuest(testAddress, i, time.Unix(0, 0)))
	}
	let := map[Endpoint]int{}
	for range 20 {
		next, _ := room.peek()
		let[next.packet.Destination]++
		room.pop()
	}
	g.Expect(let[floodAddress]).To(gomega.Equal(10))
}

func TestRoomIsBoundedAndCountsRight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(1, 8).Draw(t, "capacity")
		room := NewRoom(capacity)
		waiting := 0
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				address := []Endpoint{testAddress, floodAddress}[rapid.IntRange(0, 1).Draw(t, "route")]
				if room.add(testGuest(address, step, time.Unix(int64(step), 0))) {
					waiting++
				}
			case 2:
				if waiting > 0 {
					waiting--
				}
				room.pop()
			case 3:
				waiting -= len(room.expire(time.Unix(int64(rapid.IntRange(0, step).Draw(t, "before")), 0)))
			}
			if room.Len() != waiting || waiting > capacity {
				t.Fatalf("%d flows wait, %d expected, capacity %d", room.Len(), waiting, capacity)
			}
			if _, ok := room.peek(); ok != (waiting > 0) {
				t.Fatal(fmt.Sprint("a turn with ", waiting, " flows"))
			}
		}
	})
}
