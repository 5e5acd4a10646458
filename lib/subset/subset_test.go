package subset

import (
	"hash/fnv"
	"slices"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

const testZones = 3

func testScore(balancer int) func(int) uint64 {
	return func(member int) uint64 {
		h := fnv.New64a()
		_, _ = h.Write([]byte{byte(balancer >> 8), byte(balancer), byte(member >> 8), byte(member), 7, 11, 13})
		return h.Sum64() * 0x9e3779b97f4a7c15
	}
}

func testMembers(count int) []int {
	members := make([]int, count)
	for i := range members {
		members[i] = i
	}
	return members
}

func ownZone(balancer int) func(int) bool {
	return func(member int) bool { return member%testZones == balancer%testZones }
}

// Guards against subsets that leave out backends of the own zone while there is room, or change more than a member that leaves.
func TestSubsetIsStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := Config{Other: rapid.IntRange(1, 10).Draw(t, "other"), Own: rapid.IntRange(1, 20).Draw(t, "own")}
		members := testMembers(rapid.IntRange(1, 200).Draw(t, "members"))
		balancer := rapid.IntRange(0, 500).Draw(t, "balancer")
		before := Pick(config, members, ownZone(balancer), testScore(balancer))
		if len(members) <= config.Own+config.Other {
			if len(before) != len(members) {
				t.Fatalf("%d of %d members are picked", len(before), len(members))
			}
			return
		}
		gone := rapid.IntRange(0, len(members)-1).Draw(t, "gone")
		rest := slices.DeleteFunc(slices.Clone(members), func(m int) bool { return m == gone })
		after := Pick(config, rest, ownZone(balancer), testScore(balancer))
		if len(rest) <= config.Own+config.Other {
			return
		}
		lost := 0
		for _, member := range before {
			if !slices.Contains(after, member) {
				lost++
			}
		}
		if lost > 1 {
			t.Fatalf("%d members left the subset with one that is gone", lost)
		}
	})
}

// Guards against backends that few or no balancers use: 430 balancers before 2,800 backends in services of 140.
func TestSubsetsCoverAllBackendsEvenly(t *testing.T) {
	g := gomega.NewWithT(t)
	const balancers, backends = 430, 140
	config := Config{Other: 8, Own: 16}
	users := make([]int, backends)
	for balancer := range balancers {
		for _, member := range Pick(config, testMembers(backends), ownZone(balancer), testScore(balancer)) {
			users[member]++
		}
	}
	mean := balancers * (config.Own + config.Other) / backends
	g.Expect(slices.Min(users)).To(gomega.BeNumerically(">", mean/2))
	g.Expect(slices.Max(users)).To(gomega.BeNumerically("<", 2*mean))
}
