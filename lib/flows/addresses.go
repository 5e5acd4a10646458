package flows

import (
	"slices"
	"time"
)

// heldAddresses tracks for one agent the service addresses of the flows that its backend server may hold, so that
// balancers need not ask it about flows of other addresses.
type heldAddresses struct {
	added     bool                   // an address was added since the last call of takeAdded
	knownFrom time.Time              // from when all flows are known: those of before have expired
	lastSeen  map[Endpoint]time.Time // time of the last packet of the backend server, by service address
	lifetime  time.Duration          // time after which a flow without packets has expired
}

// record records a packet of the backend server on a flow of the given address.
func (h *heldAddresses) record(now time.Time, address Endpoint) {
	if _, known := h.lastSeen[address]; !known {
		h.added = true
	}
	h.lastSeen[address] = now
}

// takeAdded reports whether an address was added since the last call.
func (h *heldAddresses) takeAdded() bool {
	added := h.added
	h.added = false
	return added
}

// sweep removes the addresses whose flows have all expired.
func (h *heldAddresses) sweep(now time.Time) {
	for address, seen := range h.lastSeen {
		if now.Sub(seen) > h.lifetime {
			delete(h.lastSeen, address)
		}
	}
}

// clear records that the backend server has ended, and with it all its flows.
func (h *heldAddresses) clear() {
	clear(h.lastSeen)
	h.knownFrom = time.Time{}
}

// list returns the addresses in order, or false while flows of before the agent's start may be unknown, or when there are
// too many addresses for a message.
func (h *heldAddresses) list(now time.Time) ([]Endpoint, bool) {
	if now.Before(h.knownFrom) || len(h.lastSeen) > maxAgentsPerMessage {
		return nil, false
	}
	var addresses []Endpoint
	for address := range h.lastSeen {
		addresses = append(addresses, address)
	}
	slices.SortFunc(addresses, Endpoint.Compare)
	return addresses, true
}
