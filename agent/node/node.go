package node

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"github.com/cyclamendock/cyclamendock/agent/flow"
	"github.com/cyclamendock/cyclamendock/agent/serve"
	"github.com/cyclamendock/cyclamendock/lib/admit"
	"github.com/cyclamendock/cyclamendock/lib/config"
	"github.com/cyclamendock/cyclamendock/lib/daemon"
	"github.com/cyclamendock/cyclamendock/lib/drain"
	"github.com/cyclamendock/cyclamendock/lib/fault"
	"github.com/cyclamendock/cyclamendock/lib/fleet"
	"github.com/cyclamendock/cyclamendock/lib/logs"
	"github.com/cyclamendock/cyclamendock/lib/peer"
	"github.com/cyclamendock/cyclamendock/lib/ring"
	"github.com/cyclamendock/cyclamendock/lib/steer"
	"github.com/cyclamendock/cyclamendock/lib/udpio"
)

const (
	controlQueueSize = 1024 // datagrams
	drainLinger      = time.Second
	timerResolution  = 20 * time.Millisecond
)

// Node is one agent process.
type Node struct {
	daemon.Components

	acceptsFlows       atomic.Bool // whether lease, drain and configuration allow new flows
	activeKey          uint8       // number of the key that seals connection IDs
	backend            *serve.Backend
	backendUnreachable atomic.Bool // no process listens at the backend server's address
	balancersFetched   time.Time   // last fetch of the list of balancers
	controlQueue       *ring.Ring[flow.Control]
	drain              *drain.StateMachine
	drained            chan struct{} // closed once the drain allows the process to exit
	endpoint           *flow.Endpoint
	executor           *serve.Executor
	flowCount          atomic.Int64
	handler            *serve.Handler
	httpServer         *http3.Server // serves the flows accepted since the last drain began
	lease              *fleet.Lease
	meanLoad           atomic.Uint32 // of the service's agents, in parts per million of capacity
	mu                 sync.Mutex    // guards activeKey, balancersFetched, drain, httpServer, lease, openFlows and replica
	openFlows          map[*quic.Conn]bool
	peerServer         *peer.Server
	replica            *config.Replica
	settings           Settings
	slots              *serve.Slots
	socket             *udpio.Socket
}

// New opens the sockets of an agent, or returns an Unavailable fault when an address is taken.
func New(settings Settings) (*Node, error) {
	n := &Node{
		controlQueue: ring.New[flow.Control](controlQueueSize),
		drain:        drain.NewStateMachine(drain.Config{FlowTimeout: settings.DrainLimit, Linger: drainLinger}),
		drained:      make(chan struct{}),
		lease:        fleet.NewLease(newRecord(settings)),
		openFlows:    map[*quic.Conn]bool{},
		replica:      &config.Replica{},
		settings:     settings,
		slots:        serve.NewSlots(time.Now()),
	}
	var err error
	if n.Components, err = daemon.NewComponents(daemon.ComponentsConfig{
		Healthy:         n.checkHealth,
		Name:            "agent",
		Settings:        settings.DaemonSettings,
		TimerResolution: timerResolution,
	}); err != nil {
		return nil, err
	}
	return n, n.build()
}

// Run serves until the context ends, then drains until every flow has ended or the drain limit is reached.
func (n *Node) Run(ctx context.Context) {
	n.bootstrap()
	n.endpoint.Start()
	n.peerServer.Start()
	n.Clock.Start()
	go n.runAccept()
	go n.runControl()
	go n.runTimers()
	go n.runProbe()
	n.Log.Info("Started.", logs.Fields{"address": n.settings.Address.String(), "name": n.settings.Name})
	<-ctx.Done()
	n.beginDrain(drain.CauseSignal)
	<-n.drained
	n.close()
}

func newRecord(settings Settings) fleet.Record {
	return fleet.Record{
		Address: settings.Address,
		BootID:  rand.Uint64(),
		Name:    settings.Name,
		Region:  settings.Region,
		Role:    fleet.RoleAgent,
		Service: settings.Service,
		State:   fleet.StateAlive,
		Weight:  settings.Weight,
		Zone:    settings.AvailabilityZone,
	}
}

func (n *Node) build() error {
	var err error
	if err := n.buildServing(); err != nil {
		return err
	}
	if n.peerServer, err = peer.NewServer(peer.ServerConfig{
		Address:  n.settings.Address,
		Services: map[string]any{"Agent": &serve.Agent{Executor: n.executor}},
		Trust:    n.Trust,
	}); err != nil {
		return err
	}
	if err := n.buildEndpoint(); err != nil {
		return err
	}
	n.registerGauges()
	return n.Stats.Start()
}

func (n *Node) buildServing() error {
	n.backend = serve.NewBackend(serve.BackendConfig{
		Address:    n.settings.BackendServer,
		HealthPath: n.settings.HealthPath,
		Tracer:     n.Tracer,
	})
	n.executor = serve.NewExecutor(serve.ExecutorConfig{
		Address: n.settings.Address,
		BootID:  n.lease.Self().BootID,
		Peers:   n.Peers,
	})
	n.handler = serve.NewHandler(serve.HandlerConfig{
		Backend:  n.backend,
		Executor: n.executor,
		Slots:    n.slots,
		Stats:    n.Stats,
		Tracer:   n.Tracer,
	})
	n.httpServer = n.newHTTPServer()
	return nil
}

