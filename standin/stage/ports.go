package stage

import (
	"fmt"
	"net"
	"net/netip"
	"os"

	"github.com/cyclamendock/cyclamendock/lib/fault"
)

const (
	firstPort = 20000
	lastPort  = 30000 // below the ports that the kernel gives to callers
)

// A portPool hands out loopback addresses that nobody uses for TCP or UDP.
type portPool struct {
	next int
}

// newPortPool starts at a place of this process's own, so that stages of two processes do not take the same ports.
func newPortPool(seed uint64) *portPool {
	const (
		perProcess = 389
		perSeed    = 97
	)
	offset := (seed*perSeed + uint64(os.Getpid())*perProcess) % (lastPort - firstPort)
	return &portPool{next: firstPort + int(offset)}
}

// take returns a free address, or an Unavailable fault when there is none.
func (p *portPool) take() (netip.AddrPort, error) {
	for range lastPort - firstPort {
		port := p.next
		p.next++
		if p.next >= lastPort {
			p.next = firstPort
		}
		if free(port) {
			return netip.MustParseAddrPort(fmt.Sprintf("127.0.0.1:%d", port)), nil
		}
	}
	return netip.AddrPort{}, fault.New(fault.Unavailable, "no port is free", "end other programs")
}

func free(port int) bool {
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
