package admin

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

// Root defines the global flags and the top-level commands.
type Root struct {
	Config   ConfigCommand    `cmd:"" help:"Read the configuration."`
	Drain    DrainCommand     `cmd:"" help:"Stop new work for a backend server or balancer."`
	JSON     bool             `help:"Print JSON instead of text." name:"json"`
	Key      KeyCommand       `cmd:"" help:"Manage the keys of connection IDs."`
	Patch    PatchCommand     `cmd:"" help:"Change the configuration."`
	Settings SettingsCommand  `cmd:"" help:"Check settings files."`
	Status   StatusCommand    `cmd:"" help:"Show the members by zone, with their service, state and configuration version."`
	Undrain  UndrainCommand   `cmd:"" help:"Resume new work for a drained member."`
	Using    string           `help:"Path of this command's settings file." default:"cyclamendock.json" env:"CYCLAMENDOCK_SETTINGS" type:"path"`
	Version  kong.VersionFlag `help:"Print the version and exit."`
}

// Session holds the output and the parsed command line that every command uses.
type Session struct {
	Out  io.Writer
	Root *Root
}

// Execute parses the process's arguments, runs the command and returns the exit code.
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

// openPlatform loads the settings and returns them with a client of the platform's object store.
func (s *Session) openPlatform() (Settings, store.Store, error) {
	settings, err := LoadSettings(s.Root.Using)
	if err != nil {
		return Settings{}, nil, err
	}
	return settings, store.NewClient(store.ClientConfig{URL: settings.PlatformURL}), nil
}

func (s *Session) printf(format string, values ...any) { _, _ = fmt.Fprintf(s.Out, format, values...) }

func newCallContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), callTimeout)
}
