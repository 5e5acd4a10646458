package stage

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/cyclamendock/cyclamendock/standin/server"
)

// standing returns what each agent of a service last said of itself, as the first balancer knows it.
func standing(l *Stage, prefix string) []string {
	ginkgo.GinkgoHelper()
	status, err := l.Status(context.Background(), l.Balancers[0])
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	var lines []string
	for _, member := range status.Members {
		if strings.HasPrefix(member.Name, prefix) {
			lines = append(lines, fmt.Sprintf("%s %s flows %d load %d speed %d silent %d ms",
				member.Name, member.State, member.Flows, member.Load, member.Speed, member.SilentMS))
		}
	}
	return lines
}

var _ = ginkgo.Describe("heat", func() {
	ginkgo.It("turns new flows away from a slowed backend server and brings them back", func() {
		l := startStage("huber")
		load := startLoad(l, 70, 40, 0)
		pause(20 * time.Second)
		gomega.Expect(l.SetServerMood("termine-1", server.Mood{Slowdown: 5})).To(gomega.Succeed())
		pause(10 * time.Second)
		const flows = 70
		fair := float64(flows) / 7
		before := standing(l, "termine-")
		slowed := newFeeds(l, "termine", flows)
		gomega.Expect(float64(slowed["termine-1"])).To(gomega.BeNumerically("<=", 1.2*fair/5),
			"new flows %v\nbefore %v\nafter  %v", slowed, before, standing(l, "termine-"))
		gomega.Expect(l.SetServerMood("termine-1", server.Mood{Slowdown: 1})).To(gomega.Succeed())
		gomega.Eventually(func() int { return newFeeds(l, "termine", 30)["termine-1"] }, 2*eventualLimit).
			Should(gomega.BeNumerically(">", 0))
		expectWhole(load.end())
	})
})
