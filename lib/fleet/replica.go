package fleet

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// BucketCount is the number of hash buckets into which the membership is split for anti-entropy.
	BucketCount = 64
	// Retention is how long the record of a down member is kept, so that older records don't resurrect the member.
	Retention = 7 * 24 * time.Hour

	gossipFanout = 3 // balancers that receive each changed record
)

// AgedRecord is a record with the time in seconds since its member was reported down.
type AgedRecord struct {
	Age    uint64 // zero for a member that is not down
	Record Record
}

type member struct {
	changedAt time.Time // time by this replica's clock; for a member that is down, when it was first reported down
	record    Record
}

// ReplicaConfig holds the settings of a Replica.
type ReplicaConfig struct {
	Seed uint64 // of the random choice of peers
	Self string // name of the balancer that owns the replica
}

// Replica is one balancer's copy of the membership.
type Replica struct {
	balancersDigest uint64 // of the balancers that are not down
	bucketDigests   [BucketCount]uint64
	changedNames    []string // members whose records must be gossiped
	config          ReplicaConfig
	members         map[string]*member // by name
	random          *rand.Rand
}

// NewReplica returns an empty replica.
func NewReplica(config ReplicaConfig) *Replica {
	return &Replica{
		config:  config,
		members: map[string]*member{},
		random:  rand.New(rand.NewPCG(config.Seed, NameHash(config.Self))),
	}
}

// Merge applies the records that are newer than the replica's own, queues them for gossip and returns them.
func (r *Replica) Merge(now time.Time, records []AgedRecord) []Record {
	var changed []Record
	for _, entry := range records {
		if r.apply(now, entry) {
			changed = append(changed, entry.Record)
			r.changedNames = append(r.changedNames, entry.Record.Name)
		}
	}
	return changed
}

// Find returns the record of the named member, or false when the replica has none.
func (r *Replica) Find(name string) (Record, bool) {
	m := r.members[name]
	if m == nil {
		return Record{}, false
	}
	return m.record, true
}

// Digest returns the digest of all members that are not down.
func (r *Replica) Digest() uint64 {
	var digest uint64
	for _, bucket := range r.bucketDigests {
		digest ^= bucket
	}
	return digest
}

// BalancersDigest returns the digest of all balancers that are not down.
func (r *Replica) BalancersDigest() uint64 { return r.balancersDigest }

// BucketDigests returns the digest of each bucket, covering the members that are not down.
func (r *Replica) BucketDigests() []uint64 { return slices.Clone(r.bucketDigests[:]) }

// Differing returns the records, including those of down members, of all buckets whose digests differ from theirs.
func (r *Replica) Differing(now time.Time, theirs []uint64) []AgedRecord {
	if len(theirs) != BucketCount {
		return r.All(now)
	}
	return r.selectRecords(now, func(record Record) bool {
		bucket := bucketOf(record.Name)
		return theirs[bucket] != r.bucketDigests[bucket]
	})
}

// All returns every record, including those of down members, ordered by name.
func (r *Replica) All(now time.Time) []AgedRecord {
	return r.selectRecords(now, func(Record) bool { return true })
}

// ZoneRecords returns every record of an availability zone, including those of down members, ordered by name.
func (r *Replica) ZoneRecords(now time.Time, zone string) []AgedRecord {
	return r.selectRecords(now, func(record Record) bool { return record.Zone == zone })
}

// ZoneDigest returns the digest of every record of an availability zone, including those of down members.
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

// TakeGossip returns the records that have changed since the last call and the balancers to send them to.
func (r *Replica) TakeGossip(now time.Time) ([]AgedRecord, []Record) {
	if len(r.changedNames) == 0 {
		return nil, nil
	}
	names := r.changedNames
	r.changedNames = nil
	slices.Sort(names)
	var records []AgedRecord
	for _, name := range slices.Compact(names) {
		if m := r.members[name]; m != nil {
			records = append(records, r.withAge(now, m))
		}
	}
	return records, r.Peers(gossipFanout)
}

