package fleet

import (
	"slices"
	"time"
)

const (
	// assignIntervalPerMember, times the number of members, is the minimum time between two assignments of members
	// to monitors.
	assignIntervalPerMember = time.Millisecond
	// downTimeout is how long a member may be silent before its monitor votes to mark it down.
	downTimeout = 3 * HeartbeatInterval
	// firstHeartbeatGrace replaces downTimeout for a member that has not sent its first heartbeat yet.
	firstHeartbeatGrace = 10 * time.Second
	// maxOpenLoad is the greatest load of an open member; closed members report more and are left out of the mean load.
	maxOpenLoad = 1 << 30
	// silentZoneGrace extends the timeout while no member of an availability zone is heard.
	silentZoneGrace = 3 * time.Second
	// suspectTimeout is how long a member may be silent before it gets new flows only as a last resort.
	suspectTimeout = 2 * HeartbeatInterval
	// voteLifetime is how long a vote counts.
	voteLifetime = 3 * time.Second
)

// A Ballot is a vote and the monitors to send it to.
type Ballot struct {
	To   []Record
	Vote Vote
}

// A watch is the state of one monitored member.
type watch struct {
	heard         bool // a heartbeat has arrived since this balancer began to monitor the incarnation
	incarnation   uint64
	lastHeardAt   time.Time // time of the last heartbeat, or the start of the watch
	lastHeartbeat Heartbeat
	votes         map[string]time.Time // time of the latest vote to mark the member down, by monitor
}

func newWatch(now time.Time, incarnation uint64) *watch {
	return &watch{incarnation: incarnation, lastHeardAt: now, votes: map[string]time.Time{}}
}

// A Sight holds the values of a member's last heartbeat.
type Sight struct {
	Config uint64 // version of the configuration in force at the member
	Flows  uint32 // number of open flows
	Load   uint32 // parts per million of capacity
	Name   string
	Silent time.Duration // time since the heartbeat
	Speed  uint32        // of the backend server, per mille of its typical speed
}

// A Keeper is one balancer's failure detector: it answers heartbeats and monitors the members assigned to the balancer.
type Keeper struct {
	assignedAt     time.Time
	assignedDigest uint64              // of the membership that the assignment was computed from
	monitors       map[string][]Record // by name of the member, only for members that this balancer monitors
	multipleZones  bool                // the region's balancers are in more than one availability zone
	nameByHash     map[uint64]string   // names of all members
	replica        *Replica
	self           Record
	serviceAgents  map[string]int // number of live agents by service
	tickedAt       time.Time
	watches        map[string]*watch // by name of the member
}

// NewKeeper returns a Keeper that takes the membership from the balancer's replica and marks members down in it.
func NewKeeper(self Record, replica *Replica) *Keeper {
	return &Keeper{
		monitors:      map[string][]Record{},
		nameByHash:    map[uint64]string{},
		replica:       replica,
		self:          self,
		serviceAgents: map[string]int{},
		watches:       map[string]*watch{},
	}
}

// Heartbeat processes a member's heartbeat and returns the reply; config is the version in force at this balancer.
func (k *Keeper) Heartbeat(now time.Time, heartbeat Heartbeat, config uint64) Reply {
	k.assign(now)
	reply := Reply{Balancers: k.replica.BalancersDigest(), Config: config, Standing: StandingUnknown}
	name, ok := k.nameByHash[heartbeat.NameHash]
	if !ok {
		return reply
	}
	record, ok := k.replica.Find(name)
	if !ok {
		return reply
	}
	reply.Incarnation = record.Incarnation
	reply.Standing = evaluateHeartbeat(record, heartbeat)
	if reply.Standing == StandingGood {
		k.recordHeartbeat(now, name, heartbeat)
	}
	reply.Members = uint32(k.serviceAgents[record.Service])
	reply.Mean = k.meanLoad(record.Service)
	return reply
}

// evaluateHeartbeat compares a heartbeat with the latest known record of its member.
func evaluateHeartbeat(record Record, heartbeat Heartbeat) Standing {
	switch {
	case heartbeat.Incarnation < record.Incarnation:
		return StandingOld
	case heartbeat.Incarnation > record.Incarnation:
		return StandingUnknown
	case record.State == StateDown || record.Boot != heartbeat.Boot:
		return StandingOld
	case heartbeat.Sequence > record.Sequence:
		return StandingUnknown
	default:
		return StandingGood
	}
}

