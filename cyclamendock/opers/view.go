package opers

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cyclamendock/cyclamendock/lib/peer"
	"github.com/cyclamendock/cyclamendock/lib/steer"
)

// A View is the fleet as all asked balancers together see it.
type View struct {
	Members    []peer.MemberStatus // sorted by name
	Newest     uint64
	PlatformOK bool
}

// A Zone is the part of a View in one availability zone.
type Zone struct {
	Lowest  uint64 // version in force at every member that is not down
	Members []peer.MemberStatus
	Name    string
}

// merge takes for each member the word of the balancer that has heard it last.
func merge(replies []peer.StatusReply) View {
	var view View
	members := map[string]peer.MemberStatus{}
	for _, reply := range replies {
		view.Newest = max(view.Newest, reply.Config)
		for _, member := range reply.Members {
			known, ok := members[member.Name]
			if !ok || better(member, known) {
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

func better(a, b peer.MemberStatus) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	if a.Heard != b.Heard {
		return a.Heard
	}
	return a.SilentMS < b.SilentMS
}

// zones returns the members by availability zone, sorted by name.
func (v View) zones() []Zone {
	byName := map[string]*Zone{}
	for _, member := range v.Members {
		zone := byName[member.Zone]
		if zone == nil {
			zone = &Zone{Lowest: v.Newest, Name: member.Zone}
			byName[member.Zone] = zone
		}
		zone.Members = append(zone.Members, member)
		if member.State != "down" {
			zone.Lowest = min(zone.Lowest, member.Config)
		}
	}
	var zones []Zone
	for _, zone := range byName {
		zones = append(zones, *zone)
	}
	slices.SortFunc(zones, func(a, b Zone) int { return cmp.Compare(a.Name, b.Name) })
	return zones
}

func versionText(version uint64) string {
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
	Members        []memberJSON `json:"members"`
	NewestVersion  uint64       `json:"newestVersion"`
	PlatformAnswer bool         `json:"platformAnswers"`
}

func viewToJSON(v View) viewJSON {
	wire := viewJSON{NewestVersion: v.Newest, PlatformAnswer: v.PlatformOK}
	for _, m := range v.Members {
		closed := m.Load == steer.Closed
		load := float64(m.Load) / perMillionPart
		if closed {
			load = 0
		}
		wire.Members = append(wire.Members, memberJSON{
			Address:      m.Address,
			Closed:       closed,
			Flows:        m.Flows,
			Incarnation:  m.Incarnation,
			Lags:         lagText(v.Newest, m) != "",
			LoadPercent:  load,
			Name:         m.Name,
			Role:         m.Role,
			Service:      m.Service,
			SpeedPercent: m.Speed / perMillePart,
			State:        m.State,
			Version:      m.Config,
			Zone:         m.Zone,
		})
	}
	return wire
}
