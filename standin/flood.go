package main

import (
	"context"
	"fmt"
	"time"

	"github.com/cyclamendock/cyclamendock/standin/caller"
	"github.com/cyclamendock/cyclamendock/standin/local"
)

const (
	floodFactor      = 10
	floodServiceTime = 200 * time.Millisecond
	floodWarmUp      = 20 * time.Second
)

type floodCommand struct {
	Bin        string        `help:"Folder of the programs." default:"bin"`
	Deployment string        `help:"Deployment to run: huber or barfani." default:"huber"`
	Seed       uint64        `help:"Seed for the ports, the fabric and the callers." default:"1"`
	Span       time.Duration `help:"Length of the run without the flood, and of the run with it." default:"20s"`
}

// Run prints the share of bookings, and of the other service's documents, that still succeed during a flood of slot
// queries at ten times the first service's capacity.
func (c *floodCommand) Run() error {
	deployment, err := local.FindDeployment(c.Deployment)
	if err != nil {
		return err
	}
	setServiceTimes(&deployment)
	return withCluster(local.Config{BinDir: c.Bin, Deployment: deployment, Seed: c.Seed}, c.measure)
}

func (c *floodCommand) measure(ctx context.Context, cluster *local.Cluster) error {
	if err := cluster.Start(ctx); err != nil {
		return err
	}
	desk := cluster.Deployment().Services[0]
	capacity := float64(desk.Backends*desk.Slots) / floodServiceTime.Seconds()
	c.runLoad(ctx, cluster, "warm ", 0, floodWarmUp)
	baseline := c.runLoad(ctx, cluster, "calm ", 0, c.Span)
	flood := c.runLoad(ctx, cluster, "loud ", floodFactor*capacity, c.Span)
	fmt.Printf("%s: without flood %d of %d bookings ran, %d of %d documents arrived whole; during a flood of %d queries (%d served) %d of %d, %d of %d\n",
		c.Deployment, baseline.BookingsRan, baseline.BookingsRequested, baseline.DocumentsComplete, baseline.DocumentsRequested,
		flood.QueriesSent, flood.QueriesServed,
		flood.BookingsRan, flood.BookingsRequested, flood.DocumentsComplete, flood.DocumentsRequested)
	fmt.Printf("resident memory at the end: %s %.1f MB, %s %.1f MB\n",
		cluster.Balancers[0].Name, float64(cluster.Usage(cluster.Balancers[0].Name).ResidentBytes)/1e6,
		cluster.Backends[0].Name, float64(cluster.Usage(cluster.Backends[0].Name).ResidentBytes)/1e6)
	fmt.Printf("retained: bookings %.1f %%, documents %.1f %%; broken flows %d, false answers %d\n",
		retainedPercent(baseline.BookingsRan, baseline.BookingsRequested, flood.BookingsRan, flood.BookingsRequested),
		retainedPercent(baseline.DocumentsComplete, baseline.DocumentsRequested, flood.DocumentsComplete, flood.DocumentsRequested),
		flood.BrokenFlows, flood.Failures()-flood.BrokenFlows)
	return nil
}

// retainedPercent returns the success rate during the flood as a percentage of that without it.
func retainedPercent(baselineDone, baselineRequested, floodDone, floodRequested int) float64 {
	return 100 * float64(floodDone) / float64(floodRequested) * float64(baselineRequested) / float64(baselineDone)
}

// setServiceTimes makes requests slow, so that a moderate request rate is a flood.
func setServiceTimes(d *local.Deployment) {
	for i := range d.Services {
		d.Services[i].ServiceTime = floodServiceTime
		for k := range d.Services[i].Kinds {
			d.Services[i].Kinds[k].TypicalDuration = floodServiceTime
		}
	}
}

// runLoad requests bookings at a quarter of the first service's capacity and documents at a quarter of the second's, and
// the given rate of queries.
func (c *floodCommand) runLoad(ctx context.Context, cluster *local.Cluster, label string, queries float64, span time.Duration) caller.Report {
	desk, library := cluster.Deployment().Services[0], cluster.Deployment().Services[1]
	rate := func(spec local.ServiceSpec) float64 {
		return float64(spec.Backends*spec.Slots) / floodServiceTime.Seconds() / 4
	}
	return caller.NewGenerator(caller.Config{
		Duration: span,
		Label:    label,
		Seed:     c.Seed,
		Servers:  cluster.Servers(),
		Services: []caller.ServiceLoad{
			{Address: cluster.ServiceAddresses[desk.Name], BookingsPerSecond: rate(desk), Feeds: 20, Name: desk.Name, QueriesPerSecond: queries},
			{Address: cluster.ServiceAddresses[library.Name], DocumentChunks: 2, DocumentsPerSecond: rate(library), Name: library.Name},
		},
	}).Run(ctx)
}
