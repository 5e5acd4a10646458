package wire

import (
	"net/netip"

	"github.com/cyclamendock/cyclamendock/lib/proto"
)

// MaxCandidates is the maximum number of candidates in a Forward.
const MaxCandidates = 3

// Phase is the step of placing a new flow that a Forward requests from the receiving agent.
type Phase uint8

const (
	// PhaseOffer asks the agent to accept the flow or to forward it.
	PhaseOffer Phase = iota
	// PhaseOwnerQuery asks the previous owner whether it owns the flow.
	PhaseOwnerQuery
	// PhaseOwnerReply replies to a PhaseOwnerQuery that the previous owner does not own the flow.
	PhaseOwnerReply
	// PhaseAssign assigns the flow to the agent.
	PhaseAssign
)

// Forward encapsulates a caller's datagram for an agent.
type Forward struct {
	Balancer      netip.AddrPort // balancer that received the datagram
	Best          netip.AddrPort // least loaded agent so far that could accept the flow but forwarded it
	BestLoad      uint32         // load of Best, in parts per million of capacity
	Caller        netip.AddrPort
	Candidates    []netip.AddrPort // remaining candidates, the receiver included
	Datagram      []byte
	Hops          uint8 // number of agents that the datagram has reached
	Phase         Phase
	PreviousOwner netip.AddrPort // owner of the flow before a recent membership change
	ReturnAddress netip.AddrPort // address to which the balancer sends datagrams for the caller
	Service       uint16
}

// Field numbers of an encoded Forward.
const (
	forwardService = iota + 1
	forwardCaller
	forwardReturnAddress
	forwardBalancer
	forwardCandidate
	forwardPreviousOwner
	forwardBest
	forwardBestLoad
	forwardPhase
	forwardHops
	forwardDatagram
)

// Append appends the encoded Forward to dst.
func (f *Forward) Append(dst []byte) []byte {
	dst = append(dst, byte(KindForward))
	dst = proto.AppendVarint(dst, forwardService, uint64(f.Service))
	dst = proto.AppendAddress(dst, forwardCaller, f.Caller)
	if f.ReturnAddress != f.Caller {
		dst = proto.AppendAddress(dst, forwardReturnAddress, f.ReturnAddress)
	}
	dst = proto.AppendAddress(dst, forwardBalancer, f.Balancer)
	for _, candidate := range f.Candidates {
		dst = proto.AppendAddress(dst, forwardCandidate, candidate)
	}
	dst = proto.AppendAddress(dst, forwardPreviousOwner, f.PreviousOwner)
	dst = proto.AppendAddress(dst, forwardBest, f.Best)
	dst = proto.AppendVarint(dst, forwardBestLoad, uint64(f.BestLoad))
	dst = proto.AppendVarint(dst, forwardPhase, uint64(f.Phase))
	dst = proto.AppendVarint(dst, forwardHops, uint64(f.Hops))
	return proto.AppendBytes(dst, forwardDatagram, f.Datagram)
}

// Decode reads an encoded Forward, whose bytes Datagram aliases, and reports false when it is malformed.
func (f *Forward) Decode(b []byte) bool {
	*f = Forward{Candidates: f.Candidates[:0]}
	if KindOf(b) != KindForward {
		return false
	}
	if !proto.Decode(b[1:], f.setField) {
		return false
	}
	if !f.ReturnAddress.IsValid() {
		f.ReturnAddress = f.Caller
	}
	return f.Caller.IsValid() && len(f.Datagram) > 0
}

func (f *Forward) setField(field proto.Field) bool {
	switch field.Number {
	case forwardService:
		f.Service = uint16(field.Value)
	case forwardCaller:
		f.Caller = proto.UnpackAddress(field.Value)
	case forwardReturnAddress:
		f.ReturnAddress = proto.UnpackAddress(field.Value)
	case forwardBalancer:
		f.Balancer = proto.UnpackAddress(field.Value)
	case forwardCandidate:
		if len(f.Candidates) == MaxCandidates {
			return false
		}
		f.Candidates = append(f.Candidates, proto.UnpackAddress(field.Value))
	case forwardPreviousOwner:
		f.PreviousOwner = proto.UnpackAddress(field.Value)
	case forwardBest:
		f.Best = proto.UnpackAddress(field.Value)
	case forwardBestLoad:
		f.BestLoad = uint32(field.Value)
	case forwardPhase:
		f.Phase = Phase(field.Value)
	case forwardHops:
		f.Hops = uint8(field.Value)
	case forwardDatagram:
		f.Datagram = field.Bytes
	}
	return true
}
