package fleet

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// MonitorCount is the number of balancers that monitor each member.
	MonitorCount = 3
	// shardSize is the number of agents of one service that share the same monitors.
	shardSize = 16
)

// MonitorKey returns the rendezvous-hashing key that selects a member's monitors; serviceAgents is the number of agents
// of the member's service.
func MonitorKey(member Record, serviceAgents int) string {
	if member.Role == RoleBalancer {
		return member.Name
	}
	shards := max(1, (serviceAgents+shardSize-1)/shardSize)
	return fmt.Sprintf("%s/%d", member.Service, xxhash.Sum64String(member.Name)%uint64(shards))
}

// SelectMonitors returns the balancers that monitor a member, spread over as many availability zones as possible.
// The given balancers must be those of the member's region that are not down.
func SelectMonitors(key, member string, balancers []Record) []Record {
	candidates := rankMonitors(xxhash.Sum64String(key), member, balancers)
	chosen := make([]Record, 0, MonitorCount)
	for _, distinctZones := range []bool{true, false} {
		for _, candidate := range candidates {
			if len(chosen) == MonitorCount {
				return chosen
			}
			if containsName(chosen, candidate.Name) || distinctZones && containsZone(chosen, candidate.Zone) {
				continue
			}
			chosen = append(chosen, candidate)
		}
	}
	return chosen
}

type scoredBalancer struct {
	index int // in the list of balancers
	score uint64
}

// rankMonitors returns the MonitorCount balancers with the highest scores of each zone, highest score first.
func rankMonitors(key uint64, member string, balancers []Record) []Record {
	byZone := map[string][]scoredBalancer{}
	for i := range balancers {
		if balancers[i].Name != member {
			zone := balancers[i].Zone
			byZone[zone] = insertBest(byZone[zone], scoredBalancer{index: i, score: mixHashes(key, balancers[i].NameHash())})
		}
	}
	var candidates []scoredBalancer
	for _, zoneBest := range byZone {
		candidates = append(candidates, zoneBest...)
	}
	slices.SortFunc(candidates, func(a, b scoredBalancer) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(balancers[a.index].Name, balancers[b.index].Name))
	})
	ranked := make([]Record, 0, len(candidates))
	for _, s := range candidates {
		ranked = append(ranked, balancers[s.index])
	}
	return ranked
}

// insertBest inserts a balancer into the at most MonitorCount best ones of a zone, which are sorted by descending score.
func insertBest(best []scoredBalancer, candidate scoredBalancer) []scoredBalancer {
	position := len(best)
	for position > 0 && candidate.score > best[position-1].score {
		position--
	}
	if position == MonitorCount {
		return best
	}
	if len(best) < MonitorCount {
		best = append(best, scoredBalancer{})
	}
	copy(best[position+1:], best[position:])
	best[position] = candidate
	return best
}

// mixHashes combines two hashes into one that is uniformly distributed; it is the finalizer of MurmurHash3.
func mixHashes(a, b uint64) uint64 {
	const multiplier1, multiplier2 = 0xff51afd7ed558ccd, 0xc4ceb9fe1a85ec53
	hash := a ^ b
	hash = (hash ^ hash>>33) * multiplier1
	hash = (hash ^ hash>>33) * multiplier2
	return hash ^ hash>>33
}

func containsName(records []Record, name string) bool {
	return slices.ContainsFunc(records, func(r Record) bool { return r.Name == name })
}

func containsZone(records []Record, zone string) bool {
	return slices.ContainsFunc(records, func(r Record) bool { return r.Zone == zone })
}
