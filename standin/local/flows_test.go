package local

import (
	"context"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/cyclamendock/cyclamendock/lib/config"
	"github.com/cyclamendock/cyclamendock/standin/object"
)

var _ = ginkgo.Describe("established flows", func() {
	ctx := context.Background()

	for _, deployment := range []string{"huber", "barfani"} {
		ginkgo.It("survive a balancer's crash and restart in "+deployment, func() {
			cluster := startCluster(deployment)
			load := startLoad(cluster, 40, 5, 5)
			sleep(3 * time.Second)
			cluster.Kill("balancer-1")
			sleep(4 * time.Second)
			gomega.Expect(cluster.Restart("balancer-1")).To(gomega.Succeed())
			sleep(4 * time.Second)
			cluster.Kill("balancer-2")
			sleep(4 * time.Second)
			expectNoFailures(load.stop())
		})
	}

	ginkgo.It("survive a rolling restart of every balancer", func() {
		cluster := startCluster("huber")
		load := startLoad(cluster, 40, 5, 5)
		sleep(2 * time.Second)
		for _, balancer := range cluster.Balancers {
			gomega.Expect(cluster.Terminate(balancer.Name, 10*time.Second)).To(gomega.BeTrue())
			sleep(time.Second)
			gomega.Expect(cluster.Restart(balancer.Name)).To(gomega.Succeed())
			sleep(2 * time.Second)
		}
		expectNoFailures(load.stop())
	})

	ginkgo.It("survive a key rotation combined with a drain and a balancer's crash", func() {
		cluster := startCluster("huber")
		load := startLoad(cluster, 40, 5, 5)
		sleep(2 * time.Second)
		_, err := cluster.Patch(ctx, "rotate",
			config.AddKey{Key: config.Key{Number: 2, Secret: randomSecret(16)}},
			config.ActivateKey{Number: 2},
			config.Drain{Member: "termine-1"},
		)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		cluster.Kill("balancer-3")
		sleep(13 * time.Second)
		report := load.stop()
		expectNoFailures(report)
	})

	ginkgo.It("survive the suspension and resumption of a balancer and an agent", func() {
		cluster := startCluster("huber")
		load := startLoad(cluster, 40, 5, 5)
		sleep(2 * time.Second)
		cluster.Suspend("balancer-2")
		cluster.Suspend("termine-3")
		sleep(8 * time.Second)
		cluster.Resume("balancer-2")
		cluster.Resume("termine-3")
		sleep(6 * time.Second)
		expectNoFailures(load.stop())
		for _, name := range []string{"balancer-2", "termine-3"} {
			gomega.Eventually(func() string { return memberState(cluster, cluster.Balancers[0], name) }, eventuallyTimeout).
				Should(gomega.Equal("alive"))
		}
	})

	ginkgo.It("survive a platform outage during which a balancer joins", func() {
		cluster := startCluster("huber")
		load := startLoad(cluster, 40, 5, 5)
		sleep(2 * time.Second)
		gomega.Expect(cluster.SetPlatformFaults(object.Faults{Down: true})).To(gomega.Succeed())
		cluster.Kill("balancer-1")
		sleep(time.Second)
		gomega.Expect(cluster.Restart("balancer-1")).To(gomega.Succeed())
		sleep(5 * time.Second)
		cluster.Kill("balancer-2")
		cluster.Kill("balancer-3")
		sleep(6 * time.Second)
		_, err := cluster.Patch(ctx, "during-outage", config.Drain{Member: "termine-1"})
		gomega.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("platform does not answer")))
		expectNoFailures(load.stop())
	})
})
