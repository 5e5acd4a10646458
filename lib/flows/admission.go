package flows

import "time"

const (
	// handshakeFactor times the mean handshake time is how long an admitted flow counts as a request in progress before
	// its first request arrives.
	handshakeFactor = 4
	// handshakeWeight is the weight of a new sample in the moving average of the handshake time.
	handshakeWeight = 0.1
	// maxHandshakeTime bounds that time, and holds until a handshake time is known.
	maxHandshakeTime = 300 * time.Millisecond
	// minHandshakeTime allows for a packet that comes late.
	minHandshakeTime = 30 * time.Millisecond
)

// admission is a new flow that counts as a request in progress, as its first request is expected.
type admission struct {
	at   time.Time
	flow Flow
}

// recordHandshake records the arrival of the first request of a flow that counts as in progress since its admission.
func (d *Dispatcher) recordHandshake(now time.Time, state *flowState) {
	if state.startedAt.Equal(now) {
		return
	}
	sample := now.Sub(state.startedAt)
	if d.meanHandshake == 0 {
		d.meanHandshake = sample
	}
	d.meanHandshake += time.Duration(float64(sample-d.meanHandshake) * handshakeWeight)
}

// expireAdmissions stops counting the new flows whose callers have not sent a request in time: most of them have given
// up while the flow was queued, and would keep the backend server idle while others wait.
func (d *Dispatcher) expireAdmissions(now time.Time) {
	limit := maxHandshakeTime
	if d.meanHandshake > 0 {
		limit = min(max(handshakeFactor*d.meanHandshake, minHandshakeTime), maxHandshakeTime)
	}
	for len(d.admissions) > 0 && now.Sub(d.admissions[0].at) > limit {
		oldest := d.admissions[0]
		d.admissions = d.admissions[1:]
		state, ok := d.flows.Peek(now, oldest.flow)
		if ok && state.inProgress && !state.requestSeen && state.startedAt.Equal(oldest.at) {
			d.clearRequest(now, oldest.flow, state)
		}
	}
}
