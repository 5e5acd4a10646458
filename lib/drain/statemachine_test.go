package drain

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var allCauses = []Cause{CauseBackendServer, CauseOperator, CauseSignal}

func TestFlowsStayOpenUntilTheTimeoutAndNoExitWithOpenFlows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		timeout := time.Duration(rapid.IntRange(0, 5).Draw(t, "timeout")) * time.Second
		m := NewStateMachine(Config{FlowTimeout: timeout, Linger: time.Second})
		now := time.Unix(0, 0)
		var drainStart time.Time
		signalled, flows := false, 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "elapsed")) * time.Millisecond)
			var actions []Action
			wasDraining := m.Draining()
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				cause := rapid.SampledFrom(allCauses).Draw(t, "begin")
				signalled = signalled || cause == CauseSignal
				actions = m.Begin(now, cause)
			case 1:
				actions = m.End(rapid.SampledFrom(allCauses).Draw(t, "end"))
			case 2:
				flows = rapid.IntRange(0, 3).Draw(t, "flows")
				m.SetFlows(now, flows)
			case 3:
				actions = m.Tick(now)
			}
			if !wasDraining && m.Draining() {
				drainStart = now
			}
			if signalled && !m.Draining() {
				t.Fatal("a drain caused by a signal has ended")
			}
			expectLegalActions(t, actions, now, drainStart, timeout, flows, signalled)
		}
	})
}

func expectLegalActions(
	t *rapid.T, actions []Action, now, drainStart time.Time, timeout time.Duration, flows int, signalled bool,
) {
	for _, action := range actions {
		switch action {
		case CloseFlows:
			if timeout == 0 || now.Sub(drainStart) < timeout {
				t.Fatalf("flows were closed after %v with a timeout of %v", now.Sub(drainStart), timeout)
			}
		case Exit:
			if flows > 0 || !signalled {
				t.Fatalf("exit with %d flows, signalled %v", flows, signalled)
			}
		}
	}
}

func TestDrainWithSeveralCausesResumesAfterTheLast(t *testing.T) {
	g := gomega.NewWithT(t)
	m := NewStateMachine(Config{})
	now := time.Unix(0, 0)
	g.Expect(m.Begin(now, CauseOperator)).To(gomega.Equal([]Action{Announce}))
	g.Expect(m.Begin(now, CauseOperator)).To(gomega.BeEmpty())
	g.Expect(m.Begin(now, CauseBackendServer)).To(gomega.BeEmpty())
	g.Expect(m.End(CauseOperator)).To(gomega.BeEmpty())
	g.Expect(m.Draining()).To(gomega.BeTrue())
	g.Expect(m.End(CauseBackendServer)).To(gomega.Equal([]Action{Resume}))
}

func TestSignalCauseCannotBeRemoved(t *testing.T) {
	g := gomega.NewWithT(t)
	m := NewStateMachine(Config{})
	m.Begin(time.Unix(0, 0), CauseSignal)
	g.Expect(m.End(CauseSignal)).To(gomega.BeEmpty())
	g.Expect(m.End(CauseOperator)).To(gomega.BeEmpty())
	g.Expect(m.Causes().String()).To(gomega.Equal("signal"))
}

func TestSignalledProcessExitsAfterLingering(t *testing.T) {
	g := gomega.NewWithT(t)
	m := NewStateMachine(Config{Linger: time.Second})
	now := time.Unix(0, 0)
	m.SetFlows(now, 1)
	m.Begin(now, CauseSignal)
	g.Expect(m.Tick(now.Add(time.Hour))).To(gomega.BeEmpty())
	m.SetFlows(now.Add(time.Hour), 0)
	g.Expect(m.Tick(now.Add(time.Hour))).To(gomega.BeEmpty())
	g.Expect(m.Tick(now.Add(time.Hour + time.Second))).To(gomega.Equal([]Action{Exit}))
}
