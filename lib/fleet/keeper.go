package fleet

import (
	"slices"
	"time"
)

const (
	// assignPause is the least time between two assignments of members to keepers, for each member.
	assignPause = time.Millisecond
	// missLimit is how long a member may be silent before its keeper votes it down.
	missLimit = 3 * HeartbeatInterval
	// newKeeperGrace is how long a keeper waits for a member that has not yet reached it.
	newKeeperGrace = 10 * time.Second
	// suspectLimit is how long a member may be silent before it is the last choice for new flows.
	suspectLimit = 2 * HeartbeatInterval
	// voteMemory is how long a vote counts.
	voteMemory = 3 * time.Second
	// zoneDoubt is how much longer a keeper waits when a whole zone is silent.
	zoneDoubt = 3 * time.Second
)

// A Ballot is a vote with the keepers that must receive it.
type Ballot struct {
	To   []Record
	Vote Vote
}

type watch struct {
	beat        Heartbeat
	heard       bool // since this balancer became a keeper of the incarnation
	incarnation uint64
	lastSeen    time.Time
	votes       map[string]time.Time
}

func newWatch(now time.Time, incarnation uint64) *watch {
	return &watch{incarnation: incarnation, lastSeen: now, votes: map[string]time.Time{}}
}

// A Sight is what a keeper last heard from a member.
type Sight struct {
	Config uint64
	Flows  uint32
	Load   uint32 // parts per million of capacity
	Name   string
	Silent time.Duration
	Speed  uint32 // of the backend server, per mille of its typical one
}

// A Keeper watches the leases that fall to one balancer.
type Keeper struct {
	assigned time.Time
	digest   uint64 // of the membership for which the assignment was worked out
	keepers  map[string][]Record
	names    map[uint64]string
	replica  *Replica
	self     Record
	services map[string]int
	ticked   time.Time
	watches  map[string]*watch

	severalZones bool // among the region's balancers
}

// NewKeeper returns a keeper over the balancer's replica.
func NewKeeper(self Record, replica *Replica) *Keeper {
	return &Keeper{
		keepers:  map[string][]Record{},
		names:    map[uint64]string{},
		replica:  replica,
		self:     self,
		services: map[string]int{},
		watches:  map[string]*watch{},
	}
}

// Heartbeat answers a member.
func (k *Keeper) Heartbeat(now time.Time, beat Heartbeat, config uint64) Reply {
	k.assign(now)
	reply := Reply{Balancers: k.replica.BalancersDigest(), Config: config, Standing: StandingUnknown}
	name, ok := k.names[beat.NameHash]
	if !ok {
		return reply
	}
	record, ok := k.replica.Find(name)
	if !ok {
		return reply
	}
	reply.Incarnation = record.Incarnation
	reply.Standing = standing(record, beat)
	if reply.Standing == StandingGood {
		k.see(now, name, beat)
	}
	reply.Members = uint32(k.services[record.Service])
	reply.Mean = k.mean(record.Service)
	return reply
}

// standing compares a heartbeat with the latest known record of its member.
func standing(record Record, beat Heartbeat) Standing {
	switch {
	case beat.Incarnation < record.Incarnation:
		return StandingOld
	case beat.Incarnation > record.Incarnation:
		return StandingUnknown
	case record.State == StateDown || record.Boot != beat.Boot:
		return StandingOld
	case beat.Sequence > record.Sequence:
		return StandingUnknown
	default:
		return StandingGood
	}
}

// Tick returns the votes to send and marks the members that enough keepers have voted down.
func (k *Keeper) Tick(now time.Time) ([]Ballot, []Record) {
	if k.frozen(now) {
		k.restart(now)
	}
	k.ticked = now
	k.assign(now)
	silent := k.silentZones(now)
	var ballots []Ballot
	var down []Record
	for _, name := range k.watched() {
		record, ok := k.replica.Find(name)
		if ok {
			k.follow(now, record)
		}
		if !ok || record.State == StateDown || !k.missed(now, name, silent[record.Zone]) {
			continue
		}
		k.watches[name].votes[k.self.Name] = now
		ballots = append(ballots, k.ballot(record))
		if k.decided(now, record) {
			record.State = StateDown
			down = append(down, record)
		}
	}
	for _, record := range down {
		k.replica.Merge(now, []Aged{{Record: record}})
	}
	return ballots, down
}

// Vote counts a fellow keeper's vote.
func (k *Keeper) Vote(now time.Time, vote Vote) {
	record, ok := k.replica.Find(vote.Member)
	w := k.watches[vote.Member]
	if !ok || w == nil || record.Incarnation != vote.Incarnation || !holds(k.keepers[vote.Member], vote.Keeper) {
		return
	}
	w.votes[vote.Keeper] = now
}

// Sights returns what this keeper last heard from each of its members, ordered by name.
func (k *Keeper) Sights(now time.Time) []Sight {
	var sights []Sight
	for _, name := range k.watched() {
		w := k.watches[name]
		if !w.heard {
			continue
		}
		sights = append(sights, Sight{
			Config: w.beat.Config,
			Flows:  w.beat.Flows,
			Load:   w.beat.Load,
			Name:   name,
			Silent: now.Sub(w.lastSeen),
			Speed:  w.beat.Speed,
		})
	}
	return sights
}

// Suspects returns the names of members that this keeper misses but that are not down.
func (k *Keeper) Suspects(now time.Time) map[string]bool {
	suspects := map[string]bool{}
	for name, w := range k.watches {
		if w.heard && now.Sub(w.lastSeen) >= suspectLimit {
			suspects[name] = true
		}
	}
	return suspects
}

