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
		Address: netip.MustParseAddrPort(fmt.Sprintf("192.0.2.1:%d", 1000+id)),
		ID:      id,
		Kinds: []Kind{{
			Class: ClassRead, Method: "GET", Name: "slots", PathPrefix: "/slots",
			QueueLimit: 10, Share: 50, Timeout: time.Second, TypicalDuration: 20 * time.Millisecond,
		}},
		MaxConnections: 2000,
		Name:           fmt.Sprintf("service-%d", id),
		Slots:          7,
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

func TestStalePatchIsRejectedWithTheCurrentVersion(t *testing.T) {
	g := gomega.NewWithT(t)
	platform := store.NewMemory()
	_, err := Submit(context.Background(), platform, firstPatch())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = Submit(context.Background(), platform, drainPatch("late", 0))
	g.Expect(fault.KindOf(err)).To(gomega.Equal(fault.Stale))
	g.Expect(err.Error()).To(gomega.ContainSubstring("version 1 is in force"))
}

func TestInvalidPatchesAreRejected(t *testing.T) {
	setBrokenService := func(change func(*Service)) Operation {
		service := testService(1)
		service.Kinds = append([]Kind(nil), service.Kinds...)
		change(&service)
		return SetService{Service: service}
	}
	cases := map[string][]Operation{
		"active key missing": {ActivateKey{Number: 9}},
		"key size":           {AddKey{Key: Key{Number: 2, Secret: []byte("short")}}},
		"key twice":          {AddKey{Key: Key{Number: 1, Secret: testSecret(3)}}},
		"no connections":     {setBrokenService(func(s *Service) { s.MaxConnections = 0 })},
		"no kinds":           {setBrokenService(func(s *Service) { s.Kinds = nil })},
		"no operation":       nil,
		"no slots":           {setBrokenService(func(s *Service) { s.Slots = 0 })},
		"other ID":           {setBrokenService(func(s *Service) { s.ID = 7 })},
		"same address": {SetService{Service: Service{
			Address: testService(1).Address, ID: 2, Kinds: testService(1).Kinds, MaxConnections: 1, Name: "b", Slots: 1,
		}}},
		"share over 100":   {setBrokenService(func(s *Service) { s.Kinds[0].Share = 101 })},
		"typical too long": {setBrokenService(func(s *Service) { s.Kinds[0].TypicalDuration = time.Minute })},
		"unknown class":    {setBrokenService(func(s *Service) { s.Kinds[0].Class = "other" })},
		"unknown service":  {RemoveService{Name: "other"}},
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

func TestSubmitFindsItsPatchByIDAfterALostResponse(t *testing.T) {
	g := gomega.NewWithT(t)
	loseResponse := true
	platform := flaky.New(store.NewMemory(), func(call string) flaky.Fault {
		if call == "put" && loseResponse {
			loseResponse = false
			return flaky.ResponseLost
		}
		return flaky.NoFault
	})
	result, err := Submit(context.Background(), platform, firstPatch())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(result).To(gomega.Equal(Result{Repeated: true, Version: 1}))
}

// submitter submits the same patch repeatedly until it is accepted or found to be invalid.
type submitter struct {
	acceptedVersion uint64 // zero until the patch is accepted
	invalid         bool
	patch           Patch
}

func (s *submitter) step(t *rapid.T, platform store.Store, memory *store.Memory) {
	if s.acceptedVersion == 0 && !s.invalid && rapid.Bool().Draw(t, "rebase") {
		head, _, _ := ReadHead(context.Background(), memory)
		if !containsPatch(head, s.patch.ID) {
			s.patch.Base = head.Version
		}
	}
	result, err := Submit(context.Background(), platform, s.patch)
	if err != nil {
		s.invalid = s.invalid || fault.Is(err, fault.Invalid)
		return
	}
	if s.acceptedVersion != 0 && s.acceptedVersion != result.Version {
		t.Fatalf("patch %s was accepted as version %d and as version %d", s.patch.ID, s.acceptedVersion, result.Version)
	}
	s.acceptedVersion = result.Version
}

func containsPatch(head Head, id string) bool {
	for _, entry := range head.Entries {
		if entry.Patch.ID == id {
			return true
		}
	}
	return false
}

func drawFault(t *rapid.T) func(string) flaky.Fault {
	return func(call string) flaky.Fault {
		return flaky.Fault(rapid.SampledFrom([]int{0, 0, 0, 0, 1, 2, 3}).Draw(t, call))
	}
}

func TestConcurrentPatchesAreNeitherRevertedNorAppliedTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx := context.Background()
		memory := store.NewMemory()
		if _, err := Submit(ctx, memory, firstPatch()); err != nil {
			t.Fatal(err)
		}
		platform := flaky.New(memory, drawFault(t))
		submitters := make([]*submitter, 3)
		for i := range submitters {
			submitters[i] = &submitter{patch: drainPatch(fmt.Sprint(i), 1)}
		}
		replicas := []*Replica{{}, {}}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			submitters[rapid.IntRange(0, len(submitters)-1).Draw(t, "operator")].step(t, platform, memory)
			syncReplica(t, replicas[rapid.IntRange(0, 1).Draw(t, "replica")], platform)
		}
		checkHistory(t, memory, submitters)
		checkReplicas(t, memory, replicas)
	})
}

