package model

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/cyclamendock/cyclamendock/lib/config"
	"github.com/cyclamendock/cyclamendock/lib/steer"
)

const testSeeds = 5

func meanImbalance(flows int) float64 {
	sum := 0.0
	for seed := range uint64(testSeeds) {
		sum += Place(PlacementConfig{
			Backends: 7, Duration: 4 * time.Minute, Flows: flows, Hold: 20 * time.Second,
			Policy: steer.CompareMean, Seed: seed + 1, Slots: 7,
		}).Imbalance
	}
	return sum / testSeeds
}

func TestImbalanceStaysWithinItsTargets(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(meanImbalance(200)).To(gomega.BeNumerically("<=", 1.10))
	g.Expect(meanImbalance(50)).To(gomega.BeNumerically("<=", 1.20))
}

func TestSlowedBackendServerGetsNewFlowsInProportionAndComesBack(t *testing.T) {
	g := gomega.NewWithT(t)
	const windows = int(10 * time.Second / window)
	slowed, cooled := 0.0, 0.0
	for seed := range uint64(testSeeds) {
		result := Place(PlacementConfig{
			Backends: 7, CoolAt: 150 * time.Second, Duration: 220 * time.Second, Flows: 200, Hold: 20 * time.Second,
			Policy: steer.CompareMean, Seed: seed + 1, SlowAt: 100 * time.Second, Slowdown: 5, Slots: 7,
		})
		slowed += meanOf(result.SlowShare[20+windows:30]) / testSeeds
		cooled += meanOf(result.SlowShare[34:]) / testSeeds
	}
	g.Expect(slowed).To(gomega.BeNumerically("<=", 0.2*1.2))
	g.Expect(cooled).To(gomega.BeNumerically(">=", 1/1.2))
}

func meanOf(values []float64) float64 {
	sum := 0.0
	for _, value := range values {
		sum += value
	}
	return sum / float64(len(values))
}

func TestOtherKindsKeepTheirWorkInAFlood(t *testing.T) {
	kinds := []config.Kind{
		{Class: config.ClassMutating, Name: "urgent", QueueLimit: 50, Share: 50, Timeout: 5 * time.Second, Typical: 20 * time.Millisecond, Urgency: 3},
		{Class: config.ClassRead, Name: "lazy", QueueLimit: 50, Share: 30, Timeout: 3 * time.Second, Typical: 20 * time.Millisecond, Urgency: 1},
	}
	for _, slots := range []int{2, 7} {
		for _, kind := range kinds {
			kept := Kept(FloodConfig{Duration: time.Minute, Factor: 10, Flooded: kind.Name, Kinds: kinds, Seed: 1, Slots: slots})
			gomega.NewWithT(t).Expect(kept).To(gomega.BeNumerically(">=", 0.95), "%d slots, flood of %s", slots, kind.Name)
		}
	}
}
