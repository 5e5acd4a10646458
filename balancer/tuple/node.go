package tuple

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cyclamendock/cyclamendock/lib/carry"
	"github.com/cyclamendock/cyclamendock/lib/clock"
	"github.com/cyclamendock/cyclamendock/lib/link"
	"github.com/cyclamendock/cyclamendock/lib/logs"
	"github.com/cyclamendock/cyclamendock/lib/member"
	"github.com/cyclamendock/cyclamendock/lib/peer"
	"github.com/cyclamendock/cyclamendock/lib/port"
	"github.com/cyclamendock/cyclamendock/lib/stats"
	"github.com/cyclamendock/cyclamendock/lib/store"
	"github.com/cyclamendock/cyclamendock/lib/trust"
)

const (
	frontBatch      = 32 // datagrams
	peerBatch       = 32 // datagrams
	timerBatch      = 8  // datagrams
	timerResolution = 25 * time.Millisecond
)

// A Config holds what a Node needs.
type Config struct {
	Address      netip.AddrPort // for messages and calls between processes
	CallerPort   uint16         // to which packets for callers are sent
	Codec        carry.Codec
	ConfigKey    string // of the configuration in the store
	FlowLifetime time.Duration
	Front        netip.AddrPort // for callers' packets
	Ignored      *port.Ignored
	Log          *logs.Logger
	LostAfter    time.Duration // see carry.DirectorConfig
	First        bool          // no process has run before
	Policy       carry.Policy
	Routes       func(value []byte) (carry.Routes, error)
	Seeds        []netip.AddrPort // processes that may know the members
	Stats        *stats.Server
	Store        store.Store
	Trust        *trust.List
	Zone         string
}

// A Node is one balancer process.
type Node struct {
	config    Config
	calls     *peer.Client
	checked   time.Time // last time that a balancer is known to have read the configuration
	clock     *clock.Service
	ctx       context.Context
	director  *carry.Director
	directory *member.Directory
	front     *link.Socket
	leaving   atomic.Bool
	meter     *meter
	mu        sync.Mutex // guards checked, director, peers, pulling and raw
	peers     *peers
	poll      poll
	pulling   bool
	raw       []byte // the configuration as it lies in the store
	server    *peer.Server
	socket    *link.Socket
	stop      context.CancelFunc
	wakeList  chan struct{}
}

// New opens the sockets of a balancer, or returns an Unavailable fault when an address is taken.
func New(config Config) (*Node, error) {
	ctx, stop := context.WithCancel(context.Background())
	n := &Node{
		config: config,
		calls:  peer.NewClient(),
		clock:  clock.NewService(timerResolution),
		ctx:    ctx,
		director: carry.NewDirector(carry.DirectorConfig{
			FlowLifetime: config.FlowLifetime,
			HoldLimit:    holdLimit,
			LostAfter:    config.LostAfter,
			Policy:       config.Policy,
			Self:         carry.EndpointOf(config.Address),
			Zone:         carry.ServiceIDOf(config.Zone),
		}),
		directory: member.NewDirectory(member.Config{
			Ignored: config.Ignored,
			Self:    member.Member{Address: config.Address, Role: member.RoleBalancer},
			Store:   config.Store,
		}),
		meter:    newMeter(config.Stats),
		peers:    newPeers(config.Address, config.Seeds),
		stop:     stop,
		wakeList: make(chan struct{}, 1),
	}
	n.registerGauges(config.Stats)
	return n, n.open()
}

// AddSeeds makes balancers known that the settings have named since.
func (n *Node) AddSeeds(seeds []netip.AddrPort) {
	n.mu.Lock()
	for _, seed := range seeds {
		n.peers.add(seed)
	}
	n.mu.Unlock()
	n.sendDigests(seeds, false)
}

func (n *Node) open() error {
	var err error
	if n.front, err = link.Listen(n.config.Front); err != nil {
		return err
	}
	if n.socket, err = link.Listen(n.config.Address); err != nil {
		return err
	}
	n.server, err = peer.NewServer(peer.ServerConfig{
		Address:  n.config.Address,
		Services: map[string]any{"Tuple": &Calls{node: n}},
		Trust:    n.config.Trust,
	})
	return err
}

// Run serves until the context ends, then lets the routers turn away first.
func (n *Node) Run(ctx context.Context) {
	n.server.Start()
	n.clock.Start()
	go n.runFront()
	go n.runPeers()
	go n.runTimers()
	go n.runConfig()
	go n.runCheck()
	go n.runMembers()
	n.config.Log.Info("Started.", logs.Fields{"address": n.config.Address.String()})
	<-ctx.Done()
	n.leave()
}

// Ready reports whether this balancer can place flows and stays.
func (n *Node) Ready() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.leaving.Load() && n.director.Ready()
}

// leave is not ready any more, and ends once the routers have noticed.
func (n *Node) leave() {
	n.leaving.Store(true)
	n.config.Log.Info("Stopping.", nil)
	time.Sleep(leaveLinger)
	n.stop()
	n.front.Close()
	n.socket.Close()
	n.server.Close()
	n.calls.Close()
	n.clock.Stop()
	n.config.Log.Info("Stopped.", nil)
}
