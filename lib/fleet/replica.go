package fleet

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Buckets is how many parts of the membership are compared on their own.
	Buckets = 64
	// Retention is how long the record of a member that is down is kept.
	Retention = 7 * 24 * time.Hour

	fanout = 3
)

// An Aged is a record with the age of the knowledge that its member is down, in seconds.
type Aged struct {
	Age    uint64
	Record Record
}

type member struct {
	bornAt time.Time // when a member that is down would have been reported, by this replica's clock
	record Record
}

// A ReplicaConfig holds what a Replica needs.
type ReplicaConfig struct {
	Seed uint64 // of the choice of peers
	Self string // name of the balancer that holds the replica
}

// A Replica is one balancer's copy of the membership.
type Replica struct {
	balancers uint64 // digest
	buckets   [Buckets]uint64
	config    ReplicaConfig
	members   map[string]*member
	random    *rand.Rand
	rumors    []string // names of changed members
}

// NewReplica returns a replica without members.
func NewReplica(config ReplicaConfig) *Replica {
	return &Replica{
		config:  config,
		members: map[string]*member{},
		random:  rand.New(rand.NewPCG(config.Seed, NameHash(config.Self))),
	}
}

// Merge takes the records that are newer than the known ones and returns them.
func (r *Replica) Merge(now time.Time, records []Aged) []Record {
	var changed []Record
	for _, a := range records {
		if r.take(now, a) {
			changed = append(changed, a.Record)
			r.rumors = append(r.rumors, a.Record.Name)
		}
	}
	return changed
}

// Find returns the record of a name.
func (r *Replica) Find(name string) (Record, bool) {
	m := r.members[name]
	if m == nil {
		return Record{}, false
	}
	return m.record, true
}

// Digest covers every member that is not down.
func (r *Replica) Digest() uint64 {
	var digest uint64
	for _, bucket := range r.buckets {
		digest ^= bucket
	}
	return digest
}

// BalancersDigest covers every balancer that is not down.
func (r *Replica) BalancersDigest() uint64 { return r.balancers }

// BucketDigests returns the digest of each part of the membership.
func (r *Replica) BucketDigests() []uint64 { return slices.Clone(r.buckets[:]) }

// Differing returns the records, down ones included, of the buckets whose digests differ from the given ones.
func (r *Replica) Differing(now time.Time, theirs []uint64) []Aged {
	if len(theirs) != Buckets {
		return r.All(now)
	}
	return r.selectAged(now, func(record Record) bool {
		bucket := bucketOf(record.Name)
		return theirs[bucket] != r.buckets[bucket]
	})
}

// All returns every record, down ones included, ordered by name.
func (r *Replica) All(now time.Time) []Aged {
	return r.selectAged(now, func(Record) bool { return true })
}

// Zone returns every record of an availability zone, ordered by name.
func (r *Replica) Zone(now time.Time, zone string) []Aged {
	return r.selectAged(now, func(record Record) bool { return record.Zone == zone })
}

// ZoneDigest covers every record of an availability zone, down ones included.
func (r *Replica) ZoneDigest(zone string) uint64 {
	var digest uint64
	for _, m := range r.members {
		if m.record.Zone == zone {
			digest ^= m.record.hash()
		}
	}
	return digest
}

// Live returns the members of a role that are not down, ordered by name.
func (r *Replica) Live(role Role) []Record {
	var records []Record
	for _, m := range r.members {
		if m.record.Role == role && m.record.State != StateDown {
			records = append(records, m.record)
		}
	}
	sortRecords(records)
	return records
}

// TakeRumors returns the records that have changed since the last call, with the peers to tell.
func (r *Replica) TakeRumors(now time.Time) ([]Aged, []Record) {
	if len(r.rumors) == 0 {
		return nil, nil
	}
	names := r.rumors
	r.rumors = nil
	slices.Sort(names)
	var records []Aged
	for _, name := range slices.Compact(names) {
		if m := r.members[name]; m != nil {
			records = append(records, r.aged(now, m))
		}
	}
	return records, r.Peers(fanout)
}

