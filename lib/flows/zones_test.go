package flows

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/cyclamendock/cyclamendock/lib/store"
	"github.com/cyclamendock/cyclamendock/lib/zones"
)

// zoneOf returns the availability zone of the i-th test agent; three of them take turns.
func zoneOf(i int) NameHash { return NameHash(1 + i%3) }

func zonesAt(revision uint64, evacuated ...NameHash) zones.State {
	hashes := make([]uint64, len(evacuated))
	for i, zone := range evacuated {
		hashes[i] = uint64(zone)
	}
	state, _ := zones.NewState(store.Version{Era: 1, Revision: revision}, hashes)
	return state
}

// newZonedDirector returns a director that has heard the given number of ready agents in three availability zones.
func newZonedDirector(now time.Time, agents int) *Director {
	d := NewDirector(DirectorConfig{FlowLifetime: time.Minute, LostAfter: testLostAfter, MaxQueueTime: time.Second})
	d.SetRoutes(now, testRoutes(1, testAddress))
	for i := range agents {
		reportZoned(d, now, i, Report{})
	}
	return d
}

// reportZoned makes the i-th agent report as ready; the given report adds to that.
func reportZoned(d *Director, now time.Time, i int, report Report) {
	report.Interval, report.Service, report.Slots, report.Zone = time.Second, HashName(testService), 7, zoneOf(i)
	if report.State == StateUnknown {
		report.State = StateReady
	}
	d.RecordReport(now, testEndpoint(2, i), report)
}

func testOpening(i int) Packet {
	return Packet{Destination: testAddress, Flags: FlagSyn, Source: testFlow(i).Caller}
}

// agentsOf returns the agents that a verdict forwards to.
func agentsOf(verdict Verdict) []Endpoint {
	var agents []Endpoint
	for _, chain := range verdict.Chains {
		agents = append(agents, chain...)
	}
	return agents
}

// Guards against new flows on an evacuated zone, by the balancer's knowledge or by an agent's own, and after the removal of the entry
// against a zone that stays empty.
func TestNewFlowsAvoidEvacuatedZones(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(100, 0)
	d := newZonedDirector(now, 9)
	chosen := func() map[NameHash]bool {
		zones := map[NameHash]bool{}
		for i := range 100 {
			d.hints.Delete(testFlow(i))
			for _, agent := range agentsOf(d.HandlePacket(now, testOpening(i), nil)) {
				report, _ := d.Agents.LastReport(now, agent)
				zones[report.Zone] = true
			}
		}
		return zones
	}
	g.Expect(chosen()).To(gomega.HaveLen(3))
	d.Agents.Zones.Apply(now, zonesAt(5, zoneOf(1)))
	g.Expect(chosen()).To(gomega.And(gomega.HaveLen(2), gomega.Not(gomega.HaveKey(zoneOf(1)))))
	for i := range 9 {
		reportZoned(d, now, i, Report{ZoneEvacuated: i%3 == 0})
	}
	g.Expect(chosen()).To(gomega.Equal(map[NameHash]bool{zoneOf(2): true}), "the agents of another zone know of a later entry")
	d.Agents.Zones.Apply(now, zonesAt(6))
	for i := range 9 {
		reportZoned(d, now, i, Report{})
	}
	g.Expect(chosen()).To(gomega.HaveLen(3), "the entries were removed")
}

// Guards against a caller that waits for a zone without backend servers until its own timeout, and against a reset while an agent
// elsewhere can serve the flow, now or soon.
func TestFlowsAreResetOnlyWhenAllUsableAgentsAreEvacuated(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(100, 0)
	all := zonesAt(5, zoneOf(0), zoneOf(1), zoneOf(2))
	for name, prepare := range map[string]func(d *Director){
		"an agent was never heard": func(d *Director) { d.Agents.Add(now, testEndpoint(2, 50)) },
		"an agent elsewhere is overdue": func(d *Director) {
			d.Agents.Zones = zones.Tracker{}
			d.Agents.Zones.Apply(now, zonesAt(5, zoneOf(0), zoneOf(1)))
			d.Agents.ExpectReport(now.Add(-1500*time.Millisecond), testEndpoint(2, 2), false)
		},
		"the agents were heard just now": func(d *Director) {
			for i := range 3 {
				d.Agents.Remove(testEndpoint(2, i))
				reportZoned(d, now, i, Report{})
			}
		},
	} {
		d := newZonedDirector(now.Add(-2*time.Second), 3)
		d.Agents.Zones.Apply(now, all)
		prepare(d)
		verdict := d.HandlePacket(now, testOpening(1), []byte{1})
		g.Expect(verdict.Reason).To(gomega.Equal(ReasonQueued), name)
	}
	d := newZonedDirector(now.Add(-2*time.Second), 4)
	reportZoned(d, now, 3, Report{State: StateDraining})
	d.Agents.Zones.Apply(now, zonesAt(5, zoneOf(1), zoneOf(2)))
	reportZoned(d, now, 0, Report{State: StateGone})
	verdict := d.HandlePacket(now, testOpening(1), []byte{1})
	g.Expect(verdict.Action).To(gomega.Equal(ActReset))
	g.Expect(verdict.Reason).To(gomega.Equal(ReasonZoneEmptied))
	g.Expect(d.Waiting()).To(gomega.BeZero())
}

