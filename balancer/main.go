// Command balancer forwards callers' datagrams to the agents beside the backend servers.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"github.com/cyclamendock/cyclamendock/balancer/node"
	"github.com/cyclamendock/cyclamendock/lib/setup"
)

type options struct {
	Check    bool             `help:"Check the settings and exit."`
	Settings string           `help:"Path of the JSON settings." required:"" type:"path"`
	Version  kong.VersionFlag `help:"Print the version and exit."`
}

func main() {
	var opts options
	kong.Parse(&opts, kong.Name("balancer"), kong.Description("Forwards callers' datagrams to agents."), kong.Vars{"version": setup.Version})
	if err := run(opts); err != nil {
		fmt.Fprintln(os.Stderr, "balancer:", err)
		os.Exit(setup.ExitCode(err))
	}
}

func run(opts options) error {
	settings, err := node.LoadSettings(opts.Settings)
	if err != nil || opts.Check {
		return err
	}
	n, err := node.New(settings)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	n.Run(ctx)
	return nil
}
