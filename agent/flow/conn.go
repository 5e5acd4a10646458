package flow

import (
	"net"
	"net/netip"
	"os"
	"sync"
	"time"
)

const inboxDepth = 8192

// A datagram is one that the QUIC endpoint has not read yet.
type datagram struct {
	caller  netip.AddrPort
	payload []byte
}

// A packetConn lets the QUIC library read what balancers forward and write what they return.
type packetConn struct {
	closed   chan struct{}
	deadline chan struct{}
	endpoint *Endpoint
	inbox    chan datagram
	local    net.Addr
	mu       sync.Mutex
}

func newPacketConn(endpoint *Endpoint, local netip.AddrPort) *packetConn {
	return &packetConn{
		closed:   make(chan struct{}),
		deadline: make(chan struct{}),
		endpoint: endpoint,
		inbox:    make(chan datagram, inboxDepth),
		local:    net.UDPAddrFromAddrPort(local),
	}
}

// ReadFrom returns the next datagram of a caller.
func (c *packetConn) ReadFrom(p []byte) (int, net.Addr, error) {
	c.mu.Lock()
	deadline := c.deadline
	c.mu.Unlock()
	select {
	case d := <-c.inbox:
		return copy(p, d.payload), net.UDPAddrFromAddrPort(d.caller), nil
	case <-deadline:
		return 0, nil, os.ErrDeadlineExceeded
	case <-c.closed:
		return 0, nil, net.ErrClosed
	}
}

// WriteTo sends a datagram towards a caller.
func (c *packetConn) WriteTo(p []byte, address net.Addr) (int, error) {
	udp, ok := address.(*net.UDPAddr)
	if !ok {
		return 0, net.ErrClosed
	}
	caller := udp.AddrPort()
	c.endpoint.reply(netip.AddrPortFrom(caller.Addr().Unmap(), caller.Port()), p)
	return len(p), nil
}

// Close ends the readers.
func (c *packetConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.closed:
	default:
		close(c.closed)
	}
	return nil
}

// LocalAddr returns the agent's address.
func (c *packetConn) LocalAddr() net.Addr { return c.local }

// SetDeadline does what SetReadDeadline does.
func (c *packetConn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// SetReadDeadline wakes the readers when the time has passed; the zero time clears it.
func (c *packetConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	expired := !t.IsZero() && !t.After(time.Now())
	select {
	case <-c.deadline:
		if !expired {
			c.deadline = make(chan struct{})
		}
	default:
		if expired {
			close(c.deadline)
		}
	}
	return nil
}

// SetWriteDeadline does nothing, since writes never wait.
func (c *packetConn) SetWriteDeadline(time.Time) error { return nil }

// push gives a datagram to the QUIC library and reports false when it lags too far behind.
func (c *packetConn) push(caller netip.AddrPort, payload []byte) bool {
	select {
	case c.inbox <- datagram{caller: caller, payload: append([]byte(nil), payload...)}:
		return true
	default:
		return false
	}
}

var _ net.PacketConn = (*packetConn)(nil)
