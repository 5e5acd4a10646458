package stage

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

const eventualLimit = 20 * time.Second

// newFeeds opens short feeds one after the other and returns on which backend servers they landed.
func newFeeds(l *Stage, service string, count int) map[string]int {
	landed := map[string]int{}
	for range count {
		client := caller.NewClient(l.Services[service])
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		_ = client.Feed(ctx, func(backend string) {
			landed[backend]++
			cancel()
		}, func() {})
		cancel()
		client.Close()
	}
	return landed
}

var _ = ginkgo.Describe("drains", func() {
	ctx := context.Background()

	ginkgo.It("from all three causes take no new flow and cut nothing", func() {
		l := startStage("huber")
		load := startLoad(l, 42, 5, 2)
		pause(3 * time.Second)
		_, err := l.Patch(ctx, "drain", config.Drain{Member: "termine-1"})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(l.SetServerMood("termine-2", server.Mood{Draining: true, Slowdown: 1})).To(gomega.Succeed())
		gomega.Expect(l.Terminate("termine-3", 100*time.Millisecond)).To(gomega.BeFalse(), "ended with flows open")
		pause(4 * time.Second)
		landed := newFeeds(l, "termine", 40)
		for _, drained := range []string{"termine-1", "termine-2", "termine-3"} {
			gomega.Expect(landed).NotTo(gomega.HaveKey(drained))
		}
		_, err = l.Patch(ctx, "undrain", config.Undrain{Member: "termine-1"})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Eventually(func() map[string]int { return newFeeds(l, "termine", 30) }, eventualLimit).
			Should(gomega.HaveKey("termine-1"), func() string { return fmt.Sprint(standing(l, "termine-")) })
		expectWhole(load.end())
		gomega.Expect(l.find("termine-3").WaitEnd(eventualLimit)).To(gomega.BeTrue(), "did not end after its last flow")
	})

	ginkgo.It("with SIGTERM on an idle agent and a balancer end them soon", func() {
		l := startStage("huber")
		gomega.Expect(l.Terminate("termine-1", 10*time.Second)).To(gomega.BeTrue())
		gomega.Expect(l.Terminate("balancer-1", 10*time.Second)).To(gomega.BeTrue())
	})
})

var _ = ginkgo.Describe("configuration", func() {
	ctx := context.Background()

	ginkgo.It("is in force everywhere soon, though answers are lost and two operators race", func() {
		l := startStage("huber")
		gomega.Expect(l.SetPlatformMood(object.Mood{LoseAnswers: 1})).To(gomega.Succeed())
		result, err := l.Patch(ctx, "lost", config.Drain{Member: "termine-1"})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(result).To(gomega.Equal(config.Result{Repeated: true, Version: 2}))
		base := config.Patch{Base: 2, Operations: []config.Operation{config.Undrain{Member: "termine-1"}}}
		results := make(chan error, 2)
		for _, id := range []string{"one", "two"} {
			patch := base
			patch.ID = id
			go func() {
				_, err := config.Submit(ctx, l.platform, patch)
				results <- err
			}()
		}
		first, second := <-results, <-results
		gomega.Expect((first == nil) != (second == nil)).To(gomega.BeTrue(), "%v and %v", first, second)
		started := time.Now()
		gomega.Eventually(func() uint64 { return lowestVersion(l) }, eventualLimit, 50*time.Millisecond).
			Should(gomega.Equal(uint64(3)))
		ginkgo.GinkgoWriter.Printf("in force everywhere after %v\n", time.Since(started))
	})

	ginkgo.It("reaches everybody after a platform outage", func() {
		l := startStage("huber")
		gomega.Expect(l.SetPlatformMood(object.Mood{Down: true})).To(gomega.Succeed())
		pause(3 * time.Second)
		gomega.Expect(l.SetPlatformMood(object.Mood{})).To(gomega.Succeed())
		_, err := l.Patch(ctx, "after", config.Drain{Member: "termine-1"})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Eventually(func() uint64 { return lowestVersion(l) }, eventualLimit).Should(gomega.Equal(uint64(2)))
	})
})

