package model

import (
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/cyclamendock/cyclamendock/lib/flows"
	"github.com/cyclamendock/cyclamendock/lib/seeded"
)

const (
	slowSpeed = 0.55 // of every fourth backend server
	fastSpeed = 1.2  // of the others
	// longFlowShare is the share of the requests that come on long flows.
	longFlowShare = 0.75
)

// overloadConfig returns a service of backend servers with different speeds under a load in parts of its capacity, and the
// capacity in requests per second.
func overloadConfig(load float64, duration time.Duration) (FlowsConfig, float64) {
	config := FlowsConfig{
		Agents:           45,
		Balancers:        10,
		Duration:         duration,
		LatencyTarget:    250 * time.Millisecond,
		LongFlowPause:    300 * time.Millisecond,
		LongFlowRequests: 8,
		Seed:             seeded.Seed(),
		ServiceTime:      26 * time.Millisecond,
		Slots:            2,
		Timeout:          1500 * time.Millisecond,
		WarmUp:           3 * time.Second,
	}
	speeds := 0.0
	for i := range config.Agents {
		speed := fastSpeed
		if i%4 == 3 {
			speed = slowSpeed
		}
		config.Speeds = append(config.Speeds, speed)
		speeds += speed
	}
	capacity := speeds * float64(config.Slots) / config.ServiceTime.Seconds()
	config.LongFlowRate = longFlowShare * load * capacity
	config.ShortFlowRate = (1 - longFlowShare) * load * capacity
	return config, capacity
}

// minOverloadGoodput is the smallest goodput at 220 % of the capacity, in parts of that at 100 %.
const minOverloadGoodput = 0.9

// minOwnShare is the smallest share of a route's requests that must be answered in time during a flood on another one.
const minOwnShare = 0.95

// secondsVariable names the environment variable with the length of the measurement in seconds. If it is set, all loads
// are measured.
const secondsVariable = "OVERLOAD_SECONDS"

// Guards against work for callers that have given up or are too late, which lowers what a service answers in time when
// callers ask for more than it can do, and against refusals that come too late for another attempt.
func TestGoodputIsKeptUnderOverload(t *testing.T) {
	loads, duration := []float64{1, 2.2}, 2*time.Second
	if seconds, err := strconv.Atoi(os.Getenv(secondsVariable)); err == nil {
		loads, duration = []float64{0.9, 1, 1.05, 1.25, 1.6, 2.2}, time.Duration(seconds)*time.Second
	}
	for name, admission := range map[string]flows.Admission{"adaptive": flows.AdmissionAdaptive, "fixed": flows.AdmissionFixed} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			goodput := map[float64]float64{}
			for _, load := range loads {
				config, capacity := overloadConfig(load, duration)
				config.Admission = admission
				result := SimulateFlows(config)
				goodput[load] = float64(result.OnTime) / duration.Seconds()
				t.Logf("| %.0f %% | %d | %d | %.3f | %d | %d | %d | %d | %d ms |", 100*load, result.Requests, result.OnTime,
					float64(result.OnTime)/min(float64(result.Requests), capacity*duration.Seconds()),
					result.Failed, result.Shed, result.Resets, result.Messages, result.RefusedAfter.Milliseconds())
				if admission == flows.AdmissionAdaptive && load == loads[len(loads)-1] {
					g.Expect(result.RefusedAfter).To(gomega.BeNumerically("<=", config.LatencyTarget/4))
				}
			}
			g.Expect(goodput[2.2]).To(gomega.BeNumerically(">=", minOverloadGoodput*goodput[1]))
		})
	}
}

// Guards against a flood on one route that takes slots from another route which asks for less than its share.
func TestFloodOfOneRouteTakesFromItsOwnShare(t *testing.T) {
	g := gomega.NewWithT(t)
	const ownLoad, flood = 0.4, 2 // in parts of the capacity; the share of each of two routes is 0.5
	config, capacity := overloadConfig(ownLoad, 2*time.Second)
	config.Admission = flows.AdmissionAdaptive
	config.FloodRate = flood * capacity
	result := SimulateFlows(config)
	own := float64(result.OnTime) / float64(result.Requests)
	served := float64(result.OnTime+result.Flood.OnTime) / (capacity * config.Duration.Seconds())
	t.Logf("%.3f of the route's requests in time, %.3f of the capacity used in time, %d messages", own, served, result.Messages)
	g.Expect(own).To(gomega.BeNumerically(">=", minOwnShare))
	g.Expect(served).To(gomega.BeNumerically(">=", minOverloadGoodput))
}

// Guards against decisions about several routes that depend on the order of a map.
func TestOverloadedRunsWithSameSeedAreIdentical(t *testing.T) {
	g := gomega.NewWithT(t)
	config, capacity := overloadConfig(0.6, 500*time.Millisecond)
	config.Admission = flows.AdmissionAdaptive
	config.FloodRate = capacity
	config.WarmUp = time.Second
	g.Expect(SimulateFlows(config)).To(gomega.Equal(SimulateFlows(config)))
}
