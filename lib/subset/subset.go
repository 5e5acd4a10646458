package subset

import (
	"cmp"
	"slices"
)

// Config sets the size of a subset. The zero Config picks every member.
type Config struct {
	Other int // members of other availability zones
	Own   int // members of the balancer's availability zone
}

// Enabled reports whether the subset may be smaller than the whole.
func (c Config) Enabled() bool { return c.Other+c.Own > 0 }

// Pick returns the members with the highest scores, up to Config.Own for which own is true and Config.Other of the rest; members that
// are too few for that are all picked. Scores that hash the balancer with the member give each balancer another subset, and change
// only as many members as join or leave.
func Pick[E any](config Config, members []E, own func(E) bool, score func(E) uint64) []E {
	if !config.Enabled() || len(members) <= config.Own+config.Other {
		return members
	}
	ranked := slices.Clone(members)
	slices.SortStableFunc(ranked, func(x, y E) int { return cmp.Compare(score(y), score(x)) })
	picked := make([]E, 0, config.Own+config.Other)
	left := map[bool]int{false: config.Other, true: config.Own}
	for _, member := range ranked {
		if kind := own(member); left[kind] > 0 {
			left[kind]--
			picked = append(picked, member)
		}
	}
	return picked
}
