package carry

import "time"

// Flags are the control bits of a packet.
type Flags uint8

// The control bits of a packet, in the order of this package and not of any wire format.
const (
	FlagAck Flags = 1 << iota
	FlagBounced
	FlagFin
	FlagReset
	FlagSyn
)

// Has reports whether every given bit is set.
func (f Flags) Has(bits Flags) bool { return f&bits == bits }

// A Packet is what the system reads of one datagram of a flow.
type Packet struct {
	Ack         uint32
	Age         time.Duration // of the opening packet that this one repeats, as far as its caller tells
	Destination Endpoint
	Echo        uint32 // opaque to the two ends; the agent's position in its table of deliveries
	Flags       Flags
	Length      int    // of the data, in bytes
	Request     string // ID of the request that begins in the data, when it can be read
	Seq         uint32
	Source      Endpoint
}

// FromCaller returns the flow of a packet that a caller sent.
func (p Packet) FromCaller() Flow { return Flow{Caller: p.Source, Service: p.Destination} }

// FromServer returns the flow of a packet that a backend server sent.
func (p Packet) FromServer() Flow { return Flow{Caller: p.Destination, Service: p.Source} }

// Opens reports whether the packet asks for a new flow.
func (p Packet) Opens() bool { return p.Flags.Has(FlagSyn) && !p.Flags.Has(FlagAck) }

// A Codec reads and edits datagrams in a platform's format.
type Codec interface {
	// AppendReset appends the datagram that resets a flow towards its caller.
	AppendReset(dst []byte, flow Flow, seq uint32) []byte
	// ClearBounced turns a returned datagram into what its sender wrote.
	ClearBounced(datagram []byte)
	// Decode reads a datagram and reports false when it is malformed.
	Decode(datagram []byte) (Packet, bool)
	// SetEcho writes the echo field of a well-formed datagram.
	SetEcho(datagram []byte, echo uint32)
}
