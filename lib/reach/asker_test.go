package reach

import (
	"cmp"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

const testTick = 25 * time.Millisecond

// run ticks an asker for a while and returns how often the others were asked about subject 1.
func run(a *Asker[int], now *time.Time, duration time.Duration) int {
	asked := 0
	for ; duration > 0; duration -= testTick {
		*now = now.Add(testTick)
		asked += len(a.Tick(*now))
	}
	return asked
}

func newTestAsker() (*Asker[int], *time.Time) {
	now := time.Unix(100, 0)
	a := NewAsker(cmp.Compare[int])
	a.Tick(now)
	return a, &now
}

// Guards against a subject that counts as unheard before the others had time to answer, or that is never settled.
func TestSubjectIsUnheardOnceNobodyAnswers(t *testing.T) {
	g := gomega.NewWithT(t)
	a, now := newTestAsker()
	g.Expect(a.Ask(1)).To(gomega.Equal(Pending))
	run(a, now, rounds*roundInterval)
	g.Expect(a.Ask(1)).To(gomega.Equal(Pending), "the answers to the last round are awaited")
	run(a, now, 2*testTick)
	g.Expect(a.Ask(1)).To(gomega.Equal(Unheard))
	run(a, now, unheardLifetime+testTick)
	g.Expect(a.Ask(1)).To(gomega.Equal(Pending), "the lack of answers holds for a moment only")
}

// Guards against an answer that is lost with the first two rounds or comes from an earlier inquiry.
func TestAnswerToAnyRoundCounts(t *testing.T) {
	g := gomega.NewWithT(t)
	a, now := newTestAsker()
	a.RecordHeard(1, 7)
	g.Expect(a.Ask(1)).To(gomega.Equal(Pending), "an answer to no question is ignored")
	g.Expect(run(a, now, rounds*roundInterval)).To(gomega.Equal(rounds))
	a.RecordHeard(1, 7)
	g.Expect(a.Ask(1)).To(gomega.Equal(Heard))
	observer, ok := a.HeardBy(1)
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(observer).To(gomega.Equal(7))
}

// Guards against a process that wakes after a stall and takes the answers that wait in its socket for silence.
func TestStallDoesNotCountAsSilence(t *testing.T) {
	g := gomega.NewWithT(t)
	a, now := newTestAsker()
	a.Ask(1)
	run(a, now, testTick)
	for range 3 {
		*now = now.Add(10 * time.Second)
		a.Tick(*now)
	}
	g.Expect(a.Ask(1)).To(gomega.Equal(Pending))
}

// Guards against subjects that are kept, and asked about, for ever.
func TestSubjectsThatAreNotNeededAreForgotten(t *testing.T) {
	g := gomega.NewWithT(t)
	a, now := newTestAsker()
	a.Ask(1)
	run(a, now, time.Second)
	g.Expect(run(a, now, needLifetime)).To(gomega.BeZero())
	g.Expect(a.subjects).To(gomega.BeEmpty())
}
