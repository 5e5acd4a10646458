package local

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/cyclamendock/cyclamendock/lib/config"
	"github.com/cyclamendock/cyclamendock/lib/ticket"
	"github.com/cyclamendock/cyclamendock/standin/caller"
	"github.com/cyclamendock/cyclamendock/standin/object"
	"github.com/cyclamendock/cyclamendock/standin/server"
)

const eventuallyTimeout = 20 * time.Second

// openFeeds opens feeds one after the other, closes each once it is open, and counts them by backend server.
func openFeeds(cluster *Cluster, service string, count int) map[string]int {
	feedsByBackend := map[string]int{}
	for range count {
		client := caller.NewClient(cluster.ServiceAddresses[service])
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		_ = client.Feed(ctx, func(backend string) {
			feedsByBackend[backend]++
			cancel()
		}, func() {})
		cancel()
		client.Close()
	}
	return feedsByBackend
}

var _ = ginkgo.Describe("drains", func() {
	ctx := context.Background()

	ginkgo.It("of all three causes stop new flows and break no open flow", func() {
		cluster := startCluster("huber")
		load := startLoad(cluster, 42, 5, 2)
		sleep(3 * time.Second)
		_, err := cluster.Patch(ctx, "drain", config.Drain{Member: "termine-1"})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(cluster.SetServerFaults("termine-2", server.Faults{Draining: true, Slowdown: 1})).To(gomega.Succeed())
		gomega.Expect(cluster.Terminate("termine-3", 100*time.Millisecond)).To(gomega.BeFalse(), "termine-3 exited with open flows")
		sleep(4 * time.Second)
		feedsByBackend := openFeeds(cluster, "termine", 40)
		for _, drained := range []string{"termine-1", "termine-2", "termine-3"} {
			gomega.Expect(feedsByBackend).NotTo(gomega.HaveKey(drained))
		}
		_, err = cluster.Patch(ctx, "undrain", config.Undrain{Member: "termine-1"})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Eventually(func() map[string]int { return openFeeds(cluster, "termine", 30) }, eventuallyTimeout).
			Should(gomega.HaveKey("termine-1"), func() string { return fmt.Sprint(describeMembers(cluster, "termine-")) })
		expectNoFailures(load.stop())
		gomega.Expect(cluster.process("termine-3").WaitExit(eventuallyTimeout)).
			To(gomega.BeTrue(), "termine-3 did not exit after its last flow")
	})

	ginkgo.It("by SIGTERM of an idle agent and a balancer finish within ten seconds", func() {
		cluster := startCluster("huber")
		gomega.Expect(cluster.Terminate("termine-1", 10*time.Second)).To(gomega.BeTrue())
		gomega.Expect(cluster.Terminate("balancer-1", 10*time.Second)).To(gomega.BeTrue())
	})
})

var _ = ginkgo.Describe("configuration", func() {
	ctx := context.Background()

	ginkgo.It("reaches every member despite a lost response and two competing operators", func() {
		cluster := startCluster("huber")
		gomega.Expect(cluster.SetPlatformFaults(object.Faults{LoseAnswers: 1})).To(gomega.Succeed())
		result, err := cluster.Patch(ctx, "lost", config.Drain{Member: "termine-1"})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(result).To(gomega.Equal(config.Result{Repeated: true, Version: 2}))
		base := config.Patch{Base: 2, Operations: []config.Operation{config.Undrain{Member: "termine-1"}}}
		results := make(chan error, 2)
		for _, id := range []string{"one", "two"} {
			patch := base
			patch.ID = id
			go func() {
				_, err := config.Submit(ctx, cluster.objects, patch)
				results <- err
			}()
		}
		first, second := <-results, <-results
		gomega.Expect((first == nil) != (second == nil)).To(gomega.BeTrue(), "%v and %v", first, second)
		startedAt := time.Now()
		gomega.Eventually(func() uint64 { return lowestConfigVersion(cluster) }, eventuallyTimeout, 50*time.Millisecond).
			Should(gomega.Equal(uint64(3)))
		ginkgo.GinkgoWriter.Printf("every member has the new version after %v\n", time.Since(startedAt))
	})

	ginkgo.It("reaches every member after a platform outage", func() {
		cluster := startCluster("huber")
		gomega.Expect(cluster.SetPlatformFaults(object.Faults{Down: true})).To(gomega.Succeed())
		sleep(3 * time.Second)
		gomega.Expect(cluster.SetPlatformFaults(object.Faults{})).To(gomega.Succeed())
		_, err := cluster.Patch(ctx, "after", config.Drain{Member: "termine-1"})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Eventually(func() uint64 { return lowestConfigVersion(cluster) }, eventuallyTimeout).Should(gomega.Equal(uint64(2)))
	})
})

