package carry

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// reportsOf counts the reports to a balancer that sends packets at a pace for ten seconds.
func reportsOf(pause time.Duration, openingEach int) int {
	a := NewSubscribers()
	start := time.Unix(0, 0)
	reports, sent := 0, 0
	for at := time.Duration(0); at < 10*time.Second; at += 10 * time.Millisecond {
		now := start.Add(at)
		if at%pause == 0 {
			sent++
			a.Heard(now, testEndpoint(1, 0), openingEach > 0 && sent%openingEach == 0)
		}
		reports += len(a.Due(now, false))
	}
	return reports
}

func TestReportsFollowTheFlowsOfABalancer(t *testing.T) {
	g := gomega.NewWithT(t)
	// A balancer that places flows all the time gets ten a second, one that only carries packets gets one.
	g.Expect(reportsOf(50*time.Millisecond, 4)).To(gomega.BeNumerically(">", 80))
	g.Expect(reportsOf(50*time.Millisecond, 0)).To(gomega.BeNumerically("<=", 11))
	g.Expect(reportsOf(5*time.Second, 1)).To(gomega.BeNumerically("<=", 6))
}

func TestFirstPacketAfterAWhileIsAnsweredAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	a := NewSubscribers()
	now := time.Unix(0, 0)
	a.Heard(now, testEndpoint(1, 0), false)
	g.Expect(a.Due(now, false)).To(gomega.HaveLen(1))
	g.Expect(a.Due(now, false)).To(gomega.BeEmpty())
	later := now.Add(time.Minute)
	g.Expect(a.Due(later, false)).To(gomega.BeEmpty())
	a.Heard(later, testEndpoint(1, 0), false)
	g.Expect(a.Due(later, false)).To(gomega.Equal([]Due{{Balancer: testEndpoint(1, 0), Every: reportRarely}}))
}

func TestChangedStateIsReportedToAllSubscribers(t *testing.T) {
	g := gomega.NewWithT(t)
	a := NewSubscribers()
	now := time.Unix(0, 0)
	for i := range 3 {
		a.Heard(now, testEndpoint(1, i), false)
	}
	g.Expect(a.Due(now.Add(5*time.Minute), true)).To(gomega.HaveLen(3))
	g.Expect(a.Due(now.Add(stateInterest+1), true)).To(gomega.BeEmpty())
}

func TestAgentThatReportsRarelyIsSuspectedLater(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(0, 0)
	a := NewAgents(testLost)
	for i, every := range []time.Duration{reportOften, reportRarely} {
		a.Report(now, testEndpoint(2, i), Report{Every: every, Service: ServiceIDOf(testService), State: StateReady})
		a.Sent(now, testEndpoint(2, i), false)
	}
	soon := now.Add(reportOften + suspectAfter + 1)
	g.Expect(a.Suspect(soon, testEndpoint(2, 0))).To(gomega.BeTrue())
	g.Expect(a.Suspect(soon, testEndpoint(2, 1))).To(gomega.BeFalse())
	g.Expect(a.Suspect(now.Add(reportRarely+suspectAfter+1), testEndpoint(2, 1))).To(gomega.BeTrue())
}
