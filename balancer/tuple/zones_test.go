package tuple

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/cyclamendock/cyclamendock/lib/fault"
	"github.com/cyclamendock/cyclamendock/lib/flaky"
	"github.com/cyclamendock/cyclamendock/lib/flows"
	"github.com/cyclamendock/cyclamendock/lib/store"
)

const testZonesPrefix = "empty/"

// newZoneNode returns a node that does not run, its log, and the store from which it lists evacuations; listFault is injected into each
// list.
func newZoneNode(t *testing.T, listFault *flaky.Fault) (*Node, *bytes.Buffer, *store.Memory) {
	t.Helper()
	n, output := newTestNode(t)
	memory := store.NewMemory()
	n.config.Store = flaky.New(memory, func(string) flaky.Fault { return *listFault })
	n.config.ZonesPrefix = testZonesPrefix
	n.config.ZoneName = func(object store.Object) (string, error) {
		if string(object.Value) != "{}" {
			return "", fault.New(fault.Invalid, "the entry is malformed", "correct it")
		}
		return strings.TrimPrefix(object.Key, testZonesPrefix), nil
	}
	n.zoneSync = newZoneSync(n.config.Address, maxZoneLag, maxZoneLag, rand.Float64, &n.director.Agents.Zones)
	return n, output, memory
}

func putZone(t *testing.T, memory *store.Memory, name, value string) {
	t.Helper()
	if _, err := memory.Put(context.Background(), testZonesPrefix+name, []byte(value), store.Version{}); err != nil {
		t.Fatal(err)
	}
}

// Guards against a failed list, or a malformed entry, that changes the state, and against a change that an operator can't see.
func TestOnlyCompleteListsChangeTheEvacuatedZones(t *testing.T) {
	g := gomega.NewWithT(t)
	listFault := flaky.RequestLost
	n, output, memory := newZoneNode(t, &listFault)
	zone := flows.HashName("a")
	n.handleReport(time.Now(), flows.Report{Slots: 2, State: flows.StateReady, Zone: zone}.Append(nil), testAgentAddress(1))
	putZone(t, memory, "a", "{}")
	putZone(t, memory, "odd", "[")
	status := func() Status {
		var status Status
		g.Expect((&RPCHandler{node: n}).Status(StateRequest{}, &status)).To(gomega.Succeed())
		return status
	}
	n.listZones()
	g.Expect(status().ZonesEnabled).To(gomega.BeTrue())
	g.Expect(status().ZonesKnown).To(gomega.BeFalse())
	g.Expect(output.String()).To(gomega.ContainSubstring("The evacuated availability zones can't be listed."))
	listFault = flaky.NoFault
	g.Expect(n.listZones()).To(gomega.BeFalse(), "the list at the start is not for all")
	g.Expect(n.director.Agents.Evacuated(testAgentAddress(1))).To(gomega.BeTrue())
	g.Expect(status().ZonesKnown).To(gomega.BeTrue())
	zones := status().Zones
	g.Expect(zones).To(gomega.HaveLen(1))
	g.Expect([]any{zones[0].Agents, zones[0].Hash, zones[0].Name, zones[0].Version}).To(gomega.Equal([]any{1, ZoneHash("a"), "a", "1.2"}))
	g.Expect(output.String()).To(gomega.And(gomega.ContainSubstring("Availability zone evacuated."), gomega.ContainSubstring("zone=a"),
		gomega.ContainSubstring("Input ignored.")))

	object, err := memory.Get(context.Background(), testZonesPrefix+"a")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(memory.Delete(context.Background(), object.Key, object.Version)).To(gomega.Succeed())
	listFault = flaky.ResponseLost
	n.listZones()
	g.Expect(n.director.Agents.Evacuated(testAgentAddress(1))).To(gomega.BeTrue(), "a failed list")
	listFault = flaky.NoFault
	g.Expect(n.listZones()).To(gomega.BeTrue())
	g.Expect(n.director.Agents.Evacuated(testAgentAddress(1))).To(gomega.BeFalse())
	g.Expect(output.String()).To(gomega.ContainSubstring("Availability zone no longer evacuated."))
}

// Guards against more evacuated zones than a digest has room for, which would make it malformed.
func TestTooManyEvacuatedZonesAreCutInOrder(t *testing.T) {
	g := gomega.NewWithT(t)
	listFault := flaky.NoFault
	n, output, memory := newZoneNode(t, &listFault)
	for i := range 20 {
		putZone(t, memory, fmt.Sprintf("z%02d", 19-i), "{}")
	}
	n.listZones()
	n.listZones()
	state := n.director.Agents.Zones.State()
	for i := range 20 {
		g.Expect(state.Contains(uint64(flows.HashName(fmt.Sprintf("z%02d", i))))).To(gomega.Equal(i < 16), "z%02d", i)
	}
	g.Expect(strings.Count(output.String(), "Too many availability zones are evacuated.")).To(gomega.Equal(1))
	var digest flows.Digest
	g.Expect(digest.Decode(n.currentDigest().Append(nil))).To(gomega.BeTrue())
	g.Expect(digest.Zones).To(gomega.Equal(state))
}

// Guards against a watch of the configuration that delays the lists: while the operator changes the configuration often, no balancer
// would list evacuations.
func TestConfigurationWatchDelaysNoList(t *testing.T) {
	g := gomega.NewWithT(t)
	listFault := flaky.NoFault
	n, _, _ := newZoneNode(t, &listFault)
	n.recordConfigRead()
	_, due := n.readsDue(time.Now())
	g.Expect(due).To(gomega.BeTrue(), "nothing was listed yet")
	n.listZones()
	_, due = n.readsDue(time.Now())
	g.Expect(due).To(gomega.BeFalse())
	n.recordConfigRead()
	_, due = n.readsDue(time.Now().Add(maxZoneLag))
	g.Expect(due).To(gomega.BeTrue())
}

// Guards against agents that are not told of an evacuation, by the reader or in answer to a report.
func TestAgentsAreToldOfEvacuations(t *testing.T) {
	g := gomega.NewWithT(t)
	listFault := flaky.NoFault
	n, _, memory := newZoneNode(t, &listFault)
	agent, other := newTestNodePeer(t), newTestNodePeer(t)
	report := flows.Report{Slots: 2, State: flows.StateReady, Zone: flows.HashName("a")}
	now := time.Now()
	n.handleReport(now, report.Append(nil), flows.EndpointOf(agent.address()))
	n.listZones()
	putZone(t, memory, "a", "{}")
	n.listZones()
	g.Expect(agent.zones(g).Evacuated).To(gomega.BeTrue())
	n.handleReport(now, report.Append(nil), flows.EndpointOf(other.address()))
	g.Expect(other.zones(g)).To(gomega.Equal(flows.Zones{Evacuated: true, Version: store.Version{Era: 1, Revision: 1}}))
}

// testPeer is the socket of another process.
type testPeer struct{ conn *net.UDPConn }

func newTestNodePeer(t *testing.T) testPeer {
	t.Helper()
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return testPeer{conn: conn}
}

func (p testPeer) address() netip.AddrPort { return p.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// zones returns the Zones message that the process receives next.
func (p testPeer) zones(g *gomega.WithT) flows.Zones {
	buffer := make([]byte, 2048)
	g.Expect(p.conn.SetReadDeadline(time.Now().Add(time.Second))).To(gomega.Succeed())
	count, err := p.conn.Read(buffer)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(flows.KindOf(buffer[:count])).To(gomega.Equal(flows.KindZones))
	var zones flows.Zones
	g.Expect(zones.Decode(buffer[:count])).To(gomega.BeTrue())
	return zones
}
