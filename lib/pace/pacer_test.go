package pace

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

const (
	testCold  = 8.0 // requests per second that a cold backend server can handle
	testSlots = 7
)

var (
	testSettings = Settings{ColdFactor: 1.5, ColdLimit: true, ColdSlack: 5, Pacing: true}
	testStart    = time.Unix(100, 0)
)

// testPacer returns a pacer of a backend server that has become ready at testStart, with known limits.
func testPacer(limits Limits) *Pacer {
	p := New(testSettings)
	limits.Version = 1
	p.SetLimits(limits)
	p.Observe(testStart, 1, true, testLoad(0))
	return p
}

func testLoad(busy int) Load {
	return Load{Busy: busy, FlowsComplete: true, Slots: testSlots}
}

// answer records a good response that came while busy requests were in progress.
func answer(p *Pacer, now time.Time, took time.Duration, busy int) {
	p.RecordResponse(now, Response{ServiceTime: took}, testLoad(busy))
}

// finishRamp records good responses until the ramp has ended, and returns how many it took.
func finishRamp(p *Pacer, now time.Time, took time.Duration) int {
	for count := 1; count < 100; count++ {
		answer(p, now, took, testSlots)
		if p.Pace() == 0 {
			return count
		}
	}
	return 0
}

// Guards against a limit that is counted in fixed seconds, which lets twice as many through around their boundaries.
func TestColdLimitHoldsInEverySlidingSecond(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := testPacer(Limits{ColdPerSecond: testCold})
		load := testLoad(0)
		load.Cold = true
		limit := int(testCold*testSettings.ColdFactor + testSettings.ColdSlack)
		now := testStart
		var accepted []time.Time
		for range rapid.IntRange(20, 400).Draw(t, "openings") {
			pause := rapid.SampledFrom([]time.Duration{0, 0, 0, time.Millisecond, 30 * time.Millisecond, 490 * time.Millisecond, 999 * time.Millisecond}).Draw(t, "pause")
			now = now.Add(pause)
			if p.Refuse(now, load, true) == RefusedNone {
				p.RecordOpening(now)
				accepted = append(accepted, now)
			}
		}
		for i := range accepted {
			if i >= limit && accepted[i].Sub(accepted[i-limit]) < time.Second {
				t.Fatalf("%d new flows within %v", limit+1, accepted[i].Sub(accepted[i-limit]))
			}
		}
		if len(accepted) < min(limit, 20) {
			t.Fatalf("only %d new flows were accepted", len(accepted))
		}
	})
}

// Guards against a cold limit that starts to count only when it is learnt.
func TestColdLimitCountsFlowsOfBeforeItWasLearnt(t *testing.T) {
	g := gomega.NewWithT(t)
	p := New(testSettings)
	load := testLoad(0)
	load.Cold = true
	p.Observe(testStart, 1, true, load)
	g.Expect(p.ColdRoom(testStart, load)).To(gomega.Equal(5), "only the slack until the limits are known")
	for range 5 {
		g.Expect(p.Refuse(testStart, load, true)).To(gomega.Equal(RefusedNone))
		p.RecordOpening(testStart)
	}
	g.Expect(p.Refuse(testStart, load, true)).To(gomega.Equal(RefusedCold))
	p.SetLimits(Limits{ColdPerSecond: testCold, Version: 1})
	g.Expect(p.ColdRoom(testStart, load)).To(gomega.Equal(12))
	p.SetLimits(Limits{Version: 2})
	g.Expect(p.ColdRoom(testStart, load)).To(gomega.Equal(Unlimited), "a rate of zero states no limit")
}

// Guards against limits of an earlier configuration that arrive late and replace those in force.
func TestOlderLimitsAreIgnored(t *testing.T) {
	g := gomega.NewWithT(t)
	p := New(testSettings)
	g.Expect(p.SetLimits(Limits{MaxFlows: 2000, Version: 7})).To(gomega.BeTrue())
	g.Expect(p.SetLimits(Limits{MaxFlows: 4000, Version: 6})).To(gomega.BeFalse())
	g.Expect(p.SetLimits(Limits{MaxFlows: 4000, Version: 7})).To(gomega.BeFalse())
	g.Expect(p.FlowLimit(true)).To(gomega.Equal(1960))
}

