package flows

import (
	"encoding/binary"
	"time"
)

const (
	forwardOverloaded = 1
	forwardFinal      = 2
	forwardAssigned   = 4
	forwardRelayed    = 8
	forwardNoRoom     = 16
	forwardOnlyLimits = 32
	forwardConfined   = 64
	forwardSearched   = 128
)

// Forward is a caller's packet on its way to the agent that holds its flow or accepts it.
type Forward struct {
	Datagram      []byte
	Assigned      bool          // the new flow is queued by this agent, as others have longer queues
	Confined      bool          // no agent hands the new flow over to another one because of its load
	Era           uint64        // latest era of the store that the balancer knows
	Final         bool          // the balancer refuses the new flow when the packet is returned, instead of trying other agents
	LatencyTarget time.Duration // target latency of the route
	Least         Endpoint      // agent in RejectedBy with the shortest queue, which queues the new flow; zero when none is known
	LeastLatency  time.Duration // time until that agent would be expected to answer
	Next          []Endpoint    // agents to forward the packet to if it is rejected, in order
	NoRoom        bool          // an agent in RejectedBy had no room for the new flow
	OnlyLimits    bool          // no agent that is left has room, so that the new flow does not wait for a pace
	Origin        Endpoint      // balancer that forwarded the packet first
	Overloaded    bool          // an agent in RejectedBy was too busy for the new flow
	RejectedBy    []Endpoint    // agents that did not hold or accept the flow
	Relayed       bool          // another balancer has relayed the packet to Origin
	Searched      bool          // the balancer doesn't know which agent holds the flow, and is to be told
	Service       NameHash
	Timeout       time.Duration // request timeout of the route
	Urgency       int           // urgency of the route, from -128 to 127
}

// Owner tells a balancer that the sending agent holds a flow.
type Owner struct {
	Flow Flow
}

// Append appends the encoded message of the given kind, KindForward or KindReturn.
func (f *Forward) Append(dst []byte, kind MessageKind) []byte {
	flags := flagBit(f.Overloaded, forwardOverloaded) | flagBit(f.Final, forwardFinal) | flagBit(f.Assigned, forwardAssigned) |
		flagBit(f.Relayed, forwardRelayed) | flagBit(f.NoRoom, forwardNoRoom) | flagBit(f.OnlyLimits, forwardOnlyLimits) |
		flagBit(f.Confined, forwardConfined) | flagBit(f.Searched, forwardSearched)
	dst = append(dst, byte(kind), flags)
	dst = append(dst, byte(int8(max(-128, min(f.Urgency, 127)))))
	dst = binary.BigEndian.AppendUint64(dst, uint64(f.Service))
	dst = appendEndpoint(dst, f.Origin)
	dst = binary.BigEndian.AppendUint16(dst, millisUint16(f.LatencyTarget))
	dst = binary.BigEndian.AppendUint16(dst, millisUint16(f.Timeout))
	dst = appendEndpoint(dst, f.Least)
	dst = binary.BigEndian.AppendUint16(dst, millisUint16(f.LeastLatency))
	dst = appendList(dst, f.RejectedBy)
	dst = appendList(dst, f.Next)
	dst = binary.AppendUvarint(dst, f.Era)
	return append(dst, f.Datagram...)
}

// Decode decodes a message of kind KindForward or KindReturn, which Datagram then aliases, and reports whether it is
// well-formed.
func (f *Forward) Decode(message []byte) bool {
	r := reader{rest: message}
	r.byte()
	flags := r.byte()
	f.Overloaded = flags&forwardOverloaded != 0
	f.Final = flags&forwardFinal != 0
	f.Assigned = flags&forwardAssigned != 0
	f.Relayed = flags&forwardRelayed != 0
	f.NoRoom = flags&forwardNoRoom != 0
	f.OnlyLimits = flags&forwardOnlyLimits != 0
	f.Confined = flags&forwardConfined != 0
	f.Searched = flags&forwardSearched != 0
	f.Urgency = int(int8(r.byte()))
	f.Service = NameHash(r.uint64())
	f.Origin = r.endpoint()
	f.LatencyTarget = time.Duration(r.uint16()) * millisecond
	f.Timeout = time.Duration(r.uint16()) * millisecond
	f.Least = r.endpoint()
	f.LeastLatency = time.Duration(r.uint16()) * millisecond
	f.RejectedBy = r.list()
	f.Next = r.list()
	f.Era = r.uvarint()
	f.Datagram = r.rest
	return !r.failed && len(f.Datagram) > 0
}

// Append appends the encoded message.
func (o Owner) Append(dst []byte) []byte {
	dst = append(dst, byte(KindOwner))
	dst = appendEndpoint(dst, o.Flow.Caller)
	return appendEndpoint(dst, o.Flow.Service)
}

// Decode decodes the message and reports whether it is well-formed.
func (o *Owner) Decode(message []byte) bool {
	r := reader{rest: message}
	r.byte()
	o.Flow.Caller = r.endpoint()
	o.Flow.Service = r.endpoint()
	return !r.failed
}
