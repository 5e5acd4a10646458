package header

import "encoding/binary"

// Kind is the type of a packet as far as balancers distinguish it.
type Kind int

const (
	// Malformed is a packet that is too short or whose connection ID is too long.
	Malformed Kind = iota
	// Initial is a packet that may open a flow; it is assumed for unknown QUIC versions.
	Initial
	// EarlyData is a 0-RTT packet.
	EarlyData
	// Handshake is any other packet with a long header.
	Handshake
	// Short is a packet with a short header, which belongs to an established flow.
	Short
)

const (
	// MinInitialSize is the minimum size in bytes of a datagram that opens a flow.
	MinInitialSize = 1200

	longHeaderBit        = 0x80
	maxIDLength          = 20   // in bytes, in versions 1 and 2
	typeMask             = 0x30 // packet type in the first byte of a long header
	typeInitial          = 0x00
	typeZeroRTT          = 0x10
	versionOne           = 0x00000001
	versionTwo           = 0x6b3343cf
	versionTwoTypeOffset = 0x10 // version 2 adds one to the packet types of version 1
)

// Header is the parsed part of a packet header.
type Header struct {
	DestinationID []byte // destination connection ID, aliases the datagram
	Kind          Kind
}

// Parse parses the first packet of a datagram; a connection ID in a short header has the given length in bytes.
func Parse(datagram []byte, idLength int) Header {
	if len(datagram) == 0 {
		return Header{}
	}
	if datagram[0]&longHeaderBit == 0 {
		return parseShort(datagram, idLength)
	}
	return parseLong(datagram)
}

func parseShort(datagram []byte, idLength int) Header {
	if len(datagram) < 1+idLength {
		return Header{}
	}
	return Header{DestinationID: datagram[1 : 1+idLength], Kind: Short}
}

func parseLong(datagram []byte) Header {
	const fixedLength = 6 // first byte, version, length of the connection ID
	if len(datagram) < fixedLength {
		return Header{}
	}
	version := binary.BigEndian.Uint32(datagram[1:5])
	idLength := int(datagram[5])
	if idLength > maxIDLength || len(datagram) < fixedLength+idLength {
		return Header{}
	}
	kind := longHeaderKind(datagram[0], version)
	return Header{DestinationID: datagram[fixedLength : fixedLength+idLength], Kind: kind}
}

func longHeaderKind(first byte, version uint32) Kind {
	packetType := first & typeMask
	if version == versionTwo {
		packetType = (packetType - versionTwoTypeOffset) & typeMask
	}
	if version != versionOne && version != versionTwo {
		return Initial
	}
	switch packetType {
	case typeInitial:
		return Initial
	case typeZeroRTT:
		return EarlyData
	default:
		return Handshake
	}
}
