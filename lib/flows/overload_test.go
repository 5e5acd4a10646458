package flows

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

func TestOverloadLastsOnlyWhileTargetsAreMissed(t *testing.T) {
	g := gomega.NewWithT(t)
	var o overload
	now := time.Unix(100, 0)
	step := func(duration time.Duration, missed bool) {
		for end := now.Add(duration); now.Before(end); now = now.Add(25 * time.Millisecond) {
			o.update(now, missed)
		}
	}
	step(time.Minute, false)
	g.Expect(o.lasting(now)).To(gomega.BeFalse())
	step(lastingOverload, true)
	g.Expect(o.lasting(now)).To(gomega.BeFalse(), "a backlog that has just been there")
	step(100*time.Millisecond, true)
	g.Expect(o.lasting(now)).To(gomega.BeTrue())
	step(overloadPause, false)
	g.Expect(o.lasting(now)).To(gomega.BeTrue(), "a short pause")
	step(100*time.Millisecond, false)
	g.Expect(o.lasting(now)).To(gomega.BeFalse())
	step(100*time.Millisecond, true)
	g.Expect(o.lasting(now)).To(gomega.BeFalse(), "a new backlog")
}