var _ = ginkgo.Describe("membership", func() {
	ginkgo.It("does not report freshly started members as down", func() {
		cluster := startCluster("huber")
		sleep(8 * time.Second)
		for _, balancer := range cluster.Balancers {
			status, err := cluster.Status(context.Background(), balancer)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			for _, member := range status.Members {
				gomega.Expect(member.Incarnation).To(gomega.Equal(uint64(1)), "%+v", member)
			}
		}
	})

	ginkgo.It("readmits a restarted agent while the platform is down", func() {
		cluster := startCluster("huber")
		gomega.Expect(cluster.SetPlatformFaults(object.Faults{Down: true})).To(gomega.Succeed())
		cluster.Kill("termine-1")
		gomega.Expect(cluster.Restart("termine-1")).To(gomega.Succeed())
		gomega.Eventually(func() bool { return isHealthy(cluster.Backends[0].MetricsAddress) }, eventuallyTimeout).Should(gomega.BeTrue())
		gomega.Eventually(func() map[string]int { return openFeeds(cluster, "termine", 30) }, eventuallyTimeout).
			Should(gomega.HaveKey("termine-1"), func() string { return fmt.Sprint(describeMembers(cluster, "termine-")) })
	})

	ginkgo.It("detects a crashed and a suspended agent and readmits both", func() {
		cluster := startCluster("huber")
		load := startLoad(cluster, 0, 5, 0)
		cluster.Suspend("termine-1")
		cluster.Kill("termine-2")
		for _, name := range []string{"termine-1", "termine-2"} {
			gomega.Eventually(func() string { return memberState(cluster, cluster.Balancers[0], name) }, eventuallyTimeout).
				Should(gomega.Equal("down"))
		}
		cluster.Resume("termine-1")
		gomega.Expect(cluster.Restart("termine-2")).To(gomega.Succeed())
		for _, name := range []string{"termine-1", "termine-2"} {
			gomega.Eventually(func() string { return memberState(cluster, cluster.Balancers[1], name) }, eventuallyTimeout).
				Should(gomega.Equal("alive"))
		}
		report := load.stop()
		gomega.Expect(report.Failures()).To(gomega.BeZero(), "%+v", report)
	})
})

var _ = ginkgo.Describe("new flows", func() {
	ginkgo.It("all open right after agents have crashed", func() {
		cluster := startCluster("huber")
		cluster.Kill("termine-1")
		cluster.Kill("termine-2")
		feedsByBackend := openFeeds(cluster, "termine", 40)
		total := 0
		for _, count := range feedsByBackend {
			total += count
		}
		gomega.Expect(total).To(gomega.Equal(40), "%v", feedsByBackend)
	})
})

var _ = ginkgo.Describe("bookings", func() {
	ginkgo.It("run at most once while agents crash and backend servers cut connections", func() {
		cluster := startCluster("huber")
		load := startLoad(cluster, 0, 40, 0)
		sleep(2 * time.Second)
		cluster.Kill("termine-1")
		gomega.Expect(cluster.SetServerFaults("termine-2", server.Faults{CutAfterRun: true, Slowdown: 1})).To(gomega.Succeed())
		gomega.Expect(cluster.SetServerFaults("termine-3", server.Faults{Shed: true, Slowdown: 1})).To(gomega.Succeed())
		sleep(3 * time.Second)
		gomega.Expect(cluster.Restart("termine-1")).To(gomega.Succeed())
		gomega.Expect(cluster.SetServerFaults("termine-2", server.Faults{Slowdown: 1})).To(gomega.Succeed())
		gomega.Expect(cluster.SetServerFaults("termine-3", server.Faults{Slowdown: 1})).To(gomega.Succeed())
		sleep(3 * time.Second)
		report := load.stop()
		gomega.Expect(report.Failures()).To(gomega.BeZero(), "%+v", report)
		gomega.Expect(report.BookingsRan).To(gomega.BeNumerically(">", report.BookingsRequested/2), "%+v", report)
	})

	ginkgo.It("with one agent's ticket run once whichever agents the caller's later flows reach", func() {
		cluster := startCluster("huber")
		ctx := context.Background()
		first := caller.NewClient(cluster.ServiceAddresses["termine"])
		defer first.Close()
		text, err := first.Ticket(ctx)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		for range 10 {
			client := caller.NewClient(cluster.ServiceAddresses["termine"])
			answer, err := client.Do(ctx, http.MethodPost, "/bookings", text, "one")
			client.Close()
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(answer.Outcome).To(gomega.Equal(ticket.Ran.String()), "%+v", answer)
		}
		runs := 0
		for _, backend := range cluster.Servers() {
			runs += caller.CountRuns(backend, "one")
		}
		gomega.Expect(runs).To(gomega.Equal(1))
	})
})
