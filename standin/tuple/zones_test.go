package tuple

import (
	"fmt"
	"net/netip"
	"os/exec"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// maxZoneLag is the setting zoneDeadline of the clusters in these tests.
const maxZoneLag = 5 * time.Second

// evacuated and otherZone are availability zones of a cluster: those of agents 0 and 3, and of agent 1.
const (
	evacuated = "zone-0"
	otherZone = "zone-1"
)

// expectGauge waits until a metric of a process has the given value.
func expectGauge(g *gomega.WithT, c *Cluster, process, line string, within time.Duration) {
	g.Eventually(func() (string, error) { return c.Metrics(process) }, within, pollInterval).
		Should(gomega.MatchRegexp(`(?m)^%s$`, line), process)
}

// openedIn returns the number of flows that the backend servers beside agents 0 and 3 hold.
func openedIn(c *Cluster) int { return c.Backend(0).FlowCount() + c.Backend(3).FlowCount() }

// sumMetric returns the sum of a counter over all balancers.
func sumMetric(g *gomega.WithT, c *Cluster, name string) int {
	pattern := regexp.MustCompile(regexp.QuoteMeta(name) + ` (\d+)`)
	total := 0
	for i := range c.config.Balancers {
		page, err := c.Metrics(fmt.Sprintf("balancer-%d", i))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		if match := pattern.FindStringSubmatch(page); match != nil {
			count, err := strconv.Atoi(match[1])
			g.Expect(err).NotTo(gomega.HaveOccurred())
			total += count
		}
	}
	return total
}

// Guards against new flows on an evacuated zone, against open flows there that are reset or not served, and against a zone that stays
// empty after the entry was removed.
func TestEvacuatedZoneGetsNoNewFlowsAndServesOpenOnes(t *testing.T) {
	g := gomega.NewWithT(t)
	c := startCluster(t, ClusterConfig{Agents: 4, Balancers: 3, Network: 141, ZoneDeadline: maxZoneLag})
	flows := openFlows(g, c, "zoned", 24)
	g.Expect(openedIn(c)).To(gomega.BeNumerically(">", 0))
	c.Store.SetRaw("evacuations", otherZone, `[]`) // malformed
	c.Store.Set("evacuations", evacuated, map[string]any{})
	deadline := time.Now().Add(maxZoneLag)
	for i := range c.config.Balancers {
		expectGauge(g, c, fmt.Sprintf("balancer-%d", i), "cyclamendock_balancer_zones_emptied 1", time.Until(deadline))
	}
	for i, want := range []int{1, 0, 0, 1} {
		expectGauge(g, c, fmt.Sprintf("agent-%d", i), fmt.Sprintf("cyclamendock_agent_zone_emptied %d", want), time.Until(deadline))
	}
	before := openedIn(c)
	openFlows(g, c, "elsewhere", 30)
	g.Expect(openedIn(c)).To(gomega.Equal(before))
	for _, err := range getAll(flows, "zoned-open", 3000) {
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	status, err := exec.Command(c.config.ProgramPath, "status", netip.AddrPortFrom(c.host(0, 0), storePort).String()).CombinedOutput()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(strings.Count(string(status), "availability zone "+evacuated+" is evacuated")).To(gomega.Equal(3), string(status))
	g.Expect(sumMetric(g, c, `cyclamendock_inputs_ignored_total{input="object"}`)).To(gomega.BeNumerically(">", 0), "the reader has seen the malformed entry")

	for _, name := range []string{"agent-0", "balancer-1"} { // both learn of it from others
		c.Store.SetFault(StoreFault{Status: 503})
		c.Process(name).Signal(syscall.SIGKILL)
		g.Expect(c.Process(name).WaitExit(requestTimeout)).To(gomega.BeTrue())
		g.Expect(c.Restart(name)).To(gomega.Succeed())
		time.Sleep(2 * announceInterval)
	}
	expectGauge(g, c, "agent-0", "cyclamendock_agent_zone_emptied 1", requestTimeout)
	expectGauge(g, c, "balancer-1", "cyclamendock_balancer_zones_emptied 1", requestTimeout)
	openFlows(g, c, "restarted", 20)
	g.Expect(openedIn(c)).To(gomega.Equal(before))
	for _, err := range getAll(flows, "zoned-restarted", 3000) {
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}

	c.Store.SetFault(StoreFault{})
	c.Store.Remove("evacuations", evacuated)
	deadline = time.Now().Add(maxZoneLag)
	for _, agent := range []string{"agent-0", "agent-3"} {
		expectGauge(g, c, agent, "cyclamendock_agent_zone_emptied 0", time.Until(deadline))
	}
	openFlows(g, c, "returned", 40)
	g.Expect(openedIn(c)).To(gomega.BeNumerically(">", before))
	checkBackends(g, c)
}

// Guards against callers that wait for a service whose backend servers are all in evacuated zones.
func TestFlowsAreResetAtOnceWhenAllZonesAreEvacuated(t *testing.T) {
	g := gomega.NewWithT(t)
	c := startCluster(t, ClusterConfig{Agents: 4, Balancers: 3, Network: 142, ZoneDeadline: maxZoneLag})
	flows := openFlows(g, c, "all", 8)
	for i := range 3 {
		c.Store.Set("evacuations", fmt.Sprintf("zone-%d", i), map[string]any{})
	}
	for i := range c.Backends {
		expectGauge(g, c, fmt.Sprintf("agent-%d", i), "cyclamendock_agent_zone_emptied 1", maxZoneLag)
	}
	const openings = 10
	for range openings {
		started := time.Now()
		_, err := c.Routers.Open(Route)
		g.Expect(err).To(gomega.MatchError(ErrNotOpened))
		g.Expect(time.Since(started)).To(gomega.BeNumerically("<", 500*time.Millisecond), "callers give up by themselves after 1.4 s")
	}
	g.Expect(sumMetric(g, c, `cyclamendock_balancer_packets_not_carried_total{reason="zoneEmptied"}`)).To(gomega.BeNumerically(">=", openings))
	for _, err := range getAll(flows, "all-open", 3000) {
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	checkBackends(g, c)
}

// Guards against lists of evacuations on deployments that have none, and by each balancer on those that have them.
func TestEvacuationsAreListedByOneBalancerOrNever(t *testing.T) {
	g := gomega.NewWithT(t)
	c := startTestCluster(t, 143)
	c.Store.Set("evacuations", evacuated, map[string]any{})
	time.Sleep(maxConfigLag)
	g.Expect(c.Store.ListCount("evacuations")).To(gomega.BeZero())
	before := openedIn(c)
	openFlows(g, c, "ignored", 30)
	g.Expect(openedIn(c)).To(gomega.BeNumerically(">", before))
	c.Stop()

	c = startCluster(t, ClusterConfig{Agents: 4, Balancers: 3, Network: 144, ZoneDeadline: maxZoneLag})
	time.Sleep(2 * maxConfigLag) // until the first reader is found
	lists := c.Store.ListCount("evacuations")
	const listInterval = 1800 * time.Millisecond // configDeadline is shorter than zoneDeadline and is its default
	time.Sleep(4 * listInterval)
	g.Expect(c.Store.ListCount("evacuations") - lists).To(gomega.BeNumerically("~", 4, 2))
}
