package local

import (
	"context"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/cyclamendock/cyclamendock/lib/config"
)

// storedConfigVersion returns the version of the configuration in the platform, or zero when there is none.
func storedConfigVersion(cluster *Cluster) uint64 {
	head, _, err := config.ReadHead(context.Background(), cluster.objects)
	if err != nil {
		return 0
	}
	return head.Version
}

// storedZones returns the number of availability zones whose members the platform has.
func storedZones(cluster *Cluster) int {
	objects, err := cluster.objects.List(context.Background(), "fleet/")
	if err != nil {
		return 0
	}
	return len(objects)
}

// drain submits a patch that drains a member.
func drain(cluster *Cluster, member string) {
	ginkgo.GinkgoHelper()
	_, err := cluster.Patch(context.Background(), "drain-"+member, config.Drain{Member: member})
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
}

var _ = ginkgo.Describe("a platform restored from an older copy", func() {
	for _, copied := range []string{"of the first configuration", "without anything"} {
		ginkgo.It("has accepted patches and members again, and accepts later patches; a copy "+copied, func() {
			cluster := startCluster("barfani")
			gomega.Eventually(func() int { return storedZones(cluster) }, eventuallyTimeout).Should(gomega.Equal(3))
			if copied == "of the first configuration" {
				gomega.Expect(cluster.BackUpPlatform()).To(gomega.Succeed())
			}
			drain(cluster, "class-desk-1")
			drain(cluster, "class-desk-2")
			gomega.Eventually(func() uint64 { return lowestConfigVersion(cluster) }, eventuallyTimeout).Should(gomega.BeNumerically("==", 3))
			gomega.Expect(cluster.RestorePlatform()).To(gomega.Succeed())
			gomega.Eventually(func() uint64 { return storedConfigVersion(cluster) }, eventuallyTimeout).Should(gomega.BeNumerically("==", 3))
			gomega.Eventually(func() int { return storedZones(cluster) }, eventuallyTimeout).Should(gomega.Equal(3))
			drain(cluster, "class-desk-3")
			gomega.Eventually(func() uint64 { return lowestConfigVersion(cluster) }, eventuallyTimeout).Should(gomega.BeNumerically("==", 4))
		})
	}
})
