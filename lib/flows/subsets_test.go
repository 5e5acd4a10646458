package flows

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/cyclamendock/cyclamendock/lib/subset"
)

// zonedAgents returns a balancer in zone 0 and the reports of agents in three zones.
func zonedAgents(now time.Time, agents int) (*Director, map[Endpoint]Report) {
	d := NewDirector(DirectorConfig{
		FlowLifetime: time.Minute,
		LostAfter:    testLostAfter,
		MaxQueueTime: time.Second,
		Self:         testEndpoint(1, 0),
		Subset:       subset.Config{Other: 8, Own: 16},
		Zone:         HashName("zone-0"),
	})
	d.SetRoutes(now, testRoutes(1, testAddress))
	zones := []string{"zone-0", "zone-1", "zone-2"}
	reports := map[Endpoint]Report{}
	for i := range agents {
		report := Report{
			Interval: slowReportInterval,
			Service:  HashName(testService),
			Slots:    7,
			State:    StateReady,
			Zone:     HashName(zones[i%len(zones)]),
		}
		reports[testEndpoint(2, i)] = report
		d.RecordReport(now, testEndpoint(2, i), report)
	}
	return d, reports
}

// Guards against bytes between zones that grow with the number of agents: of 109 agents of a service, each balancer uses 24, most of them
// in its own availability zone, and sends hellos to no others.
func TestNewFlowsAndHellosStayInSubset(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(100, 0)
	d, reports := zonedAgents(now, 109)
	used := map[Endpoint]bool{}
	own := 0
	for i := range 2000 {
		agent := d.Agents.candidates(now, HashName(testService), testFlow(i), nil)[0]
		used[agent] = true
		if reports[agent].Zone == HashName("zone-0") {
			own++
		}
	}
	g.Expect(used).To(gomega.HaveLen(24))
	g.Expect(own).To(gomega.BeNumerically(">", 1200))
	later := now.Add(staleAfter + time.Millisecond)
	d.Agents.candidates(later, HashName(testService), testFlow(1), nil)
	g.Expect(d.Agents.DueHellos(later)).To(gomega.HaveLen(24))
}

// Guards against a balancer that has no agent to place flows on while others of the service are ready.
func TestWholeServiceIsUsedWhileSubsetIsNotReady(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(100, 0)
	d, reports := zonedAgents(now, 109)
	for _, agent := range d.Agents.subsets.of(HashName(testService), d.Agents.byService[HashName(testService)]) {
		report := reports[agent.address]
		report.State = StateDraining
		d.RecordReport(now, agent.address, report)
	}
	g.Expect(d.Agents.candidates(now, HashName(testService), testFlow(1), nil)).To(gomega.HaveLen(candidateCount))
}
