package netio

import (
	"net/netip"

	"github.com/cyclamendock/cyclamendock/lib/flows"
	"github.com/cyclamendock/cyclamendock/lib/udpio"
)

// SenderConfig configures a Sender.
type SenderConfig struct {
	CallerBatch  int    // maximum number of queued datagrams to callers
	CallerPort   uint16 // destination port of datagrams to callers
	CallerSocket *udpio.Socket
	Codec        flows.Codec
	PeerBatch    int // maximum number of queued datagrams to other processes
	PeerSocket   *udpio.Socket
}

// Sender queues datagrams to callers and to other processes for one goroutine; a full batch or Flush sends them.
type Sender struct {
	callers *udpio.Writer
	config  SenderConfig
	peers   *udpio.Writer
}

// NewSender returns a sender for use by one goroutine.
func NewSender(config SenderConfig) *Sender {
	return &Sender{
		callers: udpio.NewWriterSize(config.CallerSocket, config.CallerBatch),
		config:  config,
		peers:   udpio.NewWriterSize(config.PeerSocket, config.PeerBatch),
	}
}

// QueueToCaller queues a copy of a datagram for a caller.
func (s *Sender) QueueToCaller(datagram []byte, caller flows.Endpoint) {
	s.callers.Add(append(s.callers.Buffer(), datagram...), s.callerAddress(caller))
}

// QueueForward queues a message that forwards a caller's or backend server's packet to another process.
func (s *Sender) QueueForward(f *flows.Forward, kind flows.MessageKind, to flows.Endpoint) {
	s.peers.Add(f.Append(s.peers.Buffer(), kind), to.AddrPort())
}

// QueueMessage queues a message to another process, which appendTo encodes.
func (s *Sender) QueueMessage(appendTo func(dst []byte) []byte, to flows.Endpoint) {
	s.peers.Add(appendTo(s.peers.Buffer()), to.AddrPort())
}

// QueueReset queues a datagram that resets a flow at its caller.
func (s *Sender) QueueReset(flow flows.Flow, seq uint32) {
	s.callers.Add(s.config.Codec.AppendReset(s.callers.Buffer(), flow, seq), s.callerAddress(flow.Caller))
}

// Flush sends the queued datagrams.
func (s *Sender) Flush() {
	s.peers.Flush()
	s.callers.Flush()
}

func (s *Sender) callerAddress(caller flows.Endpoint) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(caller.IP), s.config.CallerPort)
}
