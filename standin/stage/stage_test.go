package stage

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

	"github.com/cyclamendock/cyclamendock/lib/proof"
	"github.com/cyclamendock/cyclamendock/standin/caller"
)

func TestMain(m *testing.M) { proof.Main(m) }

func TestProcesses(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	suite, reporter := ginkgo.GinkgoConfiguration()
	if skip := os.Getenv("SKIP_SPECS"); skip != "" {
		suite.SkipStrings = append(suite.SkipStrings, skip) // specs listed in KNOWN-RED.txt; set by CI only
	}
	ginkgo.RunSpecs(t, "processes", suite, reporter)
}

// binDir is the output directory of make build.
const binDir = "../../bin"

var stageSeed = proof.Seed()

// startStage starts a deployment and stops it at the end of the spec.
func startStage(name string) *Stage {
	ginkgo.GinkgoHelper()
	deployment, err := FindDeployment(name)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	binPath, err := filepath.Abs(binDir)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	stageSeed++
	s, err := New(Config{Bin: binPath, Deployment: deployment, Dir: ginkgo.GinkgoT().TempDir(), Seed: stageSeed})
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	ginkgo.DeferCleanup(s.Stop)
	gomega.Expect(s.Start(context.Background())).To(gomega.Succeed())
	return s
}

// backgroundLoad runs a load generator until it is stopped.
type backgroundLoad struct {
	cancel context.CancelFunc
	done   sync.WaitGroup
	report caller.Report // valid once done
}

// startLoad generates load on the first two services: feeds as a number, bookings and documents per second.
func startLoad(s *Stage, feeds int, bookings, documents float64) *backgroundLoad {
	ctx, cancel := context.WithCancel(context.Background())
	load := &backgroundLoad{cancel: cancel}
	first, second := s.config.Deployment.Services[0].Name, s.config.Deployment.Services[1].Name
	generator := caller.NewLoad(caller.Config{
		Duration: 5 * time.Minute,
		Plans: []caller.Plan{
			{Address: s.Services[first], BookingsPerSecond: bookings, Feeds: feeds, Name: first},
			{
				Address: s.Services[second], DocumentChunks: 20, DocumentPause: 100 * time.Millisecond,
				DocumentsPerSecond: documents, Feeds: feeds / 3, Name: second,
			},
		},
		Seed:    stageSeed,
		Servers: s.Servers(),
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

func memberState(s *Stage, balancer Balancer, name string) string {
	status, err := s.Status(context.Background(), balancer)
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

// lowestConfigVersion returns the lowest version of all reachable members, or 0 when a balancer does not answer.
func lowestConfigVersion(s *Stage) uint64 {
	lowest := ^uint64(0)
	for _, balancer := range s.Balancers {
		status, err := s.Status(context.Background(), balancer)
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
