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

// clusterStep is the virtual time of one simulation step.
const clusterStep = 100 * time.Millisecond

// host is a simulated process that runs the real membership code.
type host struct {
	alive   bool
	config  uint64 // version in force
	lease   *Lease
	monitor *Monitor // nil for an agent
	paused  bool
	replica *Replica    // nil for an agent
	writer  *ZoneWriter // nil for an agent
}

func (h *host) running() bool { return h.alive && !h.paused }

// message is a message in flight between two hosts.
type message struct {
	body any
	due  time.Time // time of delivery
	from string
	to   string
}

// cluster simulates hosts and their network in virtual time; messages are delayed, lost and duplicated.
type cluster struct {
	hosts       map[string]*host // by name
	inFlight    []message
	lastBootID  uint64
	loss        float64 // probability that a message is lost
	now         time.Time
	partitioned map[string]bool // zones without any connection to the others
	platform    store.Store
	random      *rand.Rand
	tick        int // number of steps so far
}

func newCluster(seed uint64, balancers, agents int) *cluster {
	c := &cluster{
		hosts:       map[string]*host{},
		now:         time.Unix(0, 0),
		partitioned: map[string]bool{},
		platform:    store.NewMemory(),
		random:      rand.New(rand.NewPCG(seed, 3)),
	}
	for i := range balancers {
		c.start(fmt.Sprintf("balancer-%d", i), RoleBalancer, fmt.Sprintf("zone-%d", i%3))
	}
	for i := range agents {
		c.start(fmt.Sprintf("agent-%d", i), RoleAgent, fmt.Sprintf("zone-%d", i%3))
	}
	return c
}

func (c *cluster) names() []string {
	var names []string
	for name := range c.hosts {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// start starts a process without any state on a new host, or in place of the process on an existing one.
func (c *cluster) start(name string, role Role, zone string) {
	c.lastBootID++
	index := uint16(len(c.hosts) + 1)
	if known := c.hosts[name]; known != nil {
		index = known.lease.Self().Address.Port()
	}
	self := Record{
		Address: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), index),
		BootID:  c.lastBootID,
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
		h.replica = NewReplica(ReplicaConfig{Seed: c.lastBootID, Self: name})
		h.monitor = NewMonitor(h.lease.Self(), h.replica)
		h.writer = NewZoneWriter()
	}
	c.hosts[name] = h
	c.bootstrap(h)
}

// bootstrap initializes a host from the zones' objects of the platform, as the daemons do.
func (c *cluster) bootstrap(h *host) {
	objects, err := c.platform.List(context.Background(), "fleet/")
	if err != nil {
		return
	}
	var balancers []Record
	for _, object := range objects {
		records, _ := DecodeRecords(object.Value)
		if h.replica != nil {
			h.replica.Merge(c.now, records)
		}
		for _, entry := range records {
			if entry.Record.Role == RoleBalancer && entry.Record.State != StateDown {
				balancers = append(balancers, entry.Record)
			}
		}
	}
	h.lease.SetBalancers(balancers)
	c.publishSelf(h)
}

// publishSelf merges a balancer's own record into its replica, in a new incarnation if the known record is newer.
func (c *cluster) publishSelf(h *host) {
	if h.replica == nil {
		return
	}
	self := h.lease.Self()
	if known, ok := h.replica.Find(self.Name); ok && known != self && known.Newer(self) {
		h.lease.Reply(c.now, Reply{Status: HeartbeatOutdated, Incarnation: known.Incarnation}, 0)
	}
	h.replica.Merge(c.now, []AgedRecord{{Record: h.lease.Self()}})
	h.lease.SetBalancers(h.replica.Live(RoleBalancer))
}

func (c *cluster) send(from, to string, body any) {
	copies := 1
	switch draw := c.random.Float64(); {
	case draw < c.loss:
		return
	case draw > 0.98:
		copies = 2
	}
	for range copies {
		due := c.now.Add(time.Duration(c.random.IntN(150)) * time.Millisecond)
		c.inFlight = append(c.inFlight, message{body: body, due: due, from: from, to: to})
	}
}

