package main

import (
	"context"
	"os/signal"
	"syscall"

	"github.com/cyclamendock/cyclamendock/standin/object"
)

type platformCommand struct {
	Address string `help:"Address to listen on." required:""`
}

// Run serves until the process is told to end.
func (c *platformCommand) Run() error {
	ctx, stop := untilSignal()
	defer stop()
	return object.NewPlatform().Run(ctx, c.Address)
}

func untilSignal() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
}
