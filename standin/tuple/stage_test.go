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

	"github.com/cyclamendock/cyclamendock/lib/proof"
)

const requestLimit = 5 * time.Second

func startTestStage(t *testing.T, network byte) *Stage {
	t.Helper()
	program, err := filepath.Abs("../../bin/platform")
	if err != nil {
		t.Fatal(err)
	}
	s, err := NewStage(StageConfig{Agents: 4, Balancers: 3, Dir: t.TempDir(), Network: network, Program: program})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Stop)
	return s
}

// openFlows opens flows and makes one request on each.
func openFlows(g *gomega.WithT, s *Stage, name string, count int) []*Flow {
	var flows []*Flow
	for i := range count {
		flow, err := s.Routers.Open(Route)
		g.Expect(err).NotTo(gomega.HaveOccurred(), "flow %d", i)
		g.Expect(flow.Get(fmt.Sprintf("%s-%d", name, i), 3000, requestLimit)).To(gomega.Succeed())
		flows = append(flows, flow)
	}
	return flows
}

// getAll makes a request on each flow at once and returns the errors.
func getAll(flows []*Flow, name string, size int) []error {
	errs := make([]error, len(flows))
	var wait sync.WaitGroup
	for i, flow := range flows {
		wait.Add(1)
		go func() {
			defer wait.Done()
			errs[i] = flow.Get(fmt.Sprintf("%s-%d", name, i), size, requestLimit)
		}()
	}
	wait.Wait()
	return errs
}

func checkBackends(g *gomega.WithT, s *Stage) {
	for _, backend := range s.Backends {
		_, wrong := backend.Totals()
		g.Expect(wrong).To(gomega.BeZero())
		backend.mu.Lock()
		for id, runs := range backend.Runs {
			g.Expect(runs).To(gomega.Equal(1), id)
		}
		backend.mu.Unlock()
	}
}

