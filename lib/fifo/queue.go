package fifo

import (
	"slices"
	"time"
)

// Queue tracks the requests at a server that works on a limited number of them at once, in order of arrival. It is not
// told when a request enters service: the first ones do so on arrival, and each further one when one in service ends.
type Queue[K comparable] struct {
	inService map[K]time.Time // when each request in service entered it
	slots     int             // requests that the server works on at once
	waiting   []K             // oldest first
}

// NewQueue returns an empty queue of a server with one slot.
func NewQueue[K comparable]() *Queue[K] {
	return &Queue[K]{inService: map[K]time.Time{}, slots: 1}
}

// SetSlots sets how many requests the server works on at once, at least one. Requests in service beyond that stay there.
func (q *Queue[K]) SetSlots(now time.Time, slots int) {
	q.slots = max(slots, 1)
	q.fill(now)
}

// Arrive records the arrival of a request. An earlier request of the same key that has not ended is replaced.
func (q *Queue[K]) Arrive(now time.Time, key K) {
	q.End(now, key)
	q.waiting = append(q.waiting, key)
	q.fill(now)
}

// End records that a request has ended for any reason, and returns its time in service. It reports false when the request
// was not in service or is not known.
func (q *Queue[K]) End(now time.Time, key K) (time.Duration, bool) {
	since, ok := q.inService[key]
	if !ok {
		q.waiting = slices.DeleteFunc(q.waiting, func(other K) bool { return other == key })
		return 0, false
	}
	delete(q.inService, key)
	q.fill(now)
	return now.Sub(since), true
}

// Retain ends the requests for which keep returns false.
func (q *Queue[K]) Retain(now time.Time, keep func(K) bool) {
	q.waiting = slices.DeleteFunc(q.waiting, func(key K) bool { return !keep(key) })
	for key := range q.inService {
		if !keep(key) {
			delete(q.inService, key)
		}
	}
	q.fill(now)
}

// Clear ends all requests.
func (q *Queue[K]) Clear() {
	clear(q.inService)
	q.waiting = nil
}

// InService returns the number of requests in service.
func (q *Queue[K]) InService() int { return len(q.inService) }

// Waiting returns the number of requests that wait for a slot.
func (q *Queue[K]) Waiting() int { return len(q.waiting) }

// fill moves waiting requests into service while a slot is free.
func (q *Queue[K]) fill(now time.Time) {
	for len(q.waiting) > 0 && len(q.inService) < q.slots {
		q.inService[q.waiting[0]] = now
		q.waiting = q.waiting[1:]
	}
}
