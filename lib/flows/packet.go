package flows

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

// Has reports whether all given bits are set.
func (f Flags) Has(bits Flags) bool { return f&bits == bits }

// Packet holds the decoded fields of one datagram of a flow.
type Packet struct {
	Ack         uint32
	Destination Endpoint
	Echo        uint32 // set by the agent and returned by the backend server in a bounced packet
	Failed      bool   // the data begins a response by which the backend server states that it has failed or refuses
	Flags       Flags
	Length      int           // bytes of data
	OpeningAge  time.Duration // time since the caller first sent this opening; zero when the packet does not state it
	Relayed     bool          // another balancer has relayed it, which can't deliver it
	RequestID   string        // ID of the request that starts in the data; empty when it can't be read
	Seq         uint32
	Source      Endpoint
}

// CallerFlow returns the flow of a packet that a caller sent.
func (p Packet) CallerFlow() Flow { return Flow{Caller: p.Source, Service: p.Destination} }

// ServerFlow returns the flow of a packet that a backend server sent.
func (p Packet) ServerFlow() Flow { return Flow{Caller: p.Destination, Service: p.Source} }

// IsOpening reports whether the packet opens a new flow.
func (p Packet) IsOpening() bool { return p.Flags.Has(FlagSyn) && !p.Flags.Has(FlagAck) }

// Codec decodes and edits datagrams in a platform's format.
type Codec interface {
	// AppendReset appends the datagram that resets a flow towards its caller.
	AppendReset(dst []byte, flow Flow, seq uint32) []byte
	// ClearBounced removes the backend server's mark from a bounced datagram, so that it is as its caller sent it.
	ClearBounced(datagram []byte)
	// Decode decodes a datagram and reports false when it is malformed.
	Decode(datagram []byte) (Packet, bool)
	// SetEcho sets the echo field of a well-formed datagram.
	SetEcho(datagram []byte, echo uint32)
}