func TestFlowsSurviveADeadBalancerAndRestartedAgents(t *testing.T) {
	g := gomega.NewWithT(t)
	s := startTestStage(t, 101)
	flows := openFlows(g, s, "open1", 20)
	s.Process("balancer-0").Signal(syscall.SIGKILL)
	s.Routers.Remove(s.Balancer(0))
	for _, err := range getAll(flows, "killed", 40_000) {
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	for i := range s.Backends {
		agent := s.Process(fmt.Sprintf("agent-%d", i))
		agent.Signal(syscall.SIGTERM)
		g.Expect(agent.WaitEnd(requestLimit)).To(gomega.BeTrue())
		g.Expect(agent.Start()).To(gomega.Succeed())
	}
	for _, err := range getAll(flows, "restarted", 3000) {
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	checkBackends(g, s)
}

func TestDrainingServerKeepsItsFlowsAndGetsNoOther(t *testing.T) {
	g := gomega.NewWithT(t)
	s := startTestStage(t, 102)
	flows := openFlows(g, s, "open2", 20)
	drained := s.Backends[0]
	drained.Drain()
	time.Sleep(2 * announceInterval)
	runs, _ := drained.Totals()
	openFlows(g, s, "open3", 12)
	after, _ := drained.Totals()
	g.Expect(after).To(gomega.Equal(runs))
	for _, err := range getAll(flows, "drained", 3000) {
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	checkBackends(g, s)
}

func TestFlowsOfACrashedServerAreResetAndTheOthersLive(t *testing.T) {
	g := gomega.NewWithT(t)
	s := startTestStage(t, 103)
	flows := openFlows(g, s, "open4", 20)
	crashed := s.Backends[0]
	lost := crashed.Flows()
	g.Expect(lost).To(gomega.BeNumerically(">", 0))
	g.Expect(s.Replace(0)).To(gomega.Succeed())
	resets := 0
	for _, err := range getAll(flows, "crashed", 3000) {
		if err == nil {
			continue
		}
		g.Expect(err).To(gomega.MatchError(ErrReset))
		resets++
	}
	g.Expect(resets).To(gomega.Equal(lost))
	openFlows(g, s, "open5", 10)
}

func TestFlowsAreCarriedWhileTheStoreIsDown(t *testing.T) {
	g := gomega.NewWithT(t)
	s := startTestStage(t, 104)
	flows := openFlows(g, s, "open6", 10)
	s.Objects.SetMood(Mood{Status: 503})
	balancer := s.Process("balancer-1")
	balancer.Signal(syscall.SIGKILL)
	g.Expect(balancer.WaitEnd(requestLimit)).To(gomega.BeTrue())
	g.Expect(balancer.Start()).To(gomega.Succeed()) // learns configuration and agents from the others
	for _, err := range getAll(flows, "outage", 3000) {
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	g.Eventually(func() error { return s.waitReady() }, requestLimit).Should(gomega.Succeed())
	openFlows(g, s, "open7", 10)
	checkBackends(g, s)
}

func TestProcessesServeMetricsAndOutliveAHangup(t *testing.T) {
	g := gomega.NewWithT(t)
	s := startTestStage(t, 105)
	openFlows(g, s, "open", 5)
	for _, name := range []string{"balancer-0", "agent-0"} {
		s.Process(name).Signal(syscall.SIGHUP)
		g.Expect(s.Process(name).WaitEnd(500*time.Millisecond)).To(gomega.BeFalse(), name)
		log := func() string {
			content, _ := os.ReadFile(filepath.Join(s.config.Dir, name+".log"))
			return string(content)
		}
		g.Eventually(log, requestLimit).Should(gomega.ContainSubstring("Settings read again."))
	}
	served, err := s.Metrics("balancer-0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(served).To(gomega.ContainSubstring("cyclamendock_balancer_agents 4"))
	served, err = s.Metrics("agent-0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(served).To(gomega.ContainSubstring(`cyclamendock_agent_requests_total{ending="answered"}`))
}

func TestStalledOutputDelaysNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	s := startTestStage(t, 106)
	flows := openFlows(g, s, "before", 5)
	// A pipe that nobody reads takes the place of each log.
	for name := range s.processes {
		s.processes[name].Kill(endLimit)
	}
	for name, process := range s.processes {
		fifo := filepath.Join(s.config.Dir, name+".log")
		g.Expect(os.Remove(fifo)).To(gomega.Succeed())
		g.Expect(syscall.Mkfifo(fifo, 0o600)).To(gomega.Succeed())
		reader, err := os.OpenFile(fifo, os.O_RDWR, 0)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		defer reader.Close()
		fill(g, reader)
		g.Expect(process.Start()).To(gomega.Succeed())
	}
	g.Expect(s.waitReady()).To(gomega.Succeed())
	started := time.Now()
	for _, err := range getAll(flows, "stalled", 3000) {
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	openFlows(g, s, "after", 20)
	g.Expect(time.Since(started)).To(gomega.BeNumerically("<", requestLimit))
}

// fill writes to a pipe until it takes no more.
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

func TestOperatorSeesStatusAndTracesAFlow(t *testing.T) {
	g := gomega.NewWithT(t)
	s := startTestStage(t, 107)
	flow := openFlows(g, s, "open", 1)[0]
	store := fmt.Sprintf("127.107.0.1:%d", storePort)
	run := func(arguments ...string) (string, error) {
		output, err := exec.Command(s.config.Program, arguments...).CombinedOutput()
		return string(output), err
	}
	status, err := run("status", store)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(strings.Count(status, "ready true, config 1")).To(gomega.Equal(3))
	g.Expect(strings.Count(status, " ready  ")).To(gomega.Equal(12))
	trace, err := run("trace", store, flow.address.String(), Route.String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(strings.Count(trace, `route "r"`)).To(gomega.Equal(3))
	g.Expect(strings.Count(trace, "owner 127.107.2.")).To(gomega.Equal(1))
	checked, err := run("check", "agent", filepath.Join(s.config.Dir, "agent-0.json"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(checked).To(gomega.ContainSubstring("can be used"))
	refused, err := run("check", "balancer", filepath.Join(s.config.Dir, "agent-0.json"))
	g.Expect(err).To(gomega.HaveOccurred())
	g.Expect(refused).To(gomega.ContainSubstring("remove it or correct its spelling"))
	refused, err = run("trace", store, "nobody", Route.String())
	g.Expect(err).To(gomega.HaveOccurred())
	g.Expect(refused).To(gomega.ContainSubstring("give two addresses with ports"))
}

func TestSoakBreaksNoPromise(t *testing.T) {
	g := gomega.NewWithT(t)
	program, err := filepath.Abs("../../bin/platform")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for _, seed := range []uint64{proof.Seed(), proof.Seed() + 1} {
		report, err := Soak(t.Context(), SoakConfig{
			Dir:      t.TempDir(),
			Duration: 8 * time.Second,
			Network:  byte(108 + seed%2),
			Program:  program,
			Seed:     seed,
		})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(report.Violations).To(gomega.BeEmpty(), "seed %d: %v", seed, report.Disturbances)
		g.Expect(report.Served).To(gomega.BeNumerically(">", 0))
	}
}

func TestBalancerLearnsFromTheOthersAtOnceWhileTheStoreIsDown(t *testing.T) {
	g := gomega.NewWithT(t)
	s := startTestStage(t, 118)
	openFlows(g, s, "open", 3)
	s.Objects.SetMood(Mood{Status: 503})
	const restarts = 5
	var learning time.Duration
	for range restarts {
		balancer := s.Process("balancer-2")
		balancer.Kill(endLimit)
		g.Expect(balancer.Start()).To(gomega.Succeed())
		// Its metrics are served from its start on, and it is ready once it has configuration and agents.
		g.Eventually(func() error { _, err := s.Metrics("balancer-2"); return err }, requestLimit, 5*time.Millisecond).Should(gomega.Succeed())
		started := time.Now()
		g.Eventually(func() bool { return s.ready(2) }, requestLimit, 5*time.Millisecond).Should(gomega.BeTrue())
		learning += time.Since(started)
	}
	// Balancers compare what they know once a second; waiting for that took about a third of it each time.
	g.Expect(learning).To(gomega.BeNumerically("<", restarts*200*time.Millisecond))
}
