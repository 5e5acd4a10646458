package admit

import "math"

// ClosedLoad is the load that an agent reports while it accepts no new flows.
const ClosedLoad uint32 = math.MaxUint32

const (
	maxLoad   = 1 << 30   // keeps a computed load below ClosedLoad
	loadScale = 1_000_000 // load values are in parts per million
)

// Usage holds the values from which Load is computed.
type Usage struct {
	Flows          int // number of open flows
	MaxConnections int // maximum number of open flows
	Slots          int // maximum number of concurrent requests
	Speed          int // relative speed of the backend server, in per mille
	Waiting        int // number of queued requests
}

// Load returns the utilisation in parts per million of the capacity that the backend server has at its current speed,
// or ClosedLoad when the maximum number of flows is open.
func Load(u Usage) uint32 {
	if u.Flows >= u.MaxConnections {
		return ClosedLoad
	}
	slots := max(u.Slots, 1)
	flowLoad := u.Flows * loadScale / u.MaxConnections
	queuedLoad := flowLoad * (slots + u.Waiting) / slots
	return uint32(min(queuedLoad*fullSpeed/max(u.Speed, minSpeed), maxLoad))
}
