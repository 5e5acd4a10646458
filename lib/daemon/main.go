package daemon

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"github.com/cyclamendock/cyclamendock/lib/setup"
)

// Runner is a daemon that has opened its sockets.
type Runner interface {
	// Run serves until the context ends, then finishes the work in progress.
	Run(ctx context.Context)
}

// Program describes a daemon that is built from settings of type S.
type Program[S any] struct {
	Help string
	Load func(path string) (S, error)
	Name string
	New  func(settings S) (Runner, error)
}

type options struct {
	Check    bool             `help:"Check the settings and exit."`
	Settings string           `help:"Path of the JSON settings." required:"" type:"path"`
	Version  kong.VersionFlag `help:"Print the version and exit."`
}

// Main runs the daemon until SIGINT or SIGTERM and returns the exit code.
func Main[S any](program Program[S]) int {
	var opts options
	kong.Parse(&opts, kong.Name(program.Name), kong.Description(program.Help), kong.Vars{"version": setup.Version})
	err := run(program, opts)
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", program.Name, err)
	}
	return setup.ExitCode(err)
}

func run[S any](program Program[S], opts options) error {
	settings, err := program.Load(opts.Settings)
	if err != nil || opts.Check {
		return err
	}
	runner, err := program.New(settings)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	runner.Run(ctx)
	return nil
}