// Peers returns up to count balancers other than this one, drawn at random.
func (r *Replica) Peers(count int) []Record {
	others := slices.DeleteFunc(r.Live(RoleBalancer), func(record Record) bool { return record.Name == r.config.Self })
	r.random.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others[:min(count, len(others))]
}

// Lost returns one balancer that is down, drawn at random, so that both sides of a healed cut find each other.
func (r *Replica) Lost() (Record, bool) {
	var lost []Record
	for _, m := range r.members {
		if m.record.Role == RoleBalancer && m.record.State == StateDown {
			lost = append(lost, m.record)
		}
	}
	if len(lost) == 0 {
		return Record{}, false
	}
	sortRecords(lost)
	return lost[r.random.IntN(len(lost))], true
}

// Expire forgets members that have been down for the whole retention.
func (r *Replica) Expire(now time.Time) {
	for name, m := range r.members {
		if m.record.State == StateDown && now.Sub(m.bornAt) >= Retention {
			delete(r.members, name)
		}
	}
}

// Len returns the number of records, down ones included.
func (r *Replica) Len() int { return len(r.members) }

// Check returns the first invariant that does not hold, or an empty text.
func (r *Replica) Check() string {
	var buckets [Buckets]uint64
	for _, m := range r.members {
		if m.record.State != StateDown {
			buckets[bucketOf(m.record.Name)] ^= m.record.hash()
		}
	}
	if buckets != r.buckets {
		return "a digest of the membership does not fit its records"
	}
	return ""
}

func (r *Replica) take(now time.Time, a Aged) bool {
	known := r.members[a.Record.Name]
	if known != nil && !a.Record.Newer(known.record) {
		return false
	}
	age := time.Duration(a.Age) * time.Second
	if a.Record.State == StateDown && known == nil && age >= Retention {
		return false
	}
	if known != nil {
		r.toggle(known.record)
	}
	r.members[a.Record.Name] = &member{bornAt: now.Add(-age), record: a.Record}
	r.toggle(a.Record)
	return true
}

// toggle adds a record to the digests or takes it out again.
func (r *Replica) toggle(record Record) {
	if record.State == StateDown {
		return
	}
	hash := record.hash()
	r.buckets[bucketOf(record.Name)] ^= hash
	if record.Role == RoleBalancer {
		r.balancers ^= hash
	}
}

func (r *Replica) selectAged(now time.Time, wanted func(Record) bool) []Aged {
	var records []Aged
	for _, m := range r.members {
		if wanted(m.record) {
			records = append(records, r.aged(now, m))
		}
	}
	slices.SortFunc(records, func(a, b Aged) int { return cmp.Compare(a.Record.Name, b.Record.Name) })
	return records
}

func (r *Replica) aged(now time.Time, m *member) Aged {
	a := Aged{Record: m.record}
	if m.record.State == StateDown {
		a.Age = uint64(now.Sub(m.bornAt) / time.Second)
	}
	return a
}

func bucketOf(name string) int { return int(xxhash.Sum64String(name) % Buckets) }

func sortRecords(records []Record) {
	slices.SortFunc(records, func(a, b Record) int { return cmp.Compare(a.Name, b.Name) })
}

// DigestOf returns the digest of records that are not down, as BalancersDigest gives it.
func DigestOf(records []Record) uint64 {
	var digest uint64
	for _, record := range records {
		if record.State != StateDown {
			digest ^= record.hash()
		}
	}
	return digest
}

// DigestOfAll returns the digest of records, down ones included, as ZoneDigest gives it.
func DigestOfAll(records []Aged) uint64 {
	var digest uint64
	for _, a := range records {
		digest ^= a.Record.hash()
	}
	return digest
}