// Peers returns up to count other balancers that are not down, chosen at random.
func (r *Replica) Peers(count int) []Record {
	others := slices.DeleteFunc(r.Live(RoleBalancer), func(record Record) bool { return record.Name == r.config.Self })
	r.random.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others[:min(count, len(others))]
}

// RandomDownBalancer returns a random balancer that is down, or false when there is none; probing it lets both sides
// reconnect after a network partition.
func (r *Replica) RandomDownBalancer() (Record, bool) {
	var down []Record
	for _, m := range r.members {
		if m.record.Role == RoleBalancer && m.record.State == StateDown {
			down = append(down, m.record)
		}
	}
	if len(down) == 0 {
		return Record{}, false
	}
	sortRecords(down)
	return down[r.random.IntN(len(down))], true
}

// Expire deletes the records of members that have been down for at least Retention.
func (r *Replica) Expire(now time.Time) {
	for name, m := range r.members {
		if m.record.State == StateDown && now.Sub(m.changedAt) >= Retention {
			delete(r.members, name)
		}
	}
}

// Len returns the number of records, including those of down members.
func (r *Replica) Len() int { return len(r.members) }

// CheckInvariants returns a description of the first violated invariant, or an empty string.
func (r *Replica) CheckInvariants() string {
	var buckets [BucketCount]uint64
	for _, m := range r.members {
		if m.record.State != StateDown {
			buckets[bucketOf(m.record.Name)] ^= m.record.hash()
		}
	}
	if buckets != r.bucketDigests {
		return "the bucket digests do not match the records"
	}
	return ""
}

// apply stores a record that is newer than the known one and reports whether it did. A record of an unknown member that
// has been down for Retention is ignored, as every replica expires it.
func (r *Replica) apply(now time.Time, entry AgedRecord) bool {
	known := r.members[entry.Record.Name]
	if known != nil && !entry.Record.Newer(known.record) {
		return false
	}
	age := time.Duration(entry.Age) * time.Second
	if entry.Record.State == StateDown && known == nil && age >= Retention {
		return false
	}
	if known != nil {
		r.toggleDigests(known.record)
	}
	r.members[entry.Record.Name] = &member{changedAt: now.Add(-age), record: entry.Record}
	r.toggleDigests(entry.Record)
	return true
}

// toggleDigests adds a record to the digests, or removes one that is in them.
func (r *Replica) toggleDigests(record Record) {
	if record.State == StateDown {
		return
	}
	hash := record.hash()
	r.bucketDigests[bucketOf(record.Name)] ^= hash
	if record.Role == RoleBalancer {
		r.balancersDigest ^= hash
	}
}

func (r *Replica) selectRecords(now time.Time, wanted func(Record) bool) []AgedRecord {
	var records []AgedRecord
	for _, m := range r.members {
		if wanted(m.record) {
			records = append(records, r.withAge(now, m))
		}
	}
	slices.SortFunc(records, func(a, b AgedRecord) int { return cmp.Compare(a.Record.Name, b.Record.Name) })
	return records
}

func (r *Replica) withAge(now time.Time, m *member) AgedRecord {
	a := AgedRecord{Record: m.record}
	if m.record.State == StateDown {
		a.Age = uint64(now.Sub(m.changedAt) / time.Second)
	}
	return a
}

func bucketOf(name string) int { return int(xxhash.Sum64String(name) % BucketCount) }

func sortRecords(records []Record) {
	slices.SortFunc(records, func(a, b Record) int { return cmp.Compare(a.Name, b.Name) })
}

// DigestOfLive returns the digest of the records that are not down; for the records of all balancers it equals
// BalancersDigest.
func DigestOfLive(records []Record) uint64 {
	var digest uint64
	for _, record := range records {
		if record.State != StateDown {
			digest ^= record.hash()
		}
	}
	return digest
}

// DigestOfAll returns the digest of the records, including those of down members; for all records of a zone it equals
// ZoneDigest.
func DigestOfAll(records []AgedRecord) uint64 {
	var digest uint64
	for _, entry := range records {
		digest ^= entry.Record.hash()
	}
	return digest
}
