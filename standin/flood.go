package main

import (
	"context"
	"fmt"
	"time"

	"github.com/cyclamendock/cyclamendock/standin/caller"
	"github.com/cyclamendock/cyclamendock/standin/stage"
)

const (
	floodFactor  = 10
	floodTypical = 200 * time.Millisecond
	floodWarm    = 20 * time.Second
)

type floodCommand struct {
	Bin        string        `help:"Folder of the programs." default:"bin"`
	Deployment string        `help:"Deployment to run: huber or barfani." default:"huber"`
	Seed       uint64        `help:"Seed of ports, fabric and callers." default:"1"`
	Span       time.Duration `help:"Length of the calm and of the flood." default:"20s"`
}

// Run prints what bookings and the other service's documents keep while slot queries flood tenfold.
func (c *floodCommand) Run() error {
	deployment, err := stage.FindDeployment(c.Deployment)
	if err != nil {
		return err
	}
	slowDown(&deployment)
	return withStage(stage.Config{Bin: c.Bin, Deployment: deployment, Seed: c.Seed}, c.measure)
}

func (c *floodCommand) measure(ctx context.Context, l *stage.Stage) error {
	if err := l.Start(ctx); err != nil {
		return err
	}
	desk := l.Deployment().Services[0]
	capacity := float64(desk.Backends*desk.Slots) / floodTypical.Seconds()
	c.run(ctx, l, "warm ", 0, floodWarm)
	calm := c.run(ctx, l, "calm ", 0, c.Span)
	loud := c.run(ctx, l, "loud ", floodFactor*capacity, c.Span)
	fmt.Printf("%s: calm %d of %d bookings ran, %d of %d documents came; flood of %d queries (%d served): %d of %d, %d of %d\n",
		c.Deployment, calm.BookingsRan, calm.BookingsAsked, calm.DocumentsWhole, calm.DocumentsAsked,
		loud.QueriesAsked, loud.QueriesServed,
		loud.BookingsRan, loud.BookingsAsked, loud.DocumentsWhole, loud.DocumentsAsked)
	fmt.Printf("resident at the end: %s %.1f MB, %s %.1f MB\n",
		l.Balancers[0].Name, float64(l.Usage(l.Balancers[0].Name).Memory)/1e6,
		l.Backends[0].Name, float64(l.Usage(l.Backends[0].Name).Memory)/1e6)
	fmt.Printf("kept: bookings %.1f %%, documents %.1f %%; broken flows %d, untrue answers %d\n",
		keptPercent(calm.BookingsRan, calm.BookingsAsked, loud.BookingsRan, loud.BookingsAsked),
		keptPercent(calm.DocumentsWhole, calm.DocumentsAsked, loud.DocumentsWhole, loud.DocumentsAsked),
		loud.BrokenFlows, loud.Failures()-loud.BrokenFlows)
	return nil
}

// keptPercent compares the share of requests that succeeded in the flood with that before it.
func keptPercent(calmDone, calmAsked, loudDone, loudAsked int) float64 {
	return 100 * float64(loudDone) / float64(loudAsked) * float64(calmAsked) / float64(calmDone)
}

// slowDown makes requests long, so that few callers are a flood.
func slowDown(d *stage.Deployment) {
	for i := range d.Services {
		d.Services[i].Typical = floodTypical
		for k := range d.Services[i].Kinds {
			d.Services[i].Kinds[k].Typical = floodTypical
		}
	}
}

// run loads bookings at about a quarter of the first service and documents at a quarter of the second.
func (c *floodCommand) run(ctx context.Context, l *stage.Stage, label string, queries float64, span time.Duration) caller.Report {
	desk, library := l.Deployment().Services[0], l.Deployment().Services[1]
	rate := func(plan stage.ServicePlan) float64 {
		return float64(plan.Backends*plan.Slots) / floodTypical.Seconds() / 4
	}
	return caller.NewLoad(caller.Config{
		Duration: span,
		Label:    label,
		Plans: []caller.Plan{
			{Address: l.Services[desk.Name], BookingsPerSecond: rate(desk), Feeds: 20, Name: desk.Name, QueriesPerSecond: queries},
			{Address: l.Services[library.Name], DocumentChunks: 2, DocumentsPerSecond: rate(library), Name: library.Name},
		},
		Seed:    c.Seed,
		Servers: l.Servers(),
	}).Run(ctx)
}
