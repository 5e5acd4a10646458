package fleet

import (
	"net/netip"
	"time"
)

const (
	// HeartbeatInterval is the time between two heartbeats of a member.
	HeartbeatInterval = time.Second
	// ReconnectBeats is how many heartbeats pass between two probes of balancers that are down.
	ReconnectBeats = 5
	// LeaseDuration is how long a member takes new work after a keeper's last good reply.
	LeaseDuration = 5 * time.Second
)

// A Vitals is what a member reports about itself.
type Vitals struct {
	Config uint64
	Flows  uint32
	Load   uint32 // parts per million of capacity
	Speed  uint32 // of the backend server, per mille of its typical one
}

// A Need is something that a member must do after a reply.
type Need int

const (
	// NeedAnnounce asks for the whole record to be sent to the keeper.
	NeedAnnounce Need = iota + 1
	// NeedBalancers asks for the list of balancers to be fetched from the keeper.
	NeedBalancers
	// NeedConfig asks for the configuration to be fetched from the keeper.
	NeedConfig
)

// A Lease is a member's own side of its membership.
type Lease struct {
	balancers []Record
	members   uint32
	mean      uint32
	renewed   time.Time
	self      Record
	ticked    time.Time
}

// NewLease returns a lease that is not valid before a keeper has answered.
func NewLease(self Record) *Lease {
	self.Incarnation = max(self.Incarnation, 1)
	self.Sequence = max(self.Sequence, 1)
	return &Lease{self: self}
}

// Self returns the member's own record.
func (l *Lease) Self() Record { return l.self }

// Mean returns the mean load of the member's service in parts per million, as of the last reply.
func (l *Lease) Mean() uint32 { return l.mean }

// Balancers returns the balancers known to the member, in every region.
func (l *Lease) Balancers() []Record { return l.balancers }

// SetBalancers replaces the balancers known to the member.
func (l *Lease) SetBalancers(records []Record) { l.balancers = records }

// SetState changes the member's own state and reports whether it differs.
func (l *Lease) SetState(state State) bool {
	if l.self.State == state {
		return false
	}
	l.self.State = state
	l.self.Sequence++
	return true
}

// SetWeight changes the member's own weight and reports whether it differs.
func (l *Lease) SetWeight(weight uint32) bool {
	if l.self.Weight == weight {
		return false
	}
	l.self.Weight = weight
	l.self.Sequence++
	return true
}

// Valid reports whether the member may take new work.
func (l *Lease) Valid(now time.Time) bool {
	return !l.renewed.IsZero() && now.Sub(l.renewed) < LeaseDuration && now.Sub(l.ticked) < LeaseDuration
}

// Tick returns the heartbeat and the keepers that must receive it.
func (l *Lease) Tick(now time.Time, vitals Vitals) (Heartbeat, []netip.AddrPort) {
	l.ticked = now
	beat := Heartbeat{
		Boot:        l.self.Boot,
		Config:      vitals.Config,
		Flows:       vitals.Flows,
		Incarnation: l.self.Incarnation,
		Load:        vitals.Load,
		NameHash:    NameHash(l.self.Name),
		Sequence:    l.self.Sequence,
		Speed:       vitals.Speed,
	}
	return beat, l.keepers()
}

// Reply takes a keeper's answer and returns what the member needs to do about it.
func (l *Lease) Reply(now time.Time, reply Reply, config uint64) []Need {
	var needs []Need
	switch reply.Standing {
	case StandingGood:
		l.renewed = now
	case StandingOld:
		l.raise(reply.Incarnation)
		needs = append(needs, NeedAnnounce)
	case StandingUnknown:
		needs = append(needs, NeedAnnounce)
	default:
		return nil
	}
	l.mean = reply.Mean
	l.members = reply.Members
	if reply.Balancers != DigestOf(l.balancers) {
		needs = append(needs, NeedBalancers)
	}
	if reply.Config > config {
		needs = append(needs, NeedConfig)
	}
	return needs
}

// raise starts an incarnation that replaces every known one.
func (l *Lease) raise(known uint64) {
	if known < l.self.Incarnation {
		return
	}
	l.self.Incarnation = known + 1
}

func (l *Lease) keepers() []netip.AddrPort {
	var region []Record
	for _, balancer := range l.balancers {
		if balancer.Region == l.self.Region && balancer.State != StateDown {
			region = append(region, balancer)
		}
	}
	key := KeeperKey(l.self, int(l.members))
	var addresses []netip.AddrPort
	for _, keeper := range Keepers(key, l.self.Name, region) {
		addresses = append(addresses, keeper.Address)
	}
	return addresses
}
