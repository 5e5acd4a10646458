package wire

import (
	"net/netip"

	"github.com/cyclamendock/cyclamendock/lib/fields"
)

// A Return is an agent's datagram on its way to a caller.
type Return struct {
	Datagram []byte
	Return   netip.AddrPort
	Service  uint16
}

const (
	returnService = iota + 1
	returnAddress
	returnDatagram
)

// Append appends the encoded datagram.
func (r *Return) Append(dst []byte) []byte {
	dst = append(dst, byte(KindReturn))
	dst = fields.AppendVarint(dst, returnService, uint64(r.Service))
	dst = fields.AppendAddress(dst, returnAddress, r.Return)
	return fields.AppendBytes(dst, returnDatagram, r.Datagram)
}

// Decode reads an encoded datagram, which the result aliases, and reports false when it is malformed.
func (r *Return) Decode(b []byte) bool {
	*r = Return{}
	if KindOf(b) != KindReturn {
		return false
	}
	return fields.Decode(b[1:], r.set) && r.Return.IsValid() && len(r.Datagram) > 0
}

func (r *Return) set(item fields.Field) bool {
	switch item.Number {
	case returnService:
		r.Service = uint16(item.Value)
	case returnAddress:
		r.Return = fields.UnpackAddress(item.Value)
	case returnDatagram:
		r.Datagram = item.Bytes
	}
	return true
}