// follow starts a new watch for a new incarnation, which the silence of the one before says nothing about.
func (k *Keeper) follow(now time.Time, record Record) {
	if k.watches[record.Name].incarnation != record.Incarnation {
		k.watches[record.Name] = newWatch(now, record.Incarnation)
	}
}

func (k *Keeper) see(now time.Time, name string, beat Heartbeat) {
	w := k.watches[name]
	if w == nil {
		return
	}
	w.incarnation = beat.Incarnation
	w.beat = beat
	w.heard = true
	w.lastSeen = now
	delete(w.votes, k.self.Name)
}

// frozen reports whether this process has not run for so long that its members' silence means nothing.
func (k *Keeper) frozen(now time.Time) bool {
	return !k.ticked.IsZero() && now.Sub(k.ticked) >= missLimit
}

func (k *Keeper) restart(now time.Time) {
	for _, w := range k.watches {
		w.heard = false
		w.lastSeen = now
		w.votes = map[string]time.Time{}
	}
}

// missed reports whether a member has been silent for too long.
func (k *Keeper) missed(now time.Time, name string, zoneSilent bool) bool {
	w := k.watches[name]
	limit := missLimit
	if !w.heard {
		limit = newKeeperGrace
	}
	if zoneSilent {
		limit += zoneDoubt
	}
	return now.Sub(w.lastSeen) >= limit
}

// silentZones returns the zones from which not one of several members is heard.
func (k *Keeper) silentZones(now time.Time) map[string]bool {
	total, silent := map[string]int{}, map[string]int{}
	for name, w := range k.watches {
		record, ok := k.replica.Find(name)
		if !ok || record.State == StateDown {
			continue
		}
		total[record.Zone]++
		if now.Sub(w.lastSeen) >= missLimit {
			silent[record.Zone]++
		}
	}
	zones := map[string]bool{}
	for zone, count := range total {
		zones[zone] = count > 1 && silent[zone] == count
	}
	return zones
}

// decided reports whether enough keepers have voted, from two zones unless the region has only one,
// so that a zone that is cut off calls nobody down.
func (k *Keeper) decided(now time.Time, record Record) bool {
	keepers := k.keepers[record.Name]
	zones := map[string]bool{}
	votes := 0
	for _, keeper := range keepers {
		at, voted := k.watches[record.Name].votes[keeper.Name]
		if voted && now.Sub(at) < voteMemory {
			votes++
			zones[keeper.Zone] = true
		}
	}
	if votes < min(2, len(keepers)) {
		return false
	}
	return len(zones) > 1 || !k.severalZones
}

func (k *Keeper) ballot(record Record) Ballot {
	others := slices.Clone(k.keepers[record.Name])
	others = slices.DeleteFunc(others, func(r Record) bool { return r.Name == k.self.Name })
	return Ballot{To: others, Vote: Vote{Incarnation: record.Incarnation, Keeper: k.self.Name, Member: record.Name}}
}

// mean returns the mean load of the members of a service that this balancer keeps.
func (k *Keeper) mean(service string) uint32 {
	var sum, count uint64
	for name, w := range k.watches {
		record, ok := k.replica.Find(name)
		if !ok || !w.heard || record.Service != service || record.State != StateAlive || w.beat.Load > maxMeanLoad {
			continue
		}
		sum += uint64(w.beat.Load)
		count++
	}
	if count == 0 {
		return 0
	}
	return uint32(sum / count)
}

// maxMeanLoad leaves closed members out of the mean.
const maxMeanLoad = 1 << 30

// assign works out which members this balancer keeps, whenever the membership has changed.
func (k *Keeper) assign(now time.Time) {
	digest := k.replica.Digest()
	if digest == k.digest && len(k.names) > 0 {
		return
	}
	if now.Sub(k.assigned) < time.Duration(len(k.names))*assignPause {
		return
	}
	k.assigned = now
	k.digest = digest
	regions := map[string][]Record{}
	for _, balancer := range k.replica.Live(RoleBalancer) {
		regions[balancer.Region] = append(regions[balancer.Region], balancer)
	}
	agents := k.replica.Live(RoleAgent)
	k.services = map[string]int{}
	for _, agent := range agents {
		k.services[agent.Service]++
	}
	region := regions[k.self.Region]
	k.severalZones = slices.ContainsFunc(region, func(r Record) bool { return r.Zone != region[0].Zone })
	k.assignMembers(now, append(agents, region...), region)
}

func (k *Keeper) assignMembers(now time.Time, members, balancers []Record) {
	k.names = map[uint64]string{}
	for _, a := range k.replica.All(now) {
		k.names[NameHash(a.Record.Name)] = a.Record.Name
	}
	k.keepers = map[string][]Record{}
	cache := map[string][]Record{}
	for _, record := range members {
		if record.Region != k.self.Region {
			continue
		}
		key := KeeperKey(record, k.services[record.Service])
		if cache[key] == nil {
			cache[key] = Keepers(key, record.Name, balancers)
		}
		if holds(cache[key], k.self.Name) {
			k.keepers[record.Name] = cache[key]
		}
	}
	k.rewatch(now)
}

// rewatch starts watching newly assigned members and stops watching the others.
func (k *Keeper) rewatch(now time.Time) {
	for name := range k.watches {
		if k.keepers[name] == nil {
			delete(k.watches, name)
		}
	}
	for name := range k.keepers {
		if k.watches[name] == nil {
			record, _ := k.replica.Find(name)
			k.watches[name] = newWatch(now, record.Incarnation)
		}
	}
}

func (k *Keeper) watched() []string {
	names := make([]string, 0, len(k.watches))
	for name := range k.watches {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
