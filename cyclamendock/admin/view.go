package admin

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cyclamendock/cyclamendock/lib/peer"
	"github.com/cyclamendock/cyclamendock/lib/steer"
)

// View combines the replies of all balancers that answered.
type View struct {
	Members       []peer.MemberStatus // sorted by name
	NewestVersion uint64
	PlatformOK    bool // the platform answered the command itself
}

// Zone holds the members of one availability zone.
type Zone struct {
	LowestVersion uint64 // lowest configuration version of the members that are not down
	Members       []peer.MemberStatus
	Name          string
}

// mergeReplies keeps the most recent status of each member: that of the highest incarnation, then one based on the
// member's own heartbeats, then the one with the shortest silence.
func mergeReplies(replies []peer.StatusReply) View {
	var view View
	members := map[string]peer.MemberStatus{}
	for _, reply := range replies {
		view.NewestVersion = max(view.NewestVersion, reply.Config)
		for _, member := range reply.Members {
			known, ok := members[member.Name]
			if !ok || isNewer(member, known) {
				members[member.Name] = member
			}
		}
	}
	for _, member := range members {
		view.Members = append(view.Members, member)
	}
	slices.SortFunc(view.Members, func(a, b peer.MemberStatus) int { return cmp.Compare(a.Name, b.Name) })
	return view
}

func isNewer(a, b peer.MemberStatus) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	if a.Heard != b.Heard {
		return a.Heard
	}
	return a.SilentMS < b.SilentMS
}

// zones groups the members by availability zone, sorted by the zone's name.
func (v View) zones() []Zone {
	byName := map[string]*Zone{}
	for _, member := range v.Members {
		zone := byName[member.Zone]
		if zone == nil {
			zone = &Zone{LowestVersion: v.NewestVersion, Name: member.Zone}
			byName[member.Zone] = zone
		}
		zone.Members = append(zone.Members, member)
		if member.State != "down" {
			zone.LowestVersion = min(zone.LowestVersion, member.Config)
		}
	}
	var zones []Zone
	for _, zone := range byName {
		zones = append(zones, *zone)
	}
	slices.SortFunc(zones, func(a, b Zone) int { return cmp.Compare(a.Name, b.Name) })
	return zones
}

func formatVersion(version uint64) string {
	if version == 0 {
		return "?"
	}
	return fmt.Sprint(version)
}

type memberJSON struct {
	Address      string  `json:"address"`
	Closed       bool    `json:"closed"`
	Flows        uint32  `json:"flows"`
	Incarnation  uint64  `json:"incarnation"`
	Lags         bool    `json:"lags"`
	LoadPercent  float64 `json:"loadPercent"`
	Name         string  `json:"name"`
	Role         string  `json:"role"`
	Service      string  `json:"service,omitempty"`
	SpeedPercent uint32  `json:"speedPercent"`
	State        string  `json:"state"`
	Version      uint64  `json:"version"`
	Zone         string  `json:"zone"`
}

type viewJSON struct {
	Members         []memberJSON `json:"members"`
	NewestVersion   uint64       `json:"newestVersion"`
	PlatformAnswers bool         `json:"platformAnswers"`
}

func viewToJSON(view View) viewJSON {
	encoded := viewJSON{NewestVersion: view.NewestVersion, PlatformAnswers: view.PlatformOK}
	for _, member := range view.Members {
		closed := member.Load == steer.ClosedLoad
		load := float64(member.Load) / perMillionPerPercent
		if closed {
			load = 0
		}
		encoded.Members = append(encoded.Members, memberJSON{
			Address:      member.Address,
			Closed:       closed,
			Flows:        member.Flows,
			Incarnation:  member.Incarnation,
			Lags:         formatLag(view.NewestVersion, member) != "",
			LoadPercent:  load,
			Name:         member.Name,
			Role:         member.Role,
			Service:      member.Service,
			SpeedPercent: member.Speed / perMillePerPercent,
			State:        member.State,
			Version:      member.Config,
			Zone:         member.Zone,
		})
	}
	return encoded
}
