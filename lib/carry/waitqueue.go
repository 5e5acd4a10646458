package carry

import (
	"cmp"
	"slices"
	"time"
)

// A queuedFlow is a new flow that waits for the backend server to have room.
type queuedFlow struct {
	datagram []byte
	forward  Forward
	packet   Packet
	since    time.Time
}

// A routeQueue is the waiting flows of one route.
type routeQueue struct {
	flows   []queuedFlow // oldest first
	service float64      // flows let in, counted so that a route that was idle does not catch up
	urgency int
}

// A WaitQueue keeps new flows while a backend server is busy. Routes take turns, so that a flood on one
// leaves the others their share, and within a route the newest goes first: it can still meet its aim, while for
// those that have missed it a little longer makes no difference.
type WaitQueue struct {
	capacity int
	count    int
	routes   map[Endpoint]*routeQueue
}

// NewWaitQueue returns an empty queue for up to capacity flows.
func NewWaitQueue(capacity int) *WaitQueue {
	return &WaitQueue{capacity: capacity, routes: map[Endpoint]*routeQueue{}}
}

// Len returns the number of waiting flows.
func (q *WaitQueue) Len() int { return q.count }

// Has reports whether a flow waits.
func (q *WaitQueue) Has(flow Flow) bool {
	known := q.routes[flow.Service]
	return known != nil && slices.ContainsFunc(known.flows, func(g queuedFlow) bool { return g.packet.FromCaller() == flow })
}

// add lets a flow wait and reports false when the queue is full.
func (q *WaitQueue) add(g queuedFlow) bool {
	if q.count >= q.capacity {
		return false
	}
	address := g.packet.Destination
	known := q.routes[address]
	if known == nil {
		known = &routeQueue{}
		q.routes[address] = known
	}
	if len(known.flows) == 0 {
		known.service = max(known.service, q.leastService())
	}
	known.flows = append(known.flows, g)
	known.urgency = g.forward.Urgency
	q.count++
	return true
}

// peek returns the flow whose turn it is.
func (q *WaitQueue) peek() (queuedFlow, bool) {
	address, ok := q.turn()
	if !ok {
		return queuedFlow{}, false
	}
	flows := q.routes[address].flows
	return flows[len(flows)-1], true
}

// pop removes the flow whose turn it is.
func (q *WaitQueue) pop() {
	address, ok := q.turn()
	if !ok {
		return
	}
	known := q.routes[address]
	known.flows = known.flows[:len(known.flows)-1]
	known.service++
	q.count--
}

// expire removes and returns the flows that came before a time.
func (q *WaitQueue) expire(before time.Time) []queuedFlow {
	var expired []queuedFlow
	for _, known := range q.routes {
		for len(known.flows) > 0 && known.flows[0].since.Before(before) {
			expired = append(expired, known.flows[0])
			known.flows = known.flows[1:]
			q.count--
		}
	}
	slices.SortFunc(expired, func(x, y queuedFlow) int { return x.packet.FromCaller().Compare(y.packet.FromCaller()) })
	return expired
}

// turn returns the route that has had least, and of several the most urgent one.
func (q *WaitQueue) turn() (Endpoint, bool) {
	var best Endpoint
	found := false
	for address, known := range q.routes {
		if len(known.flows) == 0 {
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

// leastService returns what the route with waiting flows that has had least has had.
func (q *WaitQueue) leastService() float64 {
	least := 0.0
	found := false
	for _, known := range q.routes {
		if len(known.flows) > 0 && (!found || known.service < least) {
			least, found = known.service, true
		}
	}
	return least
}
