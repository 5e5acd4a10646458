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

type scored struct {
	record Record
	score  uint64
}

// Keepers returns the balancers that keep the lease of a member, spread over as many zones as possible.
// The balancers must be those of the member's region that are not down.
func Keepers(key, member string, balancers []Record) []Record {
	ranked := rankBalancers(key, member, balancers)
	chosen := make([]Record, 0, KeeperCount)
	for _, distinct := range []bool{true, false} {
		for _, candidate := range ranked {
			if len(chosen) == KeeperCount {
				return chosen
			}
			if holds(chosen, candidate.record.Name) || distinct && holdsZone(chosen, candidate.record.Zone) {
				continue
			}
			chosen = append(chosen, candidate.record)
		}
	}
	return chosen
}

func rankBalancers(key, member string, balancers []Record) []scored {
	ranked := make([]scored, 0, len(balancers))
	for _, balancer := range balancers {
		if balancer.Name == member {
			continue
		}
		ranked = append(ranked, scored{record: balancer, score: xxhash.Sum64String(key + "\x00" + balancer.Name)})
	}
	slices.SortFunc(ranked, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.record.Name, b.record.Name))
	})
	return ranked
}

func holds(records []Record, name string) bool {
	return slices.ContainsFunc(records, func(r Record) bool { return r.Name == name })
}

func holdsZone(records []Record, zone string) bool {
	return slices.ContainsFunc(records, func(r Record) bool { return r.Zone == zone })
}
