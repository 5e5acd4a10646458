package tuple

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// The flag bits of a packet.
const (
	Ack     = 1
	Syn     = 2
	Fin     = 16
	Reset   = 32
	Bounced = 64 // returned by a backend server that does not hold the flow
)

const (
	headerSize     = 31 // bytes
	echoOffset     = 1
	checksumOffset = 5
	lengthOffset   = 9
)

// Packet is one packet of a flow.
type Packet struct {
	Ack      uint32 // sequence number of the next byte that the sender expects
	Checksum uint32
	Data     []byte
	Echo     uint32 // set by the agent; a bounced packet returns it
	Flags    byte
	From     netip.AddrPort
	Seq      uint32 // sequence number of the first byte of Data
	To       netip.AddrPort
}

// Encode returns the packet as a datagram with its checksum.
func (p Packet) Encode() []byte {
	b := make([]byte, headerSize, headerSize+len(p.Data))
	b[0] = p.Flags
	binary.LittleEndian.PutUint32(b[echoOffset:], p.Echo)
	binary.LittleEndian.PutUint16(b[lengthOffset:], uint16(len(p.Data)))
	binary.LittleEndian.PutUint32(b[11:], p.Seq)
	binary.LittleEndian.PutUint32(b[15:], p.Ack)
	putAddress(b[19:], p.To)
	putAddress(b[25:], p.From)
	b = append(b, p.Data...)
	binary.LittleEndian.PutUint32(b[checksumOffset:], checksum(b))
	return b
}

// Decode reads a datagram and reports false when its length or checksum is wrong. A reset that the system sends itself
// has no checksum.
func Decode(b []byte) (Packet, bool) {
	if len(b) < headerSize || int(binary.LittleEndian.Uint16(b[lengthOffset:])) != len(b)-headerSize {
		return Packet{}, false
	}
	p := Packet{
		Ack:      binary.LittleEndian.Uint32(b[15:]),
		Checksum: binary.LittleEndian.Uint32(b[checksumOffset:]),
		Data:     append([]byte(nil), b[headerSize:]...),
		Echo:     binary.LittleEndian.Uint32(b[echoOffset:]),
		Flags:    b[0],
		From:     getAddress(b[25:]),
		Seq:      binary.LittleEndian.Uint32(b[11:]),
		To:       getAddress(b[19:]),
	}
	systemReset := p.Flags == Reset && p.Checksum == 0 && len(p.Data) == 0
	return p, systemReset || p.Checksum == checksum(b)
}

// checksum covers everything that only the sender writes, so neither the echo nor the bounced flag; it is never zero.
func checksum(b []byte) uint32 {
	hash := xxhash.New()
	_, _ = hash.Write([]byte{b[0] &^ Bounced})
	_, _ = hash.Write(b[lengthOffset:])
	return uint32(hash.Sum64()) | 1
}

func putAddress(b []byte, address netip.AddrPort) {
	ip := address.Addr().As4()
	b[0], b[1], b[2], b[3] = ip[3], ip[2], ip[1], ip[0]
	binary.LittleEndian.PutUint16(b[4:], address.Port())
}

func getAddress(b []byte) netip.AddrPort {
	ip := netip.AddrFrom4([4]byte{b[3], b[2], b[1], b[0]})
	return netip.AddrPortFrom(ip, binary.LittleEndian.Uint16(b[4:]))
}