func (n *Node) buildEndpoint() error {
	tlsConfig, err := serverTLS(n.settings)
	if err != nil {
		return err
	}
	if n.socket, err = udpio.Listen(n.settings.Address); err != nil {
		return err
	}
	n.endpoint, err = flow.NewEndpoint(flow.Config{
		Address:     n.settings.Address,
		Control:     n.controlQueue,
		Incarnation: uint16(n.lease.Self().BootID),
		Load:        n.currentLoad,
		Policy:      n.settings.Placement,
		Socket:      n.socket,
		Stats:       n.Stats,
		TLS:         tlsConfig,
		Tracer:      n.Tracer,
		Trust:       n.Trust,
	})
	return err
}

// currentLoad returns the agent's own load, steer.ClosedLoad if it accepts no new flows, and the mean load of its service.
func (n *Node) currentLoad() steer.Load {
	if !n.acceptsFlows.Load() || n.backendUnreachable.Load() {
		return steer.Load{Self: steer.ClosedLoad}
	}
	return steer.Load{Mean: n.meanLoad.Load(), Self: admit.Load(n.slots.Usage(int(n.flowCount.Load())))}
}

// updateAcceptsFlows recomputes whether the agent accepts new flows: with a valid lease and a configuration, and not
// while it drains.
func (n *Node) updateAcceptsFlows(now time.Time) {
	n.mu.Lock()
	accepts := n.lease.Valid(now) && !n.drain.Draining() && n.replica.Current().Version > 0
	n.mu.Unlock()
	n.acceptsFlows.Store(accepts)
}

// runAccept starts a goroutine for each new flow.
func (n *Node) runAccept() {
	for {
		conn, err := n.endpoint.Accept(n.Ctx)
		if err != nil {
			return
		}
		go n.runFlow(conn)
	}
}

// runFlow serves one flow until it ends.
func (n *Node) runFlow(conn *quic.Conn) {
	n.mu.Lock()
	n.openFlows[conn] = true
	server := n.httpServer
	n.mu.Unlock()
	n.flowCount.Add(1)
	n.slots.RecordNewFlow(time.Now())
	_ = server.ServeQUICConn(conn)
	cause := endCause(context.Cause(conn.Context()))
	n.Stats.Counter("cyclamendock_agent_flows_ended_total", "cause", cause).Inc()
	n.Log.Debug("Flow ended.", logs.Fields{"caller": conn.RemoteAddr().String(), "cause": cause})
	n.flowCount.Add(-1)
	n.mu.Lock()
	delete(n.openFlows, conn)
	n.mu.Unlock()
}

// endCause returns who closed a flow, the caller or this agent, or that it timed out or broke.
func endCause(err error) string {
	var closed *quic.ApplicationError
	var idle *quic.IdleTimeoutError
	switch {
	case errors.As(err, &closed) && closed.Remote:
		return "caller"
	case errors.As(err, &closed):
		return "agent"
	case errors.As(err, &idle):
		return "timeout"
	default:
		return "broken"
	}
}

func (n *Node) close() {
	n.Log.Info("Stopped.", nil)
	n.Stop()
	n.endpoint.Close()
	n.peerServer.Close()
	n.controlQueue.Close()
	n.Components.Close()
}

func (n *Node) checkHealth() error {
	if n.acceptsFlows.Load() && !n.backendUnreachable.Load() {
		return nil
	}
	return fault.New(fault.Unavailable, "this agent takes no new flows", "look in its log for a drain, a lost lease or an unreachable backend server")
}

func (n *Node) registerGauges() {
	n.Stats.Gauge("cyclamendock_config_version", func() float64 {
		n.mu.Lock()
		defer n.mu.Unlock()
		return float64(n.replica.Current().Version)
	})
	n.Stats.Gauge("cyclamendock_agent_flows", func() float64 { return float64(n.flowCount.Load()) })
	n.Stats.Gauge("cyclamendock_agent_load", func() float64 { return float64(n.currentLoad().Self) })
	n.Stats.Gauge("cyclamendock_agent_mean_load", func() float64 { return float64(n.meanLoad.Load()) })
	n.Stats.Gauge("cyclamendock_agent_speed", func() float64 { return float64(n.slots.Usage(0).Speed) / 1000 })
	n.Stats.Gauge("cyclamendock_agent_waiting", func() float64 { return float64(n.slots.Usage(0).Waiting) })
	n.Stats.Gauge("cyclamendock_agent_takes_flows", func() float64 {
		if n.acceptsFlows.Load() {
			return 1
		}
		return 0
	})
}

// handlerContext makes a flow's requests continue the trace of the new flow.
func (n *Node) handlerContext(ctx context.Context, conn *quic.Conn) context.Context {
	return n.endpoint.FlowContext(ctx, conn.RemoteAddr())
}

func (n *Node) newHTTPServer() *http3.Server {
	return &http3.Server{ConnContext: n.handlerContext, Handler: http.Handler(n.handler)}
}

func liveAddresses(records []fleet.Record) []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, record := range records {
		if record.State != fleet.StateDown {
			addresses = append(addresses, record.Address)
		}
	}
	return addresses
}