// syncReplica updates a replica from the platform once and checks that its version does not decrease.
func syncReplica(t *rapid.T, replica *Replica, platform store.Store) {
	before := replica.Current().Version
	head, _, err := ReadHead(context.Background(), platform)
	if err != nil {
		return
	}
	if _, gap := replica.ApplyEntries(head.Entries); gap {
		if current, err := Materialize(context.Background(), platform, head); err == nil {
			replica.Replace(current)
		}
	}
	if replica.Current().Version < before {
		t.Fatalf("the version of a replica decreased from %d to %d", before, replica.Current().Version)
	}
}

// checkHistory checks that the head's versions are consecutive, that no patch was accepted twice, and that each accepted
// patch has the version that its submitter was told.
func checkHistory(t *rapid.T, memory *store.Memory, submitters []*submitter) {
	head, _, err := ReadHead(context.Background(), memory)
	if err != nil {
		t.Fatal(err)
	}
	versionByID := map[string]uint64{}
	for i, entry := range head.Entries {
		if entry.Version != uint64(i+1) {
			t.Fatalf("entry %d has version %d", i, entry.Version)
		}
		if versionByID[entry.Patch.ID] != 0 {
			t.Fatalf("patch %s was accepted twice", entry.Patch.ID)
		}
		versionByID[entry.Patch.ID] = entry.Version
	}
	for _, s := range submitters {
		if s.acceptedVersion != 0 && versionByID[s.patch.ID] != s.acceptedVersion {
			t.Fatalf("patch %s was accepted as version %d but has version %d in the head", s.patch.ID, s.acceptedVersion,
				versionByID[s.patch.ID])
		}
	}
}

// checkReplicas checks that every replica, once updated, equals the platform's configuration.
func checkReplicas(t *rapid.T, memory *store.Memory, replicas []*Replica) {
	head, _, err := ReadHead(context.Background(), memory)
	if err != nil {
		t.Fatal(err)
	}
	for _, replica := range replicas {
		syncReplica(t, replica, memory)
		want, err := Materialize(context.Background(), memory, head)
		if err != nil {
			t.Fatal(err)
		}
		if string(EncodeConfig(replica.Current())) != string(EncodeConfig(want)) {
			t.Fatal("a replica's configuration differs from the platform's")
		}
	}
}

func TestLongHistoryAdvancesTheSnapshot(t *testing.T) {
	g := gomega.NewWithT(t)
	ctx := context.Background()
	platform := store.NewMemory()
	_, err := Submit(ctx, platform, firstPatch())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	lagging := &Replica{}
	head, _, err := ReadHead(ctx, platform)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	lagging.ApplyEntries(head.Entries)
	for i := 1; i < 400; i++ {
		_, err := Submit(ctx, platform, drainPatch(fmt.Sprint(i), uint64(i)))
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	head, _, err = ReadHead(ctx, platform)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(len(head.Entries)).To(gomega.BeNumerically("<=", 2*headEntries))
	_, gap := lagging.ApplyEntries(head.Entries)
	g.Expect(gap).To(gomega.BeTrue())
	current, err := Materialize(ctx, platform, head)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(lagging.Replace(current)).To(gomega.BeTrue())
	g.Expect(lagging.Current().Drains).To(gomega.HaveLen(399))
}

func TestSubmitIsUnavailableDuringAPlatformOutage(t *testing.T) {
	g := gomega.NewWithT(t)
	platform := flaky.New(store.NewMemory(), func(string) flaky.Fault { return flaky.RequestLost })
	_, err := Submit(context.Background(), platform, firstPatch())
	g.Expect(fault.KindOf(err)).To(gomega.Equal(fault.Unavailable))
}

func TestOlderConfigurationIsIgnored(t *testing.T) {
	g := gomega.NewWithT(t)
	replica := &Replica{}
	g.Expect(replica.Replace(Config{Version: 5})).To(gomega.BeTrue())
	g.Expect(replica.Replace(Config{Version: 4})).To(gomega.BeFalse())
	g.Expect(replica.Current().Version).To(gomega.Equal(uint64(5)))
}
