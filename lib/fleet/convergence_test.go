package fleet

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cyclamendock/cyclamendock/lib/flaky"
	"github.com/cyclamendock/cyclamendock/lib/store"
)

const (
	// convergenceTime is the time within which all replicas agree after a start or after the end of all faults.
	convergenceTime = 25 * time.Second
	// detectionTime is the time within which a crashed host is marked down or a started one is known everywhere.
	detectionTime = 12 * time.Second
)

// invariantChecker checks after every step that no replica resurrects a member in an incarnation that was down,
// and that no lease outlives its duration.
type invariantChecker struct {
	cluster          *cluster
	downIncarnations map[string]uint64 // greatest incarnation seen as down, by replica and member
	fatalf           func(string, ...any)
}

func newInvariantChecker(c *cluster, fatalf func(string, ...any)) *invariantChecker {
	return &invariantChecker{cluster: c, downIncarnations: map[string]uint64{}, fatalf: fatalf}
}

func (checker *invariantChecker) check() {
	for _, h := range checker.cluster.runningBalancers() {
		self := h.lease.Self()
		if violation := h.replica.CheckInvariants(); violation != "" {
			checker.fatalf("%s: %s", self.Name, violation)
		}
		for _, entry := range h.replica.All(checker.cluster.now) {
			checker.checkRecord(fmt.Sprintf("%s/%d", self.Name, self.BootID), entry.Record)
		}
	}
	for name, h := range checker.cluster.hosts {
		if h.running() && h.lease.Valid(checker.cluster.now) && checker.cluster.now.Sub(h.lease.renewedAt) >= LeaseDuration {
			checker.fatalf("%s has a valid lease that was not renewed in time", name)
		}
	}
}

func (checker *invariantChecker) checkRecord(replica string, record Record) {
	key := replica + "/" + record.Name
	if record.State == StateDown {
		checker.downIncarnations[key] = max(checker.downIncarnations[key], record.Incarnation)
	} else if record.Incarnation <= checker.downIncarnations[key] {
		checker.fatalf("%s shows %s as live in incarnation %d, which was down before", replica, record.Name, record.Incarnation)
	}
}

// checkConverged fails unless every running balancer's live members are exactly the running hosts, and every running
// agent has a valid lease.
func checkConverged(c *cluster, fatalf func(string, ...any)) {
	for _, b := range c.runningBalancers() {
		for name, h := range c.hosts {
			record, known := b.replica.Find(name)
			live := known && record.State != StateDown
			if live != h.running() {
				fatalf("%s shows %s as live: %v, but it is running: %v (%+v)", b.lease.Self().Name, name, live, h.running(), record)
			}
		}
	}
	for name, h := range c.hosts {
		if h.running() && h.replica == nil && !h.lease.Valid(c.now) {
			fatalf("%s is running but has no valid lease", name)
		}
	}
}

func convergedCluster(seed uint64, fatalf func(string, ...any)) (*cluster, *invariantChecker) {
	c := newCluster(seed, 5, 9)
	checker := newInvariantChecker(c, fatalf)
	c.advance(convergenceTime, checker.check)
	checkConverged(c, fatalf)
	return c, checker
}

func TestCrashedHostsAreDownOnEveryReplicaInTime(t *testing.T) {
	c, checker := convergedCluster(1, t.Fatalf)
	c.hosts["agent-1"].alive = false
	c.hosts["balancer-2"].alive = false
	c.advance(detectionTime, checker.check)
	checkConverged(c, t.Fatalf)
}

func TestRestartedHostGetsANewIncarnation(t *testing.T) {
	c, checker := convergedCluster(1, t.Fatalf)
	before := c.hosts["agent-1"].lease.Self().Incarnation
	c.hosts["agent-1"].alive = false
	c.advance(detectionTime, checker.check)
	c.start("agent-1", RoleAgent, "zone-1")
	c.advance(detectionTime, checker.check)
	checkConverged(c, t.Fatalf)
	if after := c.hosts["agent-1"].lease.Self().Incarnation; after <= before {
		t.Fatalf("incarnation %d after the restart is not greater than %d before it", after, before)
	}
}

