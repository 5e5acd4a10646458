// Command cyclamendock operates a deployment of balancers and agents.
package main

import (
	"os"

	"github.com/cyclamendock/cyclamendock/cyclamendock/opers"
)

func main() { os.Exit(opers.Execute()) }
