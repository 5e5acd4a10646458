package tuple

import (
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/cyclamendock/cyclamendock/lib/store"
)

// Guards against an agent that is silent for a while, such as one that is cut off: its entry was deleted, and balancers that started
// meanwhile reset its open flows.
func TestFlowsOfAgentThatWasSilentSurviveRestartOfAllBalancers(t *testing.T) {
	g := gomega.NewWithT(t)
	c := startCluster(t, ClusterConfig{Agents: 4, Balancers: 3, LostAfter: 500 * time.Millisecond, Network: 120})
	entry := func() string {
		return c.Store.Spec("cyclamendock-members", store.AddressName(netip.AddrPortFrom(c.host(2, 0), internalPort)))
	}
	g.Eventually(func() []string { return agentStates(g, c, 0) }, requestTimeout, shortWait).
		Should(gomega.Equal([]string{"ready", "ready", "ready"}))
	flows := openFlows(g, c, "silent", 24)
	g.Expect(c.Backend(0).FlowCount()).To(gomega.BeNumerically(">", 0))
	c.Process("agent-0").Signal(syscall.SIGSTOP)
	g.Eventually(func() string {
		_, _ = c.Routers.Open(Route) // keeps the service in use; it does not open at the silent agent
		return entry()
	}, 10*time.Second, pollInterval).Should(gomega.ContainSubstring("markedForRemoval"))
	restartBalancers(g, c)
	c.Process("agent-0").Signal(syscall.SIGCONT)
	g.Eventually(entry, maxReturnTime, pollInterval).Should(gomega.SatisfyAll(gomega.Not(gomega.BeEmpty()), gomega.Not(gomega.ContainSubstring("markedForRemoval"))))
	time.Sleep(maxHelloWait)
	for _, err := range getAll(flows, "silent-again", 3000) {
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	checkBackends(g, c)
}
