package flow

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/cyclamendock/cyclamendock/lib/connid"
	"github.com/cyclamendock/cyclamendock/lib/fault"
	"github.com/cyclamendock/cyclamendock/lib/header"
	"github.com/cyclamendock/cyclamendock/lib/link"
	"github.com/cyclamendock/cyclamendock/lib/ring"
	"github.com/cyclamendock/cyclamendock/lib/stats"
	"github.com/cyclamendock/cyclamendock/lib/steer"
	"github.com/cyclamendock/cyclamendock/lib/trace"
	"github.com/cyclamendock/cyclamendock/lib/trust"
	"github.com/cyclamendock/cyclamendock/lib/wire"
)

const (
	idleTimeout   = 30 * time.Second
	initialSize   = 1200 // bytes
	keepAlive     = 10 * time.Second
	maxStreams    = 256
	openingMemory = 1 << 15 // new flows
	pathMemory    = 1 << 16 // callers
)

// A Drop tells why a datagram was discarded.
type Drop string

const (
	// DropBusy is a datagram that the QUIC endpoint had no room for.
	DropBusy Drop = "endpointBusy"
	// DropForgedID is a connection ID that no key here has sealed.
	DropForgedID Drop = "forgedId"
	// DropMalformed is a datagram that can't be read.
	DropMalformed Drop = "malformed"
	// DropNoPath is an answer to a caller whose path is not known.
	DropNoPath Drop = "noPath"
	// DropOtherAgent is a connection ID of another agent.
	DropOtherAgent Drop = "otherAgent"
	// DropUntrusted is a datagram from an address that is not trusted.
	DropUntrusted Drop = "untrusted"
	// DropWrongService is a connection ID or a new flow of another service.
	DropWrongService Drop = "wrongService"
)

// A Control is a datagram between processes that is not a caller's.
type Control struct {
	Datagram []byte
	From     netip.AddrPort
}

// A Config holds what an Endpoint needs.
type Config struct {
	Address     netip.AddrPort
	Control     *ring.Ring[Control]
	Incarnation uint16
	Load        func() steer.Load
	Policy      steer.Policy
	Socket      *link.Socket
	Stats       *stats.Server
	TLS         *tls.Config
	Tracer      *trace.Tracer
	Trust       *trust.List
}

// An Endpoint ends the QUIC flows of one agent.
type Endpoint struct {
	config    Config
	conn      *packetConn
	firstIDs  map[netip.AddrPort][]byte // of the latest new flow of each caller
	keyring   atomic.Pointer[connid.Keyring]
	listener  *quic.Listener
	mu        sync.Mutex // guards firstIDs, paths and placer
	paths     *steer.Paths
	placer    *steer.Placer
	refuser   *refuser
	service   atomic.Uint32
	transport *quic.Transport
}

// NewEndpoint returns an endpoint that takes no flow before its first configuration.
func NewEndpoint(config Config) (*Endpoint, error) {
	e := &Endpoint{
		config:   config,
		firstIDs: map[netip.AddrPort][]byte{},
		paths:    steer.NewPaths(pathMemory),
		placer:   steer.NewPlacer(steer.PlacerConfig{Capacity: openingMemory, Policy: config.Policy, Self: config.Address}),
	}
	e.conn = newPacketConn(e, config.Address)
	var resetKey quic.StatelessResetKey
	if _, err := rand.Read(resetKey[:]); err != nil {
		return nil, fault.Wrap(err, fault.Internal, "no randomness for a reset key", "check the host's random device")
	}
	e.transport = &quic.Transport{
		Conn: e.conn,
		ConnectionIDGenerator: &generator{
			address:     config.Address,
			incarnation: config.Incarnation,
			keyring:     &e.keyring,
			service:     &e.service,
		},
		StatelessResetKey: &resetKey,
	}
	listener, err := e.transport.Listen(config.TLS, &quic.Config{
		InitialPacketSize:  initialSize,
		KeepAlivePeriod:    keepAlive,
		MaxIdleTimeout:     idleTimeout,
		MaxIncomingStreams: maxStreams,
	})
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "the QUIC endpoint can't start", "check certificate and key")
	}
	e.listener = listener
	e.refuser, err = newRefuser(e, config)
	return e, err
}

// Start reads datagrams until Close.
func (e *Endpoint) Start() { go e.run() }

// Accept returns the next flow, or an error once the endpoint is closed.
func (e *Endpoint) Accept(ctx context.Context) (*quic.Conn, error) { return e.listener.Accept(ctx) }

// Close ends every flow.
func (e *Endpoint) Close() {
	e.refuser.close()
	_ = e.listener.Close()
	_ = e.transport.Close()
	_ = e.conn.Close()
	e.config.Socket.Close()
}

// Configure sets the service that the agent belongs to and the keys of connection IDs.
func (e *Endpoint) Configure(service uint16, keyring *connid.Keyring) {
	e.service.Store(uint32(service))
	e.keyring.Store(keyring)
}

