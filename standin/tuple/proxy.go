package tuple

import (
	"net"
	"net/netip"
	"sync"
	"time"
)

// ProxyFault is a fault that a proxy injects into its connections.
type ProxyFault int

const (
	// FaultNone forwards everything.
	FaultNone ProxyFault = iota
	// FaultDropResponses forwards requests and drops responses.
	FaultDropResponses
	// FaultDropRequests drops requests and forwards responses.
	FaultDropRequests
	// FaultDelay forwards everything after a delay.
	FaultDelay
	// FaultReset closes connections with a reset when they next carry data.
	FaultReset
	// FaultDropAll accepts connections and drops everything on them.
	FaultDropAll

	proxyFaultCount
)

// String returns the fault's effect on a connection.
func (f ProxyFault) String() string {
	return [...]string{"whole", "without answers", "without requests", "late", "reset", "silent"}[f]
}

const (
	proxyBuffer  = 16 << 10               // bytes
	proxyDelay   = 300 * time.Millisecond // that FaultDelay adds to each read
	proxyTimeout = time.Second            // for connecting to the target
)

// Proxy forwards TCP connections to a target and injects faults into them.
type Proxy struct {
	fault    ProxyFault
	listener *net.TCPListener
	mu       sync.Mutex // guards fault
	target   netip.AddrPort
}

// NewProxy starts a proxy that listens at address, or returns an error when it can't be bound.
func NewProxy(address, target netip.AddrPort) (*Proxy, error) {
	listener, err := listenWhenFree(func() (*net.TCPListener, error) {
		return net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(address))
	})
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: listener, target: target}
	go p.run()
	return p, nil
}

// SetFault replaces the injected fault, for open connections as well as new ones.
func (p *Proxy) SetFault(fault ProxyFault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = fault
}

// Close stops listening; open connections stay open.
func (p *Proxy) Close() { _ = p.listener.Close() }

func (p *Proxy) currentFault() ProxyFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

func (p *Proxy) run() {
	for {
		client, err := p.listener.AcceptTCP()
		if err != nil {
			return
		}
		go p.runConnection(client)
	}
}

func (p *Proxy) runConnection(client *net.TCPConn) {
	defer client.Close()
	dialed, err := net.DialTimeout("tcp4", p.target.String(), proxyTimeout)
	if err != nil {
		return
	}
	server := dialed.(*net.TCPConn)
	defer server.Close()
	var group sync.WaitGroup
	group.Go(func() { p.forward(server, client, FaultDropRequests) })
	group.Go(func() { p.forward(client, server, FaultDropResponses) })
	group.Wait()
}

// forward copies bytes in one direction until either side closes; dropFault is the fault that drops this direction.
func (p *Proxy) forward(to, from *net.TCPConn, dropFault ProxyFault) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, proxyBuffer)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		switch p.currentFault() {
		case dropFault, FaultDropAll:
			continue
		case FaultDelay:
			time.Sleep(proxyDelay)
		case FaultReset:
			_ = from.SetLinger(0)
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}