// Guards against queued openings that are placed on a zone which was evacuated meanwhile, or wait on for nothing.
func TestQueuedOpeningsAreResetWhenTheZoneIsEvacuated(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(100, 0)
	d := newZonedDirector(now, 1)
	reportZoned(d, now, 0, Report{State: StateDraining})
	g.Expect(d.HandlePacket(now, testOpening(1), []byte{1}).Reason).To(gomega.Equal(ReasonQueued))
	now = now.Add(500 * time.Millisecond)
	d.Agents.Zones.Apply(now, zonesAt(5, zoneOf(0)))
	reportZoned(d, now, 0, Report{})
	g.Expect(d.Tick(now)).To(gomega.BeEmpty(), "other agents may not have been heard yet")
	now = now.Add(500 * time.Millisecond)
	reset := d.Tick(now)
	g.Expect(reset).To(gomega.HaveLen(1))
	g.Expect(reset[0].Action).To(gomega.Equal(ActReset))
	g.Expect(reset[0].Reason).To(gomega.Equal(ReasonZoneEmptied))
	reportZoned(d, now, 1, Report{})
	returned := Forward{Datagram: []byte{1}, RejectedBy: []Endpoint{testEndpoint(2, 1)}, Service: HashName(testService)}
	g.Expect(d.HandleReturn(now, &returned, testOpening(2)).Reason).To(gomega.Equal(ReasonQueued), "an agent elsewhere can serve it soon")
}

// Guards against a repeated opening that follows its hint into an evacuated zone, and against one that opens a second half of a flow
// which the agent there has accepted.
func TestRepeatedOpeningReachesEvacuatedAgentOnlyIfThatKnows(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(100, 0)
	d := newZonedDirector(now, 3)
	first := agentsOf(d.HandlePacket(now, testOpening(1), nil))[0]
	report, _ := d.Agents.LastReport(now, first)
	d.Agents.Zones.Apply(now, zonesAt(5, report.Zone))
	agents := agentsOf(d.HandlePacket(now, testOpening(1), nil))
	g.Expect(agents).To(gomega.And(gomega.HaveLen(2), gomega.Not(gomega.ContainElement(first))))
	d.RecordOwner(now, testFlow(1), first)
	report.ZoneEvacuated = true
	d.RecordReport(now, first, report)
	agents = agentsOf(d.HandlePacket(now, testOpening(1), nil))
	g.Expect(agents).To(gomega.HaveLen(3))
	g.Expect(agents[0]).To(gomega.Equal(first))
}

// Guards against agents that are never told, and against a message for each report of an agent that can't follow.
func TestAgentsThatContradictAreToldOncePerSecond(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(100, 0)
	d := newZonedDirector(now, 3)
	_, due := d.Agents.ZonesNotice(now, testEndpoint(2, 1))
	g.Expect(due).To(gomega.BeFalse(), "nothing is known")
	d.Agents.Zones.Apply(now, zonesAt(5, zoneOf(1)))
	want := ZonesNotice{Agent: testEndpoint(2, 1), Zones: Zones{Evacuated: true, Version: store.Version{Era: 1, Revision: 5}}}
	g.Expect(d.Agents.ZonesNotices(now)).To(gomega.Equal([]ZonesNotice{want}))
	_, due = d.Agents.ZonesNotice(now.Add(zonesInterval-1), testEndpoint(2, 1))
	g.Expect(due).To(gomega.BeFalse())
	_, due = d.Agents.ZonesNotice(now.Add(zonesInterval), testEndpoint(2, 1))
	g.Expect(due).To(gomega.BeTrue(), "the first message may be lost")
	reportZoned(d, now, 1, Report{ZoneEvacuated: true})
	_, due = d.Agents.ZonesNotice(now.Add(time.Minute), testEndpoint(2, 1))
	g.Expect(due).To(gomega.BeFalse())
}

