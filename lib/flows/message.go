package flows

import (
	"encoding/binary"
	"slices"
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
)

const (
	// maxAgentsPerMessage is the longest list of agents in a message.
	maxAgentsPerMessage = 16

	endpointSize = 6 // bytes
	millisecond  = time.Millisecond
)

// Forward is a caller's packet on its way to the agent that holds its flow or accepts it.
type Forward struct {
	Datagram      []byte
	Assigned      bool          // the new flow is queued by this agent, as others have longer queues
	Era           uint64        // latest era of the store that the balancer knows
	Final         bool          // the balancer refuses the new flow when the packet is returned, instead of trying other agents
	LatencyTarget time.Duration // target latency of the route
	Least         Endpoint      // agent in RejectedBy with the shortest queue, which queues the new flow; zero when none is known
	LeastLatency  time.Duration // time until that agent would be expected to answer
	Next          []Endpoint    // agents to forward the packet to if it is rejected, in order
	Origin        Endpoint      // balancer that forwarded the packet first
	Overloaded    bool          // an agent in RejectedBy was too busy for the new flow
	RejectedBy    []Endpoint    // agents that did not hold or accept the flow
	Service       NameHash
	Timeout       time.Duration // request timeout of the route
	Urgency       int           // urgency of the route, from -128 to 127
}

// Hello asks an agent for a report.
type Hello struct {
	Era uint64 // latest era of the store that the balancer knows
}

// Join asks an agent to register itself in the store again.
type Join struct {
	Missing bool // the agent is missing from a list of members; otherwise its entry may be marked for removal
}

// Owner tells a balancer that the sending agent holds a flow.
type Owner struct {
	Flow Flow
}

// State is the state of a backend server as seen by its agent.
type State uint8

// The states of a backend server.
const (
	// StateUnknown means that the backend server has not announced itself, or not for several intervals.
	StateUnknown State = iota
	// StateReady means that the backend server accepts new flows.
	StateReady
	// StateDraining means that the backend server only finishes the flows that it holds.
	StateDraining
	// StateGone means that the backend server has ended.
	StateGone
	// StateLeft means that the agent has ended for good, too.
	StateLeft
)

// String returns the state's name as it appears in logs.
func (s State) String() string {
	switch s {
	case StateReady:
		return "ready"
	case StateDraining:
		return "draining"
	case StateGone:
		return "gone"
	case StateLeft:
		return "left"
	default:
		return "unknown"
	}
}

// Listing tells whether an agent is on the list of members in the store.
type Listing uint8

// What an agent may know about its entry in the list of members.
const (
	// ListingConfirmed means that the agent has seen or made its entry.
	ListingConfirmed Listing = iota
	// ListingUnknown means that the agent has restarted and could not read the list yet.
	ListingUnknown
	// ListingAbsent means that the agent has removed its entry, has seen that there is none, or was told so.
	ListingAbsent
)

// Report tells a balancer the state and load of an agent.
type Report struct {
	Addresses       []Endpoint    // service addresses of all flows that the backend server may hold; only if AddressesKnown
	AddressesKnown  bool          // the agent knows all flows of its backend server, and Addresses is complete
	Busy            int           // requests in progress and queued
	Flows           int           // open flows
	Interval        time.Duration // longest time until the next report while the balancer keeps sending packets
	Listing         Listing
	MeanServiceTime time.Duration // mean service time of a request; zero when not known
	Service         NameHash
	Slots           int // requests that the backend server can run at once
	State           State
	Warming         bool // the backend server has just started and is still slow
	Zone            NameHash
}

// Digest summarises a balancer's configuration and members for comparison by another one.
type Digest struct {
	AgentsHeard   bool   // the sender hears agents
	Era           uint64 // latest era of the store that the sender knows
	FromStore     bool   // the sender has just read the version from the store
	IsReply       bool   // the digest replies to another one
	MembersHash   uint64 // hash of the members' addresses
	ReplyRequired bool   // the recipient replies even when nothing differs
	Version       uint64 // version of the configuration
}

// KindOf returns the kind of a message, or zero for an empty one.
func KindOf(message []byte) MessageKind {
	if len(message) == 0 {
		return 0
	}
	return MessageKind(message[0])
}

const (
	digestAgentsHeard   = 8
	digestReplyRequired = 4
	digestFromStore     = 2
	digestIsReply       = 1

	forwardOverloaded = 1
	forwardFinal      = 2
	forwardAssigned   = 4

	joinMissing = 1

	reportWarming = 1
)