// SetBalancers sets the live balancers through which answers may go.
func (e *Endpoint) SetBalancers(balancers []netip.AddrPort) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.paths.SetBalancers(balancers)
}

// Sweep forgets callers that have been silent for long.
func (e *Endpoint) Sweep(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.paths.Sweep(now)
	if len(e.firstIDs) > openingMemory {
		clear(e.firstIDs)
	}
}

// FlowContext returns a context in the trace of the flow's opening.
func (e *Endpoint) FlowContext(ctx context.Context, caller net.Addr) context.Context {
	udp, ok := caller.(*net.UDPAddr)
	if !ok {
		return ctx
	}
	e.mu.Lock()
	firstID := e.firstIDs[unmapped(udp)]
	e.mu.Unlock()
	return trace.Flow(ctx, uint16(e.service.Load()), firstID)
}

// run takes datagrams of balancers and other agents.
func (e *Endpoint) run() {
	reader := link.NewReader(e.config.Socket)
	writer := link.NewWriter(e.config.Socket)
	var forward wire.Forward
	for {
		count, err := reader.Read()
		if err != nil {
			return
		}
		now := time.Now()
		for i := range count {
			reason := e.receive(now, reader.Datagram(i), reader.From(i), &forward, writer)
			if reason != "" {
				e.drop(reason)
			}
		}
		writer.Flush()
	}
}

func (e *Endpoint) receive(now time.Time, b []byte, from netip.AddrPort, f *wire.Forward, writer *link.Writer) Drop {
	if !e.config.Trust.Allows(from.Addr()) {
		return DropUntrusted
	}
	if wire.KindOf(b) != wire.KindForward {
		e.config.Control.Push(Control{Datagram: append([]byte(nil), b...), From: from})
		return ""
	}
	if !f.Decode(b) {
		return DropMalformed
	}
	keyring := e.keyring.Load()
	if keyring == nil || f.Service != uint16(e.service.Load()) {
		return DropWrongService
	}
	parsed := header.Parse(f.Datagram, connid.Length)
	if id, ok := keyring.Open(parsed.Destination); ok {
		return e.established(now, id, f)
	}
	if parsed.Kind != header.Initial {
		return DropForgedID
	}
	return e.opening(now, parsed.Destination, from, f, writer)
}

func (e *Endpoint) established(now time.Time, id connid.ID, f *wire.Forward) Drop {
	if id.Agent != e.config.Address {
		return DropOtherAgent
	}
	if id.Service != f.Service {
		return DropWrongService
	}
	return e.deliver(now, f, e.conn)
}

func (e *Endpoint) opening(now time.Time, firstID []byte, from netip.AddrPort, f *wire.Forward, writer *link.Writer) Drop {
	key := steer.Key{Caller: f.Caller, ID: string(firstID), Service: f.Service}
	e.mu.Lock()
	known := e.placer.Owned(key)
	outcome := e.placer.Place(now, key, from, e.config.Load(), f)
	if outcome.Action == steer.Take {
		e.firstIDs[f.Caller] = []byte(key.ID)
	}
	e.mu.Unlock()
	if !known {
		e.config.Stats.Counter("cyclamendock_agent_openings_total", "action", outcome.Action.String()).Inc()
	}
	switch outcome.Action {
	case steer.Pass:
		e.traceHandOver(f, firstID, outcome.To)
		writer.Add(f.Append(writer.Buffer()), outcome.To)
		return ""
	case steer.Refuse:
		return e.deliver(now, f, e.refuser.conn)
	default:
		return e.deliver(now, f, e.conn)
	}
}

func (e *Endpoint) deliver(now time.Time, f *wire.Forward, conn *packetConn) Drop {
	e.mu.Lock()
	e.paths.Seen(now, f.Caller, steer.Path{Balancer: f.Balancer, Return: f.Return})
	e.mu.Unlock()
	if !conn.push(f.Caller, f.Datagram) {
		return DropBusy
	}
	return ""
}

// reply sends a datagram to a caller through a balancer.
func (e *Endpoint) reply(caller netip.AddrPort, payload []byte) {
	e.mu.Lock()
	path, ok := e.paths.Pick(time.Now(), caller)
	e.mu.Unlock()
	if !ok {
		e.drop(DropNoPath)
		return
	}
	returned := wire.Return{Datagram: payload, Return: path.Return, Service: uint16(e.service.Load())}
	e.config.Socket.Send(returned.Append(make([]byte, 0, link.MaxDatagram)), path.Balancer)
}

func (e *Endpoint) traceHandOver(f *wire.Forward, firstID []byte, to netip.AddrPort) {
	ctx := trace.Flow(context.Background(), f.Service, firstID)
	_, span := e.config.Tracer.Start(ctx, "hand over new flow", "caller", f.Caller.String(), "to", to.String())
	span.End()
}

func (e *Endpoint) drop(reason Drop) {
	e.config.Stats.Counter("cyclamendock_agent_dropped_total", "reason", string(reason)).Inc()
}

func unmapped(udp *net.UDPAddr) netip.AddrPort {
	address := udp.AddrPort()
	return netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
}
