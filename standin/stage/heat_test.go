package stage

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/cyclamendock/cyclamendock/standin/server"
)

var _ = ginkgo.Describe("heat", func() {
	ginkgo.It("turns new flows away from a slowed backend server and brings them back", func() {
		l := startStage("huber")
		load := startLoad(l, 70, 40, 0)
		pause(20 * time.Second)
		gomega.Expect(l.SetServerMood("termine-1", server.Mood{Slowdown: 5})).To(gomega.Succeed())
		pause(10 * time.Second)
		const flows = 70
		fair := float64(flows) / 7
		slowed := newFeeds(l, "termine", flows)
		gomega.Expect(float64(slowed["termine-1"])).To(gomega.BeNumerically("<=", 1.2*fair/5), "%v", slowed)
		gomega.Expect(l.SetServerMood("termine-1", server.Mood{Slowdown: 1})).To(gomega.Succeed())
		gomega.Eventually(func() int { return newFeeds(l, "termine", 30)["termine-1"] }, 2*eventualLimit).
			Should(gomega.BeNumerically(">", 0))
		expectWhole(load.end())
	})
})
