package store

import (
	"testing"

	"github.com/onsi/gomega"
)

func TestOnlyRisesAfterTheFirstEraShowLostChanges(t *testing.T) {
	g := gomega.NewWithT(t)
	var eras Eras
	for _, step := range []struct {
		era  uint64
		lost bool
	}{{0, false}, {4, false}, {4, false}, {3, false}, {5, true}, {0, false}, {9, true}, {9, false}} {
		g.Expect(eras.Record(step.era)).To(gomega.Equal(step.lost), "%+v", step)
	}
	g.Expect(eras.Latest()).To(gomega.BeEquivalentTo(9))
}
