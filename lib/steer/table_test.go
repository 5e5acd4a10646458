package steer

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

func newAgents(count int) []Agent {
	var agents []Agent
	for i := range count {
		agents = append(agents, Agent{Address: agentAddress(i), Weight: 1})
	}
	return agents
}

func TestFlowsAreSharedInProportionToWeights(t *testing.T) {
	g := gomega.NewWithT(t)
	agents := newAgents(4)
	agents[0].Weight = 3
	table := NewTable()
	now := time.Unix(0, 0)
	table.Set(now, 1, agents)
	counts := map[string]int{}
	const flows = 40_000
	for i := range flows {
		choice := table.Choose(now, 1, []byte(fmt.Sprint(i)), nil)
		g.Expect(choice.Candidates).To(gomega.HaveLen(candidateCount))
		counts[choice.Candidates[0].String()]++
	}
	g.Expect(float64(counts[agentAddress(0).String()]) / flows).To(gomega.BeNumerically("~", 0.5, 0.02))
}

func TestAddedAgentMovesOnlyItsOwnFlows(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(0, 0)
	table := NewTable()
	table.Set(now, 1, newAgents(5))
	now = now.Add(time.Hour)
	changed := table.Clone()
	changed.Set(now, 1, newAgents(6))
	for i := range 2000 {
		id := []byte(fmt.Sprint(i))
		before, after := table.Choose(now, 1, id, nil), changed.Choose(now, 1, id, nil)
		if before.Candidates[0] == after.Candidates[0] {
			g.Expect(after.PreviousOwner.IsValid()).To(gomega.BeFalse())
			continue
		}
		g.Expect(after.Candidates[0]).To(gomega.Equal(agentAddress(5)))
		g.Expect(after.PreviousOwner).To(gomega.Equal(before.Candidates[0]))
		later := changed.Choose(now.Add(previousOwnerWindow), 1, id, nil)
		g.Expect(later.PreviousOwner.IsValid()).To(gomega.BeFalse())
	}
}

func TestSuspectIsACandidateOnlyWithoutAlternatives(t *testing.T) {
	g := gomega.NewWithT(t)
	agents := newAgents(6)
	agents[0].Suspect = true
	table := NewTable()
	now := time.Unix(0, 0)
	table.Set(now, 1, agents)
	for i := range 200 {
		choice := table.Choose(now, 1, []byte(fmt.Sprint(i)), nil)
		g.Expect(choice.Candidates).To(gomega.HaveLen(candidateCount))
		g.Expect(choice.Candidates).NotTo(gomega.ContainElement(agentAddress(0)))
	}
	only := []Agent{{Address: agentAddress(0), Suspect: true, Weight: 1}}
	table.Set(now, 1, only)
	g.Expect(table.Choose(now, 1, []byte("1"), nil).Candidates).To(gomega.ConsistOf(agentAddress(0)))
}

func TestDrainingAgentIsOnlyNamedAsPreviousOwner(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(0, 0)
	table := NewTable()
	table.Set(now, 1, newAgents(3))
	now = now.Add(time.Hour)
	drained := newAgents(3)
	drained[0].Draining = true
	table.Set(now, 1, drained)
	previous := 0
	for i := range 300 {
		choice := table.Choose(now, 1, []byte(fmt.Sprint(i)), nil)
		g.Expect(choice.Candidates).NotTo(gomega.ContainElement(agentAddress(0)))
		if choice.PreviousOwner == agentAddress(0) {
			previous++
		}
	}
	g.Expect(previous).To(gomega.BeNumerically(">", 50))
}

func TestSuspectIsNotNamedAsPreviousOwner(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(0, 0)
	table := NewTable()
	table.Set(now, 1, newAgents(3))
	now = now.Add(time.Hour)
	suspected := newAgents(4)
	suspected[0].Suspect = true
	table.Set(now, 1, suspected)
	for i := range 300 {
		choice := table.Choose(now, 1, []byte(fmt.Sprint(i)), nil)
		g.Expect(choice.PreviousOwner).NotTo(gomega.Equal(agentAddress(0)))
	}
}
