package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cyclamendock/cyclamendock/balancer/relay"
	"github.com/cyclamendock/cyclamendock/lib/daemon"
	"github.com/cyclamendock/cyclamendock/lib/fault"
	"github.com/cyclamendock/cyclamendock/lib/fleet"
	"github.com/cyclamendock/cyclamendock/lib/logs"
	"github.com/cyclamendock/cyclamendock/lib/peer"
	"github.com/cyclamendock/cyclamendock/lib/ring"
	"github.com/cyclamendock/cyclamendock/lib/steer"
	"github.com/cyclamendock/cyclamendock/lib/store"
	"github.com/cyclamendock/cyclamendock/lib/trust"
	"github.com/cyclamendock/cyclamendock/lib/udpio"
)

const (
	controlQueueSize = 4096                   // datagrams
	platformTimeout  = 40 * time.Second       // the platform counts as unreachable after this time without an answer
	shutdownDelay    = 500 * time.Millisecond // time in which datagrams in flight are still forwarded
	timerResolution  = 50 * time.Millisecond
)

// Node is one balancer process.
type Node struct {
	daemon.Components

	controlQueue     *ring.Ring[relay.Control] // messages of agents and other balancers
	eras             store.Eras                // used by runZoneSync
	peerServer       *peer.Server
	relay            *relay.Relay
	republishPending bool // the platform may lack the configuration in force; used by runZoneSync
	settings         Settings
	socket           *udpio.Socket // to agents and other balancers
	state            *State
	table            *steer.Table // table of the current view
}

// New opens the sockets of a balancer, or returns an Unavailable fault when an address is taken.
func New(settings Settings) (*Node, error) {
	n := &Node{
		controlQueue: ring.New[relay.Control](controlQueueSize),
		settings:     settings,
		table:        steer.NewTable(),
	}
	var err error
	if n.Components, err = daemon.NewComponents(daemon.ComponentsConfig{
		Healthy:         n.checkHealth,
		Name:            "balancer",
		Settings:        settings.DaemonSettings,
		TimerResolution: timerResolution,
	}); err != nil {
		return nil, err
	}
	n.state = newState(time.Now(), n.selfRecord(), rand.Uint64())
	return n, n.open()
}

// Run serves until the context ends, then shuts down after shutdownDelay, so that datagrams in flight are still forwarded.
func (n *Node) Run(ctx context.Context) {
	n.bootstrap()
	n.refreshView(time.Now())
	n.relay.Start()
	n.peerServer.Start()
	n.Clock.Start()
	go n.runControl()
	go n.runTimers()
	go n.runZoneSync()
	go n.runWatch()
	n.Log.Info("Started.", logs.Fields{"address": n.settings.Address.String(), "name": n.settings.Name})
	<-ctx.Done()
	n.shutDown()
}

func (n *Node) open() error {
	var err error
	if n.socket, err = udpio.Listen(n.settings.Address); err != nil {
		return err
	}
	if n.relay, err = relay.New(relay.Config{
		Back:        n.socket,
		Control:     n.controlQueue,
		Direct:      n.settings.Direct,
		Fabric:      trust.NewAllowlist(n.settings.FabricNetworks),
		Front:       n.settings.Front,
		MaxDatagram: n.settings.MaxDatagram,
		Stats:       n.Stats,
		Tracer:      n.Tracer,
		Trust:       n.Trust,
	}); err != nil {
		return err
	}
	if n.peerServer, err = peer.NewServer(peer.ServerConfig{
		Address:  n.settings.Address,
		Services: map[string]any{"Fleet": &Fleet{node: n}},
		Trust:    n.Trust,
	}); err != nil {
		return err
	}
	n.registerGauges()
	return n.Stats.Start()
}

func (n *Node) selfRecord() fleet.Record {
	return fleet.Record{
		Address: n.settings.Address,
		BootID:  rand.Uint64(),
		Name:    n.settings.Name,
		Region:  n.settings.Region,
		Role:    fleet.RoleBalancer,
		State:   fleet.StateAlive,
		Weight:  1,
		Zone:    n.settings.AvailabilityZone,
	}
}

// shutDown announces to the other members that this balancer drains, waits for late datagrams and closes the sockets.
func (n *Node) shutDown() {
	n.Log.Info("Stopping.", nil)
	now := time.Now()
	n.state.withLock(func() {
		n.state.lease.SetState(fleet.StateDraining)
		n.state.publishSelf(now)
	})
	n.sendGossip(now)
	time.Sleep(shutdownDelay)
	n.Stop()
	n.relay.Close()
	n.peerServer.Close()
	n.socket.Close()
	n.controlQueue.Close()
	n.Components.Close()
	n.Log.Info("Stopped.", nil)
}

// refreshView builds a new view for the forwarding goroutines when the current one is stale.
func (n *Node) refreshView(now time.Time) {
	n.state.mu.Lock()
	defer n.state.mu.Unlock()
	if !n.state.viewStale {
		return
	}
	n.state.viewStale = false
	view, err := buildView(now, n.table, n.state.configReplica.Current(), n.state.memberReplica.Live(fleet.RoleAgent), n.state.suspects)
	if err != nil {
		n.Log.Error("The configuration can't be used.", err, nil)
		return
	}
	n.table = view.Table
	n.Trust.SetMembers(n.state.memberAddresses())
	if err := n.relay.SetView(view); err != nil {
		n.Log.Error("A service address can't be used.", err, nil)
	}
}

func (n *Node) checkHealth() error {
	var version uint64
	n.state.withLock(func() { version = n.state.version() })
	if version == 0 {
		return fault.New(fault.Unavailable, "no configuration is in force", "apply a patch, or check the platform and the seeds")
	}
	return nil
}

func (n *Node) registerGauges() {
	n.Stats.Gauge("cyclamendock_config_version", func() float64 {
		var version uint64
		n.state.withLock(func() { version = n.state.version() })
		return float64(version)
	})
	n.Stats.Gauge("cyclamendock_balancer_members", func() float64 {
		var members int
		n.state.withLock(func() { members = len(n.state.memberAddresses()) })
		return float64(members)
	})
	n.Stats.Gauge("cyclamendock_balancer_control_dropped_total", func() float64 { return float64(n.controlQueue.Dropped()) })
}
