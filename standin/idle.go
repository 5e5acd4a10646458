package main

import (
	"context"
	"fmt"
	"time"

	"github.com/cyclamendock/cyclamendock/standin/stage"
)

type idleCommand struct {
	Bin  string        `help:"Folder of the programs." default:"bin"`
	Seed uint64        `help:"Seed of ports." default:"1"`
	Span time.Duration `help:"How long to watch." default:"20s"`
}

// Run prints what balancers and agents use while no caller comes.
func (c *idleCommand) Run() error {
	deployment, err := stage.FindDeployment("huber")
	if err != nil {
		return err
	}
	return withStage(stage.Config{Bin: c.Bin, Deployment: deployment, Seed: c.Seed}, c.watch)
}

func (c *idleCommand) watch(ctx context.Context, l *stage.Stage) error {
	if err := l.Start(ctx); err != nil {
		return err
	}
	names := []string{l.Balancers[0].Name, l.Balancers[1].Name, l.Backends[0].Name, l.Backends[1].Name}
	before := map[string]stage.Usage{}
	for _, name := range names {
		before[name] = l.Usage(name)
	}
	sleep(ctx, c.Span)
	for _, name := range names {
		used := l.Usage(name)
		share := 100 * (used.CPU - before[name].CPU).Seconds() / c.Span.Seconds()
		fmt.Printf("%s: %.2f %% of a core, %.1f MB resident\n", name, share, float64(used.Memory)/1e6)
	}
	return nil
}