// Tick votes on members that have timed out, marks those with a quorum of votes as down, and returns the votes to send
// and the members marked down.
func (k *Keeper) Tick(now time.Time) ([]Ballot, []Record) {
	if k.wasPaused(now) {
		k.resetWatches(now)
	}
	k.tickedAt = now
	k.assign(now)
	silent := k.silentZones(now)
	var ballots []Ballot
	var down []Record
	for _, name := range k.watchedNames() {
		record, ok := k.replica.Find(name)
		if ok {
			k.trackIncarnation(now, record)
		}
		if !ok || record.State == StateDown || !k.timedOut(now, name, silent[record.Zone]) {
			continue
		}
		k.watches[name].votes[k.self.Name] = now
		ballots = append(ballots, k.newBallot(record))
		if k.hasQuorum(now, record) {
			record.State = StateDown
			down = append(down, record)
		}
	}
	for _, record := range down {
		k.replica.Merge(now, []Aged{{Record: record}})
	}
	return ballots, down
}

// Vote counts the vote of another monitor.
func (k *Keeper) Vote(now time.Time, vote Vote) {
	record, ok := k.replica.Find(vote.Member)
	w := k.watches[vote.Member]
	if !ok || w == nil || record.Incarnation != vote.Incarnation || !containsName(k.monitors[vote.Member], vote.Keeper) {
		return
	}
	w.votes[vote.Keeper] = now
}

// Sights returns the last heartbeat of each monitored member that has sent one, ordered by name.
func (k *Keeper) Sights(now time.Time) []Sight {
	var sights []Sight
	for _, name := range k.watchedNames() {
		w := k.watches[name]
		if !w.heard {
			continue
		}
		sights = append(sights, Sight{
			Config: w.lastHeartbeat.Config,
			Flows:  w.lastHeartbeat.Flows,
			Load:   w.lastHeartbeat.Load,
			Name:   name,
			Silent: now.Sub(w.lastHeardAt),
			Speed:  w.lastHeartbeat.Speed,
		})
	}
	return sights
}

// Suspects returns the names of the monitored members whose heartbeats are overdue.
func (k *Keeper) Suspects(now time.Time) map[string]bool {
	suspects := map[string]bool{}
	for name, w := range k.watches {
		if w.heard && now.Sub(w.lastHeardAt) >= suspectTimeout {
			suspects[name] = true
		}
	}
	return suspects
}

// trackIncarnation starts a new watch when a member has a new incarnation; the silence of the old one doesn't count.
func (k *Keeper) trackIncarnation(now time.Time, record Record) {
	if k.watches[record.Name].incarnation != record.Incarnation {
		k.watches[record.Name] = newWatch(now, record.Incarnation)
	}
}

func (k *Keeper) recordHeartbeat(now time.Time, name string, heartbeat Heartbeat) {
	w := k.watches[name]
	if w == nil {
		return
	}
	w.incarnation = heartbeat.Incarnation
	w.lastHeartbeat = heartbeat
	w.heard = true
	w.lastHeardAt = now
	delete(w.votes, k.self.Name)
}

// wasPaused reports whether this process itself has not run for so long that missing heartbeats are no evidence.
func (k *Keeper) wasPaused(now time.Time) bool {
	return !k.tickedAt.IsZero() && now.Sub(k.tickedAt) >= downTimeout
}

// resetWatches restarts the timeout of every member and discards all votes.
func (k *Keeper) resetWatches(now time.Time) {
	for _, w := range k.watches {
		w.heard = false
		w.lastHeardAt = now
		w.votes = map[string]time.Time{}
	}
}

// timedOut reports whether a member has been silent for long enough to vote for marking it down.
func (k *Keeper) timedOut(now time.Time, name string, zoneSilent bool) bool {
	w := k.watches[name]
	timeout := downTimeout
	if !w.heard {
		timeout = firstHeartbeatGrace
	}
	if zoneSilent {
		timeout += silentZoneGrace
	}
	return now.Sub(w.lastHeardAt) >= timeout
}

// silentZones returns the availability zones with several monitored members of which none is heard.
func (k *Keeper) silentZones(now time.Time) map[string]bool {
	total, silent := map[string]int{}, map[string]int{}
	for name, w := range k.watches {
		record, ok := k.replica.Find(name)
		if !ok || record.State == StateDown {
			continue
		}
		total[record.Zone]++
		if now.Sub(w.lastHeardAt) >= downTimeout {
			silent[record.Zone]++
		}
	}
	zones := map[string]bool{}
	for zone, members := range total {
		zones[zone] = members > 1 && silent[zone] == members
	}
	return zones
}