// Append appends the encoded message of the given kind, KindForward or KindReturn.
func (f *Forward) Append(dst []byte, kind MessageKind) []byte {
	flags := flagBit(f.Overloaded, forwardOverloaded) | flagBit(f.Final, forwardFinal) | flagBit(f.Assigned, forwardAssigned)
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

// mayHold reports whether the backend server may hold a flow of a service address.
func (p Report) mayHold(address Endpoint) bool {
	return !p.AddressesKnown || slices.Contains(p.Addresses, address)
}

// holdsNone reports whether the backend server has ended and holds no flows, and gets none before another report.
func (p Report) holdsNone() bool {
	return p.State == StateGone && p.AddressesKnown && len(p.Addresses) == 0
}

// Append appends the encoded message.
func (p Report) Append(dst []byte) []byte {
	dst = append(dst, byte(KindReport), byte(p.State), flagBit(p.Warming, reportWarming), byte(p.Listing))
	dst = binary.BigEndian.AppendUint64(dst, uint64(p.Service))
	dst = binary.BigEndian.AppendUint64(dst, uint64(p.Zone))
	dst = binary.BigEndian.AppendUint16(dst, clampUint16(p.Busy))
	dst = binary.BigEndian.AppendUint16(dst, clampUint16(p.Flows))
	dst = binary.BigEndian.AppendUint16(dst, clampUint16(p.Slots))
	dst = binary.BigEndian.AppendUint16(dst, millisUint16(p.MeanServiceTime))
	dst = binary.BigEndian.AppendUint16(dst, millisUint16(p.Interval))
	if !p.AddressesKnown {
		return dst
	}
	return appendList(dst, p.Addresses)
}

// Decode decodes the message and reports whether it is well-formed.
func (p *Report) Decode(message []byte) bool {
	r := reader{rest: message}
	r.byte()
	p.State = State(r.byte())
	p.Warming = r.byte() == reportWarming
	p.Listing = Listing(r.byte())
	p.Service = NameHash(r.uint64())
	p.Zone = NameHash(r.uint64())
	p.Busy = int(r.uint16())
	p.Flows = int(r.uint16())
	p.Slots = int(r.uint16())
	p.MeanServiceTime = time.Duration(r.uint16()) * millisecond
	p.Interval = time.Duration(r.uint16()) * millisecond
	if p.AddressesKnown = len(r.rest) > 0; p.AddressesKnown {
		p.Addresses = r.list()
	}
	return !r.failed && p.State <= StateLeft && p.Listing <= ListingAbsent
}

// Append appends the encoded message.
func (h Hello) Append(dst []byte) []byte {
	return binary.AppendUvarint(append(dst, byte(KindHello)), h.Era)
}

// Decode decodes the message and reports whether it is well-formed.
func (h *Hello) Decode(message []byte) bool {
	r := reader{rest: message}
	r.byte()
	h.Era = r.uvarint()
	return !r.failed
}

// Append appends the encoded message.
func (j Join) Append(dst []byte) []byte {
	return append(dst, byte(KindJoin), flagBit(j.Missing, joinMissing))
}

// Decode decodes the message. One without flags comes from an earlier version, which sends it to missing agents too.
func (j *Join) Decode(message []byte) {
	j.Missing = len(message) < 2 || message[1]&joinMissing != 0
}

// Append appends the encoded message.
func (d Digest) Append(dst []byte) []byte {
	flags := flagBit(d.AgentsHeard, digestAgentsHeard) |
		flagBit(d.FromStore, digestFromStore) |
		flagBit(d.IsReply, digestIsReply) |
		flagBit(d.ReplyRequired, digestReplyRequired)
	dst = append(dst, byte(KindDigest), flags)
	dst = binary.BigEndian.AppendUint64(dst, d.Version)
	dst = binary.BigEndian.AppendUint64(dst, d.MembersHash)
	return binary.AppendUvarint(dst, d.Era)
}

// Decode decodes the message and reports whether it is well-formed.
func (d *Digest) Decode(message []byte) bool {
	r := reader{rest: message}
	r.byte()
	flags := r.byte()
	d.AgentsHeard = flags&digestAgentsHeard != 0
	d.FromStore = flags&digestFromStore != 0
	d.IsReply = flags&digestIsReply != 0
	d.ReplyRequired = flags&digestReplyRequired != 0
	d.Version = r.uint64()
	d.MembersHash = r.uint64()
	d.Era = r.uvarint()
	return !r.failed
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
