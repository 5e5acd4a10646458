package tuple

import (
	"fmt"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/cyclamendock/cyclamendock/lib/store"
)

const (
	// maxConfigLag is the default of the setting configDeadline.
	maxConfigLag = 3 * time.Second
	// maxReturnTime is how soon after the store's return everything that lives is to be found there again.
	maxReturnTime = 3 * time.Second
	pollInterval  = 50 * time.Millisecond
)

// restoreAfterOutage takes the store away for a while and brings it back with the content of a backup.
func restoreAfterOutage(c *Cluster, backup Backup) {
	c.Store.SetFault(StoreFault{Status: 503})
	time.Sleep(500 * time.Millisecond)
	c.Store.Restore(backup)
	c.Store.SetFault(StoreFault{})
}

// The operator's changes after the store has come back from an older copy are in force in time, and cost few calls.
func TestChangeAfterTheStoreIsRestoredIsInForceInTime(t *testing.T) {
	g := gomega.NewWithT(t)
	c := startTestCluster(t, 127)
	backup := c.Store.Backup()
	for version := 2; version < 40; version++ {
		c.SetConfig(version)
	}
	g.Eventually(func() int { return c.ConfigVersion(0) }, maxConfigLag, pollInterval).Should(gomega.Equal(39))
	restoreAfterOutage(c, backup)
	c.SetConfig(39)
	time.Sleep(maxConfigLag)
	before := c.Store.Counts()
	c.SetConfig(40)
	deadline := time.Now().Add(maxConfigLag)
	for balancer := range c.config.Balancers {
		g.Eventually(func() int { return c.ConfigVersion(balancer) }, time.Until(deadline), pollInterval).Should(gomega.Equal(40), "balancer %d", balancer)
	}
	g.Expect(c.Store.Counts().Lists - before.Lists).To(gomega.BeNumerically("<=", c.config.Balancers))
}

// Balancers and agents that joined after the copy was made are found in the store again, and so are their snapshots.
func TestMembersAndSnapshotsReturnAfterTheStoreIsRestored(t *testing.T) {
	g := gomega.NewWithT(t)
	c := startTestCluster(t, 125)
	openFlows(g, c, "restored", 20)
	snapshots := func() []string { return c.Store.Names("cyclamendock-flows") }
	g.Eventually(snapshots, 5*time.Second, pollInterval).Should(gomega.HaveLen(len(c.Backends)))
	wantMembers, wantSnapshots := c.Members(), snapshots()
	g.Expect(wantMembers).To(gomega.HaveLen(len(c.processes)))
	restoreAfterOutage(c, NewObjectStore().Backup())
	c.SetConfig(1)
	flows := openFlows(g, c, "restored-later", 3)
	g.Eventually(c.Members, maxReturnTime, pollInterval).Should(gomega.Equal(wantMembers))
	g.Eventually(snapshots, 2*maxReturnTime, pollInterval).Should(gomega.Equal(wantSnapshots))
	for _, err := range getAll(flows, "restored-last", 3000) {
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
}

// restartAllWithoutEntries kills all processes, restores a store in which none of them has an entry, calls beforeStart, and
// starts the processes again.
func restartAllWithoutEntries(g *gomega.WithT, c *Cluster, beforeStart func()) {
	for _, process := range c.processes {
		process.Signal(syscall.SIGKILL)
		g.Expect(process.WaitExit(requestTimeout)).To(gomega.BeTrue())
	}
	restoreAfterOutage(c, NewObjectStore().Backup())
	c.SetConfig(1)
	beforeStart()
	for name := range c.processes {
		g.Expect(c.Restart(name)).To(gomega.Succeed())
	}
}

// An agent whose entry was lost with the store's latest changes restarts, and so do all balancers; its flows live on.
func TestFlowsOfRestartedAgentWhoseEntryWasLostAreNotReset(t *testing.T) {
	g := gomega.NewWithT(t)
	c := startTestCluster(t, 126)
	flows := openFlows(g, c, "unlisted", 20)
	restartAllWithoutEntries(g, c, func() {})
	for _, err := range getAll(flows, "unlisted-restarted", 3000) {
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	checkBackends(g, c)
}

// A restarted agent without an entry registers at once while a backend server runs, since that may hold flows.
func TestRestartedAgentWithoutEntryDoesNotDisownTheFlowsOfItsBackendServer(t *testing.T) {
	g := gomega.NewWithT(t)
	c := startTestCluster(t, 123)
	flows := openFlows(g, c, "disowned", 20)
	restartAllWithoutEntries(g, c, func() {
		for _, backend := range c.Backends {
			backend.StopAnnouncing()
		}
	})
	for _, err := range getAll(flows, "disowned-restarted", 3000) {
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	checkBackends(g, c)
}

// Balancers that start after the store has lost entries take no list for complete until agents have had time to register.
func TestFlowsAreNotResetWhileAgentsRegisterAfterTheStoreIsRestored(t *testing.T) {
	g := gomega.NewWithT(t)
	c := startTestCluster(t, 122)
	flows := openFlows(g, c, "late-entries", 20)
	restartAllWithoutEntries(g, c, func() {
		for i := range c.Backends {
			proxy := c.proxies[fmt.Sprintf("agent-%d", i)]
			proxy.SetFault(FaultReset)
			time.AfterFunc(time.Second, func() { proxy.SetFault(FaultNone) })
		}
	})
	for _, err := range getAll(flows, "late-entries-restarted", 3000) {
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	checkBackends(g, c)
}

// Guards against an agent that makes no call to the store for a while: its entry was lost, all balancers restarted, nobody told it of
// the new era, and balancers reset its open flows.
func TestFlowsOfQuietAgentWhoseEntryWasLostSurviveRestartOfAllBalancers(t *testing.T) {
	g := gomega.NewWithT(t)
	c := startTestCluster(t, 90)
	flows := openFlows(g, c, "quiet", 20)
	g.Expect(c.Backend(0).FlowCount()).To(gomega.BeNumerically(">", 0))
	time.Sleep(5 * time.Second) // all snapshots are stored
	backup := c.Store.Backup()
	delete(backup.objects, "cyclamendock-members/"+store.AddressName(netip.AddrPortFrom(c.host(2, 0), internalPort)))
	c.Store.Restore(backup)
	restartBalancers(g, c)
	time.Sleep(2 * maxReturnTime) // the list counts as complete
	for _, err := range getAll(flows, "quiet-restarted", 3000) {
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	checkBackends(g, c)
	g.Expect(c.Members()).To(gomega.HaveLen(len(c.processes)))
}
