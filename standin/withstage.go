package main

import (
	"context"
	"os"

	"github.com/cyclamendock/cyclamendock/standin/stage"
)

// withStage gives a deployment, not started yet, to work and cleans up after it.
func withStage(c stage.Config, work func(ctx context.Context, l *stage.Stage) error) error {
	dir, err := os.MkdirTemp("", "stage")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	c.Dir = dir
	l, err := stage.New(c)
	if err != nil {
		return err
	}
	defer l.Stop()
	ctx, stop := untilSignal()
	defer stop()
	return work(ctx, l)
}