func TestResumedAgentHasNoLeaseUntilAMonitorReplies(t *testing.T) {
	c, checker := convergedCluster(1, t.Fatalf)
	agent := c.hosts["agent-3"]
	agent.paused = true
	c.advance(detectionTime, checker.check)
	agent.paused = false
	if agent.lease.Valid(c.now) {
		t.Fatal("the agent has a valid lease right after it has resumed")
	}
	c.advance(detectionTime, checker.check)
	checkConverged(c, t.Fatalf)
}

func TestResumedMonitorMarksNoRunningHostDown(t *testing.T) {
	c, checker := convergedCluster(1, t.Fatalf)
	c.hosts["balancer-1"].paused = true
	c.advance(time.Minute, checker.check)
	c.hosts["balancer-1"].paused = false
	for range 100 {
		c.advance(clusterStep, checker.check)
		for name, h := range c.hosts {
			record, _ := c.hosts["balancer-0"].replica.Find(name)
			if h.running() && record.State == StateDown && name != "balancer-1" {
				t.Fatalf("%s is running but was marked down", name)
			}
		}
	}
	c.advance(convergenceTime, checker.check)
	checkConverged(c, t.Fatalf)
}

func TestPartitionedZoneIsMarkedDownByTheOtherTwo(t *testing.T) {
	c, checker := convergedCluster(1, t.Fatalf)
	c.partitioned["zone-1"] = true
	c.advance(30*time.Second, checker.check)
	for _, name := range []string{"balancer-0", "balancer-2"} {
		record, _ := c.hosts[name].replica.Find("agent-1")
		if record.State != StateDown {
			t.Fatalf("%s still shows agent-1 of the partitioned zone as live", name)
		}
	}
	c.partitioned["zone-1"] = false
	c.advance(convergenceTime, checker.check)
	checkConverged(c, t.Fatalf)
}

func TestMembershipWorksDuringAPlatformOutage(t *testing.T) {
	c, checker := convergedCluster(1, t.Fatalf)
	c.platform = flaky.New(store.NewMemory(), func(string) flaky.Fault { return flaky.RequestLost })
	c.hosts["agent-2"].alive = false
	c.hosts["balancer-3"].alive = false
	c.advance(detectionTime, checker.check)
	checkConverged(c, t.Fatalf)
	c.start("agent-2", RoleAgent, "zone-2")
	c.advance(detectionTime, checker.check)
	checkConverged(c, t.Fatalf)
}

func TestReplicasConvergeAfterRandomFaultsWithoutResurrection(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(rapid.Uint64().Draw(t, "seed"), 4, 5)
		checker := newInvariantChecker(c, t.Fatalf)
		c.platform = flaky.New(c.platform, func(string) flaky.Fault {
			return flaky.Fault(c.random.IntN(40) % 4)
		})
		c.loss = 0.05
		c.advance(10*time.Second, checker.check)
		for range rapid.IntRange(1, 6).Draw(t, "faults") {
			injectFault(t, c)
			c.advance(time.Duration(rapid.IntRange(1, 12).Draw(t, "span"))*time.Second, checker.check)
		}
		endFaults(c)
		c.advance(3*convergenceTime, checker.check)
		checkConverged(c, t.Fatalf)
	})
}

func injectFault(t *rapid.T, c *cluster) {
	name := rapid.SampledFrom(c.names()).Draw(t, "host")
	h := c.hosts[name]
	switch rapid.IntRange(0, 3).Draw(t, "fault") {
	case 0:
		h.alive = false
	case 1:
		h.paused = !h.paused
	case 2:
		c.start(name, h.lease.Self().Role, h.lease.Self().Zone)
	case 3:
		zone := h.lease.Self().Zone
		c.partitioned[zone] = !c.partitioned[zone]
	}
}

