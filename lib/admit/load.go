package admit

import "math"

// ClosedLoad is the load of an agent that takes no new flow.
const ClosedLoad uint32 = math.MaxUint32

const (
	maxLoad = 1 << 30
	million = 1_000_000
)

// A Usage is what an agent's load is worked out from.
type Usage struct {
	Connections int // that the backend server can carry
	Flows       int // open
	Slots       int
	Speed       int // per mille
	Waiting     int
}

// Load returns the utilisation in parts per million of what the backend server carries at its present speed.
func Load(u Usage) uint32 {
	if u.Flows >= u.Connections {
		return ClosedLoad
	}
	slots := max(u.Slots, 1)
	flows := u.Flows * million / u.Connections
	withQueue := flows * (slots + u.Waiting) / slots
	return uint32(min(withQueue*fullSpeed/max(u.Speed, minSpeed), maxLoad))
}
