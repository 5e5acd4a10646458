package config

import (
	"context"
	"fmt"
	"testing"

	"github.com/onsi/gomega"

	"github.com/cyclamendock/cyclamendock/lib/fault"
	"github.com/cyclamendock/cyclamendock/lib/store"
)

// inForceAt returns the configuration that a store's head describes.
func inForceAt(g *gomega.WithT, platform store.Store) Config {
	head, _, err := ReadHead(context.Background(), platform)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	current, err := Materialize(context.Background(), platform, head)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return current
}

func TestConfigurationLostByTheStoreIsPublishedAgain(t *testing.T) {
	for _, lost := range []int{1, 2, 100} {
		g := gomega.NewWithT(t)
		ctx := context.Background()
		platform := store.NewMemory()
		backup := platform.Backup()
		_, err := Submit(ctx, platform, firstPatch())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		for i := 1; i <= 120; i++ {
			if i == 120-lost {
				backup = platform.Backup()
			}
			_, err := Submit(ctx, platform, drainPatch(fmt.Sprint(i), uint64(i)))
			g.Expect(err).NotTo(gomega.HaveOccurred())
		}
		inForce := inForceAt(g, platform)
		platform.Restore(backup)
		for _, written := range []bool{true, false} {
			g.Expect(Republish(ctx, platform, inForce)).To(gomega.Equal(written))
			g.Expect(inForceAt(g, platform)).To(gomega.Equal(inForce))
		}
		_, err = Submit(ctx, platform, drainPatch("120", 120)) // its entry is lost, so it must not count as a new one
		g.Expect(fault.Is(err, fault.Stale)).To(gomega.BeTrue())
		_, err = Submit(ctx, platform, drainPatch("next", inForce.Version))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(Republish(ctx, platform, inForce)).To(gomega.BeFalse())
		g.Expect(inForceAt(g, platform).Version).To(gomega.Equal(inForce.Version + 1))
	}
}
