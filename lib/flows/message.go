package flows

import (
	"encoding/binary"
	"time"
)

// MessageKind is the first byte of a message between processes.
type MessageKind byte

// The kinds of messages between processes.
const (
	// KindForward carries a caller's packet to an agent.
	KindForward MessageKind = iota + 1
	// KindReturn carries a caller's packet back to its balancer when every agent on its list has rejected it.
	KindReturn
	// KindOwner tells a balancer that the sending agent holds a flow.
	KindOwner
	// KindReport tells a balancer the state and load of an agent.
	KindReport
	// KindHello asks an agent for a report.
	KindHello
	// KindJoin asks an agent to register itself in the store again.
	KindJoin
	// KindDigest tells a balancer which configuration and members another balancer has.
	KindDigest
	// KindZones tells an agent whether its availability zone is evacuated.
	KindZones
	// KindLimits tells an agent the limits of its service.
	KindLimits
	// KindQuery asks a balancer which of some agents it hears.
	KindQuery
	// KindHeard answers KindQuery with the agents that are heard.
	KindHeard
	// KindRelay carries a caller's packet to a balancer that hears an agent which its sender doesn't hear.
	KindRelay
)

const (
	// maxAgentsPerMessage is the longest list of agents in a message.
	maxAgentsPerMessage = 16

	endpointSize = 6 // bytes
	millisecond  = time.Millisecond
)

// KindOf returns the kind of a message, or zero for an empty one.
func KindOf(message []byte) MessageKind {
	if len(message) == 0 {
		return 0
	}
	return MessageKind(message[0])
}

// flagBit returns bit if set is true, and zero otherwise.
func flagBit(set bool, bit byte) byte {
	if set {
		return bit
	}
	return 0
}

func clampUint16(n int) uint16 { return uint16(max(0, min(n, 1<<16-1))) }

func millisUint16(d time.Duration) uint16 { return clampUint16(int(d / millisecond)) }

func appendEndpoint(dst []byte, e Endpoint) []byte {
	dst = append(dst, e.IP[:]...)
	return binary.BigEndian.AppendUint16(dst, e.Port)
}

func appendList(dst []byte, list []Endpoint) []byte {
	if len(list) > maxAgentsPerMessage {
		list = list[:maxAgentsPerMessage]
	}
	dst = append(dst, byte(len(list)))
	for _, e := range list {
		dst = appendEndpoint(dst, e)
	}
	return dst
}

// reader decodes a message and records whether it was malformed.
type reader struct {
	failed bool
	rest   []byte
}

// next consumes and returns n bytes, or returns nil when fewer are left.
func (r *reader) next(n int) []byte {
	if len(r.rest) < n {
		r.failed = true
		r.rest = nil
		return nil
	}
	b := r.rest[:n]
	r.rest = r.rest[n:]
	return b
}

func (r *reader) byte() byte {
	if b := r.next(1); b != nil {
		return b[0]
	}
	return 0
}

func (r *reader) uint16() uint16 {
	if b := r.next(2); b != nil {
		return binary.BigEndian.Uint16(b)
	}
	return 0
}

func (r *reader) uint64() uint64 {
	if b := r.next(8); b != nil {
		return binary.BigEndian.Uint64(b)
	}
	return 0
}

func (r *reader) uvarint() uint64 {
	value, size := binary.Uvarint(r.rest)
	if r.failed || size <= 0 {
		r.failed = true
		return 0
	}
	r.next(size)
	return value
}

func (r *reader) endpoint() Endpoint {
	b := r.next(endpointSize)
	if b == nil {
		return Endpoint{}
	}
	e := Endpoint{Port: binary.BigEndian.Uint16(b[4:])}
	copy(e.IP[:], b)
	return e
}

func (r *reader) list() []Endpoint {
	count := int(r.byte())
	if count > maxAgentsPerMessage {
		r.failed = true
		return nil
	}
	if count == 0 {
		return nil
	}
	list := make([]Endpoint, 0, count)
	for range count {
		list = append(list, r.endpoint())
	}
	return list
}
