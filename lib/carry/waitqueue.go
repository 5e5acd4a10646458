package carry

import (
	"cmp"
	"slices"
	"time"
)

// A queued entry is a new flow, or a request on an open flow, that waits for the backend server to have room.
type queued struct {
	forward Forward
	open    bool // a request on an open flow
	packets []queuedPacket
	since   time.Time
	until   time.Time
}

// A queuedPacket is one packet of an entry, with its bytes.
type queuedPacket struct {
	datagram []byte
	packet   Packet
}

func (q *queued) flow() Flow { return q.packets[0].packet.FromCaller() }

// A routeQueue is what waits of one route.
type routeQueue struct {
	entries []*queued // oldest first
	service float64   // entries let in, counted so that a route that was idle does not catch up
	urgency int
}

// A WaitQueue keeps new flows and requests while a backend server is busy. Routes take turns, so that a flood on one
// leaves the others their share, and within a route the newest goes first: it can still meet its aim, while for
// those that have missed it a little longer makes no difference.
type WaitQueue struct {
	capacity int
	count    int
	routes   map[Endpoint]*routeQueue
}

// NewWaitQueue returns an empty queue for up to capacity entries.
func NewWaitQueue(capacity int) *WaitQueue {
	return &WaitQueue{capacity: capacity, routes: map[Endpoint]*routeQueue{}}
}

// Len returns the number of waiting entries.
func (q *WaitQueue) Len() int { return q.count }

// find returns the entry of a flow, or nil.
func (q *WaitQueue) find(flow Flow) *queued {
	known := q.routes[flow.Service]
	if known == nil {
		return nil
	}
	for _, entry := range known.entries {
		if entry.flow() == flow {
			return entry
		}
	}
	return nil
}

// remove takes an entry out of the queue.
func (q *WaitQueue) remove(entry *queued) {
	known := q.routes[entry.flow().Service]
	known.entries = slices.DeleteFunc(known.entries, func(other *queued) bool { return other == entry })
	q.count--
}

// add lets an entry wait and reports false when the queue is full.
func (q *WaitQueue) add(entry *queued) bool {
	if q.count >= q.capacity {
		return false
	}
	address := entry.flow().Service
	known := q.routes[address]
	if known == nil {
		known = &routeQueue{}
		q.routes[address] = known
	}
	if len(known.entries) == 0 {
		known.service = max(known.service, q.leastService())
	}
	at, _ := slices.BinarySearchFunc(known.entries, entry.since, func(other *queued, since time.Time) int {
		if other.since.After(since) {
			return 1
		}
		return -1
	})
	known.entries = slices.Insert(known.entries, at, entry)
	known.urgency = entry.forward.Urgency
	q.count++
	return true
}

// peek returns the entry whose turn it is, or nil.
func (q *WaitQueue) peek() *queued {
	address, ok := q.turn()
	if !ok {
		return nil
	}
	entries := q.routes[address].entries
	return entries[len(entries)-1]
}

// pop removes the entry whose turn it is.
func (q *WaitQueue) pop() {
	address, ok := q.turn()
	if !ok {
		return
	}
	known := q.routes[address]
	known.entries = known.entries[:len(known.entries)-1]
	known.service++
	q.count--
}

// expire removes and returns the entries that have waited too long.
func (q *WaitQueue) expire(now time.Time) []*queued {
	return q.takeAll(func(entry *queued) bool { return now.After(entry.until) })
}

// takeAll removes and returns the entries for which a condition holds.
func (q *WaitQueue) takeAll(holds func(*queued) bool) []*queued {
	var taken []*queued
	for _, known := range q.routes {
		known.entries = slices.DeleteFunc(known.entries, func(entry *queued) bool {
			if !holds(entry) {
				return false
			}
			taken = append(taken, entry)
			return true
		})
	}
	q.count -= len(taken)
	slices.SortFunc(taken, func(x, y *queued) int { return x.flow().Compare(y.flow()) })
	return taken
}

// turn returns the route that has had least, of several the most urgent one.
func (q *WaitQueue) turn() (Endpoint, bool) {
	var best Endpoint
	found := false
	for address, known := range q.routes {
		if len(known.entries) == 0 {
			continue
		}
		if !found || q.precedes(address, best) {
			best, found = address, true
		}
	}
	return best, found
}

func (q *WaitQueue) precedes(x, y Endpoint) bool {
	a, b := q.routes[x], q.routes[y]
	if order := cmp.Compare(a.service, b.service); order != 0 {
		return order < 0
	}
	if order := cmp.Compare(b.urgency, a.urgency); order != 0 {
		return order < 0
	}
	return x.Compare(y) < 0
}

// leastService returns what the route with waiting entries that has had least has had.
func (q *WaitQueue) leastService() float64 {
	least := 0.0
	found := false
	for _, known := range q.routes {
		if len(known.entries) > 0 && (!found || known.service < least) {
			least, found = known.service, true
		}
	}
	return least
}
