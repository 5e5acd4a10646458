package flows

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// newRestartedDispatcher returns a dispatcher and its server, which has not announced itself yet, as after a restart of
// the agent.
func newRestartedDispatcher() (*Dispatcher, *Server) {
	server := NewServer(testService, time.Second)
	return NewDispatcher(DispatcherConfig{FlowLifetime: time.Minute, Self: testEndpoint(2, 0), Server: server, Service: HashName(testService)}), server
}

func testSnapshot(startMillis int64, flows int) Snapshot {
	snapshot := Snapshot{StartMillis: startMillis}
	for i := range flows {
		snapshot.Flows = append(snapshot.Flows, FlowRecord{Ack: uint32(i), Flow: testFlow(i)})
	}
	return snapshot
}

// All hosts lose power. The callers of the flows that were open send their next requests, some of which they must not
// repeat, seconds after the backend servers are back.
func TestRestoredFlowsAreResetOnceLaterProcessAnnouncesItself(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(0, 0)
	d, server := newRestartedDispatcher()
	d.Restore(now, testSnapshot(1000, 3))
	g.Expect(d.ResetRestored(now)).To(gomega.BeEmpty())
	_, err := server.Announce(now, announcement(1000, 1, StateReady))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(d.ResetRestored(now)).To(gomega.BeEmpty(), "the process that holds the flows still runs")
	_, err = server.Announce(now, announcement(2000, 1, StateReady))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	resets := d.ResetRestored(now)
	g.Expect(resets).To(gomega.HaveLen(3))
	g.Expect(resets[2]).To(gomega.Equal(AgentVerdict{Action: AgentReset, Flow: testFlow(2), Reason: ReasonOwnerEnded, Seq: 2}))
	g.Expect(d.ResetRestored(now)).To(gomega.BeEmpty())
}

func TestRestoredFlowsSurviveDelayedAnnouncementOfEarlierProcess(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(0, 0)
	d, server := newRestartedDispatcher()
	d.Restore(now, testSnapshot(2000, 1))
	_, err := server.Announce(now, announcement(1000, 1, StateReady))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(d.ResetRestored(now)).To(gomega.BeEmpty())
}

func TestRestoredFlowsAreResetWhenPortIsClosed(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(0, 0)
	d, server := newRestartedDispatcher()
	d.Restore(now, testSnapshot(1000, 2))
	g.Expect(server.RecordRefused(now)).To(gomega.BeTrue())
	g.Expect(d.ResetRestored(now)).To(gomega.HaveLen(2))
}

func TestExpiredRestoredFlowsAreNotReset(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(0, 0)
	d, server := newRestartedDispatcher()
	d.Restore(now, testSnapshot(1000, 2))
	later := now.Add(2 * time.Minute)
	_, err := server.Announce(later, announcement(2000, 1, StateReady))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(d.ResetRestored(later)).To(gomega.BeEmpty())
}

func TestSnapshotHoldsOpenAndRestoredFlows(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(0, 0)
	d, server := newRestartedDispatcher()
	d.Restore(now, testSnapshot(1000, 3))
	_, err := server.Announce(now, announcement(1000, 1, StateReady))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	opened := testFlow(7)
	d.HandleServerPacket(now, Packet{Destination: opened.Caller, Flags: FlagAck, Source: opened.Service})
	g.Expect(d.Snapshot(now).Flows).To(gomega.HaveLen(3), "the flow is too young")
	now = now.Add(minSnapshotAge)
	closed := testFlow(1)
	d.HandleServerPacket(now, Packet{Destination: closed.Caller, Flags: FlagFin, Source: closed.Service})
	g.Expect(d.Snapshot(now)).To(gomega.Equal(Snapshot{
		Flows:       []FlowRecord{{Ack: 0, Flow: testFlow(0)}, {Ack: 2, Flow: testFlow(2)}, {Flow: opened}},
		StartMillis: 1000,
	}))
}

func TestSnapshotIsOutdatedByNewFlowsAndMovedAcks(t *testing.T) {
	moved := testSnapshot(1000, 2)
	moved.Flows[1].Ack += maxAckDrift + 1
	movedBack := testSnapshot(1000, 2)
	movedBack.Flows[0].Ack -= maxAckDrift
	tests := map[string]struct {
		current  Snapshot
		outdated bool
	}{
		"acknowledgement moved far":      {moved, true},
		"acknowledgement moved a little": {movedBack, false},
		"flow closed":                    {testSnapshot(1000, 1), false},
		"new flow":                       {testSnapshot(1000, 3), true},
		"other process":                  {testSnapshot(2000, 2), true},
		"unchanged":                      {testSnapshot(1000, 2), false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			gomega.NewWithT(t).Expect(testSnapshot(1000, 2).Outdated(test.current)).To(gomega.Equal(test.outdated))
		})
	}
}
