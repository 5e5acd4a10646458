package local

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/cyclamendock/cyclamendock/lib/seeded"
	"github.com/cyclamendock/cyclamendock/standin/caller"
)

func TestMain(m *testing.M) { seeded.Main(m) }

func TestProcesses(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	suite, reporter := ginkgo.GinkgoConfiguration()
	if skip := os.Getenv("SKIP_SPECS"); skip != "" {
		suite.SkipStrings = append(suite.SkipStrings, skip) // CI sets it to the specs listed in KNOWN-RED.txt
	}
	ginkgo.RunSpecs(t, "processes", suite, reporter)
}

// binDir is the output directory of make build.
const binDir = "../../bin"

var clusterSeed = seeded.Seed()

// startCluster starts a deployment and stops it at the end of the spec.
func startCluster(name string) *Cluster {
	ginkgo.GinkgoHelper()
	deployment, err := FindDeployment(name)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	binPath, err := filepath.Abs(binDir)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	clusterSeed++
	cluster, err := New(Config{BinDir: binPath, Deployment: deployment, Seed: clusterSeed, WorkDir: ginkgo.GinkgoT().TempDir()})
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(cluster.Stop)
	gomega.Expect(cluster.Start(context.Background())).To(gomega.Succeed())
	return cluster
}

// backgroundLoad runs a load generator until it is stopped.
type backgroundLoad struct {
	cancel context.CancelFunc
	done   sync.WaitGroup
	report caller.Report // valid once done
}

// startLoad generates load on the first two services: feeds as a number, bookings and documents per second.
func startLoad(cluster *Cluster, feeds int, bookings, documents float64) *backgroundLoad {
	ctx, cancel := context.WithCancel(context.Background())
	load := &backgroundLoad{cancel: cancel}
	first, second := cluster.config.Deployment.Services[0].Name, cluster.config.Deployment.Services[1].Name
	generator := caller.NewGenerator(caller.Config{
		Duration: 5 * time.Minute,
		Seed:     clusterSeed,
		Servers:  cluster.Servers(),
		Services: []caller.ServiceLoad{
			{Address: cluster.ServiceAddresses[first], BookingsPerSecond: bookings, Feeds: feeds, Name: first},
			{
				Address: cluster.ServiceAddresses[second], DocumentChunks: 20, DocumentPause: 100 * time.Millisecond,
				DocumentsPerSecond: documents, Feeds: feeds / 3, Name: second,
			},
		},
	})
	load.done.Go(func() { load.report = generator.Run(ctx) })
	return load
}

func (b *backgroundLoad) stop() caller.Report {
	b.cancel()
	b.done.Wait()
	return b.report
}

// expectNoFailures expects that no flow broke, no feed was refused and every booking outcome was correct.
func expectNoFailures(report caller.Report) {
	ginkgo.GinkgoHelper()
	gomega.Expect(report.Failures()).To(gomega.BeZero(), fmt.Sprintf("%+v", report))
	gomega.Expect(report.FeedsRefused).To(gomega.BeZero(), fmt.Sprintf("%+v", report))
}

func sleep(d time.Duration) { time.Sleep(d) }

func memberState(cluster *Cluster, balancer Balancer, name string) string {
	status, err := cluster.Status(context.Background(), balancer)
	if err != nil {
		return "unreachable"
	}
	for _, member := range status.Members {
		if member.Name == name {
			return member.State
		}
	}
	return "unknown"
}

// lowestConfigVersion returns the lowest configuration version of all reachable members, or 0 when a balancer does not answer.
func lowestConfigVersion(cluster *Cluster) uint64 {
	lowest := ^uint64(0)
	for _, balancer := range cluster.Balancers {
		status, err := cluster.Status(context.Background(), balancer)
		if err != nil {
			return 0
		}
		for _, member := range status.Members {
			if member.Heard && member.State != "down" {
				lowest = min(lowest, member.Config)
			}
		}
	}
	return lowest
}
