package model

import "time"

// event is an action scheduled in virtual time.
type event struct {
	action   func()
	at       time.Time
	sequence int // order of scheduling, which decides between events at the same time
}

// precedes reports whether an event runs before another one.
func (e event) precedes(other event) bool {
	if e.at.Equal(other.at) {
		return e.sequence < other.sequence
	}
	return e.at.Before(other.at)
}

// eventQueue is a heap of events, the earliest first. It does not use container/heap, whose interface allocates memory for
// each event.
type eventQueue []event

func (q *eventQueue) push(e event) {
	events := append(*q, e)
	*q = events
	i := len(events) - 1
	for i > 0 && e.precedes(events[(i-1)/2]) {
		events[i] = events[(i-1)/2]
		i = (i - 1) / 2
	}
	events[i] = e
}

func (q *eventQueue) pop() event {
	events := *q
	first, last := events[0], events[len(events)-1]
	events[len(events)-1] = event{}
	events = events[:len(events)-1]
	*q = events
	i := 0
	for child := 1; child < len(events); child = 2*i + 1 {
		if child+1 < len(events) && events[child+1].precedes(events[child]) {
			child++
		}
		if !events[child].precedes(last) {
			break
		}
		events[i] = events[child]
		i = child
	}
	if len(events) > 0 {
		events[i] = last
	}
	return first
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
	c.events.push(event{action: action, at: c.now.Add(delay), sequence: c.scheduled})
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
		next := c.events.pop()
		c.now = next.at
		next.action()
	}
	c.now = end
}
