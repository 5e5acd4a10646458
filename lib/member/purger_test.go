package member

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/cyclamendock/cyclamendock/lib/store"
)

func TestOnlyEntriesThatStayMarkedArePurged(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx := t.Context()
	shared := store.NewMemory()
	dead, _ := newTestDirectory(shared, agent)
	returned, _ := newTestDirectory(shared, Member{Address: balancer.Address, Role: RoleAgent})
	for _, directory := range []*Directory{dead, returned} {
		_, err := directory.Join(ctx, true)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(returned.Mark(ctx, directory.config.Self.Address)).To(gomega.Succeed())
	}
	purger := NewPurger(shared)
	start := time.Unix(0, 0)
	purge := func(after time.Duration) []Member {
		purged, err := purger.Purge(ctx, start.Add(after))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		return purged
	}
	g.Expect(purge(0)).To(gomega.BeEmpty())
	g.Expect(purge(removalAge - 1)).To(gomega.BeEmpty())
	g.Expect(returned.Register(ctx)).To(gomega.Succeed())
	marked := agent
	marked.Marked = true
	g.Expect(purge(removalAge)).To(gomega.Equal([]Member{marked}))
	g.Expect(returned.Mark(ctx, balancer.Address)).To(gomega.Succeed())
	g.Expect(purge(2*removalAge)).To(gomega.BeEmpty(), "it was marked anew")
	list, err := returned.List(ctx)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(list.Members).To(gomega.HaveLen(1))
}

// Guards against an entry that is deleted although its process runs, since no balancer that reads the list has told it of the mark.
func TestProcessReplacesItsMarkedEntryBeforeItIsPurged(t *testing.T) {
	g := gomega.NewWithT(t)
	guard, shared, _ := newTestGuard(t)
	runDueChecks(t, guard)
	reader, _ := newTestDirectory(shared, balancer)
	purger := NewPurger(shared)
	g.Expect(reader.Mark(t.Context(), agent.Address)).To(gomega.Succeed())
	now := time.Now()
	for range removalAge / time.Minute * 2 {
		guard.Poll(now)
		runDueChecks(t, guard)
		_, err := purger.Purge(t.Context(), now)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		now = now.Add(time.Minute)
	}
	g.Expect(guard.config.Directory.HasEntry(t.Context())).To(gomega.BeTrue())
}
