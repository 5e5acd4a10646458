package carry

import (
	"cmp"
	"slices"
	"time"
)

// A guest is a new flow that waits for the backend server to have room.
type guest struct {
	datagram []byte
	forward  Forward
	packet   Packet
	since    time.Time
}

// A kind is the waiting flows of one route.
type kind struct {
	guests  []guest // oldest first
	service float64 // flows let in, counted so that a route that was idle does not catch up
	urgency int
}

// A Room keeps new flows in waiting while a backend server is busy. Routes take turns, so that a flood on one
// leaves the others their share, and within a route the newest goes first: it can still meet its aim, while for
// those that have missed it a little longer makes no difference.
type Room struct {
	capacity int
	count    int
	kinds    map[Endpoint]*kind
}

// NewRoom returns an empty room for up to capacity flows.
func NewRoom(capacity int) *Room { return &Room{capacity: capacity, kinds: map[Endpoint]*kind{}} }

// Len returns the number of waiting flows.
func (r *Room) Len() int { return r.count }

// Has reports whether a flow waits.
func (r *Room) Has(flow Flow) bool {
	known := r.kinds[flow.Service]
	return known != nil && slices.ContainsFunc(known.guests, func(g guest) bool { return g.packet.FromCaller() == flow })
}

// add lets a flow wait and reports false when the room is full.
func (r *Room) add(g guest) bool {
	if r.count >= r.capacity {
		return false
	}
	address := g.packet.Destination
	known := r.kinds[address]
	if known == nil {
		known = &kind{}
		r.kinds[address] = known
	}
	if len(known.guests) == 0 {
		known.service = max(known.service, r.leastService())
	}
	known.guests = append(known.guests, g)
	known.urgency = g.forward.Urgency
	r.count++
	return true
}

// peek returns the flow whose turn it is.
func (r *Room) peek() (guest, bool) {
	address, ok := r.turn()
	if !ok {
		return guest{}, false
	}
	guests := r.kinds[address].guests
	return guests[len(guests)-1], true
}

// pop removes the flow whose turn it is.
func (r *Room) pop() {
	address, ok := r.turn()
	if !ok {
		return
	}
	known := r.kinds[address]
	known.guests = known.guests[:len(known.guests)-1]
	known.service++
	r.count--
}

// expire removes and returns the flows that came before a time.
func (r *Room) expire(before time.Time) []guest {
	var expired []guest
	for _, known := range r.kinds {
		for len(known.guests) > 0 && known.guests[0].since.Before(before) {
			expired = append(expired, known.guests[0])
			known.guests = known.guests[1:]
			r.count--
		}
	}
	slices.SortFunc(expired, func(x, y guest) int { return x.packet.FromCaller().Compare(y.packet.FromCaller()) })
	return expired
}

// turn returns the route that has had least, and of several the most urgent one.
func (r *Room) turn() (Endpoint, bool) {
	var best Endpoint
	found := false
	for address, known := range r.kinds {
		if len(known.guests) == 0 {
			continue
		}
		if !found || r.precedes(address, best) {
			best, found = address, true
		}
	}
	return best, found
}

func (r *Room) precedes(x, y Endpoint) bool {
	a, b := r.kinds[x], r.kinds[y]
	if order := cmp.Compare(a.service, b.service); order != 0 {
		return order < 0
	}
	if order := cmp.Compare(b.urgency, a.urgency); order != 0 {
		return order < 0
	}
	return x.Compare(y) < 0
}

// leastService returns what the route with waiting flows that has had least has had.
func (r *Room) leastService() float64 {
	least := 0.0
	found := false
	for _, known := range r.kinds {
		if len(known.guests) > 0 && (!found || known.service < least) {
			least, found = known.service, true
		}
	}
	return least
}
