package config

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/cyclamendock/cyclamendock/lib/fault"
	"github.com/cyclamendock/cyclamendock/lib/flaky"
	"github.com/cyclamendock/cyclamendock/lib/store"
)

func testSecret(fill byte) []byte {
	secret := make([]byte, 16)
	for i := range secret {
		secret[i] = fill
	}
	return secret
}

func testService(id uint16) Service {
	return Service{
		Address:     netip.MustParseAddrPort(fmt.Sprintf("192.0.2.1:%d", 1000+id)),
		Connections: 2000,
		ID:          id,
		Kinds: []Kind{{
			Class: ClassRead, Method: "GET", Name: "slots", PathPrefix: "/slots",
			QueueLimit: 10, Share: 50, Timeout: time.Second, Typical: 20 * time.Millisecond,
		}},
		Name:  fmt.Sprintf("service-%d", id),
		Slots: 7,
	}
}

func firstPatch() Patch {
	return Patch{ID: "first", Operations: []Operation{
		AddKey{Key: Key{Number: 1, Secret: testSecret(1)}},
		ActivateKey{Number: 1},
		SetTicketSecret{Secret: testSecret(2)},
		SetService{Service: testService(1)},
	}}
}

func drainPatch(id string, base uint64) Patch {
	return Patch{Base: base, ID: id, Operations: []Operation{Drain{Member: "member-" + id}}}
}

func TestStalePatchIsRefusedWithTheCurrentVersion(t *testing.T) {
	g := gomega.NewWithT(t)
	platform := store.NewMemory()
	_, err := Submit(context.Background(), platform, firstPatch())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = Submit(context.Background(), platform, drainPatch("late", 0))
	g.Expect(fault.KindOf(err)).To(gomega.Equal(fault.Stale))
	g.Expect(err.Error()).To(gomega.ContainSubstring("version 1 is in force"))
}

func TestInvalidPatchesAreRefused(t *testing.T) {
	breakService := func(change func(*Service)) Operation {
		service := testService(1)
		service.Kinds = append([]Kind(nil), service.Kinds...)
		change(&service)
		return SetService{Service: service}
	}
	cases := map[string][]Operation{
		"active key missing": {ActivateKey{Number: 9}},
		"key size":           {AddKey{Key: Key{Number: 2, Secret: []byte("short")}}},
		"key twice":          {AddKey{Key: Key{Number: 1, Secret: testSecret(3)}}},
		"no connections":     {breakService(func(s *Service) { s.Connections = 0 })},
		"no kinds":           {breakService(func(s *Service) { s.Kinds = nil })},
		"no operation":       nil,
		"no slots":           {breakService(func(s *Service) { s.Slots = 0 })},
		"other ID":           {breakService(func(s *Service) { s.ID = 7 })},
		"same address":       {SetService{Service: Service{Address: testService(1).Address, Connections: 1, ID: 2, Kinds: testService(1).Kinds, Name: "b", Slots: 1}}},
		"share over 100":     {breakService(func(s *Service) { s.Kinds[0].Share = 101 })},
		"typical too long":   {breakService(func(s *Service) { s.Kinds[0].Typical = time.Minute })},
		"unknown class":      {breakService(func(s *Service) { s.Kinds[0].Class = "other" })},
		"unknown service":    {RemoveService{Name: "other"}},
	}
	current, err := Apply(Config{}, firstPatch())
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	for name, operations := range cases {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			_, err := Apply(current, Patch{Base: 1, ID: "x", Operations: operations})
			g.Expect(fault.KindOf(err)).To(gomega.Equal(fault.Invalid))
			g.Expect(err.Error()).To(gomega.ContainSubstring(";"), "the remedy is missing")
		})
	}
}

func TestLostAnswerIsFoundByThePatchID(t *testing.T) {
	g := gomega.NewWithT(t)
	lose := true
	platform := flaky.New(store.NewMemory(), func(call string) flaky.Fate {
		if call == "put" && lose {
			lose = false
			return flaky.Lost
		}
		return flaky.Answered
	})
	result, err := Submit(context.Background(), platform, firstPatch())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(result).To(gomega.Equal(Result{Repeated: true, Version: 1}))
}

// An operator submits one patch over and over until it is decided.
type operator struct {
	accepted uint64
	patch    Patch
	refused  bool
}

func (o *operator) step(t *rapid.T, platform store.Store, memory *store.Memory) {
	if o.accepted == 0 && !o.refused && rapid.Bool().Draw(t, "rebase") {
		head, _, _ := ReadHead(context.Background(), memory)
		if !accepted(head, o.patch.ID) {
			o.patch.Base = head.Version
		}
	}
	result, err := Submit(context.Background(), platform, o.patch)
	if err != nil {
		o.refused = o.refused || fault.Is(err, fault.Invalid)
		return
	}
	if o.accepted != 0 && o.accepted != result.Version {
		t.Fatalf("patch %s was accepted as %d and as %d", o.patch.ID, o.accepted, result.Version)
	}
	o.accepted = result.Version
}

