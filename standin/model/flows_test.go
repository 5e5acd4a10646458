package model

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/cyclamendock/cyclamendock/lib/flows"
	"github.com/cyclamendock/cyclamendock/lib/seeded"
)

func flowsConfig() FlowsConfig {
	return FlowsConfig{
		Agents:             7,
		Balancers:          5,
		Duration:           10 * time.Second,
		LatencyTarget:      300 * time.Millisecond,
		PersistentCallers:  150,
		PersistentFlowRate: 200,
		Seed:               seeded.Seed(),
		ServiceTime:        60 * time.Millisecond,
		ShortFlowRate:      200,
		Slots:              7,
		Timeout:            2500 * time.Millisecond,
	}
}

func TestAllRequestsAreServedWithoutFaults(t *testing.T) {
	g := gomega.NewWithT(t)
	result := SimulateFlows(flowsConfig())
	g.Expect(result.Requests).To(gomega.BeNumerically("~", 4000, 400))
	g.Expect(result.Failed).To(gomega.BeZero())
	g.Expect(float64(result.OnTime) / float64(result.Requests)).To(gomega.BeNumerically(">", 0.99))
}

func TestRunsWithSameSeedAreIdentical(t *testing.T) {
	g := gomega.NewWithT(t)
	config := flowsConfig()
	config.OutageDuration, config.OutageAt = time.Second, 3*time.Second
	g.Expect(SimulateFlows(config)).To(gomega.Equal(SimulateFlows(config)))
}

// minShareAfterPowerLoss is the smallest share of on-time requests in each window from two seconds after the outage.
const minShareAfterPowerLoss = 0.25

func TestServiceRecoversSoonAfterPowerLoss(t *testing.T) {
	g := gomega.NewWithT(t)
	config := flowsConfig()
	config.OutageDuration, config.OutageAt = time.Second, 3*time.Second
	result := SimulateFlows(config)
	recovered := int((config.OutageAt + config.OutageDuration + 2*time.Second) / ShareWindow)
	for i, share := range result.OnTimeShares[recovered:] {
		g.Expect(share).To(gomega.BeNumerically(">", minShareAfterPowerLoss), "window %d", recovered+i)
	}
	g.Expect(result.OnTimeShares[len(result.OnTimeShares)-1]).To(gomega.BeNumerically(">", 0.95))
}

// Without snapshots, as they leave few flows whose end has to be proved.
func TestProofsReduceFailuresAfterPowerLoss(t *testing.T) {
	g := gomega.NewWithT(t)
	config := flowsConfig()
	config.WithoutSnapshots = true
	config.OutageDuration, config.OutageAt = time.Second, 3*time.Second
	with := SimulateFlows(config)
	config.Policy = flows.Policy{WithoutProofs: true}
	without := SimulateFlows(config)
	g.Expect(with.Failed).To(gomega.BeNumerically("<", without.Failed))
}

func TestSnapshotsReduceLostUnsafeRequestsAfterPowerLoss(t *testing.T) {
	g := gomega.NewWithT(t)
	config := flowsConfig()
	config.OutageDuration, config.OutageAt = time.Second, 3*time.Second
	config.UnsafePersistent = true
	with := SimulateFlows(config)
	config.WithoutSnapshots = true
	without := SimulateFlows(config)
	t.Logf("failed with and without snapshots: %d and %d of %d", with.Failed, without.Failed, with.Requests)
	g.Expect(with.Failed).To(gomega.BeNumerically("<", without.Failed))
}

// minServedOfCapacity is the smallest share of what the slots can do that must be answered on time under overload.
const minServedOfCapacity = 0.9

// Load of all kinds stays above what the backend servers can do, most of it on open flows, which can't move.
func TestLastingOverloadLeavesSlotsToRequestsInTime(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, load := range []float64{0.9, 1.05, 1.25, 2.5} {
		config := flowsConfig()
		config.Agents, config.Balancers, config.Slots = 27, 15, 2
		config.LatencyTarget, config.Timeout = 500*time.Millisecond, 4*time.Second
		config.PersistentCallers = 720
		capacity := float64(config.Agents*config.Slots) / config.ServiceTime.Seconds()
		config.PersistentFlowRate = 0.75 * load * capacity
		config.ShortFlowRate = 0.25 * load * capacity
		result := SimulateFlows(config)
		onTime := float64(result.OnTime) / float64(result.Requests)
		t.Logf("load %.2f: %.3f on time, %.3f failed", load, onTime, float64(result.Failed)/float64(result.Requests))
		g.Expect(onTime).To(gomega.BeNumerically(">=", minServedOfCapacity*min(1, 1/load)), "load %.2f", load)
	}
}

func TestHintsReduceMessages(t *testing.T) {
	g := gomega.NewWithT(t)
	config := flowsConfig()
	with := SimulateFlows(config)
	config.Policy = flows.Policy{WithoutHints: true}
	g.Expect(with.Messages).To(gomega.BeNumerically("<", SimulateFlows(config).Messages))
}
