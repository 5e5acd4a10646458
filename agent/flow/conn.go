package flow

import (
	"net"
	"net/netip"
	"os"
	"sync"
	"time"
)

const inboxSize = 8192 // datagrams

// datagram is a caller's datagram that is queued for the QUIC library.
type datagram struct {
	caller  netip.AddrPort
	payload []byte
}

// packetConn is the net.PacketConn of the QUIC library. It reads the datagrams that balancers forward and sends the
// library's datagrams to callers through balancers.
type packetConn struct {
	closed       chan struct{}
	endpoint     *Endpoint
	inbox        chan datagram
	local        net.Addr
	mu           sync.Mutex    // guards readDeadline and the closing of closed
	readDeadline chan struct{} // closed once the read deadline has passed
}

func newPacketConn(endpoint *Endpoint, local netip.AddrPort) *packetConn {
	return &packetConn{
		closed:       make(chan struct{}),
		endpoint:     endpoint,
		inbox:        make(chan datagram, inboxSize),
		local:        net.UDPAddrFromAddrPort(local),
		readDeadline: make(chan struct{}),
	}
}

// ReadFrom returns the next datagram of a caller.
func (c *packetConn) ReadFrom(p []byte) (int, net.Addr, error) {
	c.mu.Lock()
	deadline := c.readDeadline
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
	c.endpoint.sendToCaller(netip.AddrPortFrom(caller.Addr().Unmap(), caller.Port()), p)
	return len(p), nil
}

// Close makes readers return net.ErrClosed.
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

// SetDeadline sets the read deadline; writes have none.
func (c *packetConn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// SetReadDeadline makes readers time out if t has already passed and clears the deadline otherwise. The QUIC library
// uses it only to wake its reader.
func (c *packetConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	expired := !t.IsZero() && !t.After(time.Now())
	select {
	case <-c.readDeadline:
		if !expired {
			c.readDeadline = make(chan struct{})
		}
	default:
		if expired {
			close(c.readDeadline)
		}
	}
	return nil
}

// SetWriteDeadline does nothing, since writes never block.
func (c *packetConn) SetWriteDeadline(time.Time) error { return nil }

// enqueue queues a datagram for the QUIC library and reports false when the queue is full.
func (c *packetConn) enqueue(caller netip.AddrPort, payload []byte) bool {
	select {
	case c.inbox <- datagram{caller: caller, payload: append([]byte(nil), payload...)}:
		return true
	default:
		return false
	}
}

var _ net.PacketConn = (*packetConn)(nil)
