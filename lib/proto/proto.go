package proto

import (
	"net/netip"

	"google.golang.org/protobuf/encoding/protowire"
)

const (
	portBits         = 16
	maxPackedAddress = 1<<48 - 1 // 32 bits of IPv4 address and 16 bits of port
)

// PackAddress returns an IPv4 address and port as one 48-bit number, or zero for any other address.
func PackAddress(address netip.AddrPort) uint64 {
	if !address.Addr().Is4() {
		return 0
	}
	b := address.Addr().As4()
	ip := uint64(b[0])<<24 | uint64(b[1])<<16 | uint64(b[2])<<8 | uint64(b[3])
	return ip<<portBits | uint64(address.Port())
}

// UnpackAddress is the inverse of PackAddress and returns the zero value for numbers of more than 48 bits.
func UnpackAddress(packed uint64) netip.AddrPort {
	if packed == 0 || packed > maxPackedAddress {
		return netip.AddrPort{}
	}
	ip := packed >> portBits
	addr := netip.AddrFrom4([4]byte{byte(ip >> 24), byte(ip >> 16), byte(ip >> 8), byte(ip)})
	return netip.AddrPortFrom(addr, uint16(packed))
}

// Field is one decoded protobuf field; the number is zero at the end of the input.
type Field struct {
	Bytes  []byte           // content of a length-delimited field, aliases the input
	Number protowire.Number // field number
	Value  uint64           // value of a varint or fixed64 field
}

// Next decodes the first field, returns it with the remaining input, and reports false when the input is malformed.
func Next(b []byte) (Field, []byte, bool) {
	if len(b) == 0 {
		return Field{}, nil, true
	}
	number, wireType, length := protowire.ConsumeTag(b)
	if length < 0 {
		return Field{}, nil, false
	}
	field := Field{Number: number}
	b = b[length:]
	switch wireType {
	case protowire.VarintType:
		field.Value, length = protowire.ConsumeVarint(b)
	case protowire.Fixed64Type:
		field.Value, length = protowire.ConsumeFixed64(b)
	case protowire.BytesType:
		field.Bytes, length = protowire.ConsumeBytes(b)
	default:
		return Field{}, nil, false
	}
	if length < 0 {
		return Field{}, nil, false
	}
	return field, b[length:], true
}

// Decode calls set for each field and reports false when the input is malformed or set returns false.
func Decode(b []byte, set func(Field) bool) bool {
	for len(b) > 0 {
		field, rest, ok := Next(b)
		if !ok || !set(field) {
			return false
		}
		b = rest
	}
	return true
}

// AppendVarint appends a varint field unless the value is zero.
func AppendVarint(dst []byte, number protowire.Number, value uint64) []byte {
	if value == 0 {
		return dst
	}
	dst = protowire.AppendTag(dst, number, protowire.VarintType)
	return protowire.AppendVarint(dst, value)
}

// AppendFixed64 appends a fixed64 field unless the value is zero.
func AppendFixed64(dst []byte, number protowire.Number, value uint64) []byte {
	if value == 0 {
		return dst
	}
	dst = protowire.AppendTag(dst, number, protowire.Fixed64Type)
	return protowire.AppendFixed64(dst, value)
}

// AppendBytes appends a length-delimited field unless the value is empty.
func AppendBytes(dst []byte, number protowire.Number, value []byte) []byte {
	if len(value) == 0 {
		return dst
	}
	dst = protowire.AppendTag(dst, number, protowire.BytesType)
	return protowire.AppendBytes(dst, value)
}

// AppendAddress appends a fixed64 field with an IPv4 address and port unless the address is the zero value.
func AppendAddress(dst []byte, number protowire.Number, address netip.AddrPort) []byte {
	return AppendFixed64(dst, number, PackAddress(address))
}
