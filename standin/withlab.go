package main

import (
	"context"
	"os"

	"github.com/cyclamendock/cyclamendock/standin/lab"
)

// withLab gives a deployment, not started yet, to work and cleans up after it.
func withLab(c lab.Config, work func(ctx context.Context, l *lab.Lab) error) error {
	dir, err := os.MkdirTemp("", "lab")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	c.Dir = dir
	l, err := lab.New(c)
	if err != nil {
		return err
	}
	defer l.Stop()
	ctx, stop := untilSignal()
	defer stop()
	return work(ctx, l)
}
