package zones

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/cyclamendock/cyclamendock/lib/store"
)

func stateAt(era, revision uint64, hashes ...uint64) State {
	state, _ := NewState(store.Version{Era: era, Revision: revision}, hashes)
	return state
}

// Guards against a state that is too large for a digest, and against two processes that keep different zones of one list.
func TestOnlyTheFirstZonesOfAListAreKept(t *testing.T) {
	g := gomega.NewWithT(t)
	var hashes []uint64
	for i := range uint64(MaxZones + 3) {
		hashes = append(hashes, 100-i, 100-i)
	}
	state, omitted := NewState(store.Version{Revision: 1}, hashes)
	g.Expect(omitted).To(gomega.Equal(6))
	g.Expect(state.Len()).To(gomega.Equal(MaxZones))
	g.Expect(state.Contains(100)).To(gomega.BeTrue())
	g.Expect(state.Contains(100 - MaxZones)).To(gomega.BeFalse())
	g.Expect(state.Hashes()).To(gomega.HaveLen(MaxZones))
	same, _ := NewState(store.Version{Revision: 1}, state.Hashes())
	g.Expect(same).To(gomega.Equal(state))
}

// Guards against a state that an older one, or none, replaces: an evacuated zone would get new flows again.
func TestOnlyLaterStatesAreApplied(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(100, 0)
	var tracker Tracker
	g.Expect(tracker.Apply(now, State{}).Any()).To(gomega.BeFalse())
	g.Expect(tracker.State().Known).To(gomega.BeFalse())
	g.Expect(tracker.Apply(now, stateAt(1, 5))).To(gomega.Equal(Change{FirstKnown: true}))
	g.Expect(tracker.Apply(now, stateAt(1, 7, 8, 9)).Added).To(gomega.Equal([]uint64{8, 9}))
	for _, state := range []State{{}, stateAt(1, 6), stateAt(1, 7), stateAt(0, 99)} {
		g.Expect(tracker.Apply(now, state).Any()).To(gomega.BeFalse(), "%+v", state)
	}
	g.Expect(tracker.State()).To(gomega.Equal(stateAt(1, 7, 8, 9)))
	g.Expect(tracker.Apply(now.Add(time.Second), stateAt(1, 8, 9, 10))).To(gomega.Equal(Change{Added: []uint64{10}, Removed: []uint64{8}}))
	g.Expect(tracker.Evacuations()).To(gomega.Equal([]Evacuation{
		{Hash: 9, Since: now, Version: store.Version{Era: 1, Revision: 7}},
		{Hash: 10, Since: now.Add(time.Second), Version: store.Version{Era: 1, Revision: 8}},
	}))
	g.Expect(tracker.Apply(now, stateAt(2, 3)).Removed).To(gomega.Equal([]uint64{9, 10}), "the store was restored without the entries")
}

// Guards against an agent that follows a balancer with an older state.
func TestAgentFollowsOnlyLaterStatements(t *testing.T) {
	g := gomega.NewWithT(t)
	var own Own
	g.Expect(own.Evacuated()).To(gomega.BeFalse())
	g.Expect(own.Apply(store.Version{}, true)).To(gomega.BeTrue(), "a store without changes states revision zero")
	g.Expect(own.Apply(store.Version{Revision: 4}, false)).To(gomega.BeTrue())
	g.Expect(own.Apply(store.Version{Revision: 4}, true)).To(gomega.BeFalse())
	g.Expect(own.Apply(store.Version{Revision: 3}, true)).To(gomega.BeFalse())
	g.Expect(own.Evacuated()).To(gomega.BeFalse())
	g.Expect(own.Apply(store.Version{Era: 1, Revision: 1}, true)).To(gomega.BeTrue())
	g.Expect(own.Evacuated()).To(gomega.BeTrue())
	g.Expect(own.Version()).To(gomega.Equal(store.Version{Era: 1, Revision: 1}))
}

// Guards against trackers that disagree for good when states arrive in different orders, more than once or not at all.
func TestTrackersAgreeInAnyOrderOfStates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var states []State
		for revision := range rapid.IntRange(1, 8).Draw(t, "states") {
			hashes := rapid.SliceOfN(rapid.Uint64Range(1, 5), 0, 5).Draw(t, "hashes")
			states = append(states, stateAt(uint64(rapid.IntRange(1, 2).Draw(t, "era")), uint64(revision+1), hashes...))
		}
		var inOrder, shuffled Tracker
		for _, state := range states {
			inOrder.Apply(time.Unix(0, 0), state)
		}
		for _, state := range rapid.Permutation(append(states, states...)).Draw(t, "order") {
			shuffled.Apply(time.Unix(0, 0), state)
		}
		if inOrder.State() != shuffled.State() || len(inOrder.Evacuations()) != len(shuffled.Evacuations()) {
			t.Fatalf("%+v and %+v", inOrder.State(), shuffled.State())
		}
	})
}
