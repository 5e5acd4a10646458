package model

import (
	"container/heap"
	"time"
)

// A timer is something that happens later in virtual time.
type timer struct {
	at    time.Time
	do    func()
	order int // of creation, for those at the same time
}

type timers []timer

func (t timers) Len() int { return len(t) }
func (t timers) Less(i, j int) bool {
	if t[i].at.Equal(t[j].at) {
		return t[i].order < t[j].order
	}
	return t[i].at.Before(t[j].at)
}
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)   { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

// A virtualClock runs what was scheduled, in order.
type virtualClock struct {
	created int
	now     time.Time
	timers  timers
}

// after schedules something.
func (c *virtualClock) after(delay time.Duration, do func()) {
	c.created++
	heap.Push(&c.timers, timer{at: c.now.Add(delay), do: do, order: c.created})
}

// every schedules something again and again for as long as it returns true.
func (c *virtualClock) every(interval time.Duration, do func() bool) {
	c.after(interval, func() {
		if do() {
			c.every(interval, do)
		}
	})
}

// runUntil runs everything up to a moment.
func (c *virtualClock) runUntil(end time.Time) {
	for len(c.timers) > 0 && !c.timers[0].at.After(end) {
		next := heap.Pop(&c.timers).(timer)
		c.now = next.at
		next.do()
	}
	c.now = end
}
