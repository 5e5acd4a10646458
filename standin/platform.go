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

// Run serves the object API until the process is signalled to end.
func (c *platformCommand) Run() error {
	ctx, stop := signalContext()
	defer stop()
	return object.NewPlatform().Run(ctx, c.Address)
}

// signalContext returns a context that ends on SIGINT or SIGTERM.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
}
