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
	minProxyHeaderLength  = 16      // fixed part before the addresses, in bytes
	maxProxyHeaderLength  = 256     // bytes
	maxCachedProxyHeaders = 1 << 14 // more of them empty the cache
)

// Origin holds the addresses in a datagram's PROXY header.
type Origin struct {
	Caller  netip.AddrPort
	Service netip.AddrPort
}

// ProxyReader decodes PROXY protocol version 2 headers and caches the results; it must not be used concurrently.
type ProxyReader struct {
	buffer *bufio.Reader
	cache  map[string]Origin
	source *bytes.Reader
}

// NewProxyReader returns a reader with an empty cache.
func NewProxyReader() *ProxyReader {
	source := bytes.NewReader(nil)
	return &ProxyReader{
		buffer: bufio.NewReaderSize(source, maxProxyHeaderLength),
		cache:  map[string]Origin{},
		source: source,
	}
}

// Read returns the origin in a datagram's PROXY header and the payload, or false when the header can't be used.
func (p *ProxyReader) Read(datagram []byte) (Origin, []byte, bool) {
	if len(datagram) < minProxyHeaderLength {
		return Origin{}, nil, false
	}
	length := minProxyHeaderLength + int(binary.BigEndian.Uint16(datagram[14:16]))
	if length > maxProxyHeaderLength || len(datagram) < length {
		return Origin{}, nil, false
	}
	if origin, ok := p.cache[string(datagram[:length])]; ok {
		return origin, datagram[length:], true
	}
	origin, ok := p.parse(datagram[:length])
	if !ok {
		return Origin{}, nil, false
	}
	if len(p.cache) >= maxCachedProxyHeaders {
		clear(p.cache)
	}
	p.cache[string(datagram[:length])] = origin
	return origin, datagram[length:], true
}

func (p *ProxyReader) parse(b []byte) (Origin, bool) {
	p.source.Reset(b)
	p.buffer.Reset(p.source)
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
