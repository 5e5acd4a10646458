package fleet

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// KeeperCount is how many balancers keep each lease.
	KeeperCount = 3
	// shardSize is how many agents of one service share their keepers.
	shardSize = 16
)

// KeeperKey returns the name under which a member's keepers are chosen, given how many agents its service has.
func KeeperKey(member Record, serviceAgents int) string {
	if member.Role == RoleBalancer {
		return member.Name
	}
	shards := max(1, (serviceAgents+shardSize-1)/shardSize)
	return fmt.Sprintf("%s/%d", member.Service, xxhash.Sum64String(member.Name)%uint64(shards))
}

// Keepers returns the balancers that keep the lease of a member, spread over as many zones as possible.
// The balancers must be those of the member's region that are not down.
func Keepers(key, member string, balancers []Record) []Record {
	ranked := rankKeepers(xxhash.Sum64String(key), member, balancers)
	chosen := make([]Record, 0, KeeperCount)
	for _, distinct := range []bool{true, false} {
		for _, candidate := range ranked {
			if len(chosen) == KeeperCount {
				return chosen
			}
			if holds(chosen, candidate.Name) || distinct && holdsZone(chosen, candidate.Zone) {
				continue
			}
			chosen = append(chosen, candidate)
		}
	}
	return chosen
}

type scored struct {
	index int
	score uint64
}

// rankKeepers returns the best balancers of each zone, the best of all first.
func rankKeepers(key uint64, member string, balancers []Record) []Record {
	best := map[string][]scored{}
	for i := range balancers {
		if balancers[i].Name != member {
			zone := balancers[i].Zone
			best[zone] = keepBest(best[zone], scored{index: i, score: mix(key, balancers[i].NameHash())})
		}
	}
	var all []scored
	for _, ofZone := range best {
		all = append(all, ofZone...)
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(balancers[a.index].Name, balancers[b.index].Name))
	})
	ranked := make([]Record, 0, len(all))
	for _, s := range all {
		ranked = append(ranked, balancers[s.index])
	}
	return ranked
}

// keepBest inserts a score into the few best of a zone, greatest first.
func keepBest(best []scored, s scored) []scored {
	at := len(best)
	for at > 0 && s.score > best[at-1].score {
		at--
	}
	if at == KeeperCount {
		return best
	}
	if len(best) < KeeperCount {
		best = append(best, scored{})
	}
	copy(best[at+1:], best[at:])
	best[at] = s
	return best
}

// mix combines two hashes into one that is spread over all numbers.
func mix(a, b uint64) uint64 {
	const first, second = 0xff51afd7ed558ccd, 0xc4ceb9fe1a85ec53
	x := a ^ b
	x = (x ^ x>>33) * first
	x = (x ^ x>>33) * second
	return x ^ x>>33
}

func holds(records []Record, name string) bool {
	return slices.ContainsFunc(records, func(r Record) bool { return r.Name == name })
}

func holdsZone(records []Record, zone string) bool {
	return slices.ContainsFunc(records, func(r Record) bool { return r.Zone == zone })
}
