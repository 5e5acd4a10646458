package main

import (
	"fmt"
	"time"

	"github.com/cyclamendock/cyclamendock/lib/config"
	"github.com/cyclamendock/cyclamendock/lib/steer"
	"github.com/cyclamendock/cyclamendock/standin/model"
	"github.com/cyclamendock/cyclamendock/standin/stage"
)

const (
	measureSeeds = 5
	modelHold    = 20 * time.Second
	modelSpan    = 5 * time.Minute
	slowBy       = 5
)

type measuresCommand struct {
	Plots string `help:"Directory for the plots of carried flows; none are drawn without it." type:"existingdir"`
	Seed  uint64 `help:"First of five seeds." default:"1"`
}

type namedPolicy struct {
	name   string
	policy steer.Policy
}

// Run prints the tables of docs/MEASURES.md.
func (c *measuresCommand) Run() error {
	c.printPlacement()
	c.printHeat()
	if err := c.printFloods(); err != nil {
		return err
	}
	return c.printFlows()
}

func policies() []namedPolicy {
	return []namedPolicy{
		{"plain hash, no hand-over", steer.HashOnly},
		{"first candidate below its limit", steer.FirstBelowLimit},
		{"three candidates compared", steer.CompareTwo},
		{"three, compared with the mean (chosen)", steer.CompareMean},
	}
}

// printPlacement shows imbalance and hops with all well.
func (c *measuresCommand) printPlacement() {
	sizes := []struct{ backends, flows int }{{7, 50}, {7, 200}, {3, 200}, {100, 20_000}}
	fmt.Println("| policy | 50 flows on 7 | 200 on 7 | 200 on 3 | 20,000 on 100 | hops at 200 on 7 |")
	fmt.Println("| --- | --- | --- | --- | --- | --- |")
	for _, p := range policies() {
		fmt.Printf("| %s |", p.name)
		hops := 0.0
		for _, size := range sizes {
			result := c.mean(model.PlacementConfig{Backends: size.backends, Flows: size.flows, Policy: p.policy, Slots: 7})
			fmt.Printf(" %.3f |", result.Imbalance)
			if size.backends == 7 && size.flows == 200 {
				hops = result.Hops
			}
		}
		fmt.Printf(" %.2f |\n", hops)
	}
}

// mean returns the mean of five runs with all well.
func (c *measuresCommand) mean(base model.PlacementConfig) model.PlacementResult {
	var sum model.PlacementResult
	for i := range uint64(measureSeeds) {
		base.Seed = c.Seed + i
		base.Hold = modelHold
		base.Duration = modelSpan
		result := model.Place(base)
		sum.Imbalance += result.Imbalance / measureSeeds
		sum.Hops += result.Hops / measureSeeds
		sum.Refused += result.Refused
	}
	return sum
}

// printHeat shows the share of new flows of a backend server that is slowed fivefold and then cools.
func (c *measuresCommand) printHeat() {
	const slowAt, coolAt, end = 100 * time.Second, 150 * time.Second, 220 * time.Second
	fmt.Println("\n| policy | before | slowed, after 10 s | cooled, after 20 s |")
	fmt.Println("| --- | --- | --- | --- |")
	for _, p := range policies() {
		var before, slowed, cooled float64
		for i := range uint64(measureSeeds) {
			result := model.Place(model.PlacementConfig{
				Backends: 7, CoolAt: coolAt, Duration: end, Flows: 200, Hold: modelHold, Policy: p.policy,
				Seed: c.Seed + i, SlowAt: slowAt, Slowdown: slowBy, Slots: 7,
			})
			before += shareBetween(result, 60*time.Second, slowAt) / measureSeeds
			slowed += shareBetween(result, slowAt+10*time.Second, coolAt) / measureSeeds
			cooled += shareBetween(result, coolAt+20*time.Second, end) / measureSeeds
		}
		fmt.Printf("| %s | %.2f | %.2f | %.2f |\n", p.name, before, slowed, cooled)
	}
}

func shareBetween(result model.PlacementResult, from, to time.Duration) float64 {
	const window = 5 * time.Second
	sum, count := 0.0, 0
	for i, share := range result.SlowShare {
		start := time.Duration(i) * window
		if start >= from && start+window <= to {
			sum += share
			count++
		}
	}
	return sum / float64(max(count, 1))
}

// printFloods shows what the other kinds keep while one kind floods tenfold.
func (c *measuresCommand) printFloods() error {
	fmt.Println("\n| deployment | service | flooded kind | urgency | one queue | kinds of work (chosen) |")
	fmt.Println("| --- | --- | --- | --- | --- | --- |")
	for _, name := range []string{"huber", "barfani"} {
		deployment, err := stage.FindDeployment(name)
		if err != nil {
			return err
		}
		for _, plan := range deployment.Services {
			for _, kind := range plan.Kinds {
				if kind.Class != config.ClassFeed && len(plan.Kinds) > 2 {
					c.printFlood(name, plan, kind)
				}
			}
		}
	}
	return nil
}

func (c *measuresCommand) printFlood(deployment string, plan stage.ServicePlan, kind config.Kind) {
	var without, with float64
	for i := range uint64(measureSeeds) {
		flood := model.FloodConfig{
			Duration: time.Minute, Factor: 10, Flooded: kind.Name, Kinds: plan.Kinds, Seed: c.Seed + i, Slots: plan.Slots,
		}
		with += model.Kept(flood) / measureSeeds
		flood.NoKinds = true
		without += model.Kept(flood) / measureSeeds
	}
	fmt.Printf("| %s | %s | %s | %d | %.1f %% | %.1f %% |\n",
		deployment, plan.Name, kind.Name, kind.Urgency, 100*without, 100*with)
}
