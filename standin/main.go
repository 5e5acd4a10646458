// Command standin plays the systems around cyclamendock in demos and tests.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"github.com/cyclamendock/cyclamendock/lib/setup"
)

type commands struct {
	Bench    benchCommand     `cmd:"" help:"Compare the balancer with a bare relay."`
	Demo     demoCommand      `cmd:"" help:"Run a whole deployment under load and failures."`
	Fabric   fabricCommand    `cmd:"" help:"Spray callers' datagrams over balancers."`
	Flood    floodCommand     `cmd:"" help:"Measure what other work keeps in a flood."`
	Flows    flowsCommand     `cmd:"" help:"Run flows that only a 4-tuple identifies, under failures."`
	Idle     idleCommand      `cmd:"" help:"Print what idle processes use."`
	Load     loadCommand      `cmd:"" help:"Make callers and judge what becomes of them."`
	Measures measuresCommand  `cmd:"" help:"Print the tables of docs/MEASURES.md."`
	Platform platformCommand  `cmd:"" help:"Serve the platform's object API."`
	Relay    relayCommand     `cmd:"" help:"Forward datagrams as they are."`
	Server   serverCommand    `cmd:"" help:"Serve as a backend server."`
	Slopes   slopesCommand    `cmd:"" help:"Print the tables of docs/CAPACITY.md."`
	Soak     soakCommand      `cmd:"" help:"Disturb the real programs at random and check their promises."`
	Version  kong.VersionFlag `help:"Print the version and exit."`
}

func main() {
	var c commands
	parsed := kong.Parse(&c, kong.Name("standin"), kong.Description("Plays the systems around cyclamendock."), kong.Vars{"version": setup.Version})
	if err := parsed.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(setup.ExitCode(err))
	}
}
