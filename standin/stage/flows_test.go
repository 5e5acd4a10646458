package stage

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
		ginkgo.It("survive a balancer's death and return in "+deployment, func() {
			l := startStage(deployment)
			load := startLoad(l, 40, 5, 5)
			pause(3 * time.Second)
			l.Kill("balancer-1")
			pause(4 * time.Second)
			gomega.Expect(l.Restart("balancer-1")).To(gomega.Succeed())
			pause(4 * time.Second)
			l.Kill("balancer-2")
			pause(4 * time.Second)
			expectWhole(load.end())
		})
	}

	ginkgo.It("survive a rolling restart of every balancer", func() {
		l := startStage("huber")
		load := startLoad(l, 40, 5, 5)
		pause(2 * time.Second)
		for _, balancer := range l.Balancers {
			gomega.Expect(l.Terminate(balancer.Name, 10*time.Second)).To(gomega.BeTrue())
			pause(time.Second)
			gomega.Expect(l.Restart(balancer.Name)).To(gomega.Succeed())
			pause(2 * time.Second)
		}
		expectWhole(load.end())
	})

	ginkgo.It("survive a key rotation together with a drain and a balancer's death", func() {
		l := startStage("huber")
		load := startLoad(l, 40, 5, 5)
		pause(2 * time.Second)
		_, err := l.Patch(ctx, "rotate",
			config.AddKey{Key: config.Key{Number: 2, Secret: secret(16)}},
			config.ActivateKey{Number: 2},
			config.Drain{Member: "termine-1"},
		)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		l.Kill("balancer-3")
		pause(13 * time.Second)
		report := load.end()
		expectWhole(report)
	})

	ginkgo.It("survive a balancer and an agent that freeze and wake", func() {
		l := startStage("huber")
		load := startLoad(l, 40, 5, 5)
		pause(2 * time.Second)
		l.Pause("balancer-2")
		l.Pause("termine-3")
		pause(8 * time.Second)
		l.Resume("balancer-2")
		l.Resume("termine-3")
		pause(6 * time.Second)
		expectWhole(load.end())
		for _, name := range []string{"balancer-2", "termine-3"} {
			gomega.Eventually(func() string { return memberState(l, l.Balancers[0], name) }, eventualLimit).
				Should(gomega.Equal("alive"))
		}
	})

	ginkgo.It("survive a platform outage with a balancer that joins meanwhile", func() {
		l := startStage("huber")
		load := startLoad(l, 40, 5, 5)
		pause(2 * time.Second)
		gomega.Expect(l.SetPlatformMood(object.Mood{Down: true})).To(gomega.Succeed())
		l.Kill("balancer-1")
		pause(time.Second)
		gomega.Expect(l.Restart("balancer-1")).To(gomega.Succeed())
		pause(5 * time.Second)
		l.Kill("balancer-2")
		l.Kill("balancer-3")
		pause(6 * time.Second)
		_, err := l.Patch(ctx, "during-outage", config.Drain{Member: "termine-1"})
		gomega.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("platform does not answer")))
		expectWhole(load.end())
	})
})
