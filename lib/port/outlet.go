package port

import (
	"net/netip"

	"github.com/cyclamendock/cyclamendock/lib/carry"
	"github.com/cyclamendock/cyclamendock/lib/link"
)

// An OutletConfig configures an Outlet.
type OutletConfig struct {
	CallerBatch  int    // maximum number of queued datagrams to callers
	CallerPort   uint16 // destination port of datagrams to callers
	CallerSocket *link.Socket
	Codec        carry.Codec
	PeerBatch    int // maximum number of queued datagrams to other processes
	PeerSocket   *link.Socket
}

// An Outlet queues datagrams to callers and to other processes for one goroutine; a full batch or Flush sends them.
type Outlet struct {
	callers *link.Writer
	config  OutletConfig
	peers   *link.Writer
}

// NewOutlet returns an outlet for use by one goroutine.
func NewOutlet(config OutletConfig) *Outlet {
	return &Outlet{
		callers: link.NewWriterSize(config.CallerSocket, config.CallerBatch),
		config:  config,
		peers:   link.NewWriterSize(config.PeerSocket, config.PeerBatch),
	}
}

// Caller queues a copy of a datagram for a caller.
func (o *Outlet) Caller(datagram []byte, caller carry.Endpoint) {
	o.callers.Add(append(o.callers.Buffer(), datagram...), o.callerAddress(caller))
}

// Forward queues a message to another process that contains a caller's or backend server's packet.
func (o *Outlet) Forward(f *carry.Forward, kind carry.MessageKind, to carry.Endpoint) {
	o.peers.Add(f.Append(o.peers.Buffer(), kind), to.AddrPort())
}

// Message queues a message to another process, which appendTo encodes.
func (o *Outlet) Message(appendTo func(dst []byte) []byte, to carry.Endpoint) {
	o.peers.Add(appendTo(o.peers.Buffer()), to.AddrPort())
}

// Reset queues a datagram that resets a flow at its caller.
func (o *Outlet) Reset(flow carry.Flow, seq uint32) {
	o.callers.Add(o.config.Codec.AppendReset(o.callers.Buffer(), flow, seq), o.callerAddress(flow.Caller))
}

// Flush sends the queued datagrams.
func (o *Outlet) Flush() {
	o.peers.Flush()
	o.callers.Flush()
}

func (o *Outlet) callerAddress(caller carry.Endpoint) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(caller.IP), o.config.CallerPort)
}
