package tuple

import (
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/cyclamendock/cyclamendock/lib/store"
)

// deeplyNested is a JSON value that is nested more deeply than encoding/json reads.
var deeplyNested = strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)

// oddEntries are entries of another writer among those of the processes.
var oddEntries = []string{
	deeplyNested,
	`{"address":` + deeplyNested + `,"role":"agent"}`,
	`{"address":"127.92.2.200:99999999","role":"agent"}`,
	`{"address":"127.92.2.200:0","role":"agent"}`,
	`{"address":"[::1]:7700","role":"balancer"}`,
	`{"address":1e400,"role":"agent"}`,
	`{"era":1e400}`,
	`"\\"`,
}

// Guards against one odd entry of another writer with which processes end, hear of no member, or follow the configuration no longer.
func TestOddEntriesOfAnotherWriterChangeNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	c := startTestCluster(t, 92)
	flows := openFlows(g, c, "odd", 20)
	for i, entry := range oddEntries {
		for _, kind := range []string{"cyclamendock-members", "cyclamendock-flows", "config"} {
			c.Store.SetRaw(kind, fmt.Sprintf("another-%d", i), entry)
		}
	}
	ownName := store.AddressName(netip.AddrPortFrom(c.host(2, 1), internalPort))
	c.Store.SetRaw("cyclamendock-members", ownName, deeplyNested)
	c.Store.SetRaw("cyclamendock-flows", ownName, deeplyNested)
	announce := fmt.Sprintf("http://%s/v1/instances/i-0", netip.AddrPortFrom(c.host(2, 0), announcePort))
	putAnnouncement(g, announce, `{"address":"127.92.2.1:8165","born":9223372036854775807,"concurrency":7,"sequence":1,"service":"desk","state":"ready"}`,
		http.StatusBadRequest)

	for _, name := range []string{"balancer-1", "agent-1"} {
		c.Process(name).Signal(syscall.SIGKILL)
		g.Expect(c.Process(name).WaitExit(requestTimeout)).To(gomega.BeTrue())
		g.Expect(c.Restart(name)).To(gomega.Succeed())
	}
	c.SetConfig(2)
	deadline := time.Now().Add(maxConfigLag)
	for balancer := range c.config.Balancers {
		g.Eventually(func() int { return c.ConfigVersion(balancer) }, time.Until(deadline), pollInterval).Should(gomega.Equal(2), "balancer %d", balancer)
	}
	for i := range c.Backends {
		g.Eventually(func() []string { return agentStates(g, c, i) }, requestTimeout, shortWait).
			Should(gomega.Equal([]string{"ready", "ready", "ready"}), "agent %d", i)
	}
	for _, err := range getAll(flows, "odd-after", 3000) {
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	openFlows(g, c, "odd-new", 10)
	checkBackends(g, c)
	expectIgnored(g, c, "balancer-1", "member")
	expectIgnored(g, c, "agent-0", "announcement")
	g.Expect(c.Store.Spec("cyclamendock-members", ownName)).To(gomega.ContainSubstring(`"role":"agent"`))
	for _, process := range c.processes {
		g.Expect(process.WaitExit(0)).To(gomega.BeFalse(), "no process has ended")
	}
}
