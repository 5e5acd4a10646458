package member

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/cyclamendock/cyclamendock/lib/logs"
	"github.com/cyclamendock/cyclamendock/lib/store"
)

// countingStore counts reads, and states an era only in its answers.
type countingStore struct {
	*store.Memory
	era  uint64
	gets int
}

func (s *countingStore) Era() uint64 { return s.era }

func (s *countingStore) Get(ctx context.Context, key string) (store.Object, error) {
	s.gets++
	s.era = s.Memory.Era()
	return s.Memory.Get(ctx, key)
}

func newTestGuard(t *testing.T) (*EntryGuard, *countingStore, *[]bool) {
	t.Helper()
	g := gomega.NewWithT(t)
	shared := &countingStore{Memory: store.NewMemory(), era: 1}
	directory, _ := newTestDirectory(shared, agent)
	_, err := directory.Join(t.Context(), true)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	listed := &[]bool{}
	guard := NewEntryGuard(EntryGuardConfig{
		Directory: directory,
		Log:       logs.New(logs.Config{Format: "logfmt", Level: "info", Writer: io.Discard}, "test"),
		Members:   func() int { return 1 },
		SetListed: func(is bool) { *listed = append(*listed, is) },
		Store:     shared,
	})
	guard.Poll(time.Now())
	shared.gets = 0
	return guard, shared, listed
}

// runDueChecks makes the checks that are due, as a process does.
func runDueChecks(t *testing.T, guard *EntryGuard) {
	t.Helper()
	for {
		select {
		case <-guard.Due():
			guard.Check(t.Context())
			guard.Poll(time.Now())
		default:
			return
		}
	}
}

func TestLostEntryIsStoredAgainOnceTheStoreStatesALaterEra(t *testing.T) {
	g := gomega.NewWithT(t)
	guard, shared, listed := newTestGuard(t)
	runDueChecks(t, guard)
	g.Expect(shared.gets).To(gomega.BeZero())
	shared.Restore(map[string]store.Object{})
	shared.era = shared.Memory.Era() // stated with some other answer
	g.Expect(guard.Poll(time.Now())).To(gomega.BeTrue())
	runDueChecks(t, guard)
	g.Expect(guard.config.Directory.HasEntry(t.Context())).To(gomega.BeTrue())
	g.Expect(*listed).To(gomega.Equal([]bool{false, true}))
	g.Expect(shared.gets).To(gomega.Equal(2)) // one of this test
}

// What another process states makes the guard ask the store once, which alone decides.
func TestWrongStatementOfALaterEraChangesNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	guard, shared, listed := newTestGuard(t)
	for range 3 {
		guard.RecordStated(700)
		runDueChecks(t, guard)
	}
	g.Expect(shared.gets).To(gomega.Equal(1))
	g.Expect(guard.Era()).To(gomega.BeEquivalentTo(1))
	g.Expect(*listed).To(gomega.BeEmpty())
}

func TestLostEntryIsStoredAgainOnceAnotherProcessStatesALaterEra(t *testing.T) {
	g := gomega.NewWithT(t)
	guard, shared, listed := newTestGuard(t)
	shared.Restore(map[string]store.Object{})
	for range 3 {
		guard.RecordStated(2)
		runDueChecks(t, guard)
	}
	g.Expect(shared.gets).To(gomega.Equal(1))
	g.Expect(guard.Era()).To(gomega.BeEquivalentTo(2))
	g.Expect(*listed).To(gomega.Equal([]bool{false, true}))
}

// Guards against a process that nobody tells of a later era, as all others have restarted and don't know it.
func TestEntryIsCheckedAndStoredAgainWhileOthersAreSilent(t *testing.T) {
	g := gomega.NewWithT(t)
	guard, shared, listed := newTestGuard(t)
	now := time.Now()
	poll := func(after time.Duration) {
		guard.Poll(now.Add(after))
		guard.PollSilence(now.Add(after))
		runDueChecks(t, guard)
	}
	poll(time.Minute)
	g.Expect(shared.gets).To(gomega.BeZero(), "it depends on nobody yet")
	guard.RecordHeard(now, guard.Era())
	poll(firstSilence - 1)
	g.Expect(shared.gets).To(gomega.BeZero())
	shared.Restore(map[string]store.Object{})
	poll(firstSilence)
	g.Expect(shared.gets).To(gomega.Equal(1))
	g.Expect(*listed).To(gomega.Equal([]bool{false, true}))
	for after := firstSilence; after < 100*firstSilence; after += 200 * time.Millisecond {
		poll(after)
	}
	g.Expect(shared.gets).To(gomega.BeNumerically("<=", 1+6+1), "the time between checks doubles")
	guard.RecordHeard(now.Add(100*firstSilence), guard.Era())
	poll(101*firstSilence - 1)
	before := shared.gets
	poll(101 * firstSilence)
	g.Expect(shared.gets).To(gomega.Equal(before + 1))
}