var _ = ginkgo.Describe("membership", func() {
	ginkgo.It("calls nobody down who has just started", func() {
		l := startStage("huber")
		pause(8 * time.Second)
		for _, balancer := range l.Balancers {
			status, err := l.Status(context.Background(), balancer)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			for _, member := range status.Members {
				gomega.Expect(member.Incarnation).To(gomega.Equal(uint64(1)), "%+v", member)
			}
		}
	})

	ginkgo.It("takes a restarted agent back while the platform is down", func() {
		l := startStage("huber")
		gomega.Expect(l.SetPlatformMood(object.Mood{Down: true})).To(gomega.Succeed())
		l.Kill("termine-1")
		gomega.Expect(l.Restart("termine-1")).To(gomega.Succeed())
		gomega.Eventually(func() bool { return healthy(l.Backends[0].Metrics) }, eventualLimit).Should(gomega.BeTrue())
		gomega.Eventually(func() map[string]int { return newFeeds(l, "termine", 30) }, eventualLimit).
			Should(gomega.HaveKey("termine-1"), func() string { return fmt.Sprint(standing(l, "termine-")) })
	})

	ginkgo.It("notices a dead and a frozen agent, and takes both back", func() {
		l := startStage("huber")
		load := startLoad(l, 0, 5, 0)
		l.Pause("termine-1")
		l.Kill("termine-2")
		for _, name := range []string{"termine-1", "termine-2"} {
			gomega.Eventually(func() string { return memberState(l, l.Balancers[0], name) }, eventualLimit).
				Should(gomega.Equal("down"))
		}
		l.Resume("termine-1")
		gomega.Expect(l.Restart("termine-2")).To(gomega.Succeed())
		for _, name := range []string{"termine-1", "termine-2"} {
			gomega.Eventually(func() string { return memberState(l, l.Balancers[1], name) }, eventualLimit).
				Should(gomega.Equal("alive"))
		}
		report := load.end()
		gomega.Expect(report.Failures()).To(gomega.BeZero(), "%+v", report)
	})
})

var _ = ginkgo.Describe("new flows", func() {
	ginkgo.It("all open right after agents have died", func() {
		l := startStage("huber")
		l.Kill("termine-1")
		l.Kill("termine-2")
		landed := newFeeds(l, "termine", 40)
		total := 0
		for _, count := range landed {
			total += count
		}
		gomega.Expect(total).To(gomega.Equal(40), "%v", landed)
	})
})

var _ = ginkgo.Describe("bookings", func() {
	ginkgo.It("run at most once while agents and backend servers die", func() {
		l := startStage("huber")
		load := startLoad(l, 0, 40, 0)
		pause(2 * time.Second)
		l.Kill("termine-1")
		gomega.Expect(l.SetServerMood("termine-2", server.Mood{CutAfterRun: true, Slowdown: 1})).To(gomega.Succeed())
		gomega.Expect(l.SetServerMood("termine-3", server.Mood{Shed: true, Slowdown: 1})).To(gomega.Succeed())
		pause(3 * time.Second)
		gomega.Expect(l.Restart("termine-1")).To(gomega.Succeed())
		gomega.Expect(l.SetServerMood("termine-2", server.Mood{Slowdown: 1})).To(gomega.Succeed())
		gomega.Expect(l.SetServerMood("termine-3", server.Mood{Slowdown: 1})).To(gomega.Succeed())
		pause(3 * time.Second)
		report := load.end()
		gomega.Expect(report.Failures()).To(gomega.BeZero(), "%+v", report)
		gomega.Expect(report.BookingsRan).To(gomega.BeNumerically(">", report.BookingsAsked/2), "%+v", report)
	})

	ginkgo.It("with a ticket of one agent run once wherever the caller's later flows land", func() {
		l := startStage("huber")
		ctx := context.Background()
		first := caller.NewClient(l.Services["termine"])
		defer first.Close()
		text, err := first.Ticket(ctx)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		for range 10 {
			client := caller.NewClient(l.Services["termine"])
			answer, err := client.Do(ctx, http.MethodPost, "/bookings", text, "one")
			client.Close()
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(answer.Outcome).To(gomega.Equal(ticket.Ran.String()), "%+v", answer)
		}
		runs := 0
		for _, backend := range l.Servers() {
			runs += caller.CountRuns(backend, "one")
		}
		gomega.Expect(runs).To(gomega.Equal(1))
	})
})
