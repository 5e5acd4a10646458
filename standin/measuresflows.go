package main

import (
	"fmt"
	"path/filepath"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/cyclamendock/cyclamendock/lib/carry"
	"github.com/cyclamendock/cyclamendock/standin/model"
)

const (
	plotHeight = 10 * vg.Centimeter
	plotWidth  = 20 * vg.Centimeter
	// powerLossAt and powerLoss are when and for how long all hosts are without power.
	powerLossAt = 3 * time.Second
	powerLoss   = time.Second
)

type flowPolicy struct {
	name   string
	policy carry.Policy
}

func flowPolicies() []flowPolicy {
	return []flowPolicy{
		{"all (chosen)", carry.Policy{}},
		{"order only", carry.Policy{OrderOnly: true}},
		{"without hints", carry.Policy{WithoutHints: true}},
		{"without proofs", carry.Policy{WithoutProofs: true}},
		{"without hints and proofs", carry.Policy{WithoutHints: true, WithoutProofs: true}},
	}
}

// A flowScene is one load of the carried flows.
type flowScene struct {
	config model.FlowsConfig
	file   string
	title  string
}

// flowScenes are of a service of seven backend servers with seven slots, 60 ms a request: 816 requests a second at most.
func flowScenes() []flowScene {
	base := model.FlowsConfig{
		Agents:    7,
		Aim:       300 * time.Millisecond,
		Balancers: 8,
		Callers:   200,
		Duration:  10 * time.Second,
		Fresh:     200,
		Kept:      200,
		Slots:     7,
		Timeout:   2500 * time.Millisecond,
		Work:      60 * time.Millisecond,
	}
	loss := base
	loss.Away, loss.AwayAt = powerLoss, powerLossAt
	full := base
	full.Fresh, full.Kept = 370, 370
	return []flowScene{
		{base, "flows-half", "half of what the backend servers carry"},
		{full, "flows-full", "nine tenths of what the backend servers carry"},
		{loss, "flows-power-loss", "half of it, all hosts without power from 3 s to 4 s"},
	}
}

// printFlows shows the policies of carried flows side by side and draws a plot of each load.
func (c *measuresCommand) printFlows() error {
	for _, scene := range flowScenes() {
		fmt.Printf("Carried flows, %s:\n\n", scene.title)
		fmt.Println("| policy | within the aim | not served | messages for each request |")
		fmt.Println("| --- | --- | --- | --- |")
		drawing := plot.New()
		drawing.Title.Text = "Carried flows, " + scene.title
		drawing.X.Label.Text = "second of asking"
		drawing.Y.Label.Text = "share answered within the aim"
		drawing.Y.Min, drawing.Y.Max = 0, 1
		for i, p := range flowPolicies() {
			result := c.meanFlows(scene.config, p.policy)
			asked := float64(result.Asked)
			fmt.Printf("| %s | %.1f %% | %.2f %% | %.2f |\n", p.name,
				100*float64(result.InAim)/asked, 100*float64(result.Failed)/asked, float64(result.Messages)/asked)
			if err := addLine(drawing, i, p.name, result.Shares); err != nil {
				return err
			}
		}
		fmt.Println()
		if c.Plots == "" {
			continue
		}
		if err := drawing.Save(plotWidth, plotHeight, filepath.Join(c.Plots, scene.file+".svg")); err != nil {
			return err
		}
	}
	return nil
}

// meanFlows returns the sum of five runs, with the mean of their shares.
func (c *measuresCommand) meanFlows(config model.FlowsConfig, policy carry.Policy) model.FlowsResult {
	var sum model.FlowsResult
	config.Policy = policy
	for i := range uint64(measureSeeds) {
		config.Seed = c.Seed + i
		result := model.Flows(config)
		sum.Asked += result.Asked
		sum.Failed += result.Failed
		sum.InAim += result.InAim
		sum.Messages += result.Messages
		if sum.Shares == nil {
			sum.Shares = make([]float64, len(result.Shares))
		}
		for window, share := range result.Shares {
			sum.Shares[window] += share / measureSeeds
		}
	}
	return sum
}

func addLine(drawing *plot.Plot, index int, name string, shares []float64) error {
	points := make(plotter.XYs, len(shares))
	for i, share := range shares {
		points[i] = plotter.XY{X: (time.Duration(i) * model.Window).Seconds(), Y: share}
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	line.Color = plotutil.Color(index)
	line.Dashes = plotutil.Dashes(index)
	line.Width = vg.Points(1.5)
	drawing.Add(line)
	drawing.Legend.Add(name, line)
	drawing.Legend.Left = true
	return nil
}
