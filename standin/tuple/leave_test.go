package tuple

import (
	"net/netip"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// shortWait is far below the time after which balancers notice a silent agent, so that a state seen within it came from
// the agent's own message.
const shortWait = 100 * time.Millisecond

// maxHelloWait is longer than the longest interval between two hellos of a balancer to a silent agent.
const maxHelloWait = 2500 * time.Millisecond

// agentStates returns the state of agent i at each balancer, as printed by the operators' status command.
func agentStates(g *gomega.WithT, c *Cluster, i int) []string {
	output, err := exec.Command(c.config.ProgramPath, "status", netip.AddrPortFrom(c.host(0, 0), storePort).String()).CombinedOutput()
	g.Expect(err).NotTo(gomega.HaveOccurred(), string(output))
	var states []string
	for _, line := range strings.Split(string(output), "\n") {
		fields := strings.Fields(line)
		if len(fields) > 1 && fields[0] == netip.AddrPortFrom(c.host(2, i), internalPort).String() {
			states = append(states, fields[1])
		}
	}
	return states
}

// removeBackend tells agent i that its backend server has been removed permanently.
func removeBackend(g *gomega.WithT, c *Cluster, i int) {
	g.Expect(c.Backend(i).Leave()).To(gomega.Succeed())
}

func TestStoppedAgentIsMarkedUnknownAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	c := startTestCluster(t, 98)
	g.Expect(agentStates(g, c, 0)).To(gomega.Equal([]string{"ready", "ready", "ready"}))
	agent := c.Process("agent-0")
	agent.Signal(syscall.SIGTERM)
	g.Expect(agent.WaitExit(requestTimeout)).To(gomega.BeTrue())
	g.Eventually(func() []string { return agentStates(g, c, 0) }, shortWait, shortWait/10).
		Should(gomega.Equal([]string{"unknown", "unknown", "unknown"}))
	g.Expect(c.Members()).To(gomega.HaveLen(7), "a stopped agent stays a member, since it may restart")
}

func TestAgentWithoutBackendServerLeavesMembersWhenStopped(t *testing.T) {
	g := gomega.NewWithT(t)
	c := startTestCluster(t, 99)
	flows := openFlows(g, c, "open", 10)
	c.Backend(0).Crash()
	removeBackend(g, c, 0)
	agent := c.Process("agent-0")
	agent.Signal(syscall.SIGTERM)
	g.Expect(agent.WaitExit(requestTimeout)).To(gomega.BeTrue())
	g.Expect(c.Members()).To(gomega.HaveLen(6))
	for _, err := range getAll(flows, "after", 3000) {
		if err != nil {
			g.Expect(err).To(gomega.MatchError(ErrReset), "flows of the removed backend server are reset")
		}
	}
}

func TestRestartedAgentJoinsOnceBackendServerAnnouncesItself(t *testing.T) {
	g := gomega.NewWithT(t)
	c := startTestCluster(t, 97)
	c.Backend(0).Crash()
	removeBackend(g, c, 0)
	agent := c.Process("agent-0")
	agent.Signal(syscall.SIGTERM)
	g.Expect(agent.WaitExit(requestTimeout)).To(gomega.BeTrue())
	g.Expect(c.Restart("agent-0")).To(gomega.Succeed())
	g.Consistently(func() []string { return agentStates(g, c, 0) }, 5*shortWait, shortWait).Should(gomega.BeEmpty())
	g.Expect(c.Members()).To(gomega.HaveLen(6))
	g.Expect(c.Replace(0)).To(gomega.Succeed())
	g.Eventually(func() []string { return agentStates(g, c, 0) }, requestTimeout, shortWait).
		Should(gomega.Equal([]string{"ready", "ready", "ready"}))
	g.Expect(c.Members()).To(gomega.HaveLen(7))
	openFlows(g, c, "open", 20)
	checkBackends(g, c)
}

