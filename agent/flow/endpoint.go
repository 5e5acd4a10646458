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
	"github.com/cyclamendock/cyclamendock/lib/ring"
	"github.com/cyclamendock/cyclamendock/lib/stats"
	"github.com/cyclamendock/cyclamendock/lib/steer"
	"github.com/cyclamendock/cyclamendock/lib/trace"
	"github.com/cyclamendock/cyclamendock/lib/trust"
	"github.com/cyclamendock/cyclamendock/lib/udpio"
	"github.com/cyclamendock/cyclamendock/lib/wire"
)

const (
	idleTimeout        = 30 * time.Second
	initialPacketSize  = 1200 // bytes
	keepAlivePeriod    = 10 * time.Second
	maxPaths           = 1 << 16 // callers
	maxStreams         = 256     // per flow
	maxTrackedOpenings = 1 << 15 // new flows
)

// DropReason is the reason why a datagram was dropped; the empty DropReason means that it was not.
type DropReason string

const (
	// DropBusy means that the QUIC endpoint's queue was full.
	DropBusy DropReason = "endpointBusy"
	// DropForgedID means that the connection ID was not sealed with a known key.
	DropForgedID DropReason = "forgedId"
	// DropMalformed means that the datagram could not be decoded.
	DropMalformed DropReason = "malformed"
	// DropNoPath means that no balancer is known through which the caller can be reached.
	DropNoPath DropReason = "noPath"
	// DropOtherAgent means that the connection ID belongs to another agent.
	DropOtherAgent DropReason = "otherAgent"
	// DropUntrusted means that the sender's address is not trusted.
	DropUntrusted DropReason = "untrusted"
	// DropWrongService means that the connection ID or the new flow belongs to another service.
	DropWrongService DropReason = "wrongService"
)

// Control is a message of a balancer or another agent that contains no caller's datagram.
type Control struct {
	Datagram []byte
	From     netip.AddrPort
}

// Config configures an Endpoint.
type Config struct {
	Address     netip.AddrPort
	Control     *ring.Ring[Control] // receives the messages that contain no caller's datagram
	Incarnation uint16              // identifies this start of the agent in connection IDs
	Load        func() steer.Load
	Policy      steer.Policy
	Socket      *udpio.Socket
	Stats       *stats.Server
	TLS         *tls.Config
	Tracer      *trace.Tracer
	Trust       *trust.Allowlist
}

// Endpoint terminates the QUIC flows of one agent.
type Endpoint struct {
	config         Config
	conn           *packetConn
	firstIDs       map[netip.AddrPort][]byte // first destination connection ID of each caller's latest flow
	keyring        atomic.Pointer[connid.Keyring]
	listener       *quic.Listener
	mu             sync.Mutex // guards firstIDs, paths and placer
	paths          *steer.Paths
	placer         *steer.Placer
	rejectListener *rejectListener
	service        atomic.Uint32
	transport      *quic.Transport
}

// NewEndpoint returns an endpoint that accepts no flow before the first Configure, or an Invalid fault when its TLS
// configuration can't be used and an Internal one when there are no random bytes.
func NewEndpoint(config Config) (*Endpoint, error) {
	e := &Endpoint{
		config:   config,
		firstIDs: map[netip.AddrPort][]byte{},
		paths:    steer.NewPaths(maxPaths),
		placer:   steer.NewPlacer(steer.PlacerConfig{Capacity: maxTrackedOpenings, Policy: config.Policy, Self: config.Address}),
	}
	e.conn = newPacketConn(e, config.Address)
	var resetKey quic.StatelessResetKey
	if _, err := rand.Read(resetKey[:]); err != nil {
		return nil, fault.Wrap(err, fault.Internal, "no random bytes for a reset key", "check the host's random device")
	}
	e.transport = &quic.Transport{
		Conn: e.conn,
		ConnectionIDGenerator: &connIDGenerator{
			address:     config.Address,
			incarnation: config.Incarnation,
			keyring:     &e.keyring,
			service:     &e.service,
		},
		StatelessResetKey: &resetKey,
	}
	listener, err := e.transport.Listen(config.TLS, &quic.Config{
		InitialPacketSize:  initialPacketSize,
		KeepAlivePeriod:    keepAlivePeriod,
		MaxIdleTimeout:     idleTimeout,
		MaxIncomingStreams: maxStreams,
	})
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "the QUIC endpoint can't start", "check certificate and key")
	}
	e.listener = listener
	e.rejectListener, err = newRejectListener(e, config)
	return e, err
}

// Start reads datagrams in the background until Close.
func (e *Endpoint) Start() { go e.runReceive() }

// Accept returns the next flow, or an error once the endpoint is closed.
func (e *Endpoint) Accept(ctx context.Context) (*quic.Conn, error) { return e.listener.Accept(ctx) }

// Close ends every flow.
func (e *Endpoint) Close() {
	e.rejectListener.close()
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

// SetBalancers sets the live balancers through which datagrams to callers may be sent.
func (e *Endpoint) SetBalancers(balancers []netip.AddrPort) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.paths.SetBalancers(balancers)
}

