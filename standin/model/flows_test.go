package model

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/cyclamendock/cyclamendock/lib/carry"
	"github.com/cyclamendock/cyclamendock/lib/proof"
)

func flowsConfig() FlowsConfig {
	return FlowsConfig{
		Agents:    7,
		Aim:       300 * time.Millisecond,
		Balancers: 5,
		Callers:   150,
		Duration:  10 * time.Second,
		Fresh:     200,
		Kept:      200,
		Seed:      proof.Seed(),
		Slots:     7,
		Timeout:   2500 * time.Millisecond,
		Work:      60 * time.Millisecond,
	}
}

func TestAllRequestsAreServedWhenAllIsWell(t *testing.T) {
	g := gomega.NewWithT(t)
	result := Flows(flowsConfig())
	g.Expect(result.Asked).To(gomega.BeNumerically("~", 4000, 400))
	g.Expect(result.Failed).To(gomega.BeZero())
	g.Expect(float64(result.InAim) / float64(result.Asked)).To(gomega.BeNumerically(">", 0.99))
}

func TestRunsOfOneSeedAreAlike(t *testing.T) {
	g := gomega.NewWithT(t)
	config := flowsConfig()
	config.Away, config.AwayAt = time.Second, 3*time.Second
	g.Expect(Flows(config)).To(gomega.Equal(Flows(config)))
}

// quarterAfter is the part of the requests that has to be served once the hosts are back.
const quarterAfter = 0.25

func TestServiceIsBackSoonAfterAPowerLoss(t *testing.T) {
	g := gomega.NewWithT(t)
	config := flowsConfig()
	config.Away, config.AwayAt = time.Second, 3*time.Second
	result := Flows(config)
	back := int((config.AwayAt + config.Away + 2*time.Second) / Window)
	for i, share := range result.Shares[back:] {
		g.Expect(share).To(gomega.BeNumerically(">", quarterAfter), "window %d", back+i)
	}
	g.Expect(result.Shares[len(result.Shares)-1]).To(gomega.BeNumerically(">", 0.95))
}

func TestProofsServeMoreAfterAPowerLoss(t *testing.T) {
	g := gomega.NewWithT(t)
	config := flowsConfig()
	config.Away, config.AwayAt = time.Second, 3*time.Second
	with := Flows(config)
	config.Policy = carry.Policy{WithoutProofs: true}
	without := Flows(config)
	g.Expect(with.Failed).To(gomega.BeNumerically("<", without.Failed))
}

func TestHintsSaveMessages(t *testing.T) {
	g := gomega.NewWithT(t)
	config := flowsConfig()
	with := Flows(config)
	config.Policy = carry.Policy{WithoutHints: true}
	g.Expect(with.Messages).To(gomega.BeNumerically("<", Flows(config).Messages))
}
