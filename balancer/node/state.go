package node

import (
	"maps"
	"net/netip"
	"sync"
	"time"

	"github.com/cyclamendock/cyclamendock/lib/config"
	"github.com/cyclamendock/cyclamendock/lib/fleet"
	"github.com/cyclamendock/cyclamendock/lib/follow"
	"github.com/cyclamendock/cyclamendock/lib/peer"
)

// A State holds the decisions of a balancer behind one lock.
type State struct {
	changed    bool // since the last view was built
	holder     *config.Holder
	keeper     *fleet.Keeper
	lease      *fleet.Lease
	mu         sync.Mutex
	platformAt time.Time // of the platform's last answer
	replica    *fleet.Replica
	scribe     *fleet.Scribe
	started    time.Time
	suspects   map[string]bool // members that are the last choice for new flows
	ticks      int
}

// newState returns the state of a balancer that knows only itself.
func newState(now time.Time, self fleet.Record, seed uint64) *State {
	s := &State{
		changed: true,
		holder:  &config.Holder{},
		replica: fleet.NewReplica(fleet.ReplicaConfig{Seed: seed, Self: self.Name}),
		scribe:  fleet.NewScribe(),
		started: now,
	}
	s.lease = fleet.NewLease(self)
	s.keeper = fleet.NewKeeper(self, s.replica)
	s.publishSelf(now)
	return s
}

// locked runs a step while no other goroutine uses the state.
func (s *State) locked(step func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	step()
}

// merge takes records and starts a new incarnation when one of them replaces this process.
func (s *State) merge(now time.Time, records []fleet.Aged) []fleet.Record {
	changed := s.replica.Merge(now, records)
	if len(changed) > 0 {
		s.changed = true
	}
	s.defendSelf(now)
	return changed
}

// defendSelf replaces a record of an earlier process of the same name, or one that calls this one down.
func (s *State) defendSelf(now time.Time) {
	self := s.lease.Self()
	known, ok := s.replica.Find(self.Name)
	if !ok || known == self {
		return
	}
	if known.Newer(self) {
		s.lease.Reply(now, fleet.Reply{Standing: fleet.StandingOld, Incarnation: known.Incarnation}, 0)
	}
	s.publishSelf(now)
}

func (s *State) publishSelf(now time.Time) {
	if len(s.replica.Merge(now, []fleet.Aged{{Record: s.lease.Self()}})) > 0 {
		s.changed = true
	}
	s.lease.SetBalancers(s.replica.Live(fleet.RoleBalancer))
}

// offer applies configuration entries and reports whether some in between are missing.
func (s *State) offer(entries []config.Entry) bool {
	changed, gap := s.holder.Offer(entries)
	s.changed = s.changed || changed
	return gap
}

func (s *State) update(update follow.Update) {
	if update.Apply(s.holder) {
		s.changed = true
	}
}

func (s *State) offerWhole(whole config.Config) {
	if s.holder.OfferWhole(whole) {
		s.changed = true
	}
}

// lostPeer returns a balancer that is down and whose turn it is to be probed.
func (s *State) lostPeer() (fleet.Record, bool) {
	s.ticks++
	if s.ticks%fleet.ReconnectBeats != 0 {
		return fleet.Record{}, false
	}
	return s.replica.Lost()
}

func (s *State) updateSuspects(now time.Time) {
	suspects := s.keeper.Suspects(now)
	if !maps.Equal(suspects, s.suspects) {
		s.suspects = suspects
		s.changed = true
	}
}

func (s *State) version() uint64 { return s.holder.Current().Version }

func (s *State) rank() int {
	return fleet.Rank(s.lease.Self(), s.replica.Live(fleet.RoleBalancer))
}

func (s *State) probe() fleet.Probe {
	return fleet.Probe{Config: s.version(), Digest: s.replica.Digest()}
}

// memberAddresses returns the addresses of every member that is not down.
func (s *State) memberAddresses() []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, role := range []fleet.Role{fleet.RoleAgent, fleet.RoleBalancer} {
		for _, record := range s.replica.Live(role) {
			addresses = append(addresses, record.Address)
		}
	}
	return addresses
}

// status returns this balancer's view of the members that it keeps, or of all.
func (s *State) status(now time.Time, all bool) peer.StatusReply {
	self := s.lease.Self()
	reply := peer.StatusReply{Config: s.version(), Name: self.Name, Zone: self.Zone}
	if !s.platformAt.IsZero() {
		reply.PlatformFor = now.Sub(s.platformAt).Milliseconds()
		reply.PlatformOK = now.Sub(s.platformAt) < platformSilence
	}
	sights := map[string]fleet.Sight{}
	for _, sight := range s.keeper.Sights(now) {
		sights[sight.Name] = sight
	}
	sights[self.Name] = fleet.Sight{Config: s.version(), Name: self.Name}
	for _, aged := range s.replica.All(now) {
		sight, heard := sights[aged.Record.Name]
		if heard || all {
			reply.Members = append(reply.Members, memberStatus(aged.Record, sight, heard))
		}
	}
	return reply
}

func memberStatus(record fleet.Record, sight fleet.Sight, heard bool) peer.MemberStatus {
	return peer.MemberStatus{
		Address:     record.Address.String(),
		Config:      sight.Config,
		Flows:       sight.Flows,
		Heard:       heard,
		Incarnation: record.Incarnation,
		Load:        sight.Load,
		Name:        record.Name,
		Role:        record.Role.String(),
		Service:     record.Service,
		SilentMS:    sight.Silent.Milliseconds(),
		Speed:       sight.Speed,
		State:       record.State.String(),
		Zone:        record.Zone,
	}
}
