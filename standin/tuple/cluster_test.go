package tuple

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/cyclamendock/cyclamendock/lib/seeded"
)

const requestTimeout = 5 * time.Second

func startTestCluster(t *testing.T, network byte) *Cluster {
	t.Helper()
	return startCluster(t, ClusterConfig{Agents: 4, Balancers: 3, Network: network})
}

// startCluster starts a cluster of the real programs until the end of the test.
func startCluster(t *testing.T, config ClusterConfig) *Cluster {
	t.Helper()
	program, err := filepath.Abs("../../bin/platform")
	if err != nil {
		t.Fatal(err)
	}
	config.ProgramPath, config.WorkDir = program, t.TempDir()
	c, err := NewCluster(config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Stop)
	return c
}

// openFlows opens count flows and sends one request on each.
func openFlows(g *gomega.WithT, c *Cluster, name string, count int) []*Flow {
	var flows []*Flow
	for i := range count {
		flow, err := c.Routers.Open(Route)
		g.Expect(err).NotTo(gomega.HaveOccurred(), "flow %d", i)
		g.Expect(flow.Get(fmt.Sprintf("%s-%d", name, i), 3000, requestTimeout)).To(gomega.Succeed())
		flows = append(flows, flow)
	}
	return flows
}

// getAll sends one request on every flow concurrently and returns the error of each.
func getAll(flows []*Flow, name string, size int) []error {
	errs := make([]error, len(flows))
	var group sync.WaitGroup
	for i, flow := range flows {
		group.Add(1)
		go func() {
			defer group.Done()
			errs[i] = flow.Get(fmt.Sprintf("%s-%d", name, i), size, requestTimeout)
		}()
	}
	group.Wait()
	return errs
}

// checkBackends checks that no packet was corrupted and that every request ran once.
func checkBackends(g *gomega.WithT, c *Cluster) {
	for _, backend := range c.Backends {
		_, corruptPackets := backend.Totals()
		g.Expect(corruptPackets).To(gomega.BeZero())
		backend.mu.Lock()
		for id, runs := range backend.Runs {
			g.Expect(runs).To(gomega.Equal(1), id)
		}
		backend.mu.Unlock()
	}
}

