package main

import (
	"context"
	"os"

	"github.com/cyclamendock/cyclamendock/standin/local"
)

// withCluster calls run with a cluster that is not started yet, and stops the cluster and removes its files afterwards.
func withCluster(config local.Config, run func(ctx context.Context, cluster *local.Cluster) error) error {
	dir, err := os.MkdirTemp("", "stage")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	config.WorkDir = dir
	cluster, err := local.New(config)
	if err != nil {
		return err
	}
	defer cluster.Stop()
	ctx, stop := signalContext()
	defer stop()
	return run(ctx, cluster)
}