// endFaults ends partitions, pauses and message loss, and makes sure that balancers run in two zones, since the votes of
// one zone can't mark members down. Crashed hosts stay down.
func endFaults(c *cluster) {
	c.partitioned = map[string]bool{}
	c.loss = 0
	for _, h := range c.hosts {
		h.paused = false
	}
	for i := range 2 {
		zone := fmt.Sprintf("zone-%d", i)
		if !c.hasBalancerIn(zone) {
			c.start(fmt.Sprintf("balancer-%d", i), RoleBalancer, zone)
		}
	}
}

func (c *cluster) hasBalancerIn(zone string) bool {
	for _, b := range c.runningBalancers() {
		if b.lease.Self().Zone == zone {
			return true
		}
	}
	return false
}

func TestSingleZoneSuspectsSilentMembersButMarksNoneDown(t *testing.T) {
	c := newCluster(1, 4, 9)
	checker := newInvariantChecker(c, t.Fatalf)
	c.advance(convergenceTime, checker.check)
	c.hosts["balancer-2"].alive = false
	c.advance(convergenceTime, checker.check)
	checkConverged(c, t.Fatalf)
	c.hosts["balancer-1"].alive = false
	c.hosts["agent-1"].alive = false
	c.advance(time.Minute, checker.check)
	suspected := false
	for _, b := range c.runningBalancers() {
		record, _ := b.replica.Find("agent-1")
		if record.State == StateDown {
			t.Fatalf("%s marked agent-1 down with votes of one zone only", b.lease.Self().Name)
		}
		suspected = suspected || b.monitor.Suspects(c.now)["agent-1"]
	}
	if !suspected {
		t.Fatal("no monitor suspects agent-1")
	}
}

// An agent that crashes before its first heartbeat is not marked down for firstHeartbeatGrace. Until then new flows should
// prefer others.
func TestMemberThatCrashesBeforeItsFirstHeartbeatIsSuspected(t *testing.T) {
	c, _ := convergedCluster(1, t.Fatalf)
	c.start("agent-new", RoleAgent, "zone-0")
	c.hosts["agent-new"].alive = false
	for _, b := range c.runningBalancers() {
		b.replica.Merge(c.now, []AgedRecord{{Record: c.hosts["agent-new"].lease.Self()}})
	}
	c.advance(suspectTimeout+HeartbeatInterval, nil)
	suspected := false
	for _, b := range c.runningBalancers() {
		suspected = suspected || b.monitor.Suspects(c.now)["agent-new"]
	}
	if !suspected {
		t.Fatal("no monitor suspects agent-new")
	}
}

func TestResumedMonitorCastsNoVote(t *testing.T) {
	c, _ := convergedCluster(1, t.Fatalf)
	monitor := c.hosts["balancer-1"].monitor
	votes, down := monitor.Tick(c.now.Add(time.Minute))
	if len(votes) > 0 || len(down) > 0 {
		t.Fatalf("a monitor that has just resumed cast %d votes", len(votes))
	}
}

// propagationLimit is the required maximum time until a configuration is in force at every reachable process.
const propagationLimit = 6 * time.Second

func TestConfigurationPropagatesInTimeDespiteMessageLoss(t *testing.T) {
	for seed := range uint64(5) {
		c := newCluster(seed+1, 40, 60)
		c.advance(convergenceTime, nil)
		c.loss = 0.05
		c.hosts["agent-7"].paused = true
		c.hosts["balancer-9"].alive = false
		c.applyVersion(c.hosts["balancer-0"], 1)
		c.advance(propagationLimit, nil)
		if lagging := c.lagging(1); len(lagging) > 0 {
			t.Fatalf("seed %d: %v have an older configuration", seed+1, lagging)
		}
	}
}
