package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/cyclamendock/cyclamendock/lib/fault"
	"github.com/cyclamendock/cyclamendock/standin/tuple"
)

// soakNetworks is how many loopback networks there are for seeds that run at once.
const soakNetworks = 8

// firstSoakNetwork is the first of these networks.
const firstSoakNetwork = 110

type soakCommand struct {
	Bin      string        `help:"Folder of the programs." default:"bin"`
	Dir      string        `help:"Folder for settings and logs." default:"run/soak"`
	Duration time.Duration `help:"How long to disturb." default:"15s"`
	Jobs     int           `help:"How many seeds to run at once, up to eight." default:"1"`
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
	for result := range c.start(ctx, program) {
		if result.err != nil {
			return result.err
		}
		result.print()
		if len(result.report.Violations) > 0 {
			broken++
		}
	}
	if broken > 0 {
		return fault.New(fault.Internal, fmt.Sprintf("%d seeds broke promises", broken), "see the lines above and the logs")
	}
	return nil
}

// start runs all seeds, some at once, and returns their results as they come.
func (c *soakCommand) start(ctx context.Context, program string) <-chan soakResult {
	seeds := make(chan uint64)
	results := make(chan soakResult)
	var wait sync.WaitGroup
	for worker := range min(c.Jobs, soakNetworks) {
		wait.Go(func() { c.runSeeds(ctx, program, byte(firstSoakNetwork+worker), seeds, results) })
	}
	go c.feedSeeds(ctx, seeds)
	go func() {
		wait.Wait()
		close(results)
	}()
	return results
}

// A soakResult is what one seed showed.
type soakResult struct {
	dir    string
	err    error
	report tuple.SoakReport
	seed   uint64
}

func (r soakResult) print() {
	fmt.Printf("seed %d: %d disturbances, %d served, %d failed meanwhile, %d promises broken\n",
		r.seed, len(r.report.Disturbances), r.report.Served, r.report.Failed, len(r.report.Violations))
	if len(r.report.Violations) > 0 {
		printViolations(r.report, r.dir)
	}
}

func (c *soakCommand) feedSeeds(ctx context.Context, seeds chan<- uint64) {
	defer close(seeds)
	for seed := c.Seed; seed < c.Seed+c.Seeds; seed++ {
		select {
		case seeds <- seed:
		case <-ctx.Done():
			return
		}
	}
}

// runSeeds runs one seed after the other on one network.
func (c *soakCommand) runSeeds(ctx context.Context, program string, network byte, seeds <-chan uint64, results chan<- soakResult) {
	for seed := range seeds {
		result := soakResult{dir: filepath.Join(c.Dir, fmt.Sprintf("seed-%d", seed)), seed: seed}
		if result.err = os.MkdirAll(result.dir, 0o755); result.err == nil {
			result.report, result.err = tuple.Soak(ctx, tuple.SoakConfig{
				Dir:      result.dir,
				Duration: c.Duration,
				Network:  network,
				Program:  program,
				Seed:     seed,
			})
		}
		results <- result
	}
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
