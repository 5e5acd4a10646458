package main

import (
	"context"
	"fmt"
	"time"

	"github.com/cyclamendock/cyclamendock/standin/local"
)

type benchCommand struct {
	Bin   string        `help:"Folder of the programs." default:"bin"`
	Pairs int           `help:"Number of pairs of runs." default:"5"`
	Span  time.Duration `help:"Length of one run." default:"2s"`
}

// Run prints the datagrams that the balancer and a bare relay forward per second of processor time.
func (c *benchCommand) Run() error {
	deployment, err := local.FindDeployment("huber")
	if err != nil {
		return err
	}
	for pair := range c.Pairs {
		config := local.Config{BinDir: c.Bin, Deployment: deployment, Seed: uint64(pair) + 1}
		err := withCluster(config, func(ctx context.Context, cluster *local.Cluster) error { return c.runPair(ctx, cluster, pair) })
		if err != nil {
			return err
		}
	}
	return nil
}

func (c *benchCommand) runPair(ctx context.Context, cluster *local.Cluster, pair int) error {
	balancer, relay, err := cluster.BenchForwarding(ctx, c.Span)
	if err != nil {
		return err
	}
	fmt.Printf("pair %d: balancer %.0f, bare relay %.0f datagrams per second of processor time, ratio %.2f\n",
		pair+1, balancer.DatagramsPerCPUSecond(), relay.DatagramsPerCPUSecond(), balancer.DatagramsPerCPUSecond()/relay.DatagramsPerCPUSecond())
	return nil
}
