package model

import (
	"container/heap"
	"time"
)

// event is an action scheduled in virtual time.
type event struct {
	action   func()
	at       time.Time
	sequence int // order of scheduling, which decides between events at the same time
}

// eventQueue is a heap of events, the earliest first.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].sequence < q[j].sequence
	}
	return q[i].at.Before(q[j].at)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// virtualClock runs scheduled events in the order of their virtual times.
type virtualClock struct {
	events    eventQueue
	now       time.Time
	scheduled int // events scheduled so far
}

// after schedules an action to run once after the delay.
func (c *virtualClock) after(delay time.Duration, action func()) {
	c.scheduled++
	heap.Push(&c.events, event{action: action, at: c.now.Add(delay), sequence: c.scheduled})
}

// every runs an action at regular intervals for as long as it returns true.
func (c *virtualClock) every(interval time.Duration, action func() bool) {
	c.after(interval, func() {
		if action() {
			c.every(interval, action)
		}
	})
}

// runUntil runs all events up to and including the end time, and sets the clock to it.
func (c *virtualClock) runUntil(end time.Time) {
	for len(c.events) > 0 && !c.events[0].at.After(end) {
		next := heap.Pop(&c.events).(event)
		c.now = next.at
		next.action()
	}
	c.now = end
}
