package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/cyclamendock/cyclamendock/lib/fault"
	"github.com/cyclamendock/cyclamendock/standin/tuple"
)

// soakNetworks is how many loopback networks the seeds of a series share.
const soakNetworks = 8

type soakCommand struct {
	Bin      string        `help:"Folder of the programs." default:"bin"`
	Dir      string        `help:"Folder for settings and logs." default:"run/soak"`
	Duration time.Duration `help:"How long to disturb." default:"15s"`
	Seed     uint64        `help:"First seed." default:"1"`
	Seeds    uint64        `help:"How many seeds to run." default:"1"`
}

// Run disturbs the real programs under one seed after the other and fails when a promise was broken.
func (c *soakCommand) Run() error {
	program, err := filepath.Abs(filepath.Join(c.Bin, "platform"))
	if err != nil {
		return err
	}
	ctx, stop := untilSignal()
	defer stop()
	broken := 0
	for seed := c.Seed; seed < c.Seed+c.Seeds && ctx.Err() == nil; seed++ {
		dir := filepath.Join(c.Dir, fmt.Sprintf("seed-%d", seed))
		if err := os.MkdirAll(dir, 0o755); err != nil {
			return err
		}
		report, err := tuple.Soak(ctx, tuple.SoakConfig{
			Dir:      dir,
			Duration: c.Duration,
			Network:  byte(110 + seed%soakNetworks),
			Program:  program,
			Seed:     seed,
		})
		if err != nil {
			return err
		}
		fmt.Printf("seed %d: %d disturbances, %d served, %d failed meanwhile, %d promises broken\n",
			seed, len(report.Disturbances), report.Served, report.Failed, len(report.Violations))
		if len(report.Violations) > 0 {
			broken++
			printViolations(report, dir)
		}
	}
	if broken > 0 {
		return fault.New(fault.Internal, fmt.Sprintf("%d seeds broke promises", broken), "see the lines above and the logs")
	}
	return nil
}

func printViolations(report tuple.SoakReport, dir string) {
	for _, violation := range report.Violations {
		fmt.Println("  broken:", violation)
	}
	for _, disturbance := range report.Disturbances {
		fmt.Println("  did:", disturbance)
	}
	fmt.Println("  logs:", dir)
}