func (c *cluster) sendTo(from string, records []Record, body any) {
	for _, record := range records {
		c.send(from, record.Name, body)
	}
}

// advance runs the cluster for a span of virtual time and calls check after every step.
func (c *cluster) advance(span time.Duration, check func()) {
	for end := c.now.Add(span); c.now.Before(end); {
		c.now = c.now.Add(clusterStep)
		c.tick++
		for _, name := range c.names() {
			if h := c.hosts[name]; h.running() {
				c.step(name, h)
			}
		}
		c.deliver()
		if check != nil {
			check()
		}
	}
}

func (c *cluster) step(name string, h *host) {
	stepsPerHeartbeat := int(HeartbeatInterval / clusterStep)
	if (c.tick+len(name)*3)%stepsPerHeartbeat == 0 {
		c.sendHeartbeat(name, h)
	}
	if h.replica == nil {
		return
	}
	if records, peers := h.replica.TakeGossip(c.now); len(records) > 0 {
		c.sendTo(name, peers, records)
	}
	c.runWriter(h)
}

func (c *cluster) sendHeartbeat(name string, h *host) {
	heartbeat, monitors := h.lease.Tick(c.now, HeartbeatData{ConfigVersion: h.config})
	for _, address := range monitors {
		c.send(name, c.nameOf(address), heartbeat)
	}
	if len(monitors) == 0 {
		c.send(name, "balancer-0", heartbeat)
		c.send(name, "balancer-1", heartbeat)
	}
	if h.replica == nil {
		return
	}
	votes, _ := h.monitor.Tick(c.now)
	for _, vote := range votes {
		c.sendTo(name, vote.Recipients, vote.Vote)
	}
	c.sendTo(name, h.replica.Peers(1), Probe{ConfigVersion: h.config, Digest: h.replica.Digest()})
	if down, ok := h.replica.RandomDownBalancer(); ok && c.random.IntN(ReconnectHeartbeats) == 0 {
		c.send(name, down.Name, Probe{ConfigVersion: h.config, Digest: h.replica.Digest()})
	}
	if len(h.replica.Peers(1)) == 0 && name != "balancer-0" {
		c.send(name, "balancer-0", Probe{ConfigVersion: h.config, Digest: h.replica.Digest()})
	}
}

func (c *cluster) nameOf(address netip.AddrPort) string {
	for name, h := range c.hosts {
		if h.lease.Self().Address == address {
			return name
		}
	}
	return ""
}

func (c *cluster) deliver() {
	var later []message
	due := c.inFlight
	c.inFlight = nil
	for _, m := range due {
		h := c.hosts[m.to]
		switch {
		case h == nil || !h.alive || c.isPartitioned(m.from, m.to):
		case h.paused || m.due.After(c.now):
			later = append(later, m)
		default:
			c.handle(h, m)
		}
	}
	c.inFlight = append(c.inFlight, later...)
}

func (c *cluster) isPartitioned(a, b string) bool {
	zoneA, zoneB := c.hosts[a].lease.Self().Zone, c.hosts[b].lease.Self().Zone
	return zoneA != zoneB && (c.partitioned[zoneA] || c.partitioned[zoneB])
}

func (c *cluster) handle(h *host, m message) {
	name := h.lease.Self().Name
	switch body := m.body.(type) {
	case Heartbeat:
		if h.monitor != nil {
			c.send(name, m.from, h.monitor.Heartbeat(c.now, body, h.config))
		}
	case Reply:
		c.handleReply(h, m.from, body)
	case DownVote:
		h.monitor.RecordVote(c.now, body)
	case []AgedRecord:
		if h.replica != nil {
			h.replica.Merge(c.now, body)
			c.publishSelf(h)
		}
	case Probe:
		c.compareConfig(h, m.from, body)
		c.reconcile(h, c.hosts[m.from], body)
	case configVersion:
		c.applyVersion(h, body)
	}
}