func TestRunningAgentLeavesMembersOnceBackendServerIsRemoved(t *testing.T) {
	g := gomega.NewWithT(t)
	c := startTestCluster(t, 95)
	c.Backend(0).Crash()
	removeBackend(g, c, 0)
	g.Eventually(c.Members, requestTimeout, shortWait).Should(gomega.HaveLen(6))
	openFlows(g, c, "open", 20) // balancers that forward packets must not ask the agent to join again
	g.Consistently(c.Members, 5*shortWait, shortWait).Should(gomega.HaveLen(6))
	g.Expect(c.Replace(0)).To(gomega.Succeed())
	g.Eventually(c.Members, requestTimeout, shortWait).Should(gomega.HaveLen(7))
	g.Eventually(func() []string { return agentStates(g, c, 0) }, requestTimeout, shortWait).
		Should(gomega.Equal([]string{"ready", "ready", "ready"}))
}

func TestAgentOfCrashedBackendServerLeavesMembersWhenStopped(t *testing.T) {
	g := gomega.NewWithT(t)
	c := startTestCluster(t, 94)
	flows := openFlows(g, c, "open", 20)
	c.Backend(0).Crash()
	time.Sleep(2 * announceInterval)
	getAll(flows, "crashed", 3000) // some requests reach the closed port
	g.Eventually(func() []string { return agentStates(g, c, 0) }, requestTimeout, shortWait).
		Should(gomega.Equal([]string{"gone", "gone", "gone"}))
	agent := c.Process("agent-0")
	agent.Signal(syscall.SIGTERM)
	g.Expect(agent.WaitExit(requestTimeout)).To(gomega.BeTrue())
	g.Expect(c.Members()).To(gomega.HaveLen(6))
	g.Eventually(func() []string { return agentStates(g, c, 0) }, shortWait, shortWait/10).Should(gomega.BeEmpty())
	openFlows(g, c, "after", 20)
}

// A host comes back while the store is away, without its backend server, and is lost again.
func TestAgentSaysThatItsBackendServerHasEndedWhileStoreIsSilent(t *testing.T) {
	g := gomega.NewWithT(t)
	c := startTestCluster(t, 93)
	openFlows(g, c, "open", 20) // the balancers ask the agents of a service in use for reports
	kill := func() {
		agent := c.Process("agent-0")
		agent.Signal(syscall.SIGKILL)
		g.Expect(agent.WaitExit(requestTimeout)).To(gomega.BeTrue())
	}
	c.Backend(0).Crash()
	kill()
	c.Store.SetFault(StoreFault{Silent: true})
	g.Expect(c.Restart("agent-0")).To(gomega.Succeed())
	time.Sleep(maxHelloWait)
	kill()
	c.Store.SetFault(StoreFault{})
	g.Expect(agentStates(g, c, 0)).To(gomega.Equal([]string{"gone", "gone", "gone"}))
}

// Guards against a leave of an earlier process with the same ID that arrives late, since it carries no start time: the agent removed its
// entry while the later process served flows, at once or when it was stopped.
func TestLateLeaveOfEarlierProcessKeepsAgentAmongMembers(t *testing.T) {
	g := gomega.NewWithT(t)
	c := startTestCluster(t, 91)
	members := c.Members()
	g.Expect(c.Replace(0)).To(gomega.Succeed())
	g.Eventually(func() []string { return agentStates(g, c, 0) }, requestTimeout, shortWait).
		Should(gomega.Equal([]string{"ready", "ready", "ready"}))
	flows := openFlows(g, c, "open", 20)
	g.Expect(c.Backend(0).FlowCount()).To(gomega.BeNumerically(">", 0))
	removeBackend(g, c, 0)
	g.Consistently(c.Members, 4*announceInterval, shortWait/10).Should(gomega.Equal(members))
	g.Expect(agentStates(g, c, 0)).To(gomega.Equal([]string{"ready", "ready", "ready"}))
	removeBackend(g, c, 0)
	agent := c.Process("agent-0")
	agent.Signal(syscall.SIGTERM)
	g.Expect(agent.WaitExit(requestTimeout)).To(gomega.BeTrue())
	g.Expect(c.Members()).To(gomega.Equal(members))
	g.Expect(agent.Start()).To(gomega.Succeed())
	for _, err := range getAll(flows, "after", 3000) {
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	checkBackends(g, c)
}
