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
	client *rpc.Client
	used   time.Time
}

// A Client keeps connections to other processes.
type Client struct {
	connections map[netip.AddrPort]*connection
	mu          sync.Mutex
}

// NewClient returns a client without connections.
func NewClient() *Client { return &Client{connections: map[netip.AddrPort]*connection{}} }

// Call makes one call. It returns a Missing fault when the call was never sent, an Unavailable fault
// when it may have been, and the server's own error as an Internal fault.
func (c *Client) Call(ctx context.Context, address netip.AddrPort, method string, args, reply any) error {
	client, err := c.get(address)
	if err != nil {
		return fault.Wrap(err, fault.Missing, "the process at "+address.String()+" can't be reached", "check that it runs")
	}
	call := client.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		return c.describe(address, call.Error)
	case <-ctx.Done():
		return fault.Wrap(ctx.Err(), fault.Unavailable, "the process at "+address.String()+" does not answer", "try again")
	}
}

// Sweep closes connections that have not been used for a while.
func (c *Client) Sweep(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, connection := range c.connections {
		if now.Sub(connection.used) > idleTimeout {
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

func (c *Client) get(address netip.AddrPort) (*rpc.Client, error) {
	if client := c.known(address); client != nil {
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
	c.connections[address] = &connection{client: client, used: time.Now()}
	return client, nil
}

func (c *Client) known(address netip.AddrPort) *rpc.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.connections[address]
	if known == nil {
		return nil
	}
	known.used = time.Now()
	return known.client
}

func (c *Client) describe(address netip.AddrPort, err error) error {
	if err == nil {
		return nil
	}
	var answered rpc.ServerError
	if errors.As(err, &answered) {
		return fault.Wrap(err, fault.Internal, "the process at "+address.String()+" refused the call", "see its log")
	}
	c.forget(address)
	return fault.Wrap(err, fault.Unavailable, "the process at "+address.String()+" is gone", "try again")
}

func (c *Client) forget(address netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known := c.connections[address]; known != nil {
		_ = known.client.Close()
		delete(c.connections, address)
	}
}