func (c *cluster) handleReply(h *host, monitor string, reply Reply) {
	name := h.lease.Self().Name
	for _, action := range h.lease.Reply(c.now, reply, h.config) {
		switch action {
		case ActionFetchConfig:
			c.send(monitor, name, configVersion(reply.ConfigVersion))
		case ActionAnnounce:
			c.send(name, monitor, []AgedRecord{{Record: h.lease.Self()}})
		case ActionFetchBalancers:
			if monitorHost := c.hosts[monitor]; monitorHost.running() && h.replica == nil {
				h.lease.SetBalancers(monitorHost.replica.Live(RoleBalancer))
			}
		}
	}
	c.publishSelf(h)
}

// reconcile exchanges the differing records of two replicas, as the daemons do with two calls.
func (c *cluster) reconcile(h, sender *host, probe Probe) {
	if probe.Digest == h.replica.Digest() || !sender.running() || sender.replica == nil {
		return
	}
	theirs := sender.replica.BucketDigests()
	records := sender.replica.Differing(c.now, h.replica.BucketDigests())
	h.replica.Merge(c.now, records)
	sender.replica.Merge(c.now, h.replica.Differing(c.now, theirs))
	c.publishSelf(h)
	c.publishSelf(sender)
}

// runWriter makes the platform call that the writer requires, as the daemon does.
func (c *cluster) runWriter(h *host) {
	self := h.lease.Self()
	key := "fleet/" + self.Zone
	rank := WriterRank(self, h.replica.Live(RoleBalancer))
	switch h.writer.Tick(c.now, rank, h.replica.ZoneDigest(self.Zone)) {
	case TaskLoad:
		object, err := c.platform.Get(context.Background(), key)
		if fault.Is(err, fault.Unavailable) {
			h.writer.Failed(c.now)
			return
		}
		records, _ := DecodeRecords(object.Value)
		h.replica.Merge(c.now, records)
		c.publishSelf(h)
		h.writer.Loaded(object.Version, DigestOfAll(records))
	case TaskSave:
		c.saveZone(h, key)
	}
}

func (c *cluster) saveZone(h *host, key string) {
	zone := h.lease.Self().Zone
	value := EncodeRecords(h.replica.ZoneRecords(c.now, zone))
	object, err := c.platform.Put(context.Background(), key, value, h.writer.Version())
	switch {
	case err == nil:
		h.writer.Saved(object.Version, h.replica.ZoneDigest(zone))
	case fault.Is(err, fault.Stale):
		h.writer.Conflicted()
	default:
		h.writer.Failed(c.now)
	}
}

// runningBalancers returns the balancers that are running, ordered by name.
func (c *cluster) runningBalancers() []*host {
	var found []*host
	for _, name := range c.names() {
		if h := c.hosts[name]; h.replica != nil && h.running() {
			found = append(found, h)
		}
	}
	return found
}

// configVersion is a message with the configuration of that version, sent to a host that requested it.
type configVersion uint64

// compareConfig fetches the configuration from the sender of a probe, or probes the sender, whichever is behind.
func (c *cluster) compareConfig(h *host, from string, probe Probe) {
	name := h.lease.Self().Name
	switch {
	case probe.ConfigVersion > h.config:
		c.send(from, name, configVersion(probe.ConfigVersion))
	case probe.ConfigVersion < h.config:
		c.send(name, from, Probe{ConfigVersion: h.config, Digest: h.replica.Digest()})
	}
}

// applyVersion puts a newer configuration in force and probes a few peers so that they fetch it.
func (c *cluster) applyVersion(h *host, v configVersion) {
	if uint64(v) <= h.config {
		return
	}
	h.config = uint64(v)
	if h.replica != nil {
		c.sendTo(h.lease.Self().Name, h.replica.Peers(gossipFanout), Probe{ConfigVersion: h.config, Digest: h.replica.Digest()})
	}
}

// lagging returns the names of the running hosts whose configuration is older than version v.
func (c *cluster) lagging(v uint64) []string {
	var names []string
	for _, name := range c.names() {
		if h := c.hosts[name]; h.running() && h.config < v {
			names = append(names, name)
		}
	}
	return names
}
