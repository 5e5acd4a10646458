package carry

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// openAged opens a flow whose caller has tried before, for the given time.
func (o *overload) openAged(now time.Time, flow Flow, age time.Duration) {
	o.asked[flow] = now.Add(-age)
	f := o.forward(flow)
	p := o.packet(flow, FlagSyn, 0)
	p.Age = age
	o.act(now, o.carrier.Forwarded(now, &f, p))
}

// After a loss of power the repeated openings of callers that have waited for long come among those of new ones.
func TestRepeatedOpeningsDoNotGoBeforeNewOnes(t *testing.T) {
	g := gomega.NewWithT(t)
	start := time.Unix(100, 0)
	o := newOverload(start, 7)
	fresh := 0
	met := func() float64 {
		in := 0
		for flow, asked := range o.asked {
			if answered, ok := o.answers[flow]; ok && flow.Caller.Port < 20000 && answered.Sub(asked) <= o.aim {
				in++
			}
		}
		return float64(in) / float64(fresh)
	}
	for ms := range 2000 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		if ms%15 == 0 && ms < 1500 {
			fresh++
			o.open(now, testFlow(ms))
		}
		if ms%6 == 0 && ms < 600 {
			o.openAged(now, testFlow(20000+ms), 600*time.Millisecond)
		}
		o.step(now)
	}
	g.Expect(met()).To(gomega.BeNumerically(">=", 0.9))
}
