package main

import (
	"fmt"
	"time"

	"github.com/cyclamendock/cyclamendock/lib/config"
	"github.com/cyclamendock/cyclamendock/lib/steer"
	"github.com/cyclamendock/cyclamendock/standin/local"
	"github.com/cyclamendock/cyclamendock/standin/model"
)

const (
	measureSeeds          = 5 // runs behind each mean
	placementDuration     = 5 * time.Minute
	placementFlowDuration = 20 * time.Second
	slowdownFactor        = 5
)

type measuresCommand struct {
	Plots string `help:"Folder for the plots of forwarded flows; without it none are drawn." type:"existingdir"`
	Seed  uint64 `help:"First of the five consecutive seeds." default:"1"`
}

type namedPolicy struct {
	name   string
	policy steer.Policy
}

// Run prints the tables of docs/MEASURES.md.
func (c *measuresCommand) Run() error {
	c.printPlacement()
	c.printSlowdown()
	if err := c.printFloods(); err != nil {
		return err
	}
	return c.printFlows()
}

func placementPolicies() []namedPolicy {
	return []namedPolicy{
		{"plain hash, no hand-over", steer.HashOnly},
		{"first candidate below its limit", steer.FirstBelowLimit},
		{"three candidates compared", steer.CompareAll},
		{"three, compared with the mean (chosen)", steer.CompareMean},
	}
}

// printPlacement prints the imbalance and the hops of each placement policy without faults.
func (c *measuresCommand) printPlacement() {
	sizes := []struct{ backends, flows int }{{7, 50}, {7, 200}, {3, 200}, {100, 20_000}}
	fmt.Println("| policy | 50 flows on 7 | 200 on 7 | 200 on 3 | 20,000 on 100 | hops at 200 on 7 |")
	fmt.Println("| --- | --- | --- | --- | --- | --- |")
	for _, p := range placementPolicies() {
		fmt.Printf("| %s |", p.name)
		hops := 0.0
		for _, size := range sizes {
			result := c.meanPlacement(model.PlacementConfig{Backends: size.backends, Flows: size.flows, Policy: p.policy, Slots: 7})
			fmt.Printf(" %.3f |", result.Imbalance)
			if size.backends == 7 && size.flows == 200 {
				hops = result.Hops
			}
		}
		fmt.Printf(" %.2f |\n", hops)
	}
}

// meanPlacement returns the mean of five runs without faults; Refused is their sum.
func (c *measuresCommand) meanPlacement(base model.PlacementConfig) model.PlacementResult {
	var sum model.PlacementResult
	for i := range uint64(measureSeeds) {
		base.Seed = c.Seed + i
		base.FlowDuration = placementFlowDuration
		base.Duration = placementDuration
		result := model.SimulatePlacement(base)
		sum.Imbalance += result.Imbalance / measureSeeds
		sum.Hops += result.Hops / measureSeeds
		sum.Refused += result.Refused
	}
	return sum
}

// printSlowdown prints the share of new flows that a backend server gets before, during and after a fivefold slowdown.
func (c *measuresCommand) printSlowdown() {
	const slowAt, recoverAt, end = 100 * time.Second, 150 * time.Second, 220 * time.Second
	fmt.Println("\n| policy | before | slowed, after 10 s | cooled, after 20 s |")
	fmt.Println("| --- | --- | --- | --- |")
	for _, p := range placementPolicies() {
		var before, slowed, recovered float64
		for i := range uint64(measureSeeds) {
			result := model.SimulatePlacement(model.PlacementConfig{
				Backends: 7, Duration: end, FlowDuration: placementFlowDuration, Flows: 200, Policy: p.policy,
				RecoverAt: recoverAt, Seed: c.Seed + i, Slots: 7, Slowdown: slowdownFactor, SlowdownAt: slowAt,
			})
			before += meanShareBetween(result, 60*time.Second, slowAt) / measureSeeds
			slowed += meanShareBetween(result, slowAt+10*time.Second, recoverAt) / measureSeeds
			recovered += meanShareBetween(result, recoverAt+20*time.Second, end) / measureSeeds
		}
		fmt.Printf("| %s | %.2f | %.2f | %.2f |\n", p.name, before, slowed, recovered)
	}
}

// meanShareBetween returns the mean share of new flows over the windows that lie within the given span.
func meanShareBetween(result model.PlacementResult, from, to time.Duration) float64 {
	const window = 5 * time.Second
	sum, count := 0.0, 0
	for i, share := range result.SlowedShares {
		start := time.Duration(i) * window
		if start >= from && start+window <= to {
			sum += share
			count++
		}
	}
	return sum / float64(max(count, 1))
}

// printFloods prints the throughput that the other kinds retain while requests of one kind arrive at ten times the
// capacity.
func (c *measuresCommand) printFloods() error {
	fmt.Println("\n| deployment | service | flooded kind | urgency | one queue | kinds of work (chosen) |")
	fmt.Println("| --- | --- | --- | --- | --- | --- |")
	for _, name := range []string{"huber", "barfani"} {
		deployment, err := local.FindDeployment(name)
		if err != nil {
			return err
		}
		for _, spec := range deployment.Services {
			for _, kind := range spec.Kinds {
				if kind.Class != config.ClassFeed && len(spec.Kinds) > 2 {
					c.printFlood(name, spec, kind)
				}
			}
		}
	}
	return nil
}

func (c *measuresCommand) printFlood(deployment string, spec local.ServiceSpec, kind config.Kind) {
	var singleQueue, queuePerKind float64
	for i := range uint64(measureSeeds) {
		flood := model.FloodConfig{
			Duration: time.Minute, FloodedKind: kind.Name, Kinds: spec.Kinds, OverloadFactor: 10, Seed: c.Seed + i, Slots: spec.Slots,
		}
		queuePerKind += model.RetainedThroughput(flood) / measureSeeds
		flood.SingleQueue = true
		singleQueue += model.RetainedThroughput(flood) / measureSeeds
	}
	fmt.Printf("| %s | %s | %s | %d | %.1f %% | %.1f %% |\n",
		deployment, spec.Name, kind.Name, kind.Urgency, 100*singleQueue, 100*queuePerKind)
}
