package carry

import (
	"encoding/binary"
	"time"
)

// A MessageKind is the first byte of a message between processes.
type MessageKind byte

// The messages between processes.
const (
	// KindForward carries a caller's packet to an agent.
	KindForward MessageKind = iota + 1
	// KindReturn carries it back to the balancer when every agent on its list has said no.
	KindReturn
	// KindOwner tells a balancer which agent holds a flow.
	KindOwner
	// KindReport tells a balancer the state and load of an agent.
	KindReport
	// KindHello asks an agent for a report.
	KindHello
	// KindJoin asks an agent to enter the members in the store again.
	KindJoin
	// KindDigest tells a balancer which configuration and members another one knows.
	KindDigest
)

const (
	// maxListed is how many agents one message names.
	maxListed = 16

	endpointSize = 6 // bytes
	millisecond  = time.Millisecond
)

// A Forward is a caller's packet on its way to the agent that holds or takes its flow.
type Forward struct {
	Aim      time.Duration // of the route
	Asked    []Endpoint    // agents that said no
	Datagram []byte
	Full     bool       // one of Asked said no to a new flow because it is busy
	Next     []Endpoint // agents to ask after this one
	Origin   Endpoint   // the balancer that began the search
	Service  ServiceID
	Last     bool          // no other agent is to be asked
	Timeout  time.Duration // of the route
	Urgency  int           // of the route, from -128 to 127
}

// An Owner tells which flow the sender holds.
type Owner struct {
	Flow Flow
}

// A State is what an agent knows of its backend server.
type State uint8

