package store

import (
	"testing"

	"github.com/onsi/gomega"

	"github.com/cyclamendock/cyclamendock/lib/fault"
)

func TestVersionsAreOrderedByEraFirst(t *testing.T) {
	g := gomega.NewWithT(t)
	ordered := []Version{{}, {Era: 1, Revision: 9}, {Era: 2, Revision: 3}, {Era: 2, Revision: 4}, {Era: 10, Revision: 1}}
	for i, v := range ordered {
		for j, other := range ordered {
			g.Expect(v.Compare(other) < 0).To(gomega.Equal(i < j), "%v, %v", v, other)
		}
		parsed, err := ParseVersion(v.String())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(parsed).To(gomega.Equal(v))
	}
	for _, malformed := range []string{"", "7", "1.", ".1", "a.1", "1.-2"} {
		_, err := ParseVersion(malformed)
		g.Expect(fault.Is(err, fault.Invalid)).To(gomega.BeTrue(), "%q", malformed)
	}
}
