package flows

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// openRepeated opens a flow whose caller first tried to open it age ago.
func (o *overloadSim) openRepeated(now time.Time, flow Flow, age time.Duration) {
	o.requestedAt[flow] = now.Add(-age)
	f := o.forward(flow)
	p := o.packet(flow, FlagSyn, 0)
	p.OpeningAge = age
	o.apply(now, o.dispatcher.HandleForward(now, &f, p))
}

// After a power loss, openings that callers repeat arrive together with new ones. The queue serves the newest entry
// first. If it counted from arrival and not from the first attempt, repeated openings, which have missed their target,
// would delay new ones that can still meet theirs.
func TestRepeatedOpeningsDoNotOvertakeNewOnes(t *testing.T) {
	g := gomega.NewWithT(t)
	start := time.Unix(100, 0)
	o := newOverloadSim(start, 7)
	newFlows := 0
	withinTarget := func() float64 {
		count := 0
		for flow, requested := range o.requestedAt {
			if answered, ok := o.answeredAt[flow]; ok && flow.Caller.Port < 20000 && answered.Sub(requested) <= o.target {
				count++
			}
		}
		return float64(count) / float64(newFlows)
	}
	for ms := range 2000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		if ms%15 == 0 && ms < 1500 {
			newFlows++
			o.open(now, testFlow(ms))
		}
		if ms%6 == 0 && ms < 600 {
			o.openRepeated(now, testFlow(20000+ms), 600*time.Millisecond)
		}
		o.step(now)
	}
	g.Expect(withinTarget()).To(gomega.BeNumerically(">=", 0.9))
}