// Guards against a limit of flows that idle flows don't count in, or that a successor exceeds which doesn't know all flows.
func TestFlowLimitKeepsMargin(t *testing.T) {
	g := gomega.NewWithT(t)
	p := testPacer(Limits{MaxFlows: 2000})
	load := testLoad(0)
	load.Flows = 1959
	g.Expect(p.Refuse(testStart, load, true)).To(gomega.Equal(RefusedNone))
	load.Flows = 1960
	g.Expect(p.Refuse(testStart, load, true)).To(gomega.Equal(RefusedFlows))
	g.Expect(p.Room(testStart, load)).To(gomega.BeZero())
	load.Flows, load.FlowsComplete = 1840, false
	g.Expect(p.Refuse(testStart, load, true)).To(gomega.Equal(RefusedFlows))
}

// Guards against a successor that grants a full second's new flows right after its predecessor did.
func TestColdLimitIsBlockedWhilePredecessorsFlowsCount(t *testing.T) {
	g := gomega.NewWithT(t)
	p := testPacer(Limits{ColdPerSecond: testCold})
	load := testLoad(0)
	load.Cold = true
	p.BlockCold(testStart)
	g.Expect(p.Refuse(testStart.Add(time.Second), load, true)).To(gomega.Equal(RefusedCold))
	g.Expect(p.Refuse(testStart.Add(windowLength), load, true)).To(gomega.Equal(RefusedNone))
}

// Guards against a backend server that is flooded at its start, or that stays below its full share after good responses.
func TestRampOpensWithGoodResponses(t *testing.T) {
	g := gomega.NewWithT(t)
	p := testPacer(Limits{})
	g.Expect(p.Pace()).To(gomega.Equal(1))
	g.Expect(p.Refuse(testStart, testLoad(1), false)).To(gomega.Equal(RefusedPace))
	g.Expect(p.Refuse(testStart, testLoad(1), true)).To(gomega.Equal(RefusedNone), "no other backend server has room")
	for busy := 1; busy <= testSlots; busy++ {
		g.Expect(p.Room(testStart, testLoad(0))).To(gomega.Equal(busy))
		answer(p, testStart, 90*time.Millisecond, busy)
	}
	g.Expect(p.Pace()).To(gomega.BeZero())
	g.Expect(p.Room(testStart, testLoad(100))).To(gomega.Equal(Unlimited))
	changes := p.TakeChanges()
	g.Expect(changes).To(gomega.HaveLen(2))
	g.Expect(changes[0]).To(gomega.Equal(Change{Began: true, Cause: CauseStart}))
	g.Expect(changes[1].Began).To(gomega.BeFalse())
}

// Guards against a pace that rises because of a few responses at low load.
func TestUnusedPaceDoesNotRise(t *testing.T) {
	g := gomega.NewWithT(t)
	p := testPacer(Limits{})
	for range 20 {
		answer(p, testStart, 90*time.Millisecond, 1)
	}
	g.Expect(p.Pace()).To(gomega.Equal(3))
}

// Guards against a cold backend server whose own speed is taken for overload.
func TestColdSpeedDoesNotHoldTheRampBack(t *testing.T) {
	g := gomega.NewWithT(t)
	p := testPacer(Limits{})
	finishRamp(p, testStart, 90*time.Millisecond)
	answer(p, testStart, 90*time.Millisecond, 1)
	p.Observe(testStart, 2, true, testLoad(0))
	g.Expect(p.Pace()).To(gomega.Equal(1))
	g.Expect(finishRamp(p, testStart, 150*time.Millisecond)).To(gomega.Equal(testSlots))
}

// Guards against a pace that ignores slow responses.
func TestSlowResponsesReduceThePace(t *testing.T) {
	g := gomega.NewWithT(t)
	p := testPacer(Limits{})
	for busy := 1; busy < testSlots; busy++ {
		answer(p, testStart, 90*time.Millisecond, busy)
	}
	g.Expect(p.Pace()).To(gomega.Equal(testSlots))
	now := testStart
	for range 10 {
		now = now.Add(time.Second)
		answer(p, now, 900*time.Millisecond, testSlots)
	}
	g.Expect(p.Pace()).To(gomega.Equal(1))
}

