package local

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/cyclamendock/cyclamendock/lib/peer"
	"github.com/cyclamendock/cyclamendock/standin/server"
)

// membersOf returns the members with that name prefix as the first balancer reports them.
func membersOf(cluster *Cluster, prefix string) []peer.MemberStatus {
	ginkgo.GinkgoHelper()
	status, err := cluster.Status(context.Background(), cluster.Balancers[0])
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return slices.DeleteFunc(status.Members, func(m peer.MemberStatus) bool { return !strings.HasPrefix(m.Name, prefix) })
}

// describeMembers formats the status of each member with that name prefix as the first balancer reports it.
func describeMembers(cluster *Cluster, prefix string) []string {
	ginkgo.GinkgoHelper()
	var lines []string
	for _, member := range membersOf(cluster, prefix) {
		lines = append(lines, fmt.Sprintf("%s %s flows %d load %d speed %d silent %d ms",
			member.Name, member.State, member.Flows, member.Load, member.Speed, member.SilentMS))
	}
	return lines
}

// memberWithFewestFlows returns the name of the member with that name prefix that has the fewest open flows.
func memberWithFewestFlows(cluster *Cluster, prefix string) string {
	ginkgo.GinkgoHelper()
	compare := func(a, b peer.MemberStatus) int { return cmp.Compare(a.Flows, b.Flows) }
	return slices.MinFunc(membersOf(cluster, prefix), compare).Name
}

var _ = ginkgo.Describe("slowdown", func() {
	// Open flows never move, so a backend server that had more of them than others before it turned slow gets new ones only once the
	// others have caught up. The one with the fewest attracts most new flows, before as after.
	ginkgo.It("moves new flows away from a slow backend server and back once it has recovered", func() {
		cluster := startCluster("huber")
		load := startLoad(cluster, 70, 40, 0)
		sleep(20 * time.Second)
		slow := memberWithFewestFlows(cluster, "termine-")
		gomega.Expect(cluster.SetServerFaults(slow, server.Faults{Slowdown: 5})).To(gomega.Succeed())
		sleep(10 * time.Second)
		const flows = 70
		fairShare := float64(flows) / 7
		before := describeMembers(cluster, "termine-")
		slowed := openFeeds(cluster, "termine", flows)
		gomega.Expect(float64(slowed[slow])).To(gomega.BeNumerically("<=", 1.2*fairShare/5),
			"%s: new flows %v\nbefore %v\nafter  %v", slow, slowed, before, describeMembers(cluster, "termine-"))
		gomega.Expect(cluster.SetServerFaults(slow, server.Faults{Slowdown: 1})).To(gomega.Succeed())
		var polls []string
		gomega.Eventually(func() int {
			opened := openFeeds(cluster, "termine", 30)
			polls = append(polls, fmt.Sprintf("%v %v", opened, describeMembers(cluster, "termine-")))
			return opened[slow]
		}, 2*eventuallyTimeout).Should(gomega.BeNumerically(">", 0), func() string { return slow + "\n" + strings.Join(polls, "\n") })
		expectNoFailures(load.stop())
	})
})
