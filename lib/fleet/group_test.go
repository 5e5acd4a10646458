package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cyclamendock/cyclamendock/lib/fault"
	"github.com/cyclamendock/cyclamendock/lib/store"
)

const groupStep = 100 * time.Millisecond

// A host is one member of the test group with the real decision code.
type host struct {
	alive   bool
	config  uint64 // version in force
	frozen  bool
	keeper  *Keeper // of a balancer
	lease   *Lease
	replica *Replica // of a balancer
	scribe  *Scribe  // of a balancer
}

func (h *host) runs() bool { return h.alive && !h.frozen }

// A parcel is one message between hosts.
type parcel struct {
	body any
	due  time.Time
	from string
	to   string
}

// A group carries messages between hosts with delay, loss and doubling, in virtual time.
type group struct {
	boot     uint64
	cut      map[string]bool // zones without any connection to the others
	hosts    map[string]*host
	loss     float64
	now      time.Time
	parcels  []parcel
	platform store.Store
	random   *rand.Rand
	tick     int
}

func newGroup(seed uint64, balancers, agents int) *group {
	g := &group{
		cut:      map[string]bool{},
		hosts:    map[string]*host{},
		now:      time.Unix(0, 0),
		platform: store.NewMemory(),
		random:   rand.New(rand.NewPCG(seed, 3)),
	}
	for i := range balancers {
		g.start(fmt.Sprintf("balancer-%d", i), RoleBalancer, fmt.Sprintf("zone-%d", i%3))
	}
	for i := range agents {
		g.start(fmt.Sprintf("agent-%d", i), RoleAgent, fmt.Sprintf("zone-%d", i%3))
	}
	return g
}

func (g *group) names() []string {
	var names []string
	for name := range g.hosts {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// start replaces a host by a new process that knows nothing.
func (g *group) start(name string, role Role, zone string) {
	g.boot++
	index := uint16(len(g.hosts) + 1)
	if known := g.hosts[name]; known != nil {
		index = known.lease.Self().Address.Port()
	}
	self := Record{
		Address: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), index),
		Boot:    g.boot,
		Name:    name,
		Region:  "region",
		Role:    role,
		State:   StateAlive,
		Weight:  1,
		Zone:    zone,
	}
	h := &host{alive: true, lease: NewLease(self)}
	if role == RoleAgent {
		self.Service = "service"
		h.lease = NewLease(self)
	} else {
		h.replica = NewReplica(ReplicaConfig{Seed: g.boot, Self: name})
		h.keeper = NewKeeper(h.lease.Self(), h.replica)
		h.scribe = NewScribe()
	}
	g.hosts[name] = h
	g.bootstrap(h)
}

// bootstrap reads the platform as the daemons do.
func (g *group) bootstrap(h *host) {
	objects, err := g.platform.List(context.Background(), "fleet/")
	if err != nil {
		return
	}
	var balancers []Record
	for _, object := range objects {
		records, _ := DecodeRecords(object.Value)
		if h.replica != nil {
			h.replica.Merge(g.now, records)
		}
		for _, a := range records {
			if a.Record.Role == RoleBalancer && a.Record.State != StateDown {
				balancers = append(balancers, a.Record)
			}
		}
	}
	h.lease.SetBalancers(balancers)
	g.publish(h)
}

// publish keeps a balancer's own record in its replica.
func (g *group) publish(h *host) {
	if h.replica == nil {
		return
	}
	self := h.lease.Self()
	if known, ok := h.replica.Find(self.Name); ok && known != self && known.Newer(self) {
		h.lease.Reply(g.now, Reply{Standing: StandingOld, Incarnation: known.Incarnation}, 0)
	}
	h.replica.Merge(g.now, []Aged{{Record: h.lease.Self()}})
	h.lease.SetBalancers(h.replica.Live(RoleBalancer))
}

func (g *group) send(from, to string, body any) {
	copies := 1
	switch draw := g.random.Float64(); {
	case draw < g.loss:
		return
	case draw > 0.98:
		copies = 2
	}
	for range copies {
		due := g.now.Add(time.Duration(g.random.IntN(150)) * time.Millisecond)
		g.parcels = append(g.parcels, parcel{body: body, due: due, from: from, to: to})
	}
}

func (g *group) sendTo(from string, records []Record, body any) {
	for _, record := range records {
		g.send(from, record.Name, body)
	}
}

// advance runs the group for a span of virtual time.
func (g *group) advance(span time.Duration, check func()) {
	for end := g.now.Add(span); g.now.Before(end); {
		g.now = g.now.Add(groupStep)
		g.tick++
		for _, name := range g.names() {
			if h := g.hosts[name]; h.runs() {
				g.step(name, h)
			}
		}
		g.deliver()
		if check != nil {
			check()
		}
	}
}

func (g *group) step(name string, h *host) {
	every := int(HeartbeatInterval / groupStep)
	if (g.tick+len(name)*3)%every == 0 {
		g.beat(name, h)
	}
	if h.replica == nil {
		return
	}
	if records, peers := h.replica.TakeRumors(g.now); len(records) > 0 {
		g.sendTo(name, peers, records)
	}
	g.scribe(h)
}

func (g *group) beat(name string, h *host) {
	beat, keepers := h.lease.Tick(g.now, Vitals{Config: h.config})
	for _, address := range keepers {
		g.send(name, g.nameOf(address), beat)
	}
	if len(keepers) == 0 {
		g.send(name, "balancer-0", beat)
		g.send(name, "balancer-1", beat)
	}
	if h.replica == nil {
		return
	}
	ballots, _ := h.keeper.Tick(g.now)
	for _, ballot := range ballots {
		g.sendTo(name, ballot.To, ballot.Vote)
	}
	g.sendTo(name, h.replica.Peers(1), Probe{Config: h.config, Digest: h.replica.Digest()})
	if lost, ok := h.replica.Lost(); ok && g.random.IntN(ReconnectBeats) == 0 {
		g.send(name, lost.Name, Probe{Config: h.config, Digest: h.replica.Digest()})
	}
	if len(h.replica.Peers(1)) == 0 && name != "balancer-0" {
		g.send(name, "balancer-0", Probe{Config: h.config, Digest: h.replica.Digest()})
	}
}

