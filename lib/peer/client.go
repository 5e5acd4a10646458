package peer

import (
	"context"
	"net"
	"net/netip"
	"net/rpc"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamendock/cyclamendock/lib/fault"
)

const (
	dialTimeout = time.Second
	idleTimeout = 30 * time.Second
)

type connection struct {
	client   *rpc.Client
	lastUsed time.Time
}

// Client calls other processes and reuses its connections to them.
type Client struct {
	connections map[netip.AddrPort]*connection
	mu          sync.Mutex
}

// NewClient returns a client that connects on the first call to each address.
func NewClient() *Client { return &Client{connections: map[netip.AddrPort]*connection{}} }

// Call makes one call. It returns a Missing fault when the call was not sent, an Unavailable fault when it may have
// been sent, and an error that the server returned as an Internal fault.
func (c *Client) Call(ctx context.Context, address netip.AddrPort, method string, args, reply any) error {
	client, err := c.connect(address)
	if err != nil {
		return fault.Wrap(err, fault.Missing, "the process at "+address.String()+" can't be reached", "check that it runs")
	}
	call := client.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		return c.callFault(address, call.Error)
	case <-ctx.Done():
		return fault.Wrap(ctx.Err(), fault.Unavailable, "the process at "+address.String()+" does not answer", "try again")
	}
}

// Sweep closes connections that have been idle for idleTimeout.
func (c *Client) Sweep(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, connection := range c.connections {
		if now.Sub(connection.lastUsed) > idleTimeout {
			_ = connection.client.Close()
			delete(c.connections, address)
		}
	}
}

// Close closes every connection.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, connection := range c.connections {
		_ = connection.client.Close()
		delete(c.connections, address)
	}
}

// connect returns the open connection to an address, or opens one.
func (c *Client) connect(address netip.AddrPort) (*rpc.Client, error) {
	if client := c.cached(address); client != nil {
		return client, nil
	}
	dialed, err := net.DialTimeout("tcp4", address.String(), dialTimeout)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if other := c.connections[address]; other != nil {
		_ = dialed.Close()
		return other.client, nil
	}
	client := rpc.NewClient(dialed)
	c.connections[address] = &connection{client: client, lastUsed: time.Now()}
	return client, nil
}

func (c *Client) cached(address netip.AddrPort) *rpc.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn := c.connections[address]
	if conn == nil {
		return nil
	}
	conn.lastUsed = time.Now()
	return conn.client
}

// callFault returns the fault for the error of a call. A broken connection is discarded.
func (c *Client) callFault(address netip.AddrPort, err error) error {
	if err == nil {
		return nil
	}
	var serverError rpc.ServerError
	if errors.As(err, &serverError) {
		return fault.Wrap(err, fault.Internal, "the process at "+address.String()+" returned an error", "see its log")
	}
	c.discard(address)
	return fault.Wrap(err, fault.Unavailable, "the connection to the process at "+address.String()+" was lost", "try again")
}

func (c *Client) discard(address netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn := c.connections[address]; conn != nil {
		_ = conn.client.Close()
		delete(c.connections, address)
	}
}
