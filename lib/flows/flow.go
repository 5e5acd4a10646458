package flows

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// Endpoint is an IPv4 address and a port.
type Endpoint struct {
	IP   [4]byte
	Port uint16
}

// EndpointOf returns the endpoint of an IPv4 address, or the zero endpoint for any other address.
func EndpointOf(address netip.AddrPort) Endpoint {
	ip := address.Addr().Unmap()
	if !ip.Is4() {
		return Endpoint{}
	}
	return Endpoint{IP: ip.As4(), Port: address.Port()}
}

// AddrPort returns the endpoint as a netip.AddrPort.
func (e Endpoint) AddrPort() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(e.IP), e.Port)
}

// IsSet reports whether the endpoint is not zero.
func (e Endpoint) IsSet() bool { return e != Endpoint{} }

// String returns address:port.
func (e Endpoint) String() string { return e.AddrPort().String() }

// Compare orders endpoints by address and port.
func (e Endpoint) Compare(other Endpoint) int { return e.AddrPort().Compare(other.AddrPort()) }

// key returns the address and port as one number.
func (e Endpoint) key() uint64 {
	return uint64(binary.BigEndian.Uint32(e.IP[:]))<<16 | uint64(e.Port)
}

// hash returns a hash that is the same in every process.
func (e Endpoint) hash() uint64 {
	var b [endpointSize]byte
	return xxhash.Sum64(appendEndpoint(b[:0], e))
}

// Flow identifies one connection of a caller to a service address.
type Flow struct {
	Caller  Endpoint
	Service Endpoint
}

// Hash returns a hash that is the same in every process.
func (f Flow) Hash() uint64 {
	var b [12]byte
	copy(b[:], f.Caller.IP[:])
	binary.BigEndian.PutUint16(b[4:], f.Caller.Port)
	copy(b[6:], f.Service.IP[:])
	binary.BigEndian.PutUint16(b[10:], f.Service.Port)
	return xxhash.Sum64(b[:])
}

// Compare orders flows by caller and service.
func (f Flow) Compare(other Flow) int {
	if order := f.Caller.Compare(other.Caller); order != 0 {
		return order
	}
	return f.Service.Compare(other.Service)
}

// NameHash identifies a service or zone in messages between processes by the hash of its name.
type NameHash uint64

// HashName returns the hash of the name of a service or zone.
func HashName(name string) NameHash { return NameHash(xxhash.Sum64String(name)) }

// mix combines two hashes into one that is uniformly distributed.
func mix(a, b uint64) uint64 {
	var buffer [16]byte
	binary.BigEndian.PutUint64(buffer[:], a)
	binary.BigEndian.PutUint64(buffer[8:], b)
	return xxhash.Sum64(buffer[:])
}
