package port

import (
	"net/netip"

	"github.com/cyclamendock/cyclamendock/lib/carry"
	"github.com/cyclamendock/cyclamendock/lib/link"
)

// An OutletConfig holds what an Outlet needs.
type OutletConfig struct {
	CallerBatch  int // datagrams to callers that are queued
	CallerPort   uint16
	CallerSocket *link.Socket
	Codec        carry.Codec
	PeerBatch    int // datagrams to processes that are queued
	PeerSocket   *link.Socket
}

// An Outlet is one goroutine's way to other processes and to callers; datagrams leave with Flush.
type Outlet struct {
	callers *link.Writer
	config  OutletConfig
	peers   *link.Writer
}

// NewOutlet returns an outlet, of which each goroutine needs its own.
func NewOutlet(config OutletConfig) *Outlet {
	return &Outlet{
		callers: link.NewWriterSize(config.CallerSocket, config.CallerBatch),
		config:  config,
		peers:   link.NewWriterSize(config.PeerSocket, config.PeerBatch),
	}
}

// Caller queues a copy of a datagram for a caller.
func (o *Outlet) Caller(datagram []byte, caller carry.Endpoint) {
	o.callers.Add(append(o.callers.Buffer(), datagram...), o.address(caller))
}

// Forward queues a message that carries a packet.
func (o *Outlet) Forward(f *carry.Forward, kind carry.MessageKind, to carry.Endpoint) {
	o.peers.Add(f.Append(o.peers.Buffer(), kind), to.AddrPort())
}

// Message queues a message that append writes.
func (o *Outlet) Message(appendTo func(dst []byte) []byte, to carry.Endpoint) {
	o.peers.Add(appendTo(o.peers.Buffer()), to.AddrPort())
}

// Reset queues the reset of a flow for its caller.
func (o *Outlet) Reset(flow carry.Flow, seq uint32) {
	o.callers.Add(o.config.Codec.AppendReset(o.callers.Buffer(), flow, seq), o.address(flow.Caller))
}

// Flush sends what is queued.
func (o *Outlet) Flush() {
	o.peers.Flush()
	o.callers.Flush()
}

func (o *Outlet) address(caller carry.Endpoint) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(caller.IP), o.config.CallerPort)
}
