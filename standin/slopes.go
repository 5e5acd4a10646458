package main

import (
	"fmt"

	"github.com/cyclamendock/cyclamendock/standin/slope"
)

type slopesCommand struct{}

// Run prints the tables of docs/CAPACITY.md.
func (c *slopesCommand) Run() error {
	fmt.Println("| cost | unit | step | measured at size: value | slope per step | at the target |")
	fmt.Println("| --- | --- | --- | --- | --- | --- |")
	for _, group := range [][]slope.LinearFit{slope.MeasureFleet(), slope.MeasureConfig(), slope.MeasureFlows()} {
		for _, fit := range group {
			printFit(fit)
		}
	}
	fmt.Println("\n| datagram, with IP and UDP headers | bytes |")
	fmt.Println("| --- | --- |")
	for _, m := range slope.DatagramSizes() {
		fmt.Printf("| %s | %d |\n", m.Name, m.Bytes)
	}
	mean, greatest := slope.HeartbeatRates()
	fmt.Printf("\nHeartbeats a second at one balancer: %.1f on average, %d at most.\n", mean, greatest)
	fmt.Printf("One accepted patch: %d bytes encoded.\n", slope.PatchSize())
	return nil
}

func printFit(fit slope.LinearFit) {
	fmt.Printf("| %s | %s | %s |", fit.Name, fit.CostUnit, fit.SizeUnit)
	for _, p := range fit.Points {
		fmt.Printf(" %.0f: %.4g;", p.Size, p.Value)
	}
	fmt.Printf(" | %.4g | %.4g |\n", fit.Slope, fit.AtTarget())
}
