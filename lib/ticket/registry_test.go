package ticket

import (
	"net/netip"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/cyclamendock/cyclamendock/lib/fault"
)

func TestEachTicketRunsAtMostOnceInBoundedMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const capacity = 8
		now := time.Unix(0, 0)
		registry := NewRegistry(RegistryConfig{Capacity: capacity, Lifetime: 10 * time.Second})
		runCounts := map[uint64]int{}
		running := map[uint64]bool{}
		answers := map[uint64]Answer{}
		var issued []uint64
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "elapsed")) * time.Millisecond)
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				issued = append(issued, registry.Issue(now))
			case 1:
				if len(issued) > 0 {
					sequence := rapid.SampledFrom(issued).Draw(t, "use")
					beginRequest(t, registry, now, sequence, runCounts, running, answers)
				}
			case 2:
				finishAnyRun(t, registry, running, answers)
			}
			if registry.Len() > capacity+len(running) {
				t.Fatalf("%d entries are stored, more than the capacity and the running requests", registry.Len())
			}
		}
	})
}

func beginRequest(
	t *rapid.T, registry *Registry, now time.Time, sequence uint64,
	runCounts map[uint64]int, running map[uint64]bool, answers map[uint64]Answer,
) {
	decision, stored := registry.Begin(now, sequence, func(a Answer) {
		if a.Reason != answers[sequence].Reason {
			t.Fatalf("a request that waited for ticket %d got the wrong answer %q", sequence, a.Reason)
		}
	})
	switch decision {
	case DecisionRun:
		runCounts[sequence]++
		running[sequence] = true
		if runCounts[sequence] > 1 {
			t.Fatalf("the request of ticket %d runs twice", sequence)
		}
	case DecisionReplay:
		if stored.Reason != answers[sequence].Reason {
			t.Fatalf("ticket %d was answered %q and then %q", sequence, answers[sequence].Reason, stored.Reason)
		}
	case DecisionWait:
		if !running[sequence] {
			t.Fatalf("a request waits for ticket %d, whose request is not running", sequence)
		}
	}
}

func finishAnyRun(t *rapid.T, registry *Registry, running map[uint64]bool, answers map[uint64]Answer) {
	for sequence := range running {
		answers[sequence] = Answer{Outcome: Ran, Reason: rapid.StringN(1, 4, 4).Draw(t, "answer")}
		registry.Finish(sequence, answers[sequence])
		delete(running, sequence)
		return
	}
}

func TestNotRunOutcomeIsRepeated(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(0, 0)
	registry := NewRegistry(RegistryConfig{Capacity: 8, Lifetime: time.Minute})
	sequence := registry.Issue(now)
	decision, _ := registry.Begin(now, sequence, nil)
	g.Expect(decision).To(gomega.Equal(DecisionRun))
	registry.Finish(sequence, Answer{Outcome: NotRun})
	decision, answer := registry.Begin(now, sequence, nil)
	g.Expect(decision).To(gomega.Equal(DecisionReplay))
	g.Expect(answer.Outcome).To(gomega.Equal(NotRun))
}

func TestExpiredTicketIsForgotten(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(0, 0)
	registry := NewRegistry(RegistryConfig{Capacity: 8, Lifetime: time.Minute})
	sequence := registry.Issue(now)
	decision, _ := registry.Begin(now.Add(2*time.Minute), sequence, nil)
	g.Expect(decision).To(gomega.Equal(DecisionForgotten))
}

func TestUnissuedTicketIsForgotten(t *testing.T) {
	g := gomega.NewWithT(t)
	registry := NewRegistry(RegistryConfig{Capacity: 8, Lifetime: time.Minute})
	decision, _ := registry.Begin(time.Unix(0, 0), 5, nil)
	g.Expect(decision).To(gomega.Equal(DecisionForgotten))
}

func newTestSealer(t *testing.T) *Sealer {
	sealer, err := NewSealer(make([]byte, SecretLength))
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	return sealer
}

func TestSealedTicketRoundTrip(t *testing.T) {
	g := gomega.NewWithT(t)
	sealer := newTestSealer(t)
	want := Ticket{BootID: 1, Issuer: netip.MustParseAddrPort("10.0.0.1:7000"), Sequence: 9, Service: 3}
	text, err := sealer.Seal(want)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	got, err := sealer.Open(text)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(got).To(gomega.Equal(want))
}

func FuzzOpen(f *testing.F) {
	sealer, err := NewSealer(make([]byte, SecretLength))
	if err != nil {
		f.Fatal(err)
	}
	text, err := sealer.Seal(Ticket{BootID: 1, Issuer: netip.MustParseAddrPort("10.0.0.1:7000"), Sequence: 9})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(text)
	f.Add("")
	f.Fuzz(func(t *testing.T, text string) {
		if _, err := sealer.Open(text); err != nil && !fault.Is(err, fault.Invalid) {
			t.Fatalf("Open returned %v instead of an Invalid fault", err)
		}
	})
}
