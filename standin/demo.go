package main

import (
	"context"
	"fmt"
	"time"

	"github.com/cyclamendock/cyclamendock/lib/config"
	"github.com/cyclamendock/cyclamendock/lib/fault"
	"github.com/cyclamendock/cyclamendock/standin/caller"
	"github.com/cyclamendock/cyclamendock/standin/stage"
)

const (
	demoDocumentPause = 50 * time.Millisecond
	demoRate          = 10 // bookings and documents per second
)

type demoCommand struct {
	Bin        string        `help:"Folder of the programs." default:"bin"`
	Calm       bool          `help:"Kill and drain nothing."`
	Deployment string        `help:"Deployment to run: huber or barfani." default:"huber"`
	Dir        string        `help:"Folder for settings and logs." default:"run/demo"`
	Duration   time.Duration `help:"How long to make callers." default:"20s"`
	Feeds      int           `help:"Feeds per deployment's first service." default:"60"`
	Seed       uint64        `help:"Seed of ports, fabric and callers." default:"1"`
	Warm       time.Duration `help:"How long to wait before callers come." default:"0s"`
}

// Run starts the deployment, loads it, kills a balancer, drains a backend server and prints the report.
func (c *demoCommand) Run() error {
	deployment, err := stage.FindDeployment(c.Deployment)
	if err != nil {
		return err
	}
	l, err := stage.New(stage.Config{Bin: c.Bin, Deployment: deployment, Dir: c.Dir, Seed: c.Seed, Trace: true})
	if err != nil {
		return err
	}
	defer l.Stop()
	ctx, stop := untilSignal()
	defer stop()
	fmt.Printf("Starting %s: %d balancers, %d backend servers. Logs and settings are in %s.\n",
		deployment.Name, len(l.Balancers), len(l.Backends), c.Dir)
	if err := l.Start(ctx); err != nil {
		return err
	}
	if !sleep(ctx, c.Warm) {
		return nil
	}
	if !c.Calm {
		go c.runFailures(ctx, l)
	}
	report := caller.NewLoad(caller.Config{
		Duration: c.Duration,
		Plans:    c.plans(l, deployment),
		Seed:     c.Seed,
		Servers:  l.Servers(),
	}).Run(ctx)
	return printReport(report)
}

func (c *demoCommand) plans(l *stage.Stage, deployment stage.Deployment) []caller.Plan {
	desk, library := deployment.Services[0].Name, deployment.Services[1].Name
	return []caller.Plan{
		{Address: l.Services[desk], BookingsPerSecond: demoRate, Feeds: c.Feeds, Name: desk},
		{
			Address: l.Services[library], DocumentChunks: 16, DocumentPause: demoDocumentPause,
			DocumentsPerSecond: demoRate / 2, Name: library,
		},
	}
}

// runFailures kills a balancer at a third of the time and drains a backend server at half of it.
func (c *demoCommand) runFailures(ctx context.Context, l *stage.Stage) {
	if !sleep(ctx, c.Duration/3) {
		return
	}
	victim := l.Balancers[0].Name
	fmt.Printf("Killing %s.\n", victim)
	l.Kill(victim)
	if !sleep(ctx, c.Duration/6) {
		return
	}
	drained := l.Backends[1].Name
	fmt.Printf("Draining %s.\n", drained)
	if _, err := l.Patch(ctx, "demo-drain", config.Drain{Member: drained}); err != nil {
		fmt.Printf("The drain was refused: %v.\n", err)
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// verdict fails when a flow broke or a booking's answer was untrue.
func verdict(report caller.Report) error {
	if failures := report.Failures(); failures > 0 {
		return fault.New(fault.Internal, fmt.Sprintf("%d promises were broken", failures), "see the notes above and the logs")
	}
	fmt.Println("No flow broke and no booking ran twice.")
	return nil
}
