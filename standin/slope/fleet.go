package slope

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/cyclamendock/cyclamendock/lib/fleet"
)

const (
	// TargetMembers is the number of members at the target size.
	TargetMembers = targetBalancers + targetAgents

	targetAgents    = 2800
	targetBalancers = 430
	targetServices  = 1200
	targetZones     = 7
)

var memberSizes = []int{400, 800, 1600, TargetMembers}

// sampleFleet returns the records of a fleet with the proportions of the target size.
func sampleFleet(members int) []fleet.AgedRecord {
	balancers := members * targetBalancers / TargetMembers
	services := max(1, members*targetServices/TargetMembers)
	var records []fleet.AgedRecord
	for i := range members {
		zone := i % targetZones
		r := fleet.Record{
			Address:     netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7000),
			BootID:      uint64(i)*0x9e3779b97f4a7c15 + 1,
			Incarnation: 3,
			Name:        fmt.Sprintf("host-%05d.zone-%d", i, zone),
			Region:      fmt.Sprintf("region-%d", zone%2),
			Role:        fleet.RoleAgent,
			Sequence:    2,
			Service:     fmt.Sprintf("service-%04d", i%services),
			State:       fleet.StateAlive,
			Weight:      100,
			Zone:        fmt.Sprintf("zone-%d", zone),
		}
		if i < balancers {
			r.Role, r.Service = fleet.RoleBalancer, ""
		}
		records = append(records, fleet.AgedRecord{Record: r})
	}
	return records
}

// balancerState is the membership state of one balancer.
type balancerState struct {
	monitor *fleet.Monitor
	now     time.Time
	records []fleet.AgedRecord
	replica *fleet.Replica
	self    fleet.Record
}

func newBalancerState(members int) *balancerState {
	b := &balancerState{now: time.Unix(0, 0), records: sampleFleet(members)}
	b.self = b.records[0].Record
	b.replica = fleet.NewReplica(fleet.ReplicaConfig{Seed: 1, Self: b.self.Name})
	b.replica.Merge(b.now, b.records)
	b.replica.TakeGossip(b.now)
	b.monitor = fleet.NewMonitor(b.self, b.replica)
	b.monitor.Tick(b.now)
	return b
}

// tickSecond does the periodic work of one second in which the balancer receives no message.
func (b *balancerState) tickSecond() {
	b.now = b.now.Add(time.Second)
	b.monitor.Tick(b.now)
	b.monitor.Suspects(b.now)
	b.replica.Peers(1)
	b.replica.CheckInvariants()
	for range 2 {
		b.replica.ZoneDigest(b.self.Zone)
		fleet.WriterRank(b.self, b.replica.Live(fleet.RoleBalancer))
	}
}

// applyChange merges a new record of one member and recomputes the monitors, a minute after the previous change.
func (b *balancerState) applyChange() {
	b.now = b.now.Add(time.Minute)
	record := b.records[len(b.records)-1].Record
	b.records[len(b.records)-1].Record.Sequence++
	record.Sequence = b.records[len(b.records)-1].Record.Sequence
	b.replica.Merge(b.now, []fleet.AgedRecord{{Record: record}})
	b.replica.TakeGossip(b.now)
	b.monitor.Tick(b.now)
}

// handleHeartbeat decodes and handles one heartbeat, and returns the encoded reply.
func (b *balancerState) handleHeartbeat(encoded []byte) []byte {
	var heartbeat fleet.Heartbeat
	heartbeat.Decode(encoded[1:])
	return b.monitor.Heartbeat(b.now, heartbeat, 1_000_000).Append(nil)
}

func sampleHeartbeat(record fleet.Record) fleet.Heartbeat {
	return fleet.Heartbeat{
		BootID: record.BootID, ConfigVersion: 1_000_000, Flows: 1900, Incarnation: record.Incarnation, Load: 950_000,
		NameHash: fleet.NameHash(record.Name), Sequence: record.Sequence, Speed: 1000,
	}
}

