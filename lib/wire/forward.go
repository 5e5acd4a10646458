package wire

import (
	"net/netip"

	"github.com/cyclamendock/cyclamendock/lib/fields"
)

// MaxCandidates is the greatest number of agents that a forward may name.
const MaxCandidates = 3

// A Phase tells an agent what is asked of it for a new flow.
type Phase uint8

const (
	// PhaseOffer asks the agent to take the flow or to hand it on.
	PhaseOffer Phase = iota
	// PhaseAsk asks the previous owner whether it has the flow.
	PhaseAsk
	// PhaseAnswer tells the asking agent that the previous owner does not have the flow.
	PhaseAnswer
	// PhaseFinal tells the agent that it was chosen.
	PhaseFinal
)

// A Forward is a caller's datagram on its way to an agent.
type Forward struct {
	Balancer   netip.AddrPort // the balancer that received the datagram
	Best       netip.AddrPort // the least utilised agent that has passed the flow on
	BestLoad   uint32         // parts per million of capacity
	Caller     netip.AddrPort
	Candidates []netip.AddrPort // agents that have not been offered the flow yet
	Datagram   []byte
	Hops       uint8
	Phase      Phase
	Previous   netip.AddrPort // the owner under the membership before the latest change
	Return     netip.AddrPort // where the balancer sends answers for the caller
	Service    uint16
}

const (
	forwardService = iota + 1
	forwardCaller
	forwardReturn
	forwardBalancer
	forwardCandidate
	forwardPrevious
	forwardBest
	forwardBestLoad
	forwardPhase
	forwardHops
	forwardDatagram
)

// Append appends the encoded datagram.
func (f *Forward) Append(dst []byte) []byte {
	dst = append(dst, byte(KindForward))
	dst = fields.AppendVarint(dst, forwardService, uint64(f.Service))
	dst = fields.AppendAddress(dst, forwardCaller, f.Caller)
	if f.Return != f.Caller {
		dst = fields.AppendAddress(dst, forwardReturn, f.Return)
	}
	dst = fields.AppendAddress(dst, forwardBalancer, f.Balancer)
	for _, candidate := range f.Candidates {
		dst = fields.AppendAddress(dst, forwardCandidate, candidate)
	}
	dst = fields.AppendAddress(dst, forwardPrevious, f.Previous)
	dst = fields.AppendAddress(dst, forwardBest, f.Best)
	dst = fields.AppendVarint(dst, forwardBestLoad, uint64(f.BestLoad))
	dst = fields.AppendVarint(dst, forwardPhase, uint64(f.Phase))
	dst = fields.AppendVarint(dst, forwardHops, uint64(f.Hops))
	return fields.AppendBytes(dst, forwardDatagram, f.Datagram)
}

// Decode reads an encoded datagram, which the result aliases, and reports false when it is malformed.
func (f *Forward) Decode(b []byte) bool {
	*f = Forward{Candidates: f.Candidates[:0]}
	if KindOf(b) != KindForward {
		return false
	}
	if !fields.Decode(b[1:], f.set) {
		return false
	}
	if !f.Return.IsValid() {
		f.Return = f.Caller
	}
	return f.Caller.IsValid() && len(f.Datagram) > 0
}

func (f *Forward) set(item fields.Field) bool {
	switch item.Number {
	case forwardService:
		f.Service = uint16(item.Value)
	case forwardCaller:
		f.Caller = fields.UnpackAddress(item.Value)
	case forwardReturn:
		f.Return = fields.UnpackAddress(item.Value)
	case forwardBalancer:
		f.Balancer = fields.UnpackAddress(item.Value)
	case forwardCandidate:
		if len(f.Candidates) == MaxCandidates {
			return false
		}
		f.Candidates = append(f.Candidates, fields.UnpackAddress(item.Value))
	case forwardPrevious:
		f.Previous = fields.UnpackAddress(item.Value)
	case forwardBest:
		f.Best = fields.UnpackAddress(item.Value)
	case forwardBestLoad:
		f.BestLoad = uint32(item.Value)
	case forwardPhase:
		f.Phase = Phase(item.Value)
	case forwardHops:
		f.Hops = uint8(item.Value)
	case forwardDatagram:
		f.Datagram = item.Bytes
	}
	return true
}
