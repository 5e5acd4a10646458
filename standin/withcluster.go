package main

import (
	"context"
	"os"

	"github.com/cyclamendock/cyclamendock/standin/local"
)

// withCluster calls run with a deployment that is not started yet, and stops it and removes its files afterwards.
func withCluster(c local.Config, run func(ctx context.Context, s *local.Cluster) error) error {
	dir, err := os.MkdirTemp("", "stage")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	c.WorkDir = dir
	s, err := local.New(c)
	if err != nil {
		return err
	}
	defer s.Stop()
	ctx, stop := signalContext()
	defer stop()
	return run(ctx, s)
}
