package fleet

import (
	"net/netip"
	"time"
)

const (
	// HeartbeatInterval is the interval at which each member sends heartbeats.
	HeartbeatInterval = time.Second
	// ReconnectHeartbeats is the number of heartbeat intervals between two probes to balancers that are down.
	ReconnectHeartbeats = 5
	// LeaseDuration is how long a member may accept new work after a monitor has renewed its lease.
	LeaseDuration = 5 * time.Second
)

// HeartbeatData holds the values that a member reports about itself in its heartbeats.
type HeartbeatData struct {
	ConfigVersion uint64 // version of the configuration in force
	Flows         uint32 // number of open flows
	Load          uint32 // parts per million of capacity
	Speed         uint32 // of the backend server, per mille of its typical speed
}

// Action is an action that a member must take after a reply.
type Action int

const (
	// ActionAnnounce requires the member to send its full record to the monitor.
	ActionAnnounce Action = iota + 1
	// ActionFetchBalancers requires the member to fetch the list of balancers from the monitor.
	ActionFetchBalancers
	// ActionFetchConfig requires the member to fetch the configuration from the monitor.
	ActionFetchConfig
)

// Lease holds a member's own record and the state of its lease, on the member's side.
type Lease struct {
	balancers       []Record
	renewedAt       time.Time
	self            Record
	serviceAgents   uint32    // number of agents of the member's service
	serviceMeanLoad uint32    // mean load of the member's service, in parts per million
	tickedAt        time.Time // time of the last Tick; a paused process has an old one
}

// NewLease returns a lease that becomes valid with the first heartbeat that a monitor accepts.
func NewLease(self Record) *Lease {
	self.Incarnation = max(self.Incarnation, 1)
	self.Sequence = max(self.Sequence, 1)
	return &Lease{self: self}
}

// Self returns the member's own record.
func (l *Lease) Self() Record { return l.self }

// MeanLoad returns the mean load of the member's service in parts per million, taken from the last reply.
func (l *Lease) MeanLoad() uint32 { return l.serviceMeanLoad }

// Balancers returns the known balancers of all regions.
func (l *Lease) Balancers() []Record { return l.balancers }

// SetBalancers replaces the list of known balancers.
func (l *Lease) SetBalancers(records []Record) { l.balancers = records }

// SetState sets the member's own state and reports whether it has changed.
func (l *Lease) SetState(state State) bool {
	if l.self.State == state {
		return false
	}
	l.self.State = state
	l.self.Sequence++
	return true
}

// SetWeight sets the member's own weight and reports whether it has changed.
func (l *Lease) SetWeight(weight uint32) bool {
	if l.self.Weight == weight {
		return false
	}
	l.self.Weight = weight
	l.self.Sequence++
	return true
}

// Valid reports whether the member may accept new work: both the last renewal and the last Tick must be younger than
// LeaseDuration.
func (l *Lease) Valid(now time.Time) bool {
	return !l.renewedAt.IsZero() && now.Sub(l.renewedAt) < LeaseDuration && now.Sub(l.tickedAt) < LeaseDuration
}

// Tick returns the heartbeat to send and the addresses of the monitors that must receive it.
func (l *Lease) Tick(now time.Time, data HeartbeatData) (Heartbeat, []netip.AddrPort) {
	l.tickedAt = now
	heartbeat := Heartbeat{
		BootID:        l.self.BootID,
		ConfigVersion: data.ConfigVersion,
		Flows:         data.Flows,
		Incarnation:   l.self.Incarnation,
		Load:          data.Load,
		NameHash:      NameHash(l.self.Name),
		Sequence:      l.self.Sequence,
		Speed:         data.Speed,
	}
	return heartbeat, l.monitorAddresses()
}

// Reply processes a monitor's reply and returns the actions that the member must take; config is the version of the
// member's configuration.
func (l *Lease) Reply(now time.Time, reply Reply, config uint64) []Action {
	var actions []Action
	switch reply.Status {
	case HeartbeatAccepted:
		l.renewedAt = now
	case HeartbeatOutdated:
		l.raiseIncarnation(reply.Incarnation)
		actions = append(actions, ActionAnnounce)
	case HeartbeatUnknown:
		actions = append(actions, ActionAnnounce)
	default:
		return nil
	}
	l.serviceMeanLoad = reply.MeanLoad
	l.serviceAgents = reply.ServiceAgents
	if reply.BalancersDigest != DigestOfLive(l.balancers) {
		actions = append(actions, ActionFetchBalancers)
	}
	if reply.ConfigVersion > config {
		actions = append(actions, ActionFetchConfig)
	}
	return actions
}

// raiseIncarnation starts an incarnation that is greater than the given one, unless the current one already is.
func (l *Lease) raiseIncarnation(known uint64) {
	if known < l.self.Incarnation {
		return
	}
	l.self.Incarnation = known + 1
}

// monitorAddresses returns the addresses of the balancers that monitor this member.
func (l *Lease) monitorAddresses() []netip.AddrPort {
	var region []Record
	for _, balancer := range l.balancers {
		if balancer.Region == l.self.Region && balancer.State != StateDown {
			region = append(region, balancer)
		}
	}
	key := MonitorKey(l.self, int(l.serviceAgents))
	var addresses []netip.AddrPort
	for _, monitor := range SelectMonitors(key, l.self.Name, region) {
		addresses = append(addresses, monitor.Address)
	}
	return addresses
}