// Guards against a backend server that fails at once and so attracts all new flows.
func TestFailingServerIsPaused(t *testing.T) {
	g := gomega.NewWithT(t)
	p := testPacer(Limits{})
	finishRamp(p, testStart, 90*time.Millisecond)
	now, accepted := testStart, 0
	for range 10000 {
		now = now.Add(time.Millisecond)
		if p.Refuse(now, testLoad(0), false) == RefusedNone {
			accepted++
			p.RecordResponse(now, Response{Failed: true}, testLoad(1))
		}
	}
	g.Expect(accepted).To(gomega.BeNumerically("<", 30), "of 10,000 in ten seconds")
	g.Expect(p.Pace()).To(gomega.Equal(1))
	now = now.Add(maxPause)
	g.Expect(p.Refuse(now, testLoad(0), false)).To(gomega.Equal(RefusedNone))
	for range 20 {
		answer(p, now, 90*time.Millisecond, testSlots)
	}
	g.Expect(p.Pace()).To(gomega.BeZero())
}

// Guards against a ramp that begins only at the start of a process, not after flapping, silence, a cut or a slow-down.
func TestRecoveryBeginsRamp(t *testing.T) {
	g := gomega.NewWithT(t)
	p := testPacer(Limits{})
	now := testStart
	recovered := func(cause Cause) {
		g.Expect(p.Pace()).To(gomega.Equal(1), string(cause))
		finishRamp(p, now, 90*time.Millisecond)
		answer(p, now, 90*time.Millisecond, 1)
		g.Expect(p.Pace()).To(gomega.BeZero(), string(cause))
	}
	recovered(CauseStart)
	p.Observe(now, 1, false, testLoad(0))
	p.Observe(now, 1, true, testLoad(0))
	recovered(CauseReady)
	p.RecordContact(now)
	now = now.Add(time.Second)
	p.RecordContact(now)
	g.Expect(p.Pace()).To(gomega.BeZero())
	now = now.Add(contactTimeout + time.Millisecond)
	p.RecordContact(now)
	recovered(CauseReachable)
	for range 3 * minSamples {
		answer(p, now, 900*time.Millisecond, testSlots)
	}
	g.Expect(p.TakeChanges()).To(gomega.ContainElement(Change{Began: true, Cause: CauseSlow}))
}

// Guards against a ramp without end of a backend server that is slower for good than before.
func TestRampEndsWhenSlownessLasts(t *testing.T) {
	g := gomega.NewWithT(t)
	p := testPacer(Limits{})
	finishRamp(p, testStart, 90*time.Millisecond)
	answer(p, testStart, 90*time.Millisecond, 1)
	now := testStart
	p.Observe(now, 2, true, testLoad(0))
	for now.Sub(testStart) <= maxRamp {
		now = now.Add(100 * time.Millisecond)
		answer(p, now, 300*time.Millisecond, 1)
	}
	g.Expect(p.Pace()).To(gomega.BeZero())
	for range 3 * minSamples {
		answer(p, now, 300*time.Millisecond, testSlots)
	}
	g.Expect(p.Pace()).To(gomega.BeZero())
}

// Guards against deployments whose behaviour changes although they enable nothing.
func TestNothingIsLimitedUnlessEnabled(t *testing.T) {
	g := gomega.NewWithT(t)
	p := New(Settings{})
	load := Load{Busy: 100, Cold: true, Flows: 10000, Slots: testSlots}
	for range 100 {
		p.Observe(testStart, 1, true, load)
		p.RecordOpening(testStart)
		p.RecordResponse(testStart, Response{Failed: true}, load)
		g.Expect(p.Refuse(testStart, load, false)).To(gomega.Equal(RefusedNone))
	}
	p.SetLimits(Limits{ColdPerSecond: testCold, Version: 1})
	g.Expect(p.Room(testStart, load)).To(gomega.Equal(Unlimited))
	g.Expect(p.TakeChanges()).To(gomega.BeEmpty())
}
