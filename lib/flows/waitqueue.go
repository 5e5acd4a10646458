package flows

import (
	"cmp"
	"slices"
	"time"
)

// queueEntry is a new flow or a request on an open flow that waits until the backend server has capacity.
type queueEntry struct {
	deadline    time.Time // when the entry expires
	forward     Forward   // without its datagram
	onOpenFlow  bool      // the entry is a request on an open flow, not a new flow
	packets     []queuedPacket
	requestedAt time.Time // when the caller first sent the opening or request
}

// queuedPacket is one packet of an entry with its bytes.
type queuedPacket struct {
	datagram []byte
	packet   Packet
}

func (e *queueEntry) flow() Flow { return e.packets[0].packet.CallerFlow() }

// routeQueue holds the queued entries of one route.
type routeQueue struct {
	entries []*queueEntry // oldest first
	served  float64       // entries dequeued, raised when an idle route returns so that it gets no credit
	urgency int
}

// WaitQueue queues new flows and requests while a backend server is busy, fairly across routes so that a flood on one
// leaves the others their share. Within a route the oldest entry that can still meet its latency target goes first. The
// others come after those, the newest first: a little more delay makes no difference to them.
type WaitQueue struct {
	capacity int
	count    int // entries of all routes
	routes   map[Endpoint]*routeQueue
}

// NewWaitQueue returns an empty queue for up to capacity entries.
func NewWaitQueue(capacity int) *WaitQueue {
	return &WaitQueue{capacity: capacity, routes: map[Endpoint]*routeQueue{}}
}

// Len returns the number of queued entries.
func (q *WaitQueue) Len() int { return q.count }

// find returns the entry of a flow, or nil.
func (q *WaitQueue) find(flow Flow) *queueEntry {
	route := q.routes[flow.Service]
	if route == nil {
		return nil
	}
	for _, entry := range route.entries {
		if entry.flow() == flow {
			return entry
		}
	}
	return nil
}

// remove removes an entry, which must be queued.
func (q *WaitQueue) remove(entry *queueEntry) {
	route := q.routes[entry.flow().Service]
	route.entries = slices.DeleteFunc(route.entries, func(other *queueEntry) bool { return other == entry })
	q.count--
}

// add queues an entry and reports false when the queue is full.
func (q *WaitQueue) add(entry *queueEntry) bool {
	if q.count >= q.capacity {
		return false
	}
	address := entry.flow().Service
	route := q.routes[address]
	if route == nil {
		route = &routeQueue{}
		q.routes[address] = route
	}
	if len(route.entries) == 0 {
		route.served = max(route.served, q.minServed())
	}
	index, _ := slices.BinarySearchFunc(route.entries, entry.requestedAt, func(other *queueEntry, requestedAt time.Time) int {
		if other.requestedAt.After(requestedAt) {
			return 1
		}
		return -1
	})
	route.entries = slices.Insert(route.entries, index, entry)
	route.urgency = entry.forward.Urgency
	q.count++
	return true
}

// peek returns the next entry, or nil when the queue is empty: the oldest one that can still meet its latency target when
// it is answered at the given time, or else the newest one.
func (q *WaitQueue) peek(answeredAt time.Time) *queueEntry {
	address, ok := q.nextRoute()
	if !ok {
		return nil
	}
	entries := q.routes[address].entries
	first, _ := slices.BinarySearchFunc(entries, answeredAt, func(entry *queueEntry, answeredAt time.Time) int {
		if entry.requestedAt.Add(entry.forward.LatencyTarget).Before(answeredAt) {
			return -1
		}
		return 1
	})
	return entries[min(first, len(entries)-1)]
}

// pop removes an entry that peek has returned.
func (q *WaitQueue) pop(entry *queueEntry) {
	q.remove(entry)
	q.routes[entry.flow().Service].served++
}

// countAfter returns the number of entries that were requested after the given time.
func (q *WaitQueue) countAfter(after time.Time) int {
	count := 0
	for _, route := range q.routes {
		count += route.countAfter(after)
	}
	return count
}

// countAfter returns the number of entries that were requested after the given time.
func (r *routeQueue) countAfter(after time.Time) int {
	first, _ := slices.BinarySearchFunc(r.entries, after, func(entry *queueEntry, after time.Time) int {
		if entry.requestedAt.After(after) {
			return 1
		}
		return -1
	})
	return len(r.entries) - first
}

// hasMissed reports whether an entry has missed its latency target.
func (q *WaitQueue) hasMissed(now time.Time) bool {
	for _, route := range q.routes {
		if len(route.entries) > 0 && now.After(route.entries[0].requestedAt.Add(route.entries[0].forward.LatencyTarget)) {
			return true
		}
	}
	return false
}

// expire removes and returns the entries whose deadline has passed.
func (q *WaitQueue) expire(now time.Time) []*queueEntry {
	return q.removeIf(func(entry *queueEntry) bool { return now.After(entry.deadline) })
}

// removeIf removes and returns the matching entries, ordered by flow.
func (q *WaitQueue) removeIf(matches func(*queueEntry) bool) []*queueEntry {
	var removed []*queueEntry
	for _, route := range q.routes {
		route.entries = slices.DeleteFunc(route.entries, func(entry *queueEntry) bool {
			if !matches(entry) {
				return false
			}
			removed = append(removed, entry)
			return true
		})
	}
	q.count -= len(removed)
	slices.SortFunc(removed, func(x, y *queueEntry) int { return x.flow().Compare(y.flow()) })
	return removed
}

// nextRoute returns the least served route with queued entries; ties go to the more urgent route.
func (q *WaitQueue) nextRoute() (Endpoint, bool) {
	var best Endpoint
	found := false
	for address, route := range q.routes {
		if len(route.entries) == 0 {
			continue
		}
		if !found || q.precedes(address, best) {
			best, found = address, true
		}
	}
	return best, found
}

// precedes reports whether route x is dequeued before route y.
func (q *WaitQueue) precedes(x, y Endpoint) bool {
	a, b := q.routes[x], q.routes[y]
	if order := cmp.Compare(a.served, b.served); order != 0 {
		return order < 0
	}
	if order := cmp.Compare(b.urgency, a.urgency); order != 0 {
		return order < 0
	}
	return x.Compare(y) < 0
}

// minServed returns the lowest served count among the routes with queued entries.
func (q *WaitQueue) minServed() float64 {
	minimum := 0.0
	found := false
	for _, route := range q.routes {
		if len(route.entries) > 0 && (!found || route.served < minimum) {
			minimum, found = route.served, true
		}
	}
	return minimum
}