func accepted(head Head, id string) bool {
	for _, entry := range head.Entries {
		if entry.Patch.ID == id {
			return true
		}
	}
	return false
}

func drawFate(t *rapid.T) func(string) flaky.Fate {
	return func(call string) flaky.Fate {
		return flaky.Fate(rapid.SampledFrom([]int{0, 0, 0, 0, 1, 2, 3}).Draw(t, call))
	}
}

func TestRacingPatchesNeverRevertAndNeverDouble(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx := context.Background()
		memory := store.NewMemory()
		if _, err := Submit(ctx, memory, firstPatch()); err != nil {
			t.Fatal(err)
		}
		platform := flaky.New(memory, drawFate(t))
		operators := make([]*operator, 3)
		for i := range operators {
			operators[i] = &operator{patch: drainPatch(fmt.Sprint(i), 1)}
		}
		replicas := []*Holder{{}, {}}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			operators[rapid.IntRange(0, len(operators)-1).Draw(t, "operator")].step(t, platform, memory)
			follow(t, replicas[rapid.IntRange(0, 1).Draw(t, "replica")], platform)
		}
		checkHistory(t, memory, operators)
		checkReplicas(t, memory, replicas)
	})
}

// follow lets a replica read the platform once and checks that it does not go back.
func follow(t *rapid.T, h *Holder, platform store.Store) {
	before := h.Current().Version
	head, _, err := ReadHead(context.Background(), platform)
	if err != nil {
		return
	}
	if _, gap := h.Offer(head.Entries); gap {
		if whole, err := Materialize(context.Background(), platform, head); err == nil {
			h.OfferWhole(whole)
		}
	}
	if h.Current().Version < before {
		t.Fatalf("a replica went from version %d back to %d", before, h.Current().Version)
	}
}

func checkHistory(t *rapid.T, memory *store.Memory, operators []*operator) {
	head, _, err := ReadHead(context.Background(), memory)
	if err != nil {
		t.Fatal(err)
	}
	seen := map[string]uint64{}
	for i, entry := range head.Entries {
		if entry.Version != uint64(i+1) {
			t.Fatalf("entry %d has version %d", i, entry.Version)
		}
		if seen[entry.Patch.ID] != 0 {
			t.Fatalf("patch %s was accepted twice", entry.Patch.ID)
		}
		seen[entry.Patch.ID] = entry.Version
	}
	for _, o := range operators {
		if o.accepted != 0 && seen[o.patch.ID] != o.accepted {
			t.Fatalf("patch %s was accepted as %d but the history says %d", o.patch.ID, o.accepted, seen[o.patch.ID])
		}
	}
}

func checkReplicas(t *rapid.T, memory *store.Memory, replicas []*Holder) {
	head, _, err := ReadHead(context.Background(), memory)
	if err != nil {
		t.Fatal(err)
	}
	for _, replica := range replicas {
		follow(t, replica, memory)
		want, err := Materialize(context.Background(), memory, head)
		if err != nil {
			t.Fatal(err)
		}
		if string(EncodeConfig(replica.Current())) != string(EncodeConfig(want)) {
			t.Fatal("a replica differs from the platform")
		}
	}
}

func TestLongHistoryMovesTheSnapshot(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx := context.Background()
	platform := store.NewMemory()
	_, err := Submit(ctx, platform, firstPatch())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	late := &Holder{}
	head, _, err := ReadHead(ctx, platform)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	late.Offer(head.Entries)
	for i := 1; i < 400; i++ {
		_, err := Submit(ctx, platform, drainPatch(fmt.Sprint(i), uint64(i)))
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	head, _, err = ReadHead(ctx, platform)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(len(head.Entries)).To(gomega.BeNumerically("<=", 2*headEntries))
	_, gap := late.Offer(head.Entries)
	g.Expect(gap).To(gomega.BeTrue())
	whole, err := Materialize(ctx, platform, head)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(late.OfferWhole(whole)).To(gomega.BeTrue())
	g.Expect(late.Current().Drains).To(gomega.HaveLen(399))
}

func TestPlatformOutageRefusesWithAReason(t *testing.T) {
	g := gomega.NewWithT(t)
	platform := flaky.New(store.NewMemory(), func(string) flaky.Fate { return flaky.Down })
	_, err := Submit(context.Background(), platform, firstPatch())
	g.Expect(fault.KindOf(err)).To(gomega.Equal(fault.Unavailable))
}

func TestOlderWholeConfigurationIsNotTaken(t *testing.T) {
	g := gomega.NewWithT(t)
	h := &Holder{}
	g.Expect(h.OfferWhole(Config{Version: 5})).To(gomega.BeTrue())
	g.Expect(h.OfferWhole(Config{Version: 4})).To(gomega.BeFalse())
	g.Expect(h.Current().Version).To(gomega.Equal(uint64(5)))
}
