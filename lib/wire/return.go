package wire

import (
	"net/netip"

	"github.com/cyclamendock/cyclamendock/lib/proto"
)

// Return encapsulates an agent's datagram that a balancer sends to a caller.
type Return struct {
	Datagram      []byte
	ReturnAddress netip.AddrPort // address to which the balancer sends the datagram
	Service       uint16
}

// Field numbers of an encoded Return.
const (
	returnService = iota + 1
	returnAddress
	returnDatagram
)

// Append appends the encoded Return to dst.
func (r *Return) Append(dst []byte) []byte {
	dst = append(dst, byte(KindReturn))
	dst = proto.AppendVarint(dst, returnService, uint64(r.Service))
	dst = proto.AppendAddress(dst, returnAddress, r.ReturnAddress)
	return proto.AppendBytes(dst, returnDatagram, r.Datagram)
}

// Decode reads an encoded Return, whose bytes Datagram aliases, and reports false when it is malformed.
func (r *Return) Decode(b []byte) bool {
	*r = Return{}
	if KindOf(b) != KindReturn {
		return false
	}
	return proto.Decode(b[1:], r.setField) && r.ReturnAddress.IsValid() && len(r.Datagram) > 0
}

func (r *Return) setField(field proto.Field) bool {
	switch field.Number {
	case returnService:
		r.Service = uint16(field.Value)
	case returnAddress:
		r.ReturnAddress = proto.UnpackAddress(field.Value)
	case returnDatagram:
		r.Datagram = field.Bytes
	}
	return true
}
