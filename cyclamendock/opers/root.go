package opers

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/alecthomas/kong"

	"github.com/cyclamendock/cyclamendock/lib/setup"
	"github.com/cyclamendock/cyclamendock/lib/store"
)

const callTimeout = 10 * time.Second

// A Root is the whole command line.
type Root struct {
	Config   ConfigCommand    `cmd:"" help:"Look at the configuration."`
	Drain    DrainCommand     `cmd:"" help:"Take a backend server or balancer out of new work."`
	JSON     bool             `help:"Print JSON instead of text." name:"json"`
	Key      KeyCommand       `cmd:"" help:"Rotate the keys of connection IDs."`
	Patch    PatchCommand     `cmd:"" help:"Change the configuration."`
	Settings SettingsCommand  `cmd:"" help:"Check settings files."`
	Status   StatusCommand    `cmd:"" help:"Show zones, services, members and versions in force."`
	Undrain  UndrainCommand   `cmd:"" help:"Give a drained member new work again."`
	Using    string           `help:"Path of the command line's own settings." default:"cyclamendock.json" env:"CYCLAMENDOCK_SETTINGS" type:"path"`
	Version  kong.VersionFlag `help:"Print the version and exit."`
}

// A Session is what every command needs.
type Session struct {
	Out  io.Writer
	Root *Root
}

// Execute runs the command that the arguments name and returns the exit code.
func Execute() int {
	var root Root
	parsed := kong.Parse(&root,
		kong.Name("cyclamendock"),
		kong.Description("Operates a cyclamendock deployment."),
		kong.UsageOnError(),
		kong.Vars{"version": setup.Version},
	)
	err := parsed.Run(&Session{Out: os.Stdout, Root: &root})
	if err != nil {
		fmt.Fprintln(os.Stderr, "cyclamendock:", err)
	}
	return setup.ExitCode(err)
}

// open returns the checked settings and the platform.
func (s *Session) open() (Settings, store.Store, error) {
	settings, err := LoadSettings(s.Root.Using)
	if err != nil {
		return Settings{}, nil, err
	}
	return settings, store.NewClient(store.ClientConfig{URL: settings.PlatformURL}), nil
}

func (s *Session) printf(format string, values ...any) { _, _ = fmt.Fprintf(s.Out, format, values...) }

func withTimeout() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), callTimeout)
}
