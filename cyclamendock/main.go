// Command cyclamendock is the operators' command line for a deployment of balancers and agents.
package main

import (
	"os"

	"github.com/cyclamendock/cyclamendock/cyclamendock/admin"
)

func main() { os.Exit(admin.Execute()) }
