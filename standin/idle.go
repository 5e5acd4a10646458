package main

import (
	"context"
	"fmt"
	"time"

	"github.com/cyclamendock/cyclamendock/standin/local"
)

type idleCommand struct {
	Bin  string        `help:"Folder of the programs." default:"bin"`
	Seed uint64        `help:"Seed for the ports." default:"1"`
	Span time.Duration `help:"How long to measure." default:"20s"`
}

// Run prints the processor time and memory that balancers and agents use without load.
func (c *idleCommand) Run() error {
	deployment, err := local.FindDeployment("huber")
	if err != nil {
		return err
	}
	return withCluster(local.Config{BinDir: c.Bin, Deployment: deployment, Seed: c.Seed}, c.measureUsage)
}

func (c *idleCommand) measureUsage(ctx context.Context, cluster *local.Cluster) error {
	if err := cluster.Start(ctx); err != nil {
		return err
	}
	names := []string{cluster.Balancers[0].Name, cluster.Balancers[1].Name, cluster.Backends[0].Name, cluster.Backends[1].Name}
	before := map[string]local.Usage{}
	for _, name := range names {
		before[name] = cluster.Usage(name)
	}
	sleep(ctx, c.Span)
	for _, name := range names {
		used := cluster.Usage(name)
		share := 100 * (used.CPU - before[name].CPU).Seconds() / c.Span.Seconds()
		fmt.Printf("%s: %.2f %% of a core, %.1f MB resident\n", name, share, float64(used.ResidentBytes)/1e6)
	}
	return nil
}
