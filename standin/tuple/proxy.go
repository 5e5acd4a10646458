package tuple

import (
	"net"
	"net/netip"
	"sync"
	"time"
)

// A Harm is what a proxy does to the connections through it.
type Harm int

const (
	// HarmNone carries everything.
	HarmNone Harm = iota
	// HarmCutAnswers carries requests and swallows what comes back.
	HarmCutAnswers
	// HarmCutRequests swallows requests.
	HarmCutRequests
	// HarmDelay carries everything late.
	HarmDelay
	// HarmReset resets connections at their next bytes.
	HarmReset
	// HarmSilence swallows everything, also of new connections.
	HarmSilence

	harmCount
)

// String returns what happens to a connection.
func (h Harm) String() string {
	return [...]string{"whole", "without answers", "without requests", "late", "reset", "silent"}[h]
}

const (
	proxyBuffer  = 16 << 10 // bytes
	proxyDelay   = 300 * time.Millisecond
	proxyTimeout = time.Second
)

// A Proxy carries TCP connections to a target and harms them on demand.
type Proxy struct {
	harm     Harm
	listener *net.TCPListener
	mu       sync.Mutex // guards harm
	target   netip.AddrPort
}

// NewProxy returns a proxy that listens.
func NewProxy(address, target netip.AddrPort) (*Proxy, error) {
	listener, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: listener, target: target}
	go p.run()
	return p, nil
}

// SetHarm changes what happens to connections, also to open ones.
func (p *Proxy) SetHarm(harm Harm) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.harm = harm
}

// Close stops listening.
func (p *Proxy) Close() { _ = p.listener.Close() }

func (p *Proxy) current() Harm {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.harm
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
	var wait sync.WaitGroup
	wait.Go(func() { p.pump(server, client, HarmCutRequests) })
	wait.Go(func() { p.pump(client, server, HarmCutAnswers) })
	wait.Wait()
}

// pump carries bytes one way until either side ends; cut is the harm that swallows them.
func (p *Proxy) pump(to, from *net.TCPConn, cut Harm) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, proxyBuffer)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		switch p.current() {
		case cut, HarmSilence:
			continue
		case HarmDelay:
			time.Sleep(proxyDelay)
		case HarmReset:
			_ = from.SetLinger(0)
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}
