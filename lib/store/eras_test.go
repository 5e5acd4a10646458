package store

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

func TestOnlyRisesAfterTheFirstEraShowLostChanges(t *testing.T) {
	g := gomega.NewWithT(t)
	var eras Eras
	now := time.Unix(100, 0)
	g.Expect(eras.Age(now)).To(gomega.BeZero())
	for i, step := range []struct {
		era  uint64
		lost bool
		age  time.Duration // a second later
	}{
		{era: 0, age: 1 * time.Second},
		{era: 0, age: 2 * time.Second},
		{era: 4, age: 1 * time.Second},
		{era: 4, age: 2 * time.Second},
		{era: 3, age: 3 * time.Second},
		{era: 5, lost: true, age: 1 * time.Second},
		{era: 0, age: 2 * time.Second},
		{era: 9, lost: true, age: 1 * time.Second},
	} {
		g.Expect(eras.Record(now, step.era)).To(gomega.Equal(step.lost), "step %d", i)
		now = now.Add(time.Second)
		g.Expect(eras.Age(now)).To(gomega.Equal(step.age), "step %d", i)
	}
	g.Expect(eras.Latest()).To(gomega.BeEquivalentTo(9))
}
