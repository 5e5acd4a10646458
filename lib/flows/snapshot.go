package flows

import (
	"slices"
	"time"
)

const (
	// maxAckDrift is how far a caller's acknowledgement number may move from the recorded one, in bytes, before the flow
	// is recorded anew: callers ignore a reset whose sequence number is too far from their last acknowledgement.
	maxAckDrift = 32 << 10
	// minSnapshotAge is the age from which flows are recorded. Flows that carry a single request end sooner.
	minSnapshotAge = 500 * time.Millisecond
)

// FlowRecord holds what is needed to reset an open flow later.
type FlowRecord struct {
	Ack  uint32 // caller's last acknowledgement number
	Flow Flow
}

// Snapshot holds the flows of one process of a backend server. When that process has ended, so have the flows.
type Snapshot struct {
	Flows       []FlowRecord // ordered by flow
	StartMillis int64        // start of the backend server's process; see Announcement
}

// Outdated reports whether a snapshot that was stored earlier lacks a flow of the current one, or holds an
// acknowledgement number that is too old to reset a flow with. Flows that have closed since are no reason to store a
// new snapshot, as their callers ignore resets.
func (s Snapshot) Outdated(current Snapshot) bool {
	if s.StartMillis != current.StartMillis {
		return len(s.Flows)+len(current.Flows) > 0
	}
	for _, record := range current.Flows {
		i, found := slices.BinarySearchFunc(s.Flows, record.Flow, func(other FlowRecord, flow Flow) int {
			return other.Flow.Compare(flow)
		})
		if !found || distance(s.Flows[i].Ack, record.Ack) > maxAckDrift {
			return true
		}
	}
	return false
}

// distance returns how far apart two sequence numbers are, in either direction.
func distance(a, b uint32) uint32 { return min(a-b, b-a) }

// restoredFlows are flows that an earlier process of the agent recorded.
type restoredFlows struct {
	acks        map[Flow]uint32
	expires     time.Time
	startMillis int64
}

// Restore adds the flows that an earlier process of this agent recorded. They are reset by ResetRestored once their
// backend server's process has ended, and are part of further snapshots until then.
func (d *Dispatcher) Restore(now time.Time, snapshot Snapshot) {
	d.restored = restoredFlows{
		acks:        make(map[Flow]uint32, len(snapshot.Flows)),
		expires:     now.Add(d.config.FlowLifetime),
		startMillis: snapshot.StartMillis,
	}
	for _, record := range snapshot.Flows {
		d.restored.acks[record.Flow] = record.Ack
	}
	d.countRestored(now)
}

// Snapshot returns the flows that the backend server holds, as far as this agent knows.
func (d *Dispatcher) Snapshot(now time.Time) Snapshot {
	snapshot := Snapshot{StartMillis: d.config.Server.Current().StartMillis}
	d.flows.Each(func(flow Flow, state *flowState) {
		if state.established && !state.closedByCaller && now.Sub(state.openedAt) >= minSnapshotAge {
			snapshot.Flows = append(snapshot.Flows, FlowRecord{Ack: state.lastAck, Flow: flow})
		}
	})
	if d.restored.startMillis == snapshot.StartMillis && now.Before(d.restored.expires) {
		for flow, ack := range d.restored.acks {
			if !d.flows.Has(now, flow) {
				snapshot.Flows = append(snapshot.Flows, FlowRecord{Ack: ack, Flow: flow})
			}
		}
	}
	slices.SortFunc(snapshot.Flows, func(a, b FlowRecord) int { return a.Flow.Compare(b.Flow) })
	return snapshot
}

// ResetRestored returns resets of all restored flows if the process of the backend server that held them has ended: a
// later one has announced itself, or no process listens at its address. Their callers would otherwise learn that only
// from the next request that they send, which they can't repeat if it is unsafe.
func (d *Dispatcher) ResetRestored(now time.Time) []AgentVerdict {
	server := d.config.Server
	if server.Current().StartMillis <= d.restored.startMillis && !server.Closed() {
		return nil
	}
	if d.restored.startMillis > 0 {
		d.pacer.UnblockCold()
	}
	var verdicts []AgentVerdict
	if now.Before(d.restored.expires) {
		for flow, ack := range d.restored.acks {
			verdicts = append(verdicts, AgentVerdict{Action: AgentReset, Flow: flow, Reason: ReasonOwnerEnded, Seq: ack})
		}
	}
	slices.SortFunc(verdicts, func(a, b AgentVerdict) int { return a.Flow.Compare(b.Flow) })
	d.restored = restoredFlows{}
	d.restoredUnseen = 0
	return verdicts
}
