// Command standin simulates the systems around cyclamendock for demos, tests and measurements.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"github.com/cyclamendock/cyclamendock/lib/setup"
)

type commands struct {
	Bench    benchCommand     `cmd:"" help:"Compare the balancer's forwarding rate with a bare relay's."`
	Demo     demoCommand      `cmd:"" help:"Run a whole deployment with load and failures."`
	Fabric   fabricCommand    `cmd:"" help:"Distribute callers' datagrams over balancers."`
	Flood    floodCommand     `cmd:"" help:"Measure the throughput that other kinds of work retain during a flood."`
	Flows    flowsCommand     `cmd:"" help:"Run flows that only a 4-tuple identifies, with failures."`
	Idle     idleCommand      `cmd:"" help:"Measure the processor time and memory of idle processes."`
	Load     loadCommand      `cmd:"" help:"Generate load and check its results."`
	Measures measuresCommand  `cmd:"" help:"Print the tables of docs/MEASURES.md."`
	Platform platformCommand  `cmd:"" help:"Serve the platform's object API."`
	Relay    relayCommand     `cmd:"" help:"Forward datagrams unchanged."`
	Server   serverCommand    `cmd:"" help:"Run a simulated backend server."`
	Slopes   slopesCommand    `cmd:"" help:"Print the tables of docs/CAPACITY.md."`
	Soak     soakCommand      `cmd:"" help:"Run the real programs under random faults and check their invariants."`
	Version  kong.VersionFlag `help:"Print the version and exit."`
}

func main() {
	var c commands
	parsed := kong.Parse(&c, kong.Name("standin"), kong.Description("Simulates the systems around cyclamendock."), kong.Vars{"version": setup.Version})
	if err := parsed.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(setup.ExitCode(err))
	}
}
