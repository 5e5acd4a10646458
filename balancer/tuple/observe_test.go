package tuple

import (
	"bytes"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/cyclamendock/cyclamendock/lib/flows"
	"github.com/cyclamendock/cyclamendock/lib/logs"
	"github.com/cyclamendock/cyclamendock/lib/netio"
	"github.com/cyclamendock/cyclamendock/lib/stats"
	"github.com/cyclamendock/cyclamendock/lib/trust"
)

// newTestNode returns a node on loopback that does not run, and its log.
func newTestNode(t *testing.T) (*Node, *bytes.Buffer) {
	t.Helper()
	var output bytes.Buffer
	log := logs.New(logs.Config{Format: "logfmt", Level: "info", Writer: &output}, "balancer")
	server := stats.NewServer(stats.Config{})
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	n, err := New(Config{
		Address: loopback,
		Front:   loopback,
		Ignored: netio.NewIgnoredInputs(log, server),
		Log:     log,
		Stats:   server,
		Trust:   trust.NewAllowlist(nil),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		n.stop()
		n.front.Close()
		n.socket.Close()
		n.server.Close()
	})
	return n, &output
}

func testAgentAddress(i int) flows.Endpoint {
	return flows.Endpoint{IP: [4]byte{10, 2, byte(i / 200), byte(i % 200)}, Port: 7000}
}

// A balancer that starts among the agents of the target size writes one line about them, and afterwards each change.
func TestStartAmongManyAgentsIsLoggedOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	n, output := newTestNode(t)
	now := time.Now()
	const agents = 2800
	for i := range agents {
		n.handleReport(now, flows.Report{Slots: 2, State: flows.StateReady}.Append(nil), testAgentAddress(i))
	}
	n.logNewAgents()
	g.Expect(strings.Count(output.String(), "\n")).To(gomega.Equal(1))
	g.Expect(output.String()).To(gomega.And(gomega.ContainSubstring("New agents."), gomega.ContainSubstring("ready=2800")))
	output.Reset()
	n.logNewAgents()
	g.Expect(output.String()).To(gomega.BeEmpty())
	n.handleReport(now, flows.Report{Slots: 2, State: flows.StateDraining}.Append(nil), testAgentAddress(7))
	g.Expect(output.String()).To(gomega.And(gomega.ContainSubstring("Agent changed."), gomega.ContainSubstring("state=draining")))
}

// However many agents change at once, a reset is logged with what the balancer could use at that moment.
func TestResetIsLoggedWithAvailabilityWhileManyAgentsChange(t *testing.T) {
	g := gomega.NewWithT(t)
	n, output := newTestNode(t)
	now := time.Now()
	address := flows.Endpoint{IP: [4]byte{198, 18, 0, 1}, Port: 443}
	service := flows.HashName("termine")
	n.director.SetRoutes(now, flows.Routes{Version: 1, ByAddress: map[flows.Endpoint]flows.Route{
		address: {Address: address, Shares: []flows.Share{{Service: service, Weight: 1}}},
	}})
	for _, state := range []flows.State{flows.StateReady, flows.StateDraining} {
		for i := range 2800 {
			n.handleReport(now, flows.Report{Service: service, Slots: 2, State: state}.Append(nil), testAgentAddress(i))
		}
	}
	verdict := flows.Verdict{Action: flows.ActReset, Flow: flows.Flow{Service: address}, Reason: flows.ReasonNoAgent, RequestID: "abc"}
	n.logNotForwarded(now, &verdict)
	g.Expect(strings.Count(output.String(), "Agent changed.")).To(gomega.Equal(agentLogsPerSecond))
	lines := strings.Split(strings.TrimSpace(output.String()), "\n")
	g.Expect(lines[len(lines)-1]).To(gomega.And(
		gomega.ContainSubstring("reason=noAgent"),
		gomega.ContainSubstring("request=abc"),
		gomega.ContainSubstring("agents=2800"),
		gomega.ContainSubstring("ready=0"),
	))
}
