package main

import (
	"context"
	"fmt"
	"time"

	"github.com/cyclamendock/cyclamendock/lib/config"
	"github.com/cyclamendock/cyclamendock/lib/fault"
	"github.com/cyclamendock/cyclamendock/standin/caller"
	"github.com/cyclamendock/cyclamendock/standin/local"
)

const (
	demoDocumentPause = 50 * time.Millisecond
	demoRate          = 10 // bookings per second; documents come at half this rate
)

type demoCommand struct {
	Bin        string        `help:"Folder of the programs." default:"bin"`
	Calm       bool          `help:"Inject no failures: kill and drain nothing."`
	Deployment string        `help:"Deployment to run: huber or barfani." default:"huber"`
	Dir        string        `help:"Folder for settings and logs." default:"run/demo"`
	Duration   time.Duration `help:"How long to generate load." default:"20s"`
	Feeds      int           `help:"Number of feeds to open at the deployment's first service." default:"60"`
	Seed       uint64        `help:"Seed for the ports, the fabric and the callers." default:"1"`
	Warm       time.Duration `help:"How long to wait between the start and the load." default:"0s"`
}

// Run starts the deployment, generates load, kills a balancer, drains a backend server and prints the report.
func (c *demoCommand) Run() error {
	deployment, err := local.FindDeployment(c.Deployment)
	if err != nil {
		return err
	}
	cluster, err := local.New(local.Config{BinDir: c.Bin, Deployment: deployment, Seed: c.Seed, Trace: true, WorkDir: c.Dir})
	if err != nil {
		return err
	}
	defer cluster.Stop()
	ctx, stop := signalContext()
	defer stop()
	fmt.Printf("Starting %s: %d balancers, %d backend servers. Logs and settings are in %s.\n",
		deployment.Name, len(cluster.Balancers), len(cluster.Backends), c.Dir)
	if err := cluster.Start(ctx); err != nil {
		return err
	}
	if !sleep(ctx, c.Warm) {
		return nil
	}
	if !c.Calm {
		go c.runFailures(ctx, cluster)
	}
	report := caller.NewGenerator(caller.Config{
		Duration: c.Duration,
		Seed:     c.Seed,
		Servers:  cluster.Servers(),
		Services: c.serviceLoads(cluster, deployment),
	}).Run(ctx)
	return printReport(report)
}

func (c *demoCommand) serviceLoads(cluster *local.Cluster, deployment local.Deployment) []caller.ServiceLoad {
	desk, library := deployment.Services[0].Name, deployment.Services[1].Name
	return []caller.ServiceLoad{
		{Address: cluster.ServiceAddresses[desk], BookingsPerSecond: demoRate, Feeds: c.Feeds, Name: desk},
		{
			Address: cluster.ServiceAddresses[library], DocumentChunks: 16, DocumentPause: demoDocumentPause,
			DocumentsPerSecond: demoRate / 2, Name: library,
		},
	}
}

// runFailures kills a balancer after a third of the duration, and drains a backend server after half of it.
func (c *demoCommand) runFailures(ctx context.Context, cluster *local.Cluster) {
	if !sleep(ctx, c.Duration/3) {
		return
	}
	killed := cluster.Balancers[0].Name
	fmt.Printf("Killing %s.\n", killed)
	cluster.Kill(killed)
	if !sleep(ctx, c.Duration/6) {
		return
	}
	drained := cluster.Backends[1].Name
	fmt.Printf("Draining %s.\n", drained)
	if _, err := cluster.Patch(ctx, "demo-drain", config.Drain{Member: drained}); err != nil {
		fmt.Printf("The drain was refused: %v.\n", err)
	}
}

// sleep waits for d and reports false when ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// checkReport returns an error when a flow broke or the outcome reported for a booking was false.
func checkReport(report caller.Report) error {
	if failures := report.Failures(); failures > 0 {
		return fault.New(fault.Internal, fmt.Sprintf("%d invariants were violated", failures), "see the notes above and the logs")
	}
	fmt.Println("No flow broke and no booking ran twice.")
	return nil
}
