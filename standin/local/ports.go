package local

import (
	"fmt"
	"net"
	"net/netip"
	"os"

	"github.com/cyclamendock/cyclamendock/lib/fault"
)

const (
	minPort = 20000
	maxPort = 30000 // below the kernel's range of ephemeral ports
)

// portPool allocates loopback addresses whose port is free for both TCP and UDP.
type portPool struct {
	next int
}

// newPortPool starts at an offset derived from the seed and the process ID, so that concurrent test processes rarely
// compete for the same ports.
func newPortPool(seed uint64) *portPool {
	const (
		processStride = 389
		seedStride    = 97
	)
	offset := (seed*seedStride + uint64(os.Getpid())*processStride) % (maxPort - minPort)
	return &portPool{next: minPort + int(offset)}
}

// allocate returns the next free address, or an Unavailable fault when every port is in use.
func (p *portPool) allocate() (netip.AddrPort, error) {
	for range maxPort - minPort {
		port := p.next
		p.next++
		if p.next >= maxPort {
			p.next = minPort
		}
		if isFree(port) {
			return netip.MustParseAddrPort(fmt.Sprintf("127.0.0.1:%d", port)), nil
		}
	}
	return netip.AddrPort{}, fault.New(fault.Unavailable, "no port is free for both TCP and UDP", "stop other programs")
}

func isFree(port int) bool {
	address := fmt.Sprintf("127.0.0.1:%d", port)
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return false
	}
	_ = listener.Close()
	conn, err := net.ListenPacket("udp4", address)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}