// Sweep removes the paths of callers that have been silent for long, and all first connection IDs once there are more than
// maxTrackedOpenings.
func (e *Endpoint) Sweep(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.paths.Sweep(now)
	if len(e.firstIDs) > maxTrackedOpenings {
		clear(e.firstIDs)
	}
}

// FlowContext returns a context that continues the trace of the caller's latest new flow.
func (e *Endpoint) FlowContext(ctx context.Context, caller net.Addr) context.Context {
	udp, ok := caller.(*net.UDPAddr)
	if !ok {
		return ctx
	}
	e.mu.Lock()
	firstID := e.firstIDs[callerAddrPort(udp)]
	e.mu.Unlock()
	return trace.FlowContext(ctx, uint16(e.service.Load()), firstID)
}

// runReceive handles datagrams of balancers and other agents until the socket is closed.
func (e *Endpoint) runReceive() {
	reader := udpio.NewReader(e.config.Socket)
	writer := udpio.NewWriter(e.config.Socket)
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
				e.countDrop(reason)
			}
		}
		writer.Flush()
	}
}

// receive handles one datagram and returns why it was dropped, or an empty reason. Datagrams for other agents are added
// to the writer.
func (e *Endpoint) receive(now time.Time, b []byte, from netip.AddrPort, f *wire.Forward, writer *udpio.Writer) DropReason {
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
	if id, ok := keyring.Open(parsed.DestinationID); ok {
		return e.handleEstablished(now, id, f)
	}
	if parsed.Kind != header.Initial {
		return DropForgedID
	}
	return e.handleNewFlow(now, parsed.DestinationID, from, f, writer)
}

func (e *Endpoint) handleEstablished(now time.Time, id connid.ID, f *wire.Forward) DropReason {
	if id.Agent != e.config.Address {
		return DropOtherAgent
	}
	if id.Service != f.Service {
		return DropWrongService
	}
	return e.deliver(now, f, e.conn)
}

// handleNewFlow accepts a new flow, refuses it or forwards it to another agent.
func (e *Endpoint) handleNewFlow(now time.Time, firstID []byte, from netip.AddrPort, f *wire.Forward, writer *udpio.Writer) DropReason {
	key := steer.FlowKey{Caller: f.Caller, ConnectionID: string(firstID), Service: f.Service}
	e.mu.Lock()
	known := e.placer.Owns(key)
	outcome := e.placer.Place(now, key, from, e.config.Load(), f)
	if outcome.Action == steer.ActionAccept {
		e.firstIDs[f.Caller] = []byte(key.ConnectionID)
	}
	e.mu.Unlock()
	if !known {
		e.config.Stats.Counter("cyclamendock_agent_openings_total", "action", outcome.Action.String()).Inc()
	}
	switch outcome.Action {
	case steer.ActionForward:
		e.traceHandover(f, firstID, outcome.To)
		writer.Add(f.Append(writer.Buffer()), outcome.To)
		return ""
	case steer.ActionReject:
		return e.deliver(now, f, e.rejectListener.conn)
	default:
		return e.deliver(now, f, e.conn)
	}
}

// deliver records through which balancer the caller can be reached and queues its datagram for the QUIC library.
func (e *Endpoint) deliver(now time.Time, f *wire.Forward, conn *packetConn) DropReason {
	e.mu.Lock()
	e.paths.RecordDelivery(now, f.Caller, steer.Path{Balancer: f.Balancer, ReturnAddress: f.ReturnAddress})
	e.mu.Unlock()
	if !conn.enqueue(f.Caller, f.Datagram) {
		return DropBusy
	}
	return ""
}

// sendToCaller sends a datagram to a caller through a balancer.
func (e *Endpoint) sendToCaller(caller netip.AddrPort, payload []byte) {
	e.mu.Lock()
	path, ok := e.paths.Next(time.Now(), caller)
	e.mu.Unlock()
	if !ok {
		e.countDrop(DropNoPath)
		return
	}
	returned := wire.Return{Datagram: payload, ReturnAddress: path.ReturnAddress, Service: uint16(e.service.Load())}
	e.config.Socket.Send(returned.Append(make([]byte, 0, udpio.MaxDatagram)), path.Balancer)
}

func (e *Endpoint) traceHandover(f *wire.Forward, firstID []byte, to netip.AddrPort) {
	ctx := trace.FlowContext(context.Background(), f.Service, firstID)
	_, span := e.config.Tracer.Start(ctx, "hand over new flow", "caller", f.Caller.String(), "to", to.String())
	span.End()
}

func (e *Endpoint) countDrop(reason DropReason) {
	e.config.Stats.Counter("cyclamendock_agent_dropped_total", "reason", string(reason)).Inc()
}

func callerAddrPort(udp *net.UDPAddr) netip.AddrPort {
	address := udp.AddrPort()
	return netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
}
