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
	// maxCountedLoad is the greatest load that counts towards the mean load; members that accept no new flows report more.
	maxCountedLoad = 1 << 30
	// silentZoneGrace extends the timeout of an availability zone's members while all monitored ones are silent.
	silentZoneGrace = 3 * time.Second
	// suspectTimeout is how long a member may be silent before it gets new flows only as a last resort.
	suspectTimeout = 2 * HeartbeatInterval
	// voteLifetime is how long a vote counts.
	voteLifetime = 3 * time.Second
)

// OutgoingVote is a vote and the monitors to send it to.
type OutgoingVote struct {
	Recipients []Record
	Vote       DownVote
}

// watch is the state of one monitored member.
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

// Observation holds the values of a member's last heartbeat.
type Observation struct {
	ConfigVersion uint64 // version of the configuration in force at the member
	Flows         uint32 // number of open flows
	Load          uint32 // parts per million of capacity
	Name          string
	SilentFor     time.Duration // time since the heartbeat
	Speed         uint32        // of the backend server, per mille of its typical speed
}

// Monitor is a balancer's failure detector: it answers heartbeats and monitors the members assigned to the balancer.
type Monitor struct {
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

// NewMonitor returns a Monitor that takes the membership from the balancer's replica and marks members down in it.
func NewMonitor(self Record, replica *Replica) *Monitor {
	return &Monitor{
		monitors:      map[string][]Record{},
		nameByHash:    map[uint64]string{},
		replica:       replica,
		self:          self,
		serviceAgents: map[string]int{},
		watches:       map[string]*watch{},
	}
}

// Heartbeat processes a member's heartbeat and returns the reply; config is the version of the configuration in force
// at this balancer.
func (m *Monitor) Heartbeat(now time.Time, heartbeat Heartbeat, config uint64) Reply {
	m.assign(now)
	reply := Reply{BalancersDigest: m.replica.BalancersDigest(), ConfigVersion: config, Status: HeartbeatUnknown}
	name, ok := m.nameByHash[heartbeat.NameHash]
	if !ok {
		return reply
	}
	record, ok := m.replica.Find(name)
	if !ok {
		return reply
	}
	reply.Incarnation = record.Incarnation
	reply.Status = evaluateHeartbeat(record, heartbeat)
	if reply.Status == HeartbeatAccepted {
		m.recordHeartbeat(now, name, heartbeat)
	}
	reply.ServiceAgents = uint32(m.serviceAgents[record.Service])
	reply.MeanLoad = m.meanLoad(record.Service)
	return reply
}

// evaluateHeartbeat compares a heartbeat with the latest known record of its member.
func evaluateHeartbeat(record Record, heartbeat Heartbeat) HeartbeatStatus {
	switch {
	case heartbeat.Incarnation < record.Incarnation:
		return HeartbeatOutdated
	case heartbeat.Incarnation > record.Incarnation:
		return HeartbeatUnknown
	case record.State == StateDown || record.BootID != heartbeat.BootID:
		return HeartbeatOutdated
	case heartbeat.Sequence > record.Sequence:
		return HeartbeatUnknown
	default:
		return HeartbeatAccepted
	}
}

// Tick votes on members that have timed out, marks those with a quorum of votes as down, and returns the votes to send
// and the members marked down.
func (m *Monitor) Tick(now time.Time) ([]OutgoingVote, []Record) {
	if m.wasPaused(now) {
		m.resetWatches(now)
	}
	m.tickedAt = now
	m.assign(now)
	silent := m.silentZones(now)
	var votes []OutgoingVote
	var down []Record
	for _, name := range m.watchedNames() {
		record, ok := m.replica.Find(name)
		if ok {
			m.trackIncarnation(now, record)
		}
		if !ok || record.State == StateDown || !m.timedOut(now, name, silent[record.Zone]) {
			continue
		}
		m.watches[name].votes[m.self.Name] = now
		votes = append(votes, m.newVote(record))
		if m.hasQuorum(now, record) {
			record.State = StateDown
			down = append(down, record)
		}
	}
	for _, record := range down {
		m.replica.Merge(now, []AgedRecord{{Record: record}})
	}
	return votes, down
}

// RecordVote counts the vote of another monitor.
func (m *Monitor) RecordVote(now time.Time, vote DownVote) {
	record, ok := m.replica.Find(vote.Member)
	w := m.watches[vote.Member]
	if !ok || w == nil || record.Incarnation != vote.Incarnation || !containsName(m.monitors[vote.Member], vote.Monitor) {
		return
	}
	w.votes[vote.Monitor] = now
}

// Observations returns the last heartbeat of each monitored member that has sent one, ordered by name.
func (m *Monitor) Observations(now time.Time) []Observation {
	var observations []Observation
	for _, name := range m.watchedNames() {
		w := m.watches[name]
		if !w.heard {
			continue
		}
		observations = append(observations, Observation{
			ConfigVersion: w.lastHeartbeat.ConfigVersion,
			Flows:         w.lastHeartbeat.Flows,
			Load:          w.lastHeartbeat.Load,
			Name:          name,
			SilentFor:     now.Sub(w.lastHeardAt),
			Speed:         w.lastHeartbeat.Speed,
		})
	}
	return observations
}

// Suspects returns the names of the monitored members that have been silent for suspectTimeout since their last
// heartbeat, or have not sent their first one for as long: they may have crashed right after they joined.
func (m *Monitor) Suspects(now time.Time) map[string]bool {
	suspects := map[string]bool{}
	for name, w := range m.watches {
		if now.Sub(w.lastHeardAt) >= suspectTimeout {
			suspects[name] = true
		}
	}
	return suspects
}

// trackIncarnation starts a new watch when a member has a new incarnation; the silence of the old one doesn't count.
func (m *Monitor) trackIncarnation(now time.Time, record Record) {
	if m.watches[record.Name].incarnation != record.Incarnation {
		m.watches[record.Name] = newWatch(now, record.Incarnation)
	}
}

func (m *Monitor) recordHeartbeat(now time.Time, name string, heartbeat Heartbeat) {
	w := m.watches[name]
	if w == nil {
		return
	}
	w.incarnation = heartbeat.Incarnation
	w.lastHeartbeat = heartbeat
	w.heard = true
	w.lastHeardAt = now
	delete(w.votes, m.self.Name)
}

// wasPaused reports whether this process was paused for so long that missing heartbeats don't show that a member is down.
func (m *Monitor) wasPaused(now time.Time) bool {
	return !m.tickedAt.IsZero() && now.Sub(m.tickedAt) >= downTimeout
}

// resetWatches restarts the timeout of every monitored member and discards all votes.
func (m *Monitor) resetWatches(now time.Time) {
	for _, w := range m.watches {
		w.heard = false
		w.lastHeardAt = now
		w.votes = map[string]time.Time{}
	}
}

// timedOut reports whether a member has been silent for long enough to vote for marking it down.
func (m *Monitor) timedOut(now time.Time, name string, zoneSilent bool) bool {
	w := m.watches[name]
	timeout := downTimeout
	if !w.heard {
		timeout = firstHeartbeatGrace
	}
	if zoneSilent {
		timeout += silentZoneGrace
	}
	return now.Sub(w.lastHeardAt) >= timeout
}

// silentZones returns the availability zones with several monitored members that have all been silent for downTimeout.
func (m *Monitor) silentZones(now time.Time) map[string]bool {
	total, silent := map[string]int{}, map[string]int{}
	for name, w := range m.watches {
		record, ok := m.replica.Find(name)
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
func (m *Monitor) hasQuorum(now time.Time, record Record) bool {
	monitors := m.monitors[record.Name]
	zones := map[string]bool{}
	votes := 0
	for _, monitor := range monitors {
		votedAt, voted := m.watches[record.Name].votes[monitor.Name]
		if voted && now.Sub(votedAt) < voteLifetime {
			votes++
			zones[monitor.Zone] = true
		}
	}
	if votes < min(2, len(monitors)) {
		return false
	}
	return len(zones) > 1 || !m.multipleZones
}

// newVote returns this balancer's vote, addressed to the member's other monitors.
func (m *Monitor) newVote(record Record) OutgoingVote {
	others := slices.Clone(m.monitors[record.Name])
	others = slices.DeleteFunc(others, func(r Record) bool { return r.Name == m.self.Name })
	return OutgoingVote{Recipients: others, Vote: DownVote{Incarnation: record.Incarnation, Member: record.Name, Monitor: m.self.Name}}
}

// meanLoad returns the mean load of a service's alive members that this balancer monitors, or zero when there are none.
func (m *Monitor) meanLoad(service string) uint32 {
	var sum, count uint64
	for name, w := range m.watches {
		record, ok := m.replica.Find(name)
		if !ok || !w.heard || record.Service != service || record.State != StateAlive || w.lastHeartbeat.Load > maxCountedLoad {
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
func (m *Monitor) assign(now time.Time) {
	digest := m.replica.Digest()
	if digest == m.assignedDigest && len(m.nameByHash) > 0 {
		return
	}
	if now.Sub(m.assignedAt) < time.Duration(len(m.nameByHash))*assignIntervalPerMember {
		return
	}
	m.assignedAt = now
	m.assignedDigest = digest
	regions := map[string][]Record{}
	for _, balancer := range m.replica.Live(RoleBalancer) {
		regions[balancer.Region] = append(regions[balancer.Region], balancer)
	}
	agents := m.replica.Live(RoleAgent)
	m.serviceAgents = map[string]int{}
	for _, agent := range agents {
		m.serviceAgents[agent.Service]++
	}
	region := regions[m.self.Region]
	m.multipleZones = slices.ContainsFunc(region, func(r Record) bool { return r.Zone != region[0].Zone })
	m.assignMembers(now, append(agents, region...), region)
}

func (m *Monitor) assignMembers(now time.Time, members, balancers []Record) {
	m.nameByHash = map[uint64]string{}
	for _, entry := range m.replica.All(now) {
		m.nameByHash[NameHash(entry.Record.Name)] = entry.Record.Name
	}
	m.monitors = map[string][]Record{}
	monitorsByKey := map[string][]Record{}
	for _, record := range members {
		if record.Region != m.self.Region {
			continue
		}
		key := MonitorKey(record, m.serviceAgents[record.Service])
		if monitorsByKey[key] == nil {
			monitorsByKey[key] = SelectMonitors(key, record.Name, balancers)
		}
		if containsName(monitorsByKey[key], m.self.Name) {
			m.monitors[record.Name] = monitorsByKey[key]
		}
	}
	m.updateWatches(now)
}

// updateWatches adds watches for newly assigned members and removes those of members no longer assigned.
func (m *Monitor) updateWatches(now time.Time) {
	for name := range m.watches {
		if m.monitors[name] == nil {
			delete(m.watches, name)
		}
	}
	for name := range m.monitors {
		if m.watches[name] == nil {
			record, _ := m.replica.Find(name)
			m.watches[name] = newWatch(now, record.Incarnation)
		}
	}
}

// watchedNames returns the names of the monitored members in ascending order.
func (m *Monitor) watchedNames() []string {
	names := make([]string, 0, len(m.watches))
	for name := range m.watches {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
