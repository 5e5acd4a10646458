package admit

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// repeatSamples records five samples per second of the given duration over a period and returns its end.
func repeatSamples(s *SpeedEstimator, now time.Time, period, duration time.Duration) time.Time {
	end := now.Add(period)
	for now.Before(end) {
		now = now.Add(200 * time.Millisecond)
		s.RecordDuration(now, duration, 100*time.Millisecond)
		s.Tick(now)
	}
	return now
}

func TestSpeedFollowsASlowdownWithinTenSecondsAndRecovers(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(0, 0)
	s := NewSpeedEstimator(now)
	now = repeatSamples(s, now, 30*time.Second, 100*time.Millisecond)
	g.Expect(s.Value()).To(gomega.Equal(fullSpeed))
	now = repeatSamples(s, now, 10*time.Second, 500*time.Millisecond)
	g.Expect(s.Value()).To(gomega.BeNumerically("~", 200, 30))
	repeatSamples(s, now, 60*time.Second, 100*time.Millisecond)
	g.Expect(s.Value()).To(gomega.Equal(fullSpeed))
}

func TestLimitRisesAfterStart(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(0, 0)
	s := NewSpeedEstimator(now)
	g.Expect(s.Limit(8)).To(gomega.Equal(3))
	repeatSamples(s, now, 20*time.Second, 100*time.Millisecond)
	g.Expect(s.Limit(8)).To(gomega.Equal(8))
}

func TestShedRequestsLowerTheSpeed(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(0, 0)
	s := NewSpeedEstimator(now)
	now = repeatSamples(s, now, 20*time.Second, 100*time.Millisecond)
	for range 20 {
		s.RecordShed(now, 100*time.Millisecond)
	}
	g.Expect(s.Value()).To(gomega.BeNumerically("<", 350))
	g.Expect(s.Limit(7)).To(gomega.BeNumerically(">=", 1))
}

func TestSpeedRecoversWhileIdle(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(0, 0)
	s := NewSpeedEstimator(now)
	for range 60 {
		now = now.Add(time.Second)
		s.Tick(now)
	}
	g.Expect(s.Value()).To(gomega.Equal(fullSpeed))
}

func TestLoadRisesWithSlownessAndQueueLength(t *testing.T) {
	g := gomega.NewWithT(t)
	normal := Usage{Flows: 200, MaxConnections: 2000, Slots: 7, Speed: 1000}
	slow := normal
	slow.Speed = 200
	queueing := normal
	queueing.Waiting = 7
	g.Expect(Load(normal)).To(gomega.Equal(uint32(100_000)))
	g.Expect(Load(slow)).To(gomega.Equal(uint32(500_000)))
	g.Expect(Load(queueing)).To(gomega.Equal(uint32(200_000)))
	full := normal
	full.Flows = 2000
	g.Expect(Load(full)).To(gomega.Equal(ClosedLoad))
}

// Once its speed has dropped, a slow backend server gets a request only after idle time has raised the speed again;
// a single slow sample must then lower it at once.
func TestSlowServerWithRareRequestsStaysSlow(t *testing.T) {
	g := gomega.NewWithT(t)
	const flowThreshold = 850 // speed in per mille from which the backend server is assumed to get flows again
	now := time.Unix(0, 0)
	s := NewSpeedEstimator(now)
	now = repeatSamples(s, now, 30*time.Second, 100*time.Millisecond)
	now = repeatSamples(s, now, 3*time.Second, 500*time.Millisecond)
	requests := 0
	for range 60 {
		now = now.Add(time.Second)
		s.Tick(now)
		if s.Value() >= flowThreshold {
			requests++
			s.RecordDuration(now, 500*time.Millisecond, 100*time.Millisecond)
			g.Expect(s.Value()).To(gomega.BeNumerically("<", flowThreshold/2), "after a slow request")
		}
	}
	g.Expect(requests).To(gomega.BeNumerically("~", 4, 1))
}

func TestFastSampleAfterIdleTimeKeepsTheRecoveredSpeed(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(0, 0)
	s := NewSpeedEstimator(now)
	for range 10 {
		now = now.Add(time.Second)
		s.Tick(now)
	}
	before := s.Value()
	s.RecordDuration(now, 100*time.Millisecond, 100*time.Millisecond)
	g.Expect(s.Value()).To(gomega.BeNumerically(">=", before))
}

func TestOccasionalSlowSamplesDoNotLowerTheSpeed(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(0, 0)
	s := NewSpeedEstimator(now)
	now = repeatSamples(s, now, 30*time.Second, 100*time.Millisecond)
	for i := range 50 {
		duration := 100 * time.Millisecond
		if i%3 == 0 {
			duration = time.Second
		}
		now = now.Add(100 * time.Millisecond)
		s.RecordDuration(now, duration, 100*time.Millisecond)
	}
	g.Expect(s.Value()).To(gomega.Equal(fullSpeed))
}

func TestRecoveringServerGetsOneTrialFlowAtATime(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(0, 0)
	s := NewSpeedEstimator(now)
	now = repeatSamples(s, now, 10*time.Second, 500*time.Millisecond)
	slowSpeed := s.Value()
	for range 20 {
		now = now.Add(time.Second)
		s.Tick(now)
	}
	g.Expect(s.Value()).To(gomega.Equal(fullSpeed))
	s.RecordNewFlow(now)
	g.Expect(s.Value()).To(gomega.Equal(slowSpeed), "during the trial of the first flow")
	now = now.Add(time.Second)
	s.Tick(now)
	g.Expect(s.Value()).To(gomega.Equal(fullSpeed), "after a trial without samples")
	s.RecordNewFlow(now)
	s.RecordDuration(now, 100*time.Millisecond, 100*time.Millisecond)
	g.Expect(s.Value()).To(gomega.Equal(fullSpeed), "after a fast request")
}

// New flows go to the least loaded agent, so an accidental difference in speed would distribute them unevenly.
func TestServersWarmingUpTogetherKeepSimilarSpeeds(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(0, 0)
	sampled, idle := NewSpeedEstimator(now), NewSpeedEstimator(now)
	for second := range 10 {
		now = now.Add(time.Second)
		if second%2 == 0 {
			sampled.RecordDuration(now, 100*time.Millisecond, 100*time.Millisecond)
		}
		sampled.Tick(now)
		idle.Tick(now)
		g.Expect(float64(sampled.Value())/float64(idle.Value())).To(gomega.BeNumerically("~", 1, 0.3), "second %d", second)
	}
}

func TestNewFlowDoesNotLowerTheSpeedOfAStartingServer(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(0, 0)
	s := NewSpeedEstimator(now)
	for range 5 {
		now = now.Add(time.Second)
		s.Tick(now)
	}
	before := s.Value()
	s.RecordNewFlow(now)
	g.Expect(s.Value()).To(gomega.Equal(before), "no sample was slow")
}
