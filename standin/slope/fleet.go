package slope

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/cyclamendock/cyclamendock/lib/fleet"
)

const (
	// TargetMembers is the number of hosts at the target size.
	TargetMembers = targetBalancers + targetAgents

	targetAgents    = 2800
	targetBalancers = 430
	targetServices  = 1200
	targetZones     = 7
)

var memberSizes = []int{400, 800, 1600, TargetMembers}

// fakeFleet returns the records of a fleet with the target's proportions.
func fakeFleet(members int) []fleet.Aged {
	balancers := members * targetBalancers / TargetMembers
	services := max(1, members*targetServices/TargetMembers)
	var records []fleet.Aged
	for i := range members {
		zone := i % targetZones
		r := fleet.Record{
			Address:     netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7000),
			Boot:        uint64(i)*0x9e3779b97f4a7c15 + 1,
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
		records = append(records, fleet.Aged{Record: r})
	}
	return records
}

// A balancerState is the membership part of one balancer.
type balancerState struct {
	keeper  *fleet.Keeper
	now     time.Time
	records []fleet.Aged
	replica *fleet.Replica
	self    fleet.Record
}

func newBalancerState(members int) *balancerState {
	b := &balancerState{now: time.Unix(0, 0), records: fakeFleet(members)}
	b.self = b.records[0].Record
	b.replica = fleet.NewReplica(fleet.ReplicaConfig{Seed: 1, Self: b.self.Name})
	b.replica.Merge(b.now, b.records)
	b.replica.TakeRumors(b.now)
	b.keeper = fleet.NewKeeper(b.self, b.replica)
	b.keeper.Tick(b.now)
	return b
}

// second does what a balancer does once a second without any message.
func (b *balancerState) second() {
	b.now = b.now.Add(time.Second)
	b.keeper.Tick(b.now)
	b.keeper.Suspects(b.now)
	b.replica.Peers(1)
	b.replica.Check()
	for range 2 {
		b.replica.ZoneDigest(b.self.Zone)
		fleet.Rank(b.self, b.replica.Live(fleet.RoleBalancer))
	}
}

// change replaces one member's record and works out the keepers anew, long after the change before.
func (b *balancerState) change() {
	b.now = b.now.Add(time.Minute)
	record := b.records[len(b.records)-1].Record
	b.records[len(b.records)-1].Record.Sequence++
	record.Sequence = b.records[len(b.records)-1].Record.Sequence
	b.replica.Merge(b.now, []fleet.Aged{{Record: record}})
	b.replica.TakeRumors(b.now)
	b.keeper.Tick(b.now)
}

// heartbeat handles one encoded heartbeat and encodes its reply.
func (b *balancerState) heartbeat(encoded []byte) []byte {
	var beat fleet.Heartbeat
	beat.Decode(encoded[1:])
	return b.keeper.Heartbeat(b.now, beat, 1_000_000).Append(nil)
}

func sampleHeartbeat(record fleet.Record) fleet.Heartbeat {
	return fleet.Heartbeat{
		Boot: record.Boot, Config: 1_000_000, Flows: 1900, Incarnation: record.Incarnation, Load: 950_000,
		NameHash: fleet.NameHash(record.Name), Sequence: record.Sequence, Speed: 1000,
	}
}

// Fleet returns the slopes of membership.
func Fleet() []Slope {
	states := map[int]*balancerState{}
	for _, size := range memberSizes {
		states[size] = newBalancerState(size)
	}
	over := func(name, unit string, cost func(*balancerState) float64) Slope {
		return measured(name, "member", unit, TargetMembers, memberSizes, func(size int) float64 { return cost(states[size]) })
	}
	return []Slope{
		measured("replica and keeper: heap", "member", "bytes", TargetMembers, memberSizes, func(size int) float64 {
			return heapBytes(func() any { return newBalancerState(size) })
		}),
		over("balancer: each second without messages", "us", func(b *balancerState) float64 {
			return microseconds(20, b.second)
		}),
		over("balancer: one membership change", "us", func(b *balancerState) float64 {
			return microseconds(10, b.change)
		}),
		over("keeper: one heartbeat with its reply", "us", func(b *balancerState) float64 {
			encoded := sampleHeartbeat(b.records[len(b.records)/2].Record).Append(nil)
			return microseconds(2000, func() { b.heartbeat(encoded) })
		}),
		over("platform: object of one of 7 zones", "bytes", func(b *balancerState) float64 {
			return float64(len(fleet.EncodeRecords(b.replica.Zone(b.now, b.self.Zone))))
		}),
		over("exchange: one differing bucket of 64", "bytes", func(b *balancerState) float64 {
			theirs := b.replica.BucketDigests()
			theirs[5]++
			return float64(len(fleet.EncodeRecords(b.replica.Differing(b.now, theirs))) + 2*8*fleet.Buckets)
		}),
		over("agent: list of balancers", "bytes", func(b *balancerState) float64 {
			var aged []fleet.Aged
			for _, r := range b.replica.Live(fleet.RoleBalancer) {
				aged = append(aged, fleet.Aged{Record: r})
			}
			return float64(len(fleet.EncodeRecords(aged)))
		}),
	}
}

// KeptMembers returns the mean and the greatest number of heartbeats a second that a balancer gets at the target size.
func KeptMembers() (mean float64, greatest int) {
	records := fakeFleet(TargetMembers)
	regions := map[string][]fleet.Record{}
	services := map[string]int{}
	for _, a := range records {
		if a.Record.Role == fleet.RoleBalancer {
			regions[a.Record.Region] = append(regions[a.Record.Region], a.Record)
		} else {
			services[a.Record.Service]++
		}
	}
	kept := map[string]int{}
	total := 0
	for _, a := range records {
		key := fleet.KeeperKey(a.Record, services[a.Record.Service])
		for _, keeper := range fleet.Keepers(key, a.Record.Name, regions[a.Record.Region]) {
			kept[keeper.Name]++
			total++
			greatest = max(greatest, kept[keeper.Name])
		}
	}
	return float64(total) / targetBalancers, greatest
}

// A MessageSize is the size of one datagram with 28 bytes of IP and UDP header.
type MessageSize struct {
	Bytes int
	Name  string
}

// Messages returns the sizes of the periodic datagrams.
func Messages() []MessageSize {
	const headers = 28
	record := fakeFleet(TargetMembers)[TargetMembers-1]
	reply := fleet.Reply{
		Balancers: 1 << 63, Config: 1_000_000, Incarnation: 3, Mean: 950_000, Members: 16, Standing: fleet.StandingGood,
	}
	vote := fleet.Vote{Incarnation: 3, Keeper: record.Record.Name, Member: record.Record.Name}
	return []MessageSize{
		{headers + len(sampleHeartbeat(record.Record).Append(nil)), "heartbeat"},
		{headers + len(reply.Append(nil)), "reply"},
		{headers + len(fleet.Probe{Config: 1_000_000, Digest: 1 << 63}.Append(nil)), "probe"},
		{headers + len(vote.Append(nil)), "vote"},
		{headers + 1 + len(fleet.EncodeRecords([]fleet.Aged{record})), "rumor of one record"},
	}
}
