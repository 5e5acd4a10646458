package carry

import "time"

const (
	// aimShare is the part of an aim in per cent that work and waiting may need; handshake and variance need the rest.
	aimShare = 50
	percent  = 100
	// unknownPaceShare is how many times the work of a request whose work is not known fits its aim.
	unknownPaceShare = 4
)

// finish returns when one more request is expected to be answered; aim stands in for work that is not known.
func (r Report) finish(aim time.Duration) time.Duration {
	slots := max(r.Slots, 1)
	ahead := max(r.Busy+1, slots)
	pace := r.Pace
	if pace == 0 {
		pace = aim / unknownPaceShare
	}
	return pace * time.Duration(ahead) / time.Duration(slots)
}

// meets reports whether one more request is expected to be answered within its aim, or finds a free slot.
func (r Report) meets(aim time.Duration) bool {
	return r.Busy < r.Slots || r.finish(aim) <= aim*aimShare/percent
}
