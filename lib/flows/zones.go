package flows

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cyclamendock/cyclamendock/lib/store"
	"github.com/cyclamendock/cyclamendock/lib/zones"
)

const (
	zonesEvacuated = 1
	// zonesInterval is the shortest interval between two Zones messages to one agent.
	zonesInterval = time.Second
	// emptiedSettleTime is how long a balancer must have heard the agents of evacuated availability zones before it takes them for all
	// agents of a service: one that has just started hears agents one after the other.
	emptiedSettleTime = time.Second
)

// Zones tells an agent whether its availability zone is evacuated.
type Zones struct {
	Evacuated bool
	Version   store.Version // of the store when the evacuated availability zones were listed
}

// ZonesNotice is a Zones message to an agent.
type ZonesNotice struct {
	Agent Endpoint
	Zones Zones
}

// Append appends the encoded message.
func (z Zones) Append(dst []byte) []byte {
	return appendVersion(append(dst, byte(KindZones), flagBit(z.Evacuated, zonesEvacuated)), z.Version)
}

// Decode decodes the message and reports whether it is well-formed.
func (z *Zones) Decode(message []byte) bool {
	r := reader{rest: message}
	r.byte()
	z.Evacuated = r.byte()&zonesEvacuated != 0
	z.Version = r.version()
	return !r.failed
}

// appendZones appends a known state of the evacuated availability zones.
func appendZones(dst []byte, state zones.State) []byte {
	dst = appendVersion(dst, state.Version)
	dst = append(dst, byte(state.Len()))
	for _, hash := range state.Hashes() {
		dst = binary.BigEndian.AppendUint64(dst, hash)
	}
	return dst
}

// zones decodes what appendZones has encoded.
func (r *reader) zones() zones.State {
	version := r.version()
	count := int(r.byte())
	if count > zones.MaxZones {
		r.failed = true
		return zones.State{}
	}
	hashes := make([]uint64, 0, count)
	for range count {
		hashes = append(hashes, r.uint64())
	}
	if r.failed {
		return zones.State{}
	}
	state, _ := zones.NewState(version, hashes)
	return state
}

func appendVersion(dst []byte, version store.Version) []byte {
	return binary.AppendUvarint(binary.AppendUvarint(dst, version.Era), version.Revision)
}

func (r *reader) version() store.Version {
	era := r.uvarint()
	return store.Version{Era: era, Revision: r.uvarint()}
}

// evacuated reports whether an agent is in an evacuated availability zone, by this balancer's own knowledge or the agent's.
func (a *Agents) evacuated(agent *agentState) bool {
	return agent.report.ZoneEvacuated || a.Zones.State().Contains(uint64(agent.report.Zone))
}

// Evacuated reports whether an agent is known to be in an evacuated availability zone.
func (a *Agents) Evacuated(address Endpoint) bool {
	agent := a.byAddress[address]
	return agent != nil && a.evacuated(agent)
}

// CountIn returns the number of agents in an availability zone that have reported and are not dormant.
func (a *Agents) CountIn(zone NameHash) int {
	count := 0
	for _, agent := range a.byAddress {
		if !agent.dormant && !agent.lastReport.IsZero() && agent.report.Zone == zone {
			count++
		}
	}
	return count
}

// allEvacuated reports whether all agents of a service that can serve new flows, now or soon, are in evacuated availability zones. An
// agent that was never heard may belong to the service.
func (a *Agents) allEvacuated(now time.Time, service NameHash) bool {
	settled := false
	for _, agent := range a.byService[service] {
		switch {
		case agent.report.State != StateReady || a.lost(now, agent):
		case !a.evacuated(agent):
			return false
		default:
			settled = settled || now.Sub(agent.firstReport) >= emptiedSettleTime
		}
	}
	return settled && len(a.Unreported(now)) == 0
}

// ZonesNotice returns the Zones message for an agent whose last report contradicts what this balancer knows, at most one per
// zonesInterval, or false when none is due.
func (a *Agents) ZonesNotice(now time.Time, address Endpoint) (ZonesNotice, bool) {
	agent := a.byAddress[address]
	state := a.Zones.State()
	if agent == nil || agent.lastReport.IsZero() || !state.Known {
		return ZonesNotice{}, false
	}
	evacuated := state.Contains(uint64(agent.report.Zone))
	if agent.report.ZoneEvacuated == evacuated || !agent.zonesSentAt.IsZero() && now.Sub(agent.zonesSentAt) < zonesInterval {
		return ZonesNotice{}, false
	}
	agent.zonesSentAt = now
	return ZonesNotice{Agent: address, Zones: Zones{Evacuated: evacuated, Version: state.Version}}, true
}

// ZonesNotices returns the messages of ZonesNotice for all agents, in order.
func (a *Agents) ZonesNotices(now time.Time) []ZonesNotice {
	var notices []ZonesNotice
	for address := range a.byAddress {
		if notice, due := a.ZonesNotice(now, address); due {
			notices = append(notices, notice)
		}
	}
	slices.SortFunc(notices, func(x, y ZonesNotice) int { return x.Agent.Compare(y.Agent) })
	return notices
}

// repeatToEvacuated decides about a repeated opening whose first copy went to an agent that is now in an evacuated availability zone.
// An agent that knows of the evacuation serves the flow if it has accepted it before, and forwards the opening otherwise. One that
// may not know of it is not asked, since it would still accept the flow.
func (d *Director) repeatToEvacuated(now time.Time, route Route, p Packet, owner Endpoint) Verdict {
	report, _ := d.Agents.LastReport(now, owner)
	if !report.ZoneEvacuated {
		return d.place(now, route, p, nil)
	}
	flow := p.CallerFlow()
	service := route.ServiceFor(flow)
	candidates := d.Agents.candidates(now, service, flow, nil)
	return d.forwardVerdict(now, route, p, service, append(Chain{owner}, candidates...))
}
