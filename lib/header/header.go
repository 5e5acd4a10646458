package header

import "encoding/binary"

// A Kind tells how a balancer must treat a packet.
type Kind int

const (
	// Malformed is a packet too short or too strange to be read.
	Malformed Kind = iota
	// Initial is a packet that may open a flow.
	Initial
	// EarlyData is a 0-RTT packet.
	EarlyData
	// Handshake is any other packet with a long header.
	Handshake
	// Short is a packet of an established flow.
	Short
)

const (
	// MinInitial is the least size in bytes of a datagram that opens a flow.
	MinInitial = 1200

	longForm     = 0x80
	maxIDLength  = 20
	typeMask     = 0x30
	typeInitial  = 0x00
	typeEarly    = 0x10
	versionOne   = 0x00000001
	versionTwo   = 0x6b3343cf
	versionShift = 0x10
)

// A Header is the part of a packet that a balancer reads.
type Header struct {
	Destination []byte
	Kind        Kind
}

// Parse reads a datagram whose short headers carry connection IDs of the given length in bytes.
func Parse(datagram []byte, idLength int) Header {
	if len(datagram) == 0 {
		return Header{}
	}
	if datagram[0]&longForm == 0 {
		return parseShort(datagram, idLength)
	}
	return parseLong(datagram)
}

func parseShort(datagram []byte, idLength int) Header {
	if len(datagram) < 1+idLength {
		return Header{}
	}
	return Header{Destination: datagram[1 : 1+idLength], Kind: Short}
}

func parseLong(datagram []byte) Header {
	const fixed = 6
	if len(datagram) < fixed {
		return Header{}
	}
	version := binary.BigEndian.Uint32(datagram[1:5])
	length := int(datagram[5])
	if length > maxIDLength || len(datagram) < fixed+length {
		return Header{}
	}
	kind := longKind(datagram[0], version)
	return Header{Destination: datagram[fixed : fixed+length], Kind: kind}
}

func longKind(first byte, version uint32) Kind {
	bits := first & typeMask
	if version == versionTwo {
		bits = (bits - versionShift) & typeMask
	}
	if version != versionOne && version != versionTwo {
		return Initial
	}
	switch bits {
	case typeInitial:
		return Initial
	case typeEarly:
		return EarlyData
	default:
		return Handshake
	}
}
