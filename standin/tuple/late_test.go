package tuple

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

const (
	// lateBy is longer than a process waits for the store's answer, and within what the store's page allows.
	lateBy = 2500 * time.Millisecond
	// reportsEnd is longer than agents go on reporting to a balancer that has gone silent.
	reportsEnd = 2200 * time.Millisecond
)

// restartBalancers kills all balancers and starts them again once no agent reports to them any more.
func restartBalancers(g *gomega.WithT, c *Cluster) {
	for i := range c.config.Balancers {
		c.Process(fmt.Sprintf("balancer-%d", i)).Signal(syscall.SIGKILL)
	}
	time.Sleep(reportsEnd)
	for i := range c.config.Balancers {
		name := fmt.Sprintf("balancer-%d", i)
		g.Expect(c.Process(name).WaitExit(requestTimeout)).To(gomega.BeTrue())
		g.Expect(c.Restart(name)).To(gomega.Succeed())
	}
	g.Expect(c.waitReady()).To(gomega.Succeed())
}

// Guards against a delete that the store executes late: it removed the entry of an agent that had joined again, and balancers that
// started later reset the agent's open flows.
func TestLateDeleteDoesNotMakeNewBalancersResetFlows(t *testing.T) {
	g := gomega.NewWithT(t)
	c := startTestCluster(t, 121)
	c.Store.SetFault(StoreFault{LateBy: lateBy, LateMethod: http.MethodDelete, LateWrites: 1})
	c.Backend(0).Crash()
	removeBackend(g, c, 0)
	// The agent deletes its entry only while no process listens at the backend server's address.
	g.Eventually(func() int { return c.Store.currentFault().LateWrites }, requestTimeout, time.Millisecond).Should(gomega.BeZero())
	g.Expect(c.Replace(0)).To(gomega.Succeed())
	g.Eventually(func() int { return c.Store.Counts().LateWrites }, 2*lateBy, pollInterval).Should(gomega.Equal(1))
	g.Eventually(func() []string { return agentStates(g, c, 0) }, requestTimeout, shortWait).
		Should(gomega.Equal([]string{"ready", "ready", "ready"}))
	flows := openFlows(g, c, "late-delete", 24)
	g.Expect(c.Backend(0).FlowCount()).To(gomega.BeNumerically(">", 0))
	restartBalancers(g, c)
	for _, err := range getAll(flows, "late-delete-restarted", 3000) {
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	checkBackends(g, c)
	g.Expect(c.Members()).To(gomega.HaveLen(len(c.processes)))
}
