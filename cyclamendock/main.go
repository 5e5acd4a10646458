// Command cyclamendock operates a deployment of balancers and agents.
package main

import (
	"os"

	"github.com/cyclamendock/cyclamendock/cyclamendock/cmd"
)

func main() { os.Exit(cmd.Execute()) }
