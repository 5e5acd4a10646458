package flows

import (
	"encoding/binary"
	"slices"
	"time"
)

const (
	joinMissing         = 1
	reportWarming       = 1
	reportZoneEvacuated = 2
	reportRoom          = 4
	reportLimits        = 8
	// maxStatedRoom is the largest room that reports state: a larger one is no limit for a balancer before the next report.
	maxStatedRoom = 255
)

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
	LimitsKnown     bool          // the agent knows the limits of its service
	Listing         Listing
	MeanServiceTime time.Duration // mean service time of a request; zero when not known
	Room            int           // new flows that the agent accepts; only if RoomLimited
	RoomLimited     bool
	Service         NameHash
	Slots           int // requests that the backend server can run at once
	State           State
	Warming         bool // the backend server has just started and is still slow
	Zone            NameHash
	ZoneEvacuated   bool // the agent accepts no new flows, since its availability zone is evacuated
}

// Hello asks an agent for a report.
type Hello struct {
	Era uint64 // latest era of the store that the balancer knows
}

// Join asks an agent to register itself in the store again.
type Join struct {
	Missing bool // the agent is missing from a list of members; otherwise its entry may be marked for removal
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
	flags := flagBit(p.Warming, reportWarming) |
		flagBit(p.ZoneEvacuated, reportZoneEvacuated) |
		flagBit(p.RoomLimited, reportRoom) |
		flagBit(p.LimitsKnown, reportLimits)
	dst = append(dst, byte(KindReport), byte(p.State), flags, byte(p.Listing))
	dst = binary.BigEndian.AppendUint64(dst, uint64(p.Service))
	dst = binary.BigEndian.AppendUint64(dst, uint64(p.Zone))
	dst = binary.BigEndian.AppendUint16(dst, clampUint16(p.Busy))
	dst = binary.BigEndian.AppendUint16(dst, clampUint16(p.Flows))
	dst = binary.BigEndian.AppendUint16(dst, clampUint16(p.Slots))
	dst = binary.BigEndian.AppendUint16(dst, millisUint16(p.MeanServiceTime))
	dst = binary.BigEndian.AppendUint16(dst, millisUint16(p.Interval))
	if p.RoomLimited {
		dst = binary.BigEndian.AppendUint16(dst, clampUint16(p.Room))
	}
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
	flags := r.byte()
	p.Warming = flags&reportWarming != 0
	p.RoomLimited = flags&reportRoom != 0
	p.LimitsKnown = flags&reportLimits != 0
	p.ZoneEvacuated = flags&reportZoneEvacuated != 0
	p.Listing = Listing(r.byte())
	p.Service = NameHash(r.uint64())
	p.Zone = NameHash(r.uint64())
	p.Busy = int(r.uint16())
	p.Flows = int(r.uint16())
	p.Slots = int(r.uint16())
	p.MeanServiceTime = time.Duration(r.uint16()) * millisecond
	p.Interval = time.Duration(r.uint16()) * millisecond
	if p.RoomLimited {
		p.Room = int(r.uint16())
	}
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
