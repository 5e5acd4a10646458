// Command agent terminates callers' flows beside one backend server.
package main

import (
	"os"

	"github.com/cyclamendock/cyclamendock/agent/node"
	"github.com/cyclamendock/cyclamendock/lib/daemon"
)

func main() {
	os.Exit(daemon.Main(daemon.Program[node.Settings]{
		Help: "Terminates callers' flows beside one backend server.",
		Load: node.LoadSettings,
		Name: "agent",
		New:  func(settings node.Settings) (daemon.Runner, error) { return node.New(settings) },
	}))
}
