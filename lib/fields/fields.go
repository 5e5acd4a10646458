package fields

import (
	"net/netip"

	"google.golang.org/protobuf/encoding/protowire"
)

const (
	portBits = 16
	addrMask = 1<<48 - 1
)

// PackAddress returns an IPv4 address and port as one number, or zero for the zero value.
func PackAddress(address netip.AddrPort) uint64 {
	if !address.Addr().Is4() {
		return 0
	}
	b := address.Addr().As4()
	ip := uint64(b[0])<<24 | uint64(b[1])<<16 | uint64(b[2])<<8 | uint64(b[3])
	return ip<<portBits | uint64(address.Port())
}

// UnpackAddress is the inverse of PackAddress.
func UnpackAddress(packed uint64) netip.AddrPort {
	if packed == 0 || packed > addrMask {
		return netip.AddrPort{}
	}
	ip := packed >> portBits
	addr := netip.AddrFrom4([4]byte{byte(ip >> 24), byte(ip >> 16), byte(ip >> 8), byte(ip)})
	return netip.AddrPortFrom(addr, uint16(packed))
}

// A Field is one decoded protobuf field, whose number is zero at the end of the input.
type Field struct {
	Bytes  []byte
	Number protowire.Number
	Value  uint64
}

// Next consumes one field and reports false when the input is malformed.
func Next(b []byte) (Field, []byte, bool) {
	if len(b) == 0 {
		return Field{}, nil, true
	}
	number, kind, n := protowire.ConsumeTag(b)
	if n < 0 {
		return Field{}, nil, false
	}
	f := Field{Number: number}
	b = b[n:]
	switch kind {
	case protowire.VarintType:
		f.Value, n = protowire.ConsumeVarint(b)
	case protowire.Fixed64Type:
		f.Value, n = protowire.ConsumeFixed64(b)
	case protowire.BytesType:
		f.Bytes, n = protowire.ConsumeBytes(b)
	default:
		return Field{}, nil, false
	}
	if n < 0 {
		return Field{}, nil, false
	}
	return f, b[n:], true
}

// Decode calls set for each field and reports false when the input is malformed or set refuses a field.
func Decode(b []byte, set func(Field) bool) bool {
	for len(b) > 0 {
		f, rest, ok := Next(b)
		if !ok || !set(f) {
			return false
		}
		b = rest
	}
	return true
}

// AppendVarint appends a number unless it is zero.
func AppendVarint(dst []byte, number protowire.Number, value uint64) []byte {
	if value == 0 {
		return dst
	}
	dst = protowire.AppendTag(dst, number, protowire.VarintType)
	return protowire.AppendVarint(dst, value)
}

// AppendFixed appends a number as 8 bytes unless it is zero.
func AppendFixed(dst []byte, number protowire.Number, value uint64) []byte {
	if value == 0 {
		return dst
	}
	dst = protowire.AppendTag(dst, number, protowire.Fixed64Type)
	return protowire.AppendFixed64(dst, value)
}

// AppendBytes appends bytes unless there are none.
func AppendBytes(dst []byte, number protowire.Number, value []byte) []byte {
	if len(value) == 0 {
		return dst
	}
	dst = protowire.AppendTag(dst, number, protowire.BytesType)
	return protowire.AppendBytes(dst, value)
}

// AppendAddress appends an IPv4 address and port unless it is the zero value.
func AppendAddress(dst []byte, number protowire.Number, address netip.AddrPort) []byte {
	return AppendFixed(dst, number, PackAddress(address))
}