// Guards against an agent in an evacuated zone that accepts a new flow, keeps one in its queue, or stops serving open flows.
func TestEvacuatedAgentReturnsNewFlowsAndServesOpenOnes(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(100, 0)
	sim := newOverloadSim(now, 1)
	d := sim.dispatcher
	handle := func(i int, flags Flags, length int) AgentVerdict {
		f := sim.forward(testFlow(i))
		f.Datagram = []byte{byte(i)}
		return d.HandleForward(now, &f, sim.packet(testFlow(i), flags, length))
	}
	g.Expect(handle(1, FlagSyn, 0).Action).To(gomega.Equal(AgentDeliver))
	d.HandleServerPacket(now, Packet{Destination: testFlow(1).Caller, Flags: FlagAck, Source: testAddress})
	g.Expect(handle(1, FlagAck, 100).Action).To(gomega.Equal(AgentDeliver), "a request")
	var queued []int
	for i := 2; i < 12; i++ {
		if handle(i, FlagSyn, 0).Reason == ReasonQueued {
			queued = append(queued, i)
		}
	}
	g.Expect(queued).NotTo(gomega.BeEmpty())

	g.Expect(d.SetZone(Zones{Evacuated: true, Version: store.Version{Revision: 5}})).To(gomega.BeTrue())
	g.Expect(d.SetZone(Zones{Evacuated: false, Version: store.Version{Revision: 4}})).To(gomega.BeFalse())
	g.Expect(d.Report(now).ZoneEvacuated).To(gomega.BeTrue())
	returned := d.Release(now)
	g.Expect(returned).To(gomega.HaveLen(len(queued)))
	for _, verdict := range returned {
		g.Expect(verdict.Kind).To(gomega.Equal(KindReturn))
		g.Expect(verdict.Forward.Final).To(gomega.BeFalse(), "the balancer tries other agents")
		g.Expect(verdict.Datagram).NotTo(gomega.BeEmpty())
	}
	g.Expect(handle(20, FlagSyn, 0).Action).To(gomega.Equal(AgentForwardOrReturn))
	g.Expect(handle(1, FlagSyn, 0).Action).To(gomega.Equal(AgentDeliver), "the opening of an open flow has come twice")
	d.HandleServerPacket(now, Packet{Destination: testFlow(1).Caller, Flags: FlagAck, Length: 10, Source: testAddress})
	now = now.Add(time.Second)
	d.Sweep(now)
	d.Release(now)
	g.Expect(handle(1, FlagAck, 100).Action).To(gomega.Equal(AgentDeliver), "requests on open flows go on")

	g.Expect(d.SetZone(Zones{Evacuated: false, Version: store.Version{Revision: 6}})).To(gomega.BeTrue())
	now = now.Add(time.Minute)
	d.Sweep(now)
	_, _ = sim.dispatcher.config.Server.Announce(now, Announcement{ID: "i", Sequence: 2, Service: testService, Slots: 1, StartMillis: 1, State: StateReady})
	g.Expect(handle(21, FlagSyn, 0).Action).To(gomega.Equal(AgentDeliver), "the entry was removed")
}

// Guards against resets of open flows by evacuations at any moment, which balancers and agents learn of in any order, and against new
// flows on a zone once either end knows.
func TestEvacuationsResetNoOpenFlow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newTestNetwork(rapid.Uint64().Draw(t, "seed"), 3, 6)
		for i, a := range n.agents {
			a.dispatcher.config.Zone = zoneOf(i)
		}
		n.reportAll()
		n.loss = rapid.SampledFrom([]float64{0, 0.05}).Draw(t, "loss")
		opened := 0
		for revision := range rapid.IntRange(1, 25).Draw(t, "steps") {
			state := zonesAt(uint64(revision+1), zoneOf(rapid.IntRange(0, 2).Draw(t, "zone")))
			if rapid.Bool().Draw(t, "removal") {
				state = zonesAt(uint64(revision + 1))
			}
			for _, address := range n.balancers() {
				if rapid.Bool().Draw(t, "balancer learns") {
					n.directors[address].Agents.Zones.Apply(n.now, state)
				}
			}
			for i, a := range n.agents {
				if rapid.Bool().Draw(t, "agent learns") {
					a.dispatcher.SetZone(Zones{Evacuated: state.Contains(uint64(zoneOf(i))), Version: state.Version})
				}
			}
			before := len(n.ownerOf)
			n.openFlow(testFlow(opened))
			owner := n.ownerOf[testFlow(opened)]
			opened++
			if len(n.ownerOf) > before && owner.dispatcher.ZoneEvacuated() {
				t.Fatalf("%v was opened in an evacuated availability zone", testFlow(opened))
			}
			n.useFlows(t, opened)
		}
		n.checkRecovery(t, opened)
	})
}
