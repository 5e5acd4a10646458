package tuple

import (
	"path/filepath"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/cyclamendock/cyclamendock/lib/seeded"
)

// Guards against balancers that take their own silence for proof: agents that are cut off from some balancers hold flows, and other
// balancers, which hear these agents, reset none of them.
func TestCutAgentsKeepTheirFlows(t *testing.T) {
	g := gomega.NewWithT(t)
	program, err := filepath.Abs("../../bin/platform-cuts")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	config := RandomCutSoak(SoakConfig{Network: 128, ProgramPath: program, Seed: seeded.Seed(), WorkDir: t.TempDir()})
	config.CutFor, config.LostAfter = 2500*time.Millisecond, time.Second
	report, err := CutSoak(t.Context(), config)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(report.Violations).To(gomega.BeEmpty(), "%v", report.Faults)
	g.Expect(report.Served).To(gomega.BeNumerically(">", 0))
	t.Logf("%d served, %d failed, %d excused resets", report.Served, report.Failed, report.Excused)
}
