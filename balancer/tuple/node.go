package tuple

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cyclamendock/cyclamendock/lib/clock"
	"github.com/cyclamendock/cyclamendock/lib/flows"
	"github.com/cyclamendock/cyclamendock/lib/logs"
	"github.com/cyclamendock/cyclamendock/lib/member"
	"github.com/cyclamendock/cyclamendock/lib/netio"
	"github.com/cyclamendock/cyclamendock/lib/peer"
	"github.com/cyclamendock/cyclamendock/lib/stats"
	"github.com/cyclamendock/cyclamendock/lib/store"
	"github.com/cyclamendock/cyclamendock/lib/subset"
	"github.com/cyclamendock/cyclamendock/lib/trust"
	"github.com/cyclamendock/cyclamendock/lib/udpio"
)

const (
	frontBatch      = 32 // datagrams
	peerBatch       = 32 // datagrams
	timerBatch      = 8  // datagrams
	timerResolution = 25 * time.Millisecond
)

// Config holds the settings and dependencies of a Node.
type Config struct {
	Address        netip.AddrPort  // local address for messages and RPC between processes
	Admission      flows.Admission // how to decide when not all requests can be served in time
	CallerPort     uint16          // destination port of packets to callers
	Codec          flows.Codec
	ConfigDeadline time.Duration // time within which a change of the configuration must be applied
	ConfigKey      string        // store key of the configuration
	Filter         udpio.Filter  // of messages to other processes; nil passes all
	FirstStart     bool          // this balancer was never registered as a member
	FlowLifetime   time.Duration
	Front          netip.AddrPort // local address for callers' packets
	Ignored        *netio.IgnoredInputs
	Log            *logs.Logger
	LostAfter      time.Duration // see flows.DirectorConfig
	Policy         flows.Policy
	Routes         func(value []byte) (flows.Routes, error) // decodes the configuration
	Seeds          []netip.AddrPort                         // balancers to contact before the members are known
	Stats          *stats.Server
	Store          store.Store
	Subset         subset.Config // agents of a service that new flows are placed on
	Trust          *trust.Allowlist
	Zone           string
	ZoneDeadline   time.Duration                      // time within which an evacuation must be in force; zero if none is ever read
	ZoneName       func(store.Object) (string, error) // returns the availability zone that an object requests to evacuate
	ZonesPrefix    string                             // prefix of the store keys of these objects
}

// Node is one balancer process.
type Node struct {
	client       *peer.Client
	clock        *clock.Ticker
	config       Config
	configReads  configReads
	ctx          context.Context
	cutOff       atomic.Bool // see isolation
	director     *flows.Director
	directory    *member.Directory
	front        *udpio.Socket
	guard        *member.EntryGuard
	isolation    isolation
	memberChecks chan struct{} // wakes runMembers to confirm the members
	memberReads  *sharedRead[member.List]
	meter        *meter
	mu           sync.Mutex   // guards configReads, director, isolation, meter.notForwarded, newAgents, peers, pulling, rawConfig and the fields from zoneNames on
	markedEra    atomic.Int64 // latest era in which this balancer has marked the list of members as complete, or unmarked
	newAgents    newAgents
	peers        *peerSet
	pulling      bool   // a pull from another balancer is in progress
	rawConfig    []byte // configuration as encoded in the store
	server       *peer.Server
	shuttingDown atomic.Bool
	socket       *udpio.Socket
	stop         context.CancelFunc
	zoneNames    map[uint64]string // names of availability zones by hash, as far as this balancer has read them
	zoneSync     zoneSync
	zonesOmitted int // evacuated availability zones that the last list had beyond the limit
}

// New opens the sockets of a balancer, or returns an Unavailable fault when an address is taken.
func New(config Config) (*Node, error) {
	ctx, stop := context.WithCancel(context.Background())
	n := &Node{
		client:      peer.NewClient(),
		clock:       clock.NewTicker(timerResolution),
		config:      config,
		configReads: newConfigReads(config.Address, config.ConfigDeadline, rand.Float64),
		ctx:         ctx,
		director: flows.NewDirector(flows.DirectorConfig{
			Admission:    config.Admission,
			FlowLifetime: config.FlowLifetime,
			LostAfter:    config.LostAfter,
			MaxQueueTime: maxQueueTime,
			Policy:       config.Policy,
			Self:         flows.EndpointOf(config.Address),
			Subset:       config.Subset,
			Zone:         flows.HashName(config.Zone),
		}),
		directory: member.NewDirectory(member.Config{
			Ignored: config.Ignored,
			Self:    member.Member{Address: config.Address, Role: member.RoleBalancer},
			Store:   config.Store,
		}),
		memberChecks: make(chan struct{}, 1),
		meter:        newMeter(config.Stats),
		peers:        newPeerSet(config.Address, config.Seeds),
		stop:         stop,
		zoneNames:    map[uint64]string{uint64(flows.HashName(config.Zone)): config.Zone},
	}
	n.zoneSync = newZoneSync(config.Address, config.ZoneDeadline, config.ConfigDeadline, rand.Float64, &n.director.Agents.Zones)
	n.guard = member.NewEntryGuard(member.EntryGuardConfig{
		Directory: n.directory,
		Log:       config.Log,
		Members:   n.memberCount,
		Store:     config.Store,
	})
	n.markedEra.Store(unmarked)
	n.memberReads = newSharedRead(ctx, listPause, n.directory.List)
	n.registerGauges(config.Stats)
	return n, n.open()
}

// AddSeeds adds balancers that were added to the settings after the start.
func (n *Node) AddSeeds(seeds []netip.AddrPort) {
	n.mu.Lock()
	for _, seed := range seeds {
		n.peers.add(seed)
	}
	n.mu.Unlock()
	n.sendDigests(seeds)
}

func (n *Node) open() error {
	var err error
	if n.front, err = udpio.Listen(n.config.Front); err != nil {
		return err
	}
	if n.socket, err = udpio.Listen(n.config.Address); err != nil {
		return err
	}
	n.socket.SetFilter(n.config.Filter)
	n.server, err = peer.NewServer(peer.ServerConfig{
		Address:  n.config.Address,
		Services: map[string]any{"Tuple": &RPCHandler{node: n}},
		Trust:    n.config.Trust,
	})
	return err
}

// Run serves until the context ends, then shuts down once the routers have stopped sending packets here.
func (n *Node) Run(ctx context.Context) {
	n.server.Start()
	n.clock.Start()
	go n.runFront()
	go n.runPeers()
	go n.runTimers()
	go n.runConfigWatch()
	go n.runConfigCheck()
	go n.runEntryChecks()
	go n.runMembers()
	go n.runPurge()
	n.config.Log.Info("Started.", logs.Fields{"address": n.config.Address.String()})
	<-ctx.Done()
	n.shutDown()
}

// Ready reports whether this balancer can place flows, is not cut off from the agents, and is not shutting down.
func (n *Node) Ready() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.shuttingDown.Load() && !n.cutOff.Load() && n.director.Ready()
}

// shutDown reports not ready, waits until the routers have noticed, and closes the sockets.
func (n *Node) shutDown() {
	n.shuttingDown.Store(true)
	n.config.Log.Info("Stopping.", nil)
	time.Sleep(shutdownDelay)
	n.stop()
	n.front.Close()
	n.socket.Close()
	n.server.Close()
	n.client.Close()
	n.clock.Stop()
	n.config.Log.Info("Stopped.", nil)
}
