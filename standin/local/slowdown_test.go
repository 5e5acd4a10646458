package local

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/cyclamendock/cyclamendock/standin/server"
)

// describeMembers formats the status of each member with that name prefix as the first balancer reports it.
func describeMembers(cluster *Cluster, prefix string) []string {
	ginkgo.GinkgoHelper()
	status, err := cluster.Status(context.Background(), cluster.Balancers[0])
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

var _ = ginkgo.Describe("slowdown", func() {
	ginkgo.It("moves new flows away from a slow backend server and back once it has recovered", func() {
		cluster := startCluster("huber")
		load := startLoad(cluster, 70, 40, 0)
		sleep(20 * time.Second)
		gomega.Expect(cluster.SetServerFaults("termine-1", server.Faults{Slowdown: 5})).To(gomega.Succeed())
		sleep(10 * time.Second)
		const flows = 70
		fairShare := float64(flows) / 7
		before := describeMembers(cluster, "termine-")
		slowed := openFeeds(cluster, "termine", flows)
		gomega.Expect(float64(slowed["termine-1"])).To(gomega.BeNumerically("<=", 1.2*fairShare/5),
			"new flows %v\nbefore %v\nafter  %v", slowed, before, describeMembers(cluster, "termine-"))
		gomega.Expect(cluster.SetServerFaults("termine-1", server.Faults{Slowdown: 1})).To(gomega.Succeed())
		var polls []string
		recoveredAt := time.Now()
		gomega.Eventually(func() int {
			started := time.Now()
			opened := openFeeds(cluster, "termine", 30)
			polls = append(polls, fmt.Sprintf("after %v in %v: %v %v", started.Sub(recoveredAt).Round(time.Millisecond),
				time.Since(started).Round(time.Millisecond), opened, describeMembers(cluster, "termine-")))
			return opened["termine-1"]
		}, 2*eventuallyTimeout).Should(gomega.BeNumerically(">", 0), func() string { return strings.Join(polls, "\n") })
		expectNoFailures(load.stop())
	})
})
