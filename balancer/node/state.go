package node

import (
	"maps"
	"net/netip"
	"sync"
	"time"

	"github.com/cyclamendock/cyclamendock/lib/config"
	"github.com/cyclamendock/cyclamendock/lib/fleet"
	"github.com/cyclamendock/cyclamendock/lib/peer"
	"github.com/cyclamendock/cyclamendock/lib/pull"
)

// State holds the mutable state of a balancer, guarded by one lock.
type State struct {
	configReplica      *config.Replica
	heartbeats         int // heartbeat intervals since the start
	lease              *fleet.Lease
	memberReplica      *fleet.Replica
	monitor            *fleet.Monitor
	mu                 sync.Mutex
	platformAnsweredAt time.Time // time of the last answer of the platform
	started            time.Time
	suspects           map[string]bool // members that are used for new flows only when there are no others
	viewStale          bool            // the inputs of the view have changed since it was built
	zoneWriter         *fleet.ZoneWriter
}

// newState returns the state of a balancer that knows no other members.
func newState(now time.Time, self fleet.Record, seed uint64) *State {
	s := &State{
		configReplica: &config.Replica{},
		memberReplica: fleet.NewReplica(fleet.ReplicaConfig{Seed: seed, Self: self.Name}),
		started:       now,
		viewStale:     true,
		zoneWriter:    fleet.NewZoneWriter(),
	}
	s.lease = fleet.NewLease(self)
	s.monitor = fleet.NewMonitor(self, s.memberReplica)
	s.publishSelf(now)
	return s
}

// withLock calls action while it holds the lock.
func (s *State) withLock(action func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	action()
}

// merge merges member records, returns those that changed, and starts a new incarnation of this process when one of
// them supersedes its own record.
func (s *State) merge(now time.Time, records []fleet.AgedRecord) []fleet.Record {
	changed := s.memberReplica.Merge(now, records)
	if len(changed) > 0 {
		s.viewStale = true
	}
	s.reassertSelf(now)
	return changed
}

// reassertSelf replaces a record of an earlier process of the same name, or one that states that this process is down.
func (s *State) reassertSelf(now time.Time) {
	self := s.lease.Self()
	known, ok := s.memberReplica.Find(self.Name)
	if !ok || known == self {
		return
	}
	if known.Newer(self) {
		s.lease.Reply(now, fleet.Reply{Status: fleet.HeartbeatOutdated, Incarnation: known.Incarnation}, 0)
	}
	s.publishSelf(now)
}

func (s *State) publishSelf(now time.Time) {
	if len(s.memberReplica.Merge(now, []fleet.AgedRecord{{Record: s.lease.Self()}})) > 0 {
		s.viewStale = true
	}
	s.lease.SetBalancers(s.memberReplica.Live(fleet.RoleBalancer))
}

// applyEntries applies configuration entries and reports whether entries between the current version and them are
// missing.
func (s *State) applyEntries(entries []config.Entry) bool {
	changed, gap := s.configReplica.ApplyEntries(entries)
	s.viewStale = s.viewStale || changed
	return gap
}

func (s *State) applyUpdate(update pull.Update) {
	if update.Apply(s.configReplica) {
		s.viewStale = true
	}
}

func (s *State) replaceConfig(full config.Config) {
	if s.configReplica.Replace(full) {
		s.viewStale = true
	}
}

// nextDownBalancer returns a balancer that is down, to be probed, once every fleet.ReconnectHeartbeats calls.
func (s *State) nextDownBalancer() (fleet.Record, bool) {
	s.heartbeats++
	if s.heartbeats%fleet.ReconnectHeartbeats != 0 {
		return fleet.Record{}, false
	}
	return s.memberReplica.RandomDownBalancer()
}

func (s *State) updateSuspects(now time.Time) {
	suspects := s.monitor.Suspects(now)
	if !maps.Equal(suspects, s.suspects) {
		s.suspects = suspects
		s.viewStale = true
	}
}

func (s *State) version() uint64 { return s.configReplica.Current().Version }

func (s *State) zoneRank() int {
	return fleet.WriterRank(s.lease.Self(), s.memberReplica.Live(fleet.RoleBalancer))
}

func (s *State) currentProbe() fleet.Probe {
	return fleet.Probe{ConfigVersion: s.version(), Digest: s.memberReplica.Digest()}
}

// memberAddresses returns the addresses of all members that are not down.
func (s *State) memberAddresses() []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, role := range []fleet.Role{fleet.RoleAgent, fleet.RoleBalancer} {
		for _, record := range s.memberReplica.Live(role) {
			addresses = append(addresses, record.Address)
		}
	}
	return addresses
}

// status returns the status of the members that send this balancer heartbeats, or of all members if all is set.
func (s *State) status(now time.Time, all bool) peer.StatusReply {
	self := s.lease.Self()
	reply := peer.StatusReply{Config: s.version(), Name: self.Name, Zone: self.Zone}
	if !s.platformAnsweredAt.IsZero() {
		reply.PlatformFor = now.Sub(s.platformAnsweredAt).Milliseconds()
		reply.PlatformOK = now.Sub(s.platformAnsweredAt) < platformTimeout
	}
	observations := map[string]fleet.Observation{}
	for _, observation := range s.monitor.Observations(now) {
		observations[observation.Name] = observation
	}
	observations[self.Name] = fleet.Observation{ConfigVersion: s.version(), Name: self.Name}
	for _, entry := range s.memberReplica.All(now) {
		observation, observed := observations[entry.Record.Name]
		if observed || all {
			reply.Members = append(reply.Members, memberStatus(entry.Record, observation, observed))
		}
	}
	return reply
}

func memberStatus(record fleet.Record, observation fleet.Observation, observed bool) peer.MemberStatus {
	return peer.MemberStatus{
		Address:     record.Address.String(),
		Config:      observation.ConfigVersion,
		Flows:       observation.Flows,
		Heard:       observed,
		Incarnation: record.Incarnation,
		Load:        observation.Load,
		Name:        record.Name,
		Role:        record.Role.String(),
		Service:     record.Service,
		SilentMS:    observation.SilentFor.Milliseconds(),
		Speed:       observation.Speed,
		State:       record.State.String(),
		Zone:        record.Zone,
	}
}
