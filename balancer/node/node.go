package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cyclamendock/cyclamendock/balancer/relay"
	"github.com/cyclamendock/cyclamendock/lib/daemon"
	"github.com/cyclamendock/cyclamendock/lib/fault"
	"github.com/cyclamendock/cyclamendock/lib/fleet"
	"github.com/cyclamendock/cyclamendock/lib/link"
	"github.com/cyclamendock/cyclamendock/lib/logs"
	"github.com/cyclamendock/cyclamendock/lib/peer"
	"github.com/cyclamendock/cyclamendock/lib/ring"
	"github.com/cyclamendock/cyclamendock/lib/steer"
	"github.com/cyclamendock/cyclamendock/lib/trust"
)

const (
	controlDepth    = 4096 // datagrams
	platformSilence = 40 * time.Second
	stopLinger      = 500 * time.Millisecond
	timerResolution = 50 * time.Millisecond
)

// A Node is one balancer process.
type Node struct {
	daemon.Parts

	control  *ring.Ring[relay.Control]
	relay    *relay.Relay
	server   *peer.Server
	settings Settings
	socket   *link.Socket
	state    *State
	table    *steer.Table
}

// New opens the sockets of a balancer, or returns an Unavailable fault when an address is taken.
func New(settings Settings) (*Node, error) {
	n := &Node{
		control:  ring.New[relay.Control](controlDepth),
		settings: settings,
		table:    steer.NewTable(),
	}
	var err error
	if n.Parts, err = daemon.NewParts(daemon.PartsConfig{
		Healthy:         n.healthy,
		Name:            "balancer",
		Process:         settings.Process,
		TimerResolution: timerResolution,
	}); err != nil {
		return nil, err
	}
	n.state = newState(time.Now(), n.record(), rand.Uint64())
	return n, n.open()
}

// Run serves until the context ends, then lets the datagrams in flight pass.
func (n *Node) Run(ctx context.Context) {
	n.bootstrap()
	n.refresh(time.Now())
	n.relay.Start()
	n.server.Start()
	n.Clock.Start()
	go n.runControl()
	go n.runTimers()
	go n.runScribe()
	go n.runWatch()
	n.Log.Info("Started.", logs.Fields{"address": n.settings.Address.String(), "name": n.settings.Name})
	<-ctx.Done()
	n.leave()
}

func (n *Node) open() error {
	var err error
	if n.socket, err = link.Listen(n.settings.Address); err != nil {
		return err
	}
	if n.relay, err = relay.New(relay.Config{
		Back:        n.socket,
		Control:     n.control,
		Direct:      n.settings.Direct,
		Fabric:      trust.NewList(n.settings.FabricNetworks),
		Front:       n.settings.Front,
		MaxDatagram: n.settings.MaxDatagram,
		Stats:       n.Stats,
		Tracer:      n.Tracer,
		Trust:       n.Trust,
	}); err != nil {
		return err
	}
	if n.server, err = peer.NewServer(peer.ServerConfig{
		Address:  n.settings.Address,
		Services: map[string]any{"Fleet": &Fleet{node: n}},
		Trust:    n.Trust,
	}); err != nil {
		return err
	}
	n.registerGauges()
	return n.Stats.Start()
}

func (n *Node) record() fleet.Record {
	return fleet.Record{
		Address: n.settings.Address,
		Boot:    rand.Uint64(),
		Name:    n.settings.Name,
		Region:  n.settings.Region,
		Role:    fleet.RoleBalancer,
		State:   fleet.StateAlive,
		Weight:  1,
		Zone:    n.settings.AvailabilityZone,
	}
}

// leave tells the fleet that this balancer drains, waits for late datagrams and ends.
func (n *Node) leave() {
	n.Log.Info("Stopping.", nil)
	now := time.Now()
	n.state.locked(func() {
		n.state.lease.SetState(fleet.StateDraining)
		n.state.publishSelf(now)
	})
	n.sendRumors(now)
	time.Sleep(stopLinger)
	n.Stop()
	n.relay.Close()
	n.server.Close()
	n.socket.Close()
	n.control.Close()
	n.Parts.Close()
	n.Log.Info("Stopped.", nil)
}

// refresh gives the forwarding goroutines a new view when anything has changed.
func (n *Node) refresh(now time.Time) {
	n.state.mu.Lock()
	defer n.state.mu.Unlock()
	if !n.state.changed {
		return
	}
	n.state.changed = false
	view, err := buildView(now, n.table, n.state.holder.Current(), n.state.replica.Live(fleet.RoleAgent), n.state.suspects)
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

func (n *Node) healthy() error {
	var version uint64
	n.state.locked(func() { version = n.state.version() })
	if version == 0 {
		return fault.New(fault.Unavailable, "no configuration is in force", "apply a patch, or check the platform and the seeds")
	}
	return nil
}

func (n *Node) registerGauges() {
	n.Stats.Gauge("cyclamendock_config_version", func() float64 {
		var version uint64
		n.state.locked(func() { version = n.state.version() })
		return float64(version)
	})
	n.Stats.Gauge("cyclamendock_balancer_members", func() float64 {
		var members int
		n.state.locked(func() { members = len(n.state.memberAddresses()) })
		return float64(members)
	})
	n.Stats.Gauge("cyclamendock_balancer_control_dropped_total", func() float64 { return float64(n.control.Dropped()) })
}
