package tuple

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/cyclamendock/cyclamendock/lib/flows"
	"github.com/cyclamendock/cyclamendock/lib/logs"
	"github.com/cyclamendock/cyclamendock/lib/netio"
	"github.com/cyclamendock/cyclamendock/lib/zones"
)

// zoneListTimeout is shorter than other calls' timeouts: an evacuation may have been confirmed just before an outage of the store, and a
// call that hangs delays the next attempt after it.
const zoneListTimeout = time.Second

// runZoneList lists the evacuated availability zones and states on forAll whether all balancers are to be told.
func (n *Node) runZoneList(forAll chan<- bool) { forAll <- n.listZones() }

// listZones lists the evacuated availability zones and reports whether all balancers are to be told that it has. A change goes to them
// and to the agents of the changed availability zones at once.
func (n *Node) listZones() bool {
	requestedAt := time.Now()
	ctx, cancel := context.WithTimeout(n.ctx, zoneListTimeout)
	defer cancel()
	objects, version, err := n.config.Store.ListAt(ctx, n.config.ZonesPrefix)
	now := time.Now()
	if err != nil {
		n.recordZoneListFailure(now, err)
		return false
	}
	names := map[uint64]string{}
	var sorted []string
	for _, object := range objects {
		name, err := n.config.ZoneName(object)
		if err != nil {
			n.config.Ignored.Record(now, netio.InputObject, object.Key, err.Error())
			continue
		}
		names[uint64(flows.HashName(name))] = name
		sorted = append(sorted, name)
	}
	slices.Sort(sorted)
	hashes := make([]uint64, len(sorted))
	for i, name := range sorted {
		hashes[i] = uint64(flows.HashName(name))
	}
	state, omitted := zones.NewState(version, hashes)
	n.mu.Lock()
	change, forAll := n.zoneSync.recordList(now, requestedAt, state)
	n.learnZoneNames(names)
	omittedChanged := n.zonesOmitted != omitted
	n.zonesOmitted = omitted
	var notices []flows.ZonesNotice
	if change.Any() {
		notices = n.director.Agents.ZonesNotices(now)
	}
	n.mu.Unlock()
	switch {
	case change.Any() && forAll:
		n.sendDigests(n.allPeers())
	case change.Any():
		n.sendDigests(n.nextDigestPeers())
	}
	for _, notice := range notices {
		n.socket.Send(notice.Zones.Append(nil), notice.Agent.AddrPort())
	}
	if omittedChanged && omitted > 0 {
		n.config.Log.Warn("Too many availability zones are evacuated.", logs.Fields{"limit": zones.MaxZones, "omitted": omitted})
	}
	n.logZones(change, state, "store")
	return forAll
}

// recordZoneListFailure records that the evacuated availability zones could not be listed.
func (n *Node) recordZoneListFailure(now time.Time, err error) {
	n.mu.Lock()
	n.zoneSync.recordListFailure(now, len(n.peers.list)+1)
	n.configReads.recordFailure(now)
	n.mu.Unlock()
	if suppressed, ok := n.meter.zoneLimiter.Allow(now); ok && n.ctx.Err() == nil {
		n.config.Log.Warn("The evacuated availability zones can't be listed.", logs.Fields{"error": err.Error(), "suppressed": suppressed})
	}
}

// repeatZones sends a changed state again to all balancers.
func (n *Node) repeatZones() {
	n.mu.Lock()
	repeat := n.zoneSync.takeRepeat()
	n.mu.Unlock()
	if repeat {
		n.sendDigests(n.allPeers())
	}
}

// learnZoneNames replaces the names of availability zones by those of a list and those that are still in use; n.mu must be held.
func (n *Node) learnZoneNames(names map[uint64]string) {
	for _, evacuation := range n.director.Agents.Zones.Evacuations() {
		if name, known := n.zoneNames[evacuation.Hash]; known {
			names[evacuation.Hash] = name
		}
	}
	names[uint64(flows.HashName(n.config.Zone))] = n.config.Zone
	for hash, name := range n.zoneNames {
		if len(names) < 2*zones.MaxZones {
			names[hash] = name // for the line about its removal
		}
	}
	n.zoneNames = names
}

// zoneName returns the name of an availability zone, or its hash while only other balancers know the name; n.mu must be held.
func (n *Node) zoneName(hash uint64) string {
	if name, known := n.zoneNames[hash]; known {
		return name
	}
	return formatZoneHash(hash)
}

// ZoneHash returns the hash by which ZoneStatus names an availability zone.
func ZoneHash(name string) string { return formatZoneHash(uint64(flows.HashName(name))) }

func formatZoneHash(hash uint64) string { return fmt.Sprintf("%016x", hash) }

// logZones logs a change of the evacuated availability zones.
func (n *Node) logZones(change zones.Change, state zones.State, source string) {
	if !change.Any() {
		return
	}
	if change.FirstKnown {
		n.config.Log.Info("The evacuated availability zones are known.", logs.Fields{"count": state.Len(), "source": source, "version": state.Version.String()})
	}
	for _, hash := range change.Added {
		n.logZone("Availability zone evacuated.", hash, state, source)
	}
	for _, hash := range change.Removed {
		n.logZone("Availability zone no longer evacuated.", hash, state, source)
	}
}

func (n *Node) logZone(text string, hash uint64, state zones.State, source string) {
	n.mu.Lock()
	name := n.zoneName(hash)
	n.mu.Unlock()
	n.config.Log.Info(text, logs.Fields{"source": source, "version": state.Version.String(), "zone": name})
}
