// Command balancer forwards callers' datagrams to the agents beside the backend servers.
package main

import (
	"os"

	"github.com/cyclamendock/cyclamendock/balancer/node"
	"github.com/cyclamendock/cyclamendock/lib/daemon"
)

func main() {
	os.Exit(daemon.Main(daemon.Program[node.Settings]{
		Help: "Forwards callers' datagrams to agents.",
		Load: node.LoadSettings,
		Name: "balancer",
		New:  func(settings node.Settings) (daemon.Runner, error) { return node.New(settings) },
	}))
}