func (g *group) nameOf(address netip.AddrPort) string {
	for name, h := range g.hosts {
		if h.lease.Self().Address == address {
			return name
		}
	}
	return ""
}

func (g *group) deliver() {
	var later []parcel
	due := g.parcels
	g.parcels = nil
	for _, p := range due {
		h := g.hosts[p.to]
		switch {
		case h == nil || !h.alive || g.separated(p.from, p.to):
		case h.frozen || p.due.After(g.now):
			later = append(later, p)
		default:
			g.receive(h, p)
		}
	}
	g.parcels = append(g.parcels, later...)
}

func (g *group) separated(a, b string) bool {
	zoneA, zoneB := g.hosts[a].lease.Self().Zone, g.hosts[b].lease.Self().Zone
	return zoneA != zoneB && (g.cut[zoneA] || g.cut[zoneB])
}

func (g *group) receive(h *host, p parcel) {
	name := h.lease.Self().Name
	switch body := p.body.(type) {
	case Heartbeat:
		if h.keeper != nil {
			g.send(name, p.from, h.keeper.Heartbeat(g.now, body, h.config))
		}
	case Reply:
		g.reply(h, p.from, body)
	case Vote:
		h.keeper.Vote(g.now, body)
	case []Aged:
		if h.replica != nil {
			h.replica.Merge(g.now, body)
			g.publish(h)
		}
	case Probe:
		g.compare(h, p.from, body)
		g.exchange(h, g.hosts[p.from], body)
	case version:
		g.takeVersion(h, body)
	}
}

func (g *group) reply(h *host, keeper string, reply Reply) {
	name := h.lease.Self().Name
	for _, need := range h.lease.Reply(g.now, reply, h.config) {
		switch need {
		case NeedConfig:
			g.send(keeper, name, version(reply.Config))
		case NeedAnnounce:
			g.send(name, keeper, []Aged{{Record: h.lease.Self()}})
		case NeedBalancers:
			if k := g.hosts[keeper]; k.runs() && h.replica == nil {
				h.lease.SetBalancers(k.replica.Live(RoleBalancer))
			}
		}
	}
	g.publish(h)
}

// exchange repairs what differs between two replicas, as the daemons do with two calls.
func (g *group) exchange(h, sender *host, probe Probe) {
	if probe.Digest == h.replica.Digest() || !sender.runs() || sender.replica == nil {
		return
	}
	theirs := sender.replica.BucketDigests()
	records := sender.replica.Differing(g.now, h.replica.BucketDigests())
	h.replica.Merge(g.now, records)
	sender.replica.Merge(g.now, h.replica.Differing(g.now, theirs))
	g.publish(h)
	g.publish(sender)
}

// scribe makes the platform calls that the daemon would make.
func (g *group) scribe(h *host) {
	self := h.lease.Self()
	key := "fleet/" + self.Zone
	rank := Rank(self, h.replica.Live(RoleBalancer))
	switch h.scribe.Tick(g.now, rank, h.replica.ZoneDigest(self.Zone)) {
	case TaskLoad:
		object, err := g.platform.Get(context.Background(), key)
		if fault.Is(err, fault.Unavailable) {
			h.scribe.Failed(g.now)
			return
		}
		records, _ := DecodeRecords(object.Value)
		h.replica.Merge(g.now, records)
		g.publish(h)
		h.scribe.Loaded(object.Version, DigestOfAll(records))
	case TaskSave:
		g.save(h, key)
	}
}

func (g *group) save(h *host, key string) {
	zone := h.lease.Self().Zone
	value := EncodeRecords(h.replica.Zone(g.now, zone))
	object, err := g.platform.Put(context.Background(), key, value, h.scribe.Version())
	switch {
	case err == nil:
		h.scribe.Saved(object.Version, h.replica.ZoneDigest(zone))
	case fault.Is(err, fault.Stale):
		h.scribe.Outdated()
	default:
		h.scribe.Failed(g.now)
	}
}

// balancers returns the balancers that run, ordered by name.
func (g *group) balancers() []*host {
	var found []*host
	for _, name := range g.names() {
		if h := g.hosts[name]; h.replica != nil && h.runs() {
			found = append(found, h)
		}
	}
	return found
}

// A version is a configuration on its way to a host that asked for it.
type version uint64

// compare repairs a difference in configuration as the daemons do.
func (g *group) compare(h *host, from string, probe Probe) {
	name := h.lease.Self().Name
	switch {
	case probe.Config > h.config:
		g.send(from, name, version(probe.Config))
	case probe.Config < h.config:
		g.send(name, from, Probe{Config: h.config, Digest: h.replica.Digest()})
	}
}

// takeVersion puts a newer configuration in force and tells a few peers.
func (g *group) takeVersion(h *host, v version) {
	if uint64(v) <= h.config {
		return
	}
	h.config = uint64(v)
	if h.replica != nil {
		g.sendTo(h.lease.Self().Name, h.replica.Peers(fanout), Probe{Config: h.config, Digest: h.replica.Digest()})
	}
}

// lagging returns the running hosts without a version.
func (g *group) lagging(v uint64) []string {
	var names []string
	for _, name := range g.names() {
		if h := g.hosts[name]; h.runs() && h.config < v {
			names = append(names, name)
		}
	}
	return names
}
