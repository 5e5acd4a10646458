package main

import (
	"fmt"
	"path/filepath"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/cyclamendock/cyclamendock/lib/flows"
	"github.com/cyclamendock/cyclamendock/standin/model"
)

const (
	plotHeight = 10 * vg.Centimeter
	plotWidth  = 20 * vg.Centimeter
	// powerLossAt and powerLossDuration are the start and the length of the power loss at all hosts.
	powerLossAt       = 3 * time.Second
	powerLossDuration = time.Second
)

type flowPolicy struct {
	name             string
	policy           flows.Policy
	withoutSnapshots bool
}

func flowPolicies() []flowPolicy {
	return []flowPolicy{
		{name: "all (chosen)"},
		{name: "order only", policy: flows.Policy{WithoutLoads: true}},
		{name: "without hints", policy: flows.Policy{WithoutHints: true}},
		{name: "without proofs", policy: flows.Policy{WithoutProofs: true}},
		{name: "without snapshots", withoutSnapshots: true},
		{name: "without snapshots and proofs", policy: flows.Policy{WithoutProofs: true}, withoutSnapshots: true},
	}
}

// flowScenario is one load and fault scenario of the flow simulation, with the title and file name of its plot.
type flowScenario struct {
	config model.FlowsConfig
	file   string
	title  string
}

// flowScenarios returns scenarios of a service of seven backend servers with seven slots each and 60 ms a request, so
// that its capacity is 816 requests per second.
func flowScenarios() []flowScenario {
	base := model.FlowsConfig{
		Agents:             7,
		Balancers:          8,
		Duration:           10 * time.Second,
		LatencyTarget:      300 * time.Millisecond,
		PersistentCallers:  200,
		PersistentFlowRate: 200,
		ServiceTime:        60 * time.Millisecond,
		ShortFlowRate:      200,
		Slots:              7,
		Timeout:            2500 * time.Millisecond,
	}
	powerLoss := base
	powerLoss.OutageDuration, powerLoss.OutageAt = powerLossDuration, powerLossAt
	powerLossUnsafe := powerLoss
	powerLossUnsafe.UnsafePersistent = true
	full := base
	full.ShortFlowRate, full.PersistentFlowRate = 370, 370
	return []flowScenario{
		{base, "flows-half", "half of what the backend servers carry"},
		{full, "flows-full", "nine tenths of what the backend servers carry"},
		{powerLoss, "flows-power-loss", "half of it, all hosts without power from 3 s to 4 s"},
		{powerLossUnsafe, "flows-power-loss-unsafe", "the same, requests on persistent flows can't be repeated"},
	}
}

// printFlows prints a table that compares the forwarding policies in each scenario, and draws its plot.
func (c *measuresCommand) printFlows() error {
	for _, scenario := range flowScenarios() {
		fmt.Printf("Flows without an ID, %s:\n\n", scenario.title)
		fmt.Println("| policy | within the latency target | failed | messages for each request |")
		fmt.Println("| --- | --- | --- | --- |")
		chart := plot.New()
		chart.Title.Text = "Flows without an ID, " + scenario.title
		chart.X.Label.Text = "second of the request"
		chart.Y.Label.Text = "share answered within the latency target"
		chart.Y.Min, chart.Y.Max = 0, 1
		for i, p := range flowPolicies() {
			result := c.sumFlows(scenario.config, p)
			requests := float64(result.Requests)
			fmt.Printf("| %s | %.1f %% | %.2f %% | %.2f |\n", p.name,
				100*float64(result.OnTime)/requests, 100*float64(result.Failed)/requests, float64(result.Messages)/requests)
			if err := addLine(chart, i, p.name, result.OnTimeShares); err != nil {
				return err
			}
		}
		fmt.Println()
		if c.Plots == "" {
			continue
		}
		if err := chart.Save(plotWidth, plotHeight, filepath.Join(c.Plots, scenario.file+".svg")); err != nil {
			return err
		}
	}
	return nil
}

// sumFlows returns the sums of the counts of five runs, and the means of their shares.
func (c *measuresCommand) sumFlows(config model.FlowsConfig, p flowPolicy) model.FlowsResult {
	var sum model.FlowsResult
	config.Policy, config.WithoutSnapshots = p.policy, p.withoutSnapshots
	for i := range uint64(measureSeeds) {
		config.Seed = c.Seed + i
		result := model.SimulateFlows(config)
		sum.Requests += result.Requests
		sum.Failed += result.Failed
		sum.OnTime += result.OnTime
		sum.Messages += result.Messages
		if sum.OnTimeShares == nil {
			sum.OnTimeShares = make([]float64, len(result.OnTimeShares))
		}
		for window, share := range result.OnTimeShares {
			sum.OnTimeShares[window] += share / measureSeeds
		}
	}
	return sum
}

func addLine(chart *plot.Plot, index int, name string, shares []float64) error {
	points := make(plotter.XYs, len(shares))
	for i, share := range shares {
		points[i] = plotter.XY{X: (time.Duration(i) * model.ShareWindow).Seconds(), Y: share}
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	line.Color = plotutil.Color(index)
	line.Dashes = plotutil.Dashes(index)
	line.Width = vg.Points(1.5)
	chart.Add(line)
	chart.Legend.Add(name, line)
	chart.Legend.Left = true
	return nil
}
