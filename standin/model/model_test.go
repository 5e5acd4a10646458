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
		sum += SimulatePlacement(PlacementConfig{
			Backends: 7, Duration: 4 * time.Minute, FlowDuration: 20 * time.Second, Flows: flows,
			Policy: steer.CompareMean, Seed: seed + 1, Slots: 7,
		}).Imbalance
	}
	return sum / testSeeds
}

func TestImbalanceStaysWithinTargets(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(meanImbalance(200)).To(gomega.BeNumerically("<=", 1.10))
	g.Expect(meanImbalance(50)).To(gomega.BeNumerically("<=", 1.20))
}

func TestSlowedBackendServerGetsFewerNewFlowsUntilItRecovers(t *testing.T) {
	g := gomega.NewWithT(t)
	const settling = int(10 * time.Second / windowDuration)
	slowed, recovered := 0.0, 0.0
	for seed := range uint64(testSeeds) {
		result := SimulatePlacement(PlacementConfig{
			Backends: 7, Duration: 220 * time.Second, FlowDuration: 20 * time.Second, Flows: 200, Policy: steer.CompareMean,
			RecoverAt: 150 * time.Second, Seed: seed + 1, Slots: 7, Slowdown: 5, SlowdownAt: 100 * time.Second,
		})
		slowed += mean(result.SlowedShares[20+settling:30]) / testSeeds
		recovered += mean(result.SlowedShares[34:]) / testSeeds
	}
	g.Expect(slowed).To(gomega.BeNumerically("<=", 0.2*1.2))
	g.Expect(recovered).To(gomega.BeNumerically(">=", 1/1.2))
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, value := range values {
		sum += value
	}
	return sum / float64(len(values))
}

func TestOtherKindsRetainThroughputDuringFlood(t *testing.T) {
	kinds := []config.Kind{
		{Class: config.ClassMutating, Name: "urgent", QueueLimit: 50, Share: 50, Timeout: 5 * time.Second, TypicalDuration: 20 * time.Millisecond, Urgency: 3},
		{Class: config.ClassRead, Name: "lazy", QueueLimit: 50, Share: 30, Timeout: 3 * time.Second, TypicalDuration: 20 * time.Millisecond, Urgency: 1},
	}
	for _, slots := range []int{2, 7} {
		for _, kind := range kinds {
			retained := RetainedThroughput(FloodConfig{
				Duration: time.Minute, FloodedKind: kind.Name, Kinds: kinds, OverloadFactor: 10, Seed: 1, Slots: slots,
			})
			gomega.NewWithT(t).Expect(retained).To(gomega.BeNumerically(">=", 0.95), "%d slots, flood of %s", slots, kind.Name)
		}
	}
}