// hasQuorum reports whether at least two monitors have voted, or the only one. If the region's balancers are in several
// availability zones, the votes must come from two zones, so that a partitioned zone can't mark other members down.
func (k *Keeper) hasQuorum(now time.Time, record Record) bool {
	monitors := k.monitors[record.Name]
	zones := map[string]bool{}
	votes := 0
	for _, monitor := range monitors {
		votedAt, voted := k.watches[record.Name].votes[monitor.Name]
		if voted && now.Sub(votedAt) < voteLifetime {
			votes++
			zones[monitor.Zone] = true
		}
	}
	if votes < min(2, len(monitors)) {
		return false
	}
	return len(zones) > 1 || !k.multipleZones
}

// newBallot returns this balancer's vote, addressed to the member's other monitors.
func (k *Keeper) newBallot(record Record) Ballot {
	others := slices.Clone(k.monitors[record.Name])
	others = slices.DeleteFunc(others, func(r Record) bool { return r.Name == k.self.Name })
	return Ballot{To: others, Vote: Vote{Incarnation: record.Incarnation, Keeper: k.self.Name, Member: record.Name}}
}

// meanLoad returns the mean load of a service's alive members that this balancer monitors, or zero when there are none.
func (k *Keeper) meanLoad(service string) uint32 {
	var sum, count uint64
	for name, w := range k.watches {
		record, ok := k.replica.Find(name)
		if !ok || !w.heard || record.Service != service || record.State != StateAlive || w.lastHeartbeat.Load > maxOpenLoad {
			continue
		}
		sum += uint64(w.lastHeartbeat.Load)
		count++
	}
	if count == 0 {
		return 0
	}
	return uint32(sum / count)
}

// assign recomputes which members this balancer monitors when the membership has changed, at a limited rate.
func (k *Keeper) assign(now time.Time) {
	digest := k.replica.Digest()
	if digest == k.assignedDigest && len(k.nameByHash) > 0 {
		return
	}
	if now.Sub(k.assignedAt) < time.Duration(len(k.nameByHash))*assignIntervalPerMember {
		return
	}
	k.assignedAt = now
	k.assignedDigest = digest
	regions := map[string][]Record{}
	for _, balancer := range k.replica.Live(RoleBalancer) {
		regions[balancer.Region] = append(regions[balancer.Region], balancer)
	}
	agents := k.replica.Live(RoleAgent)
	k.serviceAgents = map[string]int{}
	for _, agent := range agents {
		k.serviceAgents[agent.Service]++
	}
	region := regions[k.self.Region]
	k.multipleZones = slices.ContainsFunc(region, func(r Record) bool { return r.Zone != region[0].Zone })
	k.assignMembers(now, append(agents, region...), region)
}

func (k *Keeper) assignMembers(now time.Time, members, balancers []Record) {
	k.nameByHash = map[uint64]string{}
	for _, aged := range k.replica.All(now) {
		k.nameByHash[NameHash(aged.Record.Name)] = aged.Record.Name
	}
	k.monitors = map[string][]Record{}
	monitorsByKey := map[string][]Record{}
	for _, record := range members {
		if record.Region != k.self.Region {
			continue
		}
		key := KeeperKey(record, k.serviceAgents[record.Service])
		if monitorsByKey[key] == nil {
			monitorsByKey[key] = Keepers(key, record.Name, balancers)
		}
		if containsName(monitorsByKey[key], k.self.Name) {
			k.monitors[record.Name] = monitorsByKey[key]
		}
	}
	k.updateWatches(now)
}

// updateWatches adds watches for newly assigned members and removes those of members no longer assigned.
func (k *Keeper) updateWatches(now time.Time) {
	for name := range k.watches {
		if k.monitors[name] == nil {
			delete(k.watches, name)
		}
	}
	for name := range k.monitors {
		if k.watches[name] == nil {
			record, _ := k.replica.Find(name)
			k.watches[name] = newWatch(now, record.Incarnation)
		}
	}
}

// watchedNames returns the names of the monitored members in ascending order.
func (k *Keeper) watchedNames() []string {
	names := make([]string, 0, len(k.watches))
	for name := range k.watches {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
