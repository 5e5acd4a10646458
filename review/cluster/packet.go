package main

import (
	"encoding/binary"
	"hash/crc32"
	"net/netip"
)

// The flag bits of a packet, as PROTOCOL.md gives them.
const (
	flagAck     = 1
	flagSyn     = 2
	flagFin     = 16
	flagReset   = 32
	flagBounced = 64
)

const headerSize = 31 // bytes

// sumKey stands for the key that consumers and targets share.
var sumKey = []byte("the key of these stand-ins")

// packet is one datagram of a flow.
type packet struct {
	ack   uint32
	data  []byte
	dst   netip.AddrPort
	flags byte
	seq   uint32
	src   netip.AddrPort
	sum   uint32
}

// encode returns the datagram with its sum.
func (p packet) encode() []byte {
	b := make([]byte, headerSize, headerSize+len(p.data))
	b[0] = p.flags
	binary.LittleEndian.PutUint16(b[9:], uint16(len(p.data)))
	binary.LittleEndian.PutUint32(b[11:], p.seq)
	binary.LittleEndian.PutUint32(b[15:], p.ack)
	putAddress(b[19:], p.dst)
	putAddress(b[25:], p.src)
	b = append(b, p.data...)
	binary.LittleEndian.PutUint32(b[5:], sumOf(b))
	return b
}

// decode reads a datagram; sumOK tells whether it is as its sender wrote it.
func decode(b []byte) (p packet, sumOK, ok bool) {
	if len(b) < headerSize || int(binary.LittleEndian.Uint16(b[9:])) != len(b)-headerSize {
		return packet{}, false, false
	}
	p = packet{
		ack:   binary.LittleEndian.Uint32(b[15:]),
		data:  b[headerSize:],
		dst:   getAddress(b[19:]),
		flags: b[0],
		seq:   binary.LittleEndian.Uint32(b[11:]),
		src:   getAddress(b[25:]),
		sum:   binary.LittleEndian.Uint32(b[5:]),
	}
	return p, p.sum == sumOf(b), true
}

// sumOf returns the keyed sum over all fields but echo, sum and the bounced flag.
func sumOf(b []byte) uint32 {
	sum := crc32.NewIEEE()
	_, _ = sum.Write(sumKey)
	_, _ = sum.Write([]byte{b[0] &^ flagBounced})
	_, _ = sum.Write(b[9:])
	return sum.Sum32() | 1
}

func putAddress(b []byte, a netip.AddrPort) {
	ip := a.Addr().As4()
	b[0], b[1], b[2], b[3] = ip[3], ip[2], ip[1], ip[0]
	binary.LittleEndian.PutUint16(b[4:], a.Port())
}

func getAddress(b []byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{b[3], b[2], b[1], b[0]}), binary.LittleEndian.Uint16(b[4:]))
}
