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
	"github.com/cyclamendock/cyclamendock/lib/link"
	"github.com/cyclamendock/cyclamendock/lib/logs"
	"github.com/cyclamendock/cyclamendock/lib/peer"
	"github.com/cyclamendock/cyclamendock/lib/ring"
	"github.com/cyclamendock/cyclamendock/lib/steer"
)

const (
	controlDepth    = 1024 // datagrams
	drainLinger     = time.Second
	timerResolution = 20 * time.Millisecond
)

// A Node is one agent process.
type Node struct {
	daemon.Parts

	activeKey uint8 // with which connection IDs are sealed
	backend   *serve.Backend
	control   *ring.Ring[flow.Control]
	drain     *drain.Machine
	endpoint  *flow.Endpoint
	exited    chan struct{}
	fetched   time.Time // when the list of balancers was last fetched
	flows     atomic.Int64
	handler   *serve.Handler
	holder    *config.Holder
	http      *http3.Server
	lease     *fleet.Lease
	mean      atomic.Uint32 // load of the service
	mu        sync.Mutex    // guards activeKey, drain, fetched, holder, http, lease and open
	open      map[*quic.Conn]bool
	runs      *serve.Runs
	server    *peer.Server
	settings  Settings
	slots     *serve.Slots
	socket    *link.Socket
	takes     atomic.Bool // new flows
	unhealthy atomic.Bool // nobody listens at the backend server's address
}

// New opens the sockets of an agent, or returns an Unavailable fault when an address is taken.
func New(settings Settings) (*Node, error) {
	n := &Node{
		control:  ring.New[flow.Control](controlDepth),
		drain:    drain.NewMachine(drain.Config{FlowLimit: settings.DrainLimit, Linger: drainLinger}),
		exited:   make(chan struct{}),
		holder:   &config.Holder{},
		lease:    fleet.NewLease(recordOf(settings)),
		open:     map[*quic.Conn]bool{},
		settings: settings,
		slots:    serve.NewSlots(time.Now()),
	}
	var err error
	if n.Parts, err = daemon.NewParts(daemon.PartsConfig{
		Healthy:         n.healthy,
		Name:            "agent",
		Process:         settings.Process,
		TimerResolution: timerResolution,
	}); err != nil {
		return nil, err
	}
	return n, n.build()
}

// Run serves until the context ends and every flow has ended, or the drain's limit is reached.
func (n *Node) Run(ctx context.Context) {
	n.bootstrap()
	n.endpoint.Start()
	n.server.Start()
	n.Clock.Start()
	go n.runAccept()
	go n.runControl()
	go n.runTimers()
	go n.runProbe()
	n.Log.Info("Started.", logs.Fields{"address": n.settings.Address.String(), "name": n.settings.Name})
	<-ctx.Done()
	n.beginDrain(drain.CauseSignal)
	<-n.exited
	n.close()
}

func recordOf(settings Settings) fleet.Record {
	return fleet.Record{
		Address: settings.Address,
		Boot:    rand.Uint64(),
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
	if n.server, err = peer.NewServer(peer.ServerConfig{
		Address:  n.settings.Address,
		Services: map[string]any{"Agent": &serve.Agent{Runs: n.runs}},
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
	n.runs = serve.NewRuns(serve.RunsConfig{
		Address: n.settings.Address,
		Boot:    n.lease.Self().Boot,
		Calls:   n.Calls,
	})
	n.handler = serve.NewHandler(serve.HandlerConfig{
		Backend: n.backend,
		Runs:    n.runs,
		Slots:   n.slots,
		Stats:   n.Stats,
		Tracer:  n.Tracer,
	})
	n.http = n.newServer()
	return nil
}

func (n *Node) buildEndpoint() error {
	tlsConfig, err := serverTLS(n.settings)
	if err != nil {
		return err
	}
	if n.socket, err = link.Listen(n.settings.Address); err != nil {
		return err
	}
	n.endpoint, err = flow.NewEndpoint(flow.Config{
		Address:     n.settings.Address,
		Control:     n.control,
		Incarnation: uint16(n.lease.Self().Boot),
		Load:        n.load,
		Policy:      n.settings.Placement,
		Socket:      n.socket,
		Stats:       n.Stats,
		TLS:         tlsConfig,
		Tracer:      n.Tracer,
		Trust:       n.Trust,
	})
	return err
}

// load returns what the agent knows about its own load and its service's mean.
func (n *Node) load() steer.Load {
	if !n.takes.Load() || n.unhealthy.Load() {
		return steer.Load{Self: steer.Closed}
	}
	return steer.Load{Mean: n.mean.Load(), Self: admit.Load(n.slots.Usage(int(n.flows.Load())))}
}

// updateTakes works out whether new flows may come.
func (n *Node) updateTakes(now time.Time) {
	n.mu.Lock()
	takes := n.lease.Valid(now) && !n.drain.Draining() && n.holder.Current().Version > 0
	n.mu.Unlock()
	n.takes.Store(takes)
}

// runAccept serves each new flow.
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
	n.open[conn] = true
	server := n.http
	n.mu.Unlock()
	n.flows.Add(1)
	n.slots.Try(time.Now())
	_ = server.ServeQUICConn(conn)
	cause := endOf(context.Cause(conn.Context()))
	n.Stats.Counter("cyclamendock_agent_flows_ended_total", "cause", cause).Inc()
	n.Log.Debug("Flow ended.", logs.Fields{"caller": conn.RemoteAddr().String(), "cause": cause})
	n.flows.Add(-1)
	n.mu.Lock()
	delete(n.open, conn)
	n.mu.Unlock()
}

// endOf tells a flow that its caller or a drain closed from one that broke.
func endOf(err error) string {
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
	n.server.Close()
	n.control.Close()
	n.Parts.Close()
}

func (n *Node) healthy() error {
	if n.takes.Load() && !n.unhealthy.Load() {
		return nil
	}
	return fault.New(fault.Unavailable, "this agent takes no new flows", "see its log for a drain, a lost lease or a silent backend server")
}

func (n *Node) registerGauges() {
	n.Stats.Gauge("cyclamendock_config_version", func() float64 {
		n.mu.Lock()
		defer n.mu.Unlock()
		return float64(n.holder.Current().Version)
	})
	n.Stats.Gauge("cyclamendock_agent_flows", func() float64 { return float64(n.flows.Load()) })
	n.Stats.Gauge("cyclamendock_agent_load", func() float64 { return float64(n.load().Self) })
	n.Stats.Gauge("cyclamendock_agent_mean_load", func() float64 { return float64(n.mean.Load()) })
	n.Stats.Gauge("cyclamendock_agent_speed", func() float64 { return float64(n.slots.Usage(0).Speed) / 1000 })
	n.Stats.Gauge("cyclamendock_agent_waiting", func() float64 { return float64(n.slots.Usage(0).Waiting) })
	n.Stats.Gauge("cyclamendock_agent_takes_flows", func() float64 {
		if n.takes.Load() {
			return 1
		}
		return 0
	})
}

// handlerContext puts a flow's requests into the trace of its opening.
func (n *Node) handlerContext(ctx context.Context, conn *quic.Conn) context.Context {
	return n.endpoint.FlowContext(ctx, conn.RemoteAddr())
}

func (n *Node) newServer() *http3.Server {
	return &http3.Server{ConnContext: n.handlerContext, Handler: http.Handler(n.handler)}
}

func addressesOf(records []fleet.Record) []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, record := range records {
		if record.State != fleet.StateDown {
			addresses = append(addresses, record.Address)
		}
	}
	return addresses
}