// The states of a backend server.
const (
	// StateUnknown means that it has not been heard since the agent started.
	StateUnknown State = iota
	// StateReady means that it takes new flows.
	StateReady
	// StateDraining means that it only finishes the flows that it holds.
	StateDraining
	// StateGone means that it has ended.
	StateGone
	// StateLeft means that its agent has ended for good, too.
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

// A Report is what an agent tells balancers about itself.
type Report struct {
	Busy    int           // requests in progress
	Every   time.Duration // at most until the next report, if the balancer goes on sending
	Flows   int           // open flows
	Pace    time.Duration // mean work of a request; zero when not known
	Service ServiceID
	Slots   int // requests that the backend server runs at once
	State   State
	Warming bool // the backend server has just started and is slow
	Zone    ServiceID
}

// A Digest tells what the sender knows.
type Digest struct {
	Ask     bool   // an answer is wanted also when nothing differs
	Fresh   bool   // the sender has just read the version from the store
	Members uint64 // hash of the known addresses
	Reply   bool   // answers a digest
	Version uint64 // of the configuration
}

// KindOf returns the kind of a message, or zero for an empty one.
func KindOf(message []byte) MessageKind {
	if len(message) == 0 {
		return 0
	}
	return MessageKind(message[0])
}

const (
	digestAsk   = 4
	digestFresh = 2
	digestReply = 1

	forwardFull = 1
	forwardLast = 2
)

// Append appends the message as the given kind, KindForward or KindReturn.
func (f *Forward) Append(dst []byte, kind MessageKind) []byte {
	dst = append(dst, byte(kind), flag(f.Full, forwardFull)|flag(f.Last, forwardLast))
	dst = append(dst, byte(int8(max(-128, min(f.Urgency, 127)))))
	dst = binary.BigEndian.AppendUint64(dst, uint64(f.Service))
	dst = appendEndpoint(dst, f.Origin)
	dst = binary.BigEndian.AppendUint16(dst, shortMillis(f.Aim))
	dst = binary.BigEndian.AppendUint16(dst, shortMillis(f.Timeout))
	dst = appendList(dst, f.Asked)
	dst = appendList(dst, f.Next)
	return append(dst, f.Datagram...)
}

// Decode reads a message of kind KindForward or KindReturn; Datagram aliases it.
func (f *Forward) Decode(message []byte) bool {
	r := reader{rest: message}
	r.byte()
	flags := r.byte()
	f.Full, f.Last = flags&forwardFull != 0, flags&forwardLast != 0
	f.Urgency = int(int8(r.byte()))
	f.Service = ServiceID(r.uint64())
	f.Origin = r.endpoint()
	f.Aim = time.Duration(r.uint16()) * millisecond
	f.Timeout = time.Duration(r.uint16()) * millisecond
	f.Asked = r.list()
	f.Next = r.list()
	f.Datagram = r.rest
	return !r.failed && len(f.Datagram) > 0
}

// Append appends the message.
func (o Owner) Append(dst []byte) []byte {
	dst = append(dst, byte(KindOwner))
	dst = appendEndpoint(dst, o.Flow.Caller)
	return appendEndpoint(dst, o.Flow.Service)
}

// Decode reads the message.
func (o *Owner) Decode(message []byte) bool {
	r := reader{rest: message}
	r.byte()
	o.Flow.Caller = r.endpoint()
	o.Flow.Service = r.endpoint()
	return !r.failed
}

// Append appends the message.
func (p Report) Append(dst []byte) []byte {
	dst = append(dst, byte(KindReport), byte(p.State), flag(p.Warming, 1))
	dst = binary.BigEndian.AppendUint64(dst, uint64(p.Service))
	dst = binary.BigEndian.AppendUint64(dst, uint64(p.Zone))
	dst = binary.BigEndian.AppendUint16(dst, clamp(p.Busy))
	dst = binary.BigEndian.AppendUint16(dst, clamp(p.Flows))
	dst = binary.BigEndian.AppendUint16(dst, clamp(p.Slots))
	dst = binary.BigEndian.AppendUint16(dst, shortMillis(p.Pace))
	return binary.BigEndian.AppendUint16(dst, shortMillis(p.Every))
}

// Decode reads the message.
func (p *Report) Decode(message []byte) bool {
	r := reader{rest: message}
	r.byte()
	p.State = State(r.byte())
	p.Warming = r.byte() != 0
	p.Service = ServiceID(r.uint64())
	p.Zone = ServiceID(r.uint64())
	p.Busy = int(r.uint16())
	p.Flows = int(r.uint16())
	p.Slots = int(r.uint16())
	p.Pace = time.Duration(r.uint16()) * millisecond
	p.Every = time.Duration(r.uint16()) * millisecond
	return !r.failed && p.State <= StateLeft
}

// AppendHello appends a message of kind KindHello.
func AppendHello(dst []byte) []byte { return append(dst, byte(KindHello)) }

// AppendJoin appends a message of kind KindJoin.
func AppendJoin(dst []byte) []byte { return append(dst, byte(KindJoin)) }

// Append appends the message.
func (d Digest) Append(dst []byte) []byte {
	dst = append(dst, byte(KindDigest), flag(d.Ask, digestAsk)|flag(d.Reply, digestReply)|flag(d.Fresh, digestFresh))
	dst = binary.BigEndian.AppendUint64(dst, d.Version)
	return binary.BigEndian.AppendUint64(dst, d.Members)
}

// Decode reads the message.
func (d *Digest) Decode(message []byte) bool {
	r := reader{rest: message}
	r.byte()
	flags := r.byte()
	d.Ask, d.Reply, d.Fresh = flags&digestAsk != 0, flags&digestReply != 0, flags&digestFresh != 0
	d.Version = r.uint64()
	d.Members = r.uint64()
	return !r.failed
}

func flag(set bool, bit byte) byte {
	if set {
		return bit
	}
	return 0
}

func clamp(n int) uint16 { return uint16(max(0, min(n, 1<<16-1))) }

func shortMillis(d time.Duration) uint16 { return clamp(int(d / millisecond)) }

func appendEndpoint(dst []byte, e Endpoint) []byte {
	dst = append(dst, e.IP[:]...)
	return binary.BigEndian.AppendUint16(dst, e.Port)
}

func appendList(dst []byte, list []Endpoint) []byte {
	if len(list) > maxListed {
		list = list[:maxListed]
	}
	dst = append(dst, byte(len(list)))
	for _, e := range list {
		dst = appendEndpoint(dst, e)
	}
	return dst
}

// A reader consumes a message and remembers whether it was too short.
type reader struct {
	failed bool
	rest   []byte
}

func (r *reader) take(n int) []byte {
	if len(r.rest) < n {
		r.failed = true
		r.rest = nil
		return nil
	}
	taken := r.rest[:n]
	r.rest = r.rest[n:]
	return taken
}

func (r *reader) byte() byte {
	if b := r.take(1); b != nil {
		return b[0]
	}
	return 0
}

func (r *reader) uint16() uint16 {
	if b := r.take(2); b != nil {
		return binary.BigEndian.Uint16(b)
	}
	return 0
}

func (r *reader) uint64() uint64 {
	if b := r.take(8); b != nil {
		return binary.BigEndian.Uint64(b)
	}
	return 0
}

func (r *reader) endpoint() Endpoint {
	b := r.take(endpointSize)
	if b == nil {
		return Endpoint{}
	}
	e := Endpoint{Port: binary.BigEndian.Uint16(b[4:])}
	copy(e.IP[:], b)
	return e
}

func (r *reader) list() []Endpoint {
	count := int(r.byte())
	if count > maxListed {
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
