package main

import (
	"encoding/binary"
	"fmt"
	"net/netip"
)

// The flags and the size of the header, as PROTOCOL.md gives them.
const (
	flagAck     = 1
	flagSyn     = 2
	flagFin     = 16
	flagRst     = 32
	flagBounced = 64
	headSize    = 31
	maxData     = 1200
)

type packet struct {
	flags    byte
	echo     uint32
	sum      uint32
	seq, ack uint32
	src, dst netip.AddrPort
	data     []byte
}

func (p packet) encode() []byte {
	b := make([]byte, headSize, headSize+len(p.data))
	b[0] = p.flags
	le := binary.LittleEndian
	le.PutUint32(b[1:], p.echo)
	le.PutUint32(b[5:], p.sum)
	le.PutUint16(b[9:], uint16(len(p.data)))
	le.PutUint32(b[11:], p.seq)
	le.PutUint32(b[15:], p.ack)
	putAddr(b[19:], p.dst)
	putAddr(b[25:], p.src)
	return append(b, p.data...)
}

func putAddr(b []byte, a netip.AddrPort) {
	ip := a.Addr().As4()
	b[0], b[1], b[2], b[3] = ip[3], ip[2], ip[1], ip[0]
	binary.LittleEndian.PutUint16(b[4:], a.Port())
}

func getAddr(b []byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{b[3], b[2], b[1], b[0]}), binary.LittleEndian.Uint16(b[4:]))
}

func decode(b []byte) (packet, bool) {
	le := binary.LittleEndian
	if len(b) < headSize || int(le.Uint16(b[9:])) != len(b)-headSize {
		return packet{}, false
	}
	return packet{
		flags: b[0], echo: le.Uint32(b[1:]), sum: le.Uint32(b[5:]), seq: le.Uint32(b[11:]), ack: le.Uint32(b[15:]),
		dst: getAddr(b[19:]), src: getAddr(b[25:]), data: append([]byte(nil), b[headSize:]...),
	}, true
}

// checksum is the stand-in's own keyed sum over all fields but echo and the bounced flag.
func (p packet) checksum() uint32 {
	p.echo, p.sum = 0, 0
	p.flags &^= flagBounced
	h := uint32(2166136261)
	for _, c := range append([]byte("stand-in key"), p.encode()...) {
		h = (h ^ uint32(c)) * 16777619
	}
	return max(h, 1)
}

func (p packet) String() string {
	return fmt.Sprintf("flags=%d seq=%d ack=%d len=%d", p.flags, p.seq, p.ack, len(p.data))
}
