package relay

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"net"
	"net/netip"

	"github.com/pires/go-proxyproto"
)

const (
	proxyFixedLength = 16
	proxyMaxLength   = 256
	proxyCacheSize   = 1 << 14
)

// An Origin is what a PROXY header says about a datagram.
type Origin struct {
	Caller  netip.AddrPort
	Service netip.AddrPort
}

// A ProxyReader reads PROXY protocol version 2 headers and remembers the latest ones.
type ProxyReader struct {
	buffer *bufio.Reader
	bytes  *bytes.Reader
	cache  map[string]Origin
}

// NewProxyReader returns a reader, of which each goroutine needs its own.
func NewProxyReader() *ProxyReader {
	source := bytes.NewReader(nil)
	return &ProxyReader{
		buffer: bufio.NewReaderSize(source, proxyMaxLength),
		bytes:  source,
		cache:  map[string]Origin{},
	}
}

// Read splits a datagram into its header's content and its payload, and reports false when the header is unusable.
func (p *ProxyReader) Read(datagram []byte) (Origin, []byte, bool) {
	if len(datagram) < proxyFixedLength {
		return Origin{}, nil, false
	}
	length := proxyFixedLength + int(binary.BigEndian.Uint16(datagram[14:16]))
	if length > proxyMaxLength || len(datagram) < length {
		return Origin{}, nil, false
	}
	if origin, ok := p.cache[string(datagram[:length])]; ok {
		return origin, datagram[length:], true
	}
	origin, ok := p.parse(datagram[:length])
	if !ok {
		return Origin{}, nil, false
	}
	if len(p.cache) >= proxyCacheSize {
		clear(p.cache)
	}
	p.cache[string(datagram[:length])] = origin
	return origin, datagram[length:], true
}

func (p *ProxyReader) parse(b []byte) (Origin, bool) {
	p.bytes.Reset(b)
	p.buffer.Reset(p.bytes)
	parsed, err := proxyproto.Read(p.buffer)
	if err != nil || parsed.Version != 2 || !parsed.Command.IsProxy() {
		return Origin{}, false
	}
	caller, callerOK := udpAddress(parsed.SourceAddr)
	service, serviceOK := udpAddress(parsed.DestinationAddr)
	return Origin{Caller: caller, Service: service}, callerOK && serviceOK
}

func udpAddress(address net.Addr) (netip.AddrPort, bool) {
	udp, ok := address.(*net.UDPAddr)
	if !ok {
		return netip.AddrPort{}, false
	}
	ip, ok := netip.AddrFromSlice(udp.IP)
	if !ok || !ip.Unmap().Is4() {
		return netip.AddrPort{}, false
	}
	return netip.AddrPortFrom(ip.Unmap(), uint16(udp.Port)), true
}