// MeasureFleet measures the costs of membership.
func MeasureFleet() []LinearFit {
	states := map[int]*balancerState{}
	for _, size := range memberSizes {
		states[size] = newBalancerState(size)
	}
	measureBalancer := func(name, unit string, cost func(*balancerState) float64) LinearFit {
		return measure(name, "member", unit, TargetMembers, memberSizes, func(size int) float64 { return cost(states[size]) })
	}
	return []LinearFit{
		measure("replica and monitor: heap", "member", "bytes", TargetMembers, memberSizes, func(size int) float64 {
			return measureHeap(func() any { return newBalancerState(size) })
		}),
		measureBalancer("balancer: each second without messages", "us", func(b *balancerState) float64 {
			return meanMicroseconds(20, b.tickSecond)
		}),
		measureBalancer("balancer: one membership change", "us", func(b *balancerState) float64 {
			return meanMicroseconds(10, b.applyChange)
		}),
		measureBalancer("monitor: one heartbeat with its reply", "us", func(b *balancerState) float64 {
			encoded := sampleHeartbeat(b.records[len(b.records)/2].Record).Append(nil)
			return meanMicroseconds(2000, func() { b.handleHeartbeat(encoded) })
		}),
		measureBalancer("platform: object of one of 7 zones", "bytes", func(b *balancerState) float64 {
			return float64(len(fleet.EncodeRecords(b.replica.ZoneRecords(b.now, b.self.Zone))))
		}),
		measureBalancer("exchange: one differing bucket of 64", "bytes", func(b *balancerState) float64 {
			remoteDigests := b.replica.BucketDigests()
			remoteDigests[5]++
			return float64(len(fleet.EncodeRecords(b.replica.Differing(b.now, remoteDigests))) + 2*8*fleet.BucketCount)
		}),
		measureBalancer("agent: list of balancers", "bytes", func(b *balancerState) float64 {
			var records []fleet.AgedRecord
			for _, r := range b.replica.Live(fleet.RoleBalancer) {
				records = append(records, fleet.AgedRecord{Record: r})
			}
			return float64(len(fleet.EncodeRecords(records)))
		}),
	}
}

// HeartbeatRates returns the mean and the maximum number of heartbeats per second that one balancer receives at the
// target size.
func HeartbeatRates() (mean float64, maximum int) {
	records := sampleFleet(TargetMembers)
	regions := map[string][]fleet.Record{}
	services := map[string]int{}
	for _, entry := range records {
		if entry.Record.Role == fleet.RoleBalancer {
			regions[entry.Record.Region] = append(regions[entry.Record.Region], entry.Record)
		} else {
			services[entry.Record.Service]++
		}
	}
	heartbeats := map[string]int{}
	total := 0
	for _, entry := range records {
		key := fleet.MonitorKey(entry.Record, services[entry.Record.Service])
		for _, monitor := range fleet.SelectMonitors(key, entry.Record.Name, regions[entry.Record.Region]) {
			heartbeats[monitor.Name]++
			total++
			maximum = max(maximum, heartbeats[monitor.Name])
		}
	}
	return float64(total) / targetBalancers, maximum
}

// DatagramSize is the size of one datagram, including 28 bytes of IP and UDP headers.
type DatagramSize struct {
	Bytes int
	Name  string
}

// DatagramSizes returns the sizes of the periodic datagrams.
func DatagramSizes() []DatagramSize {
	const headers = 28
	record := sampleFleet(TargetMembers)[TargetMembers-1]
	reply := fleet.Reply{
		BalancersDigest: 1 << 63, ConfigVersion: 1_000_000, Incarnation: 3, MeanLoad: 950_000, ServiceAgents: 16, Status: fleet.HeartbeatAccepted,
	}
	vote := fleet.DownVote{Incarnation: 3, Member: record.Record.Name, Monitor: record.Record.Name}
	return []DatagramSize{
		{headers + len(sampleHeartbeat(record.Record).Append(nil)), "heartbeat"},
		{headers + len(reply.Append(nil)), "reply"},
		{headers + len(fleet.Probe{ConfigVersion: 1_000_000, Digest: 1 << 63}.Append(nil)), "probe"},
		{headers + len(vote.Append(nil)), "vote"},
		{headers + 1 + len(fleet.EncodeRecords([]fleet.AgedRecord{record})), "one gossiped record"},
	}
}
