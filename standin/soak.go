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

const (
	soakFirstNetwork = 110 // second byte of the hosts' loopback addresses at the first worker
	soakNetworks     = 8   // number of loopback networks, and so of seeds that can run at once
)

type soakCommand struct {
	Agents    int           `help:"Number of agents with --cuts; 5 to 9, by the seed, when not given."`
	Balancers int           `help:"Number of balancers at the start with --cuts." default:"3"`
	Bin       string        `help:"Folder of the programs." default:"bin"`
	Cuts      bool          `help:"Cut agents off from all other processes and add balancers meanwhile, instead of random faults."`
	Dir       string        `help:"Folder for settings and logs." default:"run/soak"`
	Duration  time.Duration `help:"How long to inject random faults under each seed." default:"15s"`
	Jobs      int           `help:"Number of seeds to run at once, up to eight." default:"1"`
	Seed      uint64        `help:"First seed." default:"1"`
	Seeds     uint64        `help:"Number of seeds to run." default:"1"`
}

// Run soaks the real programs under every seed, and fails when an invariant was violated.
func (c *soakCommand) Run() error {
	name := "platform"
	if c.Cuts {
		name = "platform-cuts"
	}
	program, err := filepath.Abs(filepath.Join(c.Bin, name))
	if err != nil {
		return err
	}
	ctx, stop := signalContext()
	defer stop()
	failedSeeds := 0
	for result := range c.startSeeds(ctx, program) {
		if result.err != nil {
			return result.err
		}
		result.print()
		if len(result.report.Violations) > 0 {
			failedSeeds++
		}
	}
	if failedSeeds > 0 {
		return fault.New(fault.Internal, fmt.Sprintf("invariants were violated under %d seeds", failedSeeds), "see the lines above and the logs")
	}
	return nil
}

// startSeeds starts up to Jobs workers that run all seeds, and returns the channel of their results.
func (c *soakCommand) startSeeds(ctx context.Context, program string) <-chan soakResult {
	seeds := make(chan uint64)
	results := make(chan soakResult)
	var group sync.WaitGroup
	for worker := range min(c.Jobs, soakNetworks) {
		group.Go(func() { c.runSeeds(ctx, program, byte(soakFirstNetwork+worker), seeds, results) })
	}
	go c.runSendSeeds(ctx, seeds)
	go func() {
		group.Wait()
		close(results)
	}()
	return results
}

// soakResult holds the result of the soak test under one seed.
type soakResult struct {
	dir    string
	err    error
	report tuple.SoakReport
	seed   uint64
}

func (r soakResult) print() {
	fmt.Printf("seed %d: %d faults injected, %d requests served, %d failed meanwhile, %d resets excused, %d invariants violated\n",
		r.seed, len(r.report.Faults), r.report.Served, r.report.Failed, r.report.Excused, len(r.report.Violations))
	if len(r.report.Violations) > 0 {
		printViolations(r.report, r.dir)
	}
}

// runSendSeeds sends the seeds to the workers, and closes the channel after the last one or when ctx ends.
func (c *soakCommand) runSendSeeds(ctx context.Context, seeds chan<- uint64) {
	defer close(seeds)
	for seed := c.Seed; seed < c.Seed+c.Seeds; seed++ {
		select {
		case seeds <- seed:
		case <-ctx.Done():
			return
		}
	}
}

// runSeeds runs the seeds that it receives one by one, on one loopback network.
func (c *soakCommand) runSeeds(ctx context.Context, program string, network byte, seeds <-chan uint64, results chan<- soakResult) {
	for seed := range seeds {
		result := soakResult{dir: filepath.Join(c.Dir, fmt.Sprintf("seed-%d", seed)), seed: seed}
		if result.err = os.MkdirAll(result.dir, 0o755); result.err == nil {
			result.report, result.err = c.runSeed(ctx, tuple.SoakConfig{
				Duration:    c.Duration,
				Network:     network,
				ProgramPath: program,
				Seed:        seed,
				WorkDir:     result.dir,
			})
		}
		results <- result
	}
}

// runSeed soaks the programs under one seed, with cuts or with random faults.
func (c *soakCommand) runSeed(ctx context.Context, config tuple.SoakConfig) (tuple.SoakReport, error) {
	if !c.Cuts {
		return tuple.Soak(ctx, config)
	}
	cuts := tuple.RandomCutSoak(config)
	cuts.Balancers = c.Balancers
	if c.Agents > 0 {
		cuts.Agents = c.Agents
	}
	return tuple.CutSoak(ctx, cuts)
}

func printViolations(report tuple.SoakReport, dir string) {
	for _, violation := range report.Violations {
		fmt.Println("  violated:", violation)
	}
	for _, injected := range report.Faults {
		fmt.Println("  fault:", injected)
	}
	fmt.Println("  logs:", dir)
}