func TestFlowsSurviveBalancerCrashAndAgentRestarts(t *testing.T) {
	g := gomega.NewWithT(t)
	c := startTestCluster(t, 101)
	flows := openFlows(g, c, "open1", 20)
	c.Process("balancer-0").Signal(syscall.SIGKILL)
	c.Routers.Remove(c.Balancer(0))
	for _, err := range getAll(flows, "killed", 40_000) {
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	for i := range c.Backends {
		agent := c.Process(fmt.Sprintf("agent-%d", i))
		agent.Signal(syscall.SIGTERM)
		g.Expect(agent.WaitExit(requestTimeout)).To(gomega.BeTrue())
		g.Expect(agent.Start()).To(gomega.Succeed())
	}
	for _, err := range getAll(flows, "restarted", 3000) {
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	checkBackends(g, c)
}

func TestDrainingBackendServerKeepsFlowsAndGetsNoNewOnes(t *testing.T) {
	g := gomega.NewWithT(t)
	c := startTestCluster(t, 102)
	flows := openFlows(g, c, "open2", 20)
	drained := c.Backends[0]
	drained.Drain()
	time.Sleep(2 * announceInterval)
	before, _ := drained.Totals()
	openFlows(g, c, "open3", 12)
	after, _ := drained.Totals()
	g.Expect(after).To(gomega.Equal(before))
	for _, err := range getAll(flows, "drained", 3000) {
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	checkBackends(g, c)
}

func TestOnlyFlowsOfCrashedBackendServerAreReset(t *testing.T) {
	g := gomega.NewWithT(t)
	c := startTestCluster(t, 103)
	flows := openFlows(g, c, "open4", 20)
	crashed := c.Backends[0]
	lost := crashed.FlowCount()
	g.Expect(lost).To(gomega.BeNumerically(">", 0))
	g.Expect(c.Replace(0)).To(gomega.Succeed())
	resets := 0
	for _, err := range getAll(flows, "crashed", 3000) {
		if err == nil {
			continue
		}
		g.Expect(err).To(gomega.MatchError(ErrReset))
		resets++
	}
	g.Expect(resets).To(gomega.Equal(lost))
	openFlows(g, c, "open5", 10)
}

func TestFlowsAreServedWhileStoreIsDown(t *testing.T) {
	g := gomega.NewWithT(t)
	c := startTestCluster(t, 104)
	flows := openFlows(g, c, "open6", 10)
	c.Store.SetFault(StoreFault{Status: 503})
	balancer := c.Process("balancer-1")
	balancer.Signal(syscall.SIGKILL)
	g.Expect(balancer.WaitExit(requestTimeout)).To(gomega.BeTrue())
	g.Expect(balancer.Start()).To(gomega.Succeed()) // gets configuration and agents from the other balancers
	for _, err := range getAll(flows, "outage", 3000) {
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	g.Eventually(func() error { return c.waitReady() }, requestTimeout).Should(gomega.Succeed())
	openFlows(g, c, "open7", 10)
	checkBackends(g, c)
}

func TestProcessesServeMetricsAndSurviveSIGHUP(t *testing.T) {
	g := gomega.NewWithT(t)
	c := startTestCluster(t, 105)
	openFlows(g, c, "open", 5)
	for _, name := range []string{"balancer-0", "agent-0"} {
		c.Process(name).Signal(syscall.SIGHUP)
		g.Expect(c.Process(name).WaitExit(500*time.Millisecond)).To(gomega.BeFalse(), name)
		log := func() string {
			content, _ := os.ReadFile(filepath.Join(c.config.WorkDir, name+".log"))
			return string(content)
		}
		g.Eventually(log, requestTimeout).Should(gomega.ContainSubstring("Settings read again."))
	}
	served, err := c.Metrics("balancer-0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(served).To(gomega.ContainSubstring("cyclamendock_balancer_agents 4"))
	served, err = c.Metrics("agent-0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(served).To(gomega.ContainSubstring(`cyclamendock_agent_requests_total{ending="answered"}`))
	for i := range c.config.Agents {
		g.Eventually(func() (string, error) { return c.Metrics(fmt.Sprintf("agent-%d", i)) }, requestTimeout).
			Should(gomega.ContainSubstring("cyclamendock_agent_flows_limit 1960"), "balancers send the limits of the configuration")
	}
}

func TestBlockedLogOutputDoesNotDelayFlows(t *testing.T) {
	g := gomega.NewWithT(t)
	c := startTestCluster(t, 106)
	flows := openFlows(g, c, "before", 5)
	// Replace each log file with a full pipe from which nothing is read.
	for name := range c.processes {
		c.processes[name].Kill(exitTimeout)
	}
	for name, process := range c.processes {
		fifo := filepath.Join(c.config.WorkDir, name+".log")
		g.Expect(os.Remove(fifo)).To(gomega.Succeed())
		g.Expect(syscall.Mkfifo(fifo, 0o600)).To(gomega.Succeed())
		reader, err := os.OpenFile(fifo, os.O_RDWR, 0)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		defer reader.Close()
		fill(g, reader)
		g.Expect(process.Start()).To(gomega.Succeed())
	}
	g.Expect(c.waitReady()).To(gomega.Succeed())
	started := time.Now()
	for _, err := range getAll(flows, "stalled", 3000) {
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	openFlows(g, c, "after", 20)
	g.Expect(time.Since(started)).To(gomega.BeNumerically("<", requestTimeout))
}

// fill writes to a pipe until its buffer is full.
func fill(g *gomega.WithT, pipe *os.File) {
	raw, err := pipe.SyscallConn()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	block := make([]byte, 4096)
	g.Expect(raw.Control(func(fd uintptr) {
		_ = syscall.SetNonblock(int(fd), true)
		for {
			if _, err := syscall.Write(int(fd), block); err != nil {
				break
			}
		}
	})).To(gomega.Succeed())
}

func TestOperatorCommandsShowStatusTraceAndCheck(t *testing.T) {
	g := gomega.NewWithT(t)
	c := startTestCluster(t, 107)
	flow := openFlows(g, c, "open", 1)[0]
	store := fmt.Sprintf("127.107.0.1:%d", storePort)
	run := func(arguments ...string) (string, error) {
		output, err := exec.Command(c.config.ProgramPath, arguments...).CombinedOutput()
		return string(output), err
	}
	var status string
	countReady := func() int { // every agent at every balancer, once each backend server has announced itself
		var err error
		status, err = run("status", store)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		return strings.Count(status, " ready  ")
	}
	g.Eventually(countReady, requestTimeout).Should(gomega.Equal(12))
	g.Expect(strings.Count(status, "ready true, config 1")).To(gomega.Equal(3))
	trace, err := run("trace", store, flow.address.String(), Route.String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(strings.Count(trace, `route "r"`)).To(gomega.Equal(3))
	g.Expect(strings.Count(trace, "owner 127.107.2.")).To(gomega.Equal(1))
	checked, err := run("check", "agent", filepath.Join(c.config.WorkDir, "agent-0.json"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(checked).To(gomega.ContainSubstring("can be used"))
	refused, err := run("check", "balancer", filepath.Join(c.config.WorkDir, "agent-0.json"))
	g.Expect(err).To(gomega.HaveOccurred())
	g.Expect(refused).To(gomega.ContainSubstring("remove it or correct its spelling"))
	refused, err = run("trace", store, "nobody", Route.String())
	g.Expect(err).To(gomega.HaveOccurred())
	g.Expect(refused).To(gomega.ContainSubstring("give two addresses with ports"))
}

func TestSoakViolatesNoInvariant(t *testing.T) {
	g := gomega.NewWithT(t)
	program, err := filepath.Abs("../../bin/platform")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for _, seed := range []uint64{seeded.Seed(), seeded.Seed() + 1} {
		report, err := Soak(t.Context(), SoakConfig{
			Duration:    8 * time.Second,
			Network:     byte(108 + seed%2),
			ProgramPath: program,
			Seed:        seed,
			WorkDir:     t.TempDir(),
		})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(report.Violations).To(gomega.BeEmpty(), "seed %d: %v", seed, report.Faults)
		g.Expect(report.Served).To(gomega.BeNumerically(">", 0))
	}
}

func TestRestartedBalancerSyncsFromPeersAtOnceWhileStoreIsDown(t *testing.T) {
	g := gomega.NewWithT(t)
	c := startTestCluster(t, 118)
	openFlows(g, c, "open", 3)
	c.Store.SetFault(StoreFault{Status: 503})
	const restarts = 5
	var syncTime time.Duration
	for range restarts {
		balancer := c.Process("balancer-2")
		balancer.Kill(exitTimeout)
		g.Expect(balancer.Start()).To(gomega.Succeed())
		// A balancer serves metrics from its start, and reports ready once it has configuration and agents.
		g.Eventually(func() error { _, err := c.Metrics("balancer-2"); return err }, requestTimeout, 5*time.Millisecond).Should(gomega.Succeed())
		started := time.Now()
		g.Eventually(func() bool { return c.balancerReady(2) }, requestTimeout, 5*time.Millisecond).Should(gomega.BeTrue())
		syncTime += time.Since(started)
	}
	// Balancers synchronize once a second; waiting for that round took about a third of a second per restart.
	g.Expect(syncTime).To(gomega.BeNumerically("<", restarts*200*time.Millisecond))
}
