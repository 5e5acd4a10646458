package flows

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// countReports counts the reports to a balancer that sends a packet each interval for ten seconds; one in openingEvery
// packets opens a flow, or none if that is zero.
func countReports(interval time.Duration, openingEvery int) int {
	subscribers := NewSubscribers()
	start := time.Unix(0, 0)
	reports, sent := 0, 0
	for elapsed := time.Duration(0); elapsed < 10*time.Second; elapsed += 10 * time.Millisecond {
		now := start.Add(elapsed)
		if elapsed%interval == 0 {
			sent++
			subscribers.RecordMessage(now, testEndpoint(1, 0), openingEvery > 0 && sent%openingEvery == 0)
		}
		reports += len(subscribers.DueReports(now, false))
	}
	return reports
}

func TestReportRateDependsOnOpenings(t *testing.T) {
	g := gomega.NewWithT(t)
	// A balancer that keeps opening flows gets ten reports a second, one that only sends packets of open flows gets one.
	g.Expect(countReports(50*time.Millisecond, 4)).To(gomega.BeNumerically(">", 80))
	g.Expect(countReports(50*time.Millisecond, 0)).To(gomega.BeNumerically("<=", 11))
	g.Expect(countReports(5*time.Second, 1)).To(gomega.BeNumerically("<=", 6))
}

func TestReportIsDueAtFirstMessageAfterSilence(t *testing.T) {
	g := gomega.NewWithT(t)
	subscribers := NewSubscribers()
	now := time.Unix(0, 0)
	subscribers.RecordMessage(now, testEndpoint(1, 0), false)
	g.Expect(subscribers.DueReports(now, false)).To(gomega.HaveLen(1))
	g.Expect(subscribers.DueReports(now, false)).To(gomega.BeEmpty())
	later := now.Add(time.Minute)
	g.Expect(subscribers.DueReports(later, false)).To(gomega.BeEmpty())
	subscribers.RecordMessage(later, testEndpoint(1, 0), false)
	g.Expect(subscribers.DueReports(later, false)).To(gomega.Equal([]DueReport{{Balancer: testEndpoint(1, 0), Interval: slowReportInterval}}))
}

func TestChangedStateIsReportedToAllSubscribers(t *testing.T) {
	g := gomega.NewWithT(t)
	subscribers := NewSubscribers()
	now := time.Unix(0, 0)
	for i := range 3 {
		subscribers.RecordMessage(now, testEndpoint(1, i), false)
	}
	g.Expect(subscribers.DueReports(now.Add(5*time.Minute), true)).To(gomega.HaveLen(3))
	g.Expect(subscribers.DueReports(now.Add(stateReportWindow+1), true)).To(gomega.BeEmpty())
}

func TestAgentWithLongReportIntervalIsSuspectedLater(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(0, 0)
	a := NewAgents(testLostAfter)
	for i, every := range []time.Duration{fastReportInterval, slowReportInterval} {
		a.RecordReport(now, testEndpoint(2, i), Report{Interval: every, Service: HashName(testService), State: StateReady})
		a.ExpectReport(now, testEndpoint(2, i), false)
	}
	soon := now.Add(fastReportInterval + reportGrace + 1)
	g.Expect(a.Suspect(soon, testEndpoint(2, 0))).To(gomega.BeTrue())
	g.Expect(a.Suspect(soon, testEndpoint(2, 1))).To(gomega.BeFalse())
	g.Expect(a.Suspect(now.Add(slowReportInterval+reportGrace+1), testEndpoint(2, 1))).To(gomega.BeTrue())
}
