package fabric

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/pires/go-proxyproto"

	"github.com/cyclamendock/cyclamendock/lib/udpio"
)

const (
	healthInterval     = 250 * time.Millisecond
	healthTimeout      = 200 * time.Millisecond
	sessionIdleTimeout = 2 * time.Minute
	// unhealthyThreshold is the number of consecutive failed checks after which a balancer gets no more packets.
	unhealthyThreshold = 2
)

// Balancer holds the addresses of one balancer for packets and for health checks.
type Balancer struct {
	FrontAddress  netip.AddrPort
	HealthAddress netip.AddrPort
}

// Config configures a Fabric.
type Config struct {
	Balancers []Balancer
	Seed      uint64
	Services  []netip.AddrPort
}

// Fabric forwards each datagram of a caller to a random balancer among those that answer health checks.
type Fabric struct {
	config       Config
	failedChecks map[netip.AddrPort]int // consecutive failures by front address
	healthy      []netip.AddrPort       // front addresses
	mu           sync.Mutex
	random       *rand.Rand
}

// NewFabric returns a fabric that treats every balancer as healthy until checks fail.
func NewFabric(config Config) *Fabric {
	f := &Fabric{config: config, failedChecks: map[netip.AddrPort]int{}, random: rand.New(rand.NewPCG(config.Seed, 1))}
	for _, balancer := range config.Balancers {
		f.healthy = append(f.healthy, balancer.FrontAddress)
	}
	return f
}

// Run forwards datagrams until the context ends, or returns an error when a service address can't be opened.
func (f *Fabric) Run(ctx context.Context) error {
	var listeners []*udpio.Socket
	for _, service := range f.config.Services {
		listener, err := udpio.Listen(service)
		if err != nil {
			return err
		}
		listeners = append(listeners, listener)
		go (&serviceProxy{fabric: f, listener: listener, service: service, sessions: map[netip.AddrPort]*session{}}).runForward()
	}
	go f.runHealthChecks(ctx)
	<-ctx.Done()
	for _, listener := range listeners {
		listener.Close()
	}
	return nil
}

func (f *Fabric) pickBalancer() (netip.AddrPort, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.healthy) == 0 {
		return netip.AddrPort{}, false
	}
	return f.healthy[f.random.IntN(len(f.healthy))], true
}

func (f *Fabric) runHealthChecks(ctx context.Context) {
	client := &http.Client{Timeout: healthTimeout}
	ticker := time.NewTicker(healthInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, balancer := range f.config.Balancers {
			f.recordCheck(balancer.FrontAddress, reachable(client, balancer.HealthAddress))
		}
	}
}

// reachable reports whether the address answers a health check, with any status.
func reachable(client *http.Client, address netip.AddrPort) bool {
	response, err := client.Get("http://" + address.String() + "/healthz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return true
}

func (f *Fabric) recordCheck(front netip.AddrPort, passed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if passed {
		f.failedChecks[front] = 0
	} else {
		f.failedChecks[front]++
	}
	listed := slices.Contains(f.healthy, front)
	switch {
	case passed && !listed:
		f.healthy = append(f.healthy, front)
	case f.failedChecks[front] >= unhealthyThreshold && listed:
		f.healthy = slices.DeleteFunc(f.healthy, func(a netip.AddrPort) bool { return a == front })
	}
}

// serviceProxy forwards the datagrams between the callers of one service and the balancers.
type serviceProxy struct {
	fabric   *Fabric
	listener *udpio.Socket
	mu       sync.Mutex
	service  netip.AddrPort
	sessions map[netip.AddrPort]*session // by caller address
}

// session holds the state of one caller.
type session struct {
	caller   netip.AddrPort
	header   []byte // PROXY protocol header that precedes each datagram
	lastUsed time.Time
	socket   *udpio.Socket // towards the balancers
}

// runForward forwards callers' datagrams to random healthy balancers.
func (p *serviceProxy) runForward() {
	buffer := make([]byte, udpio.MaxDatagram)
	lastSweep := time.Now()
	for {
		n, from, err := p.listener.Receive(buffer)
		if err != nil {
			return
		}
		s := p.session(from)
		balancer, ok := p.fabric.pickBalancer()
		if s == nil || !ok {
			continue
		}
		s.socket.Send(append(slices.Clone(s.header), buffer[:n]...), balancer)
		if time.Since(lastSweep) > sessionIdleTimeout {
			lastSweep = time.Now()
			p.closeIdleSessions()
		}
	}
}

func (p *serviceProxy) session(caller netip.AddrPort) *session {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.sessions[caller]; s != nil {
		s.lastUsed = time.Now()
		return s
	}
	header, err := proxyproto.HeaderProxyFromAddrs(2, net.UDPAddrFromAddrPort(caller), net.UDPAddrFromAddrPort(p.service)).Format()
	if err != nil {
		return nil
	}
	socket, err := udpio.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		return nil
	}
	s := &session{caller: caller, header: header, lastUsed: time.Now(), socket: socket}
	p.sessions[caller] = s
	go p.runReturn(s)
	return s
}

// runReturn forwards the datagrams that come back to the caller.
func (p *serviceProxy) runReturn(s *session) {
	buffer := make([]byte, udpio.MaxDatagram)
	for {
		n, _, err := s.socket.Receive(buffer)
		if err != nil {
			return
		}
		p.listener.Send(buffer[:n], s.caller)
	}
}

func (p *serviceProxy) closeIdleSessions() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for caller, s := range p.sessions {
		if time.Since(s.lastUsed) > sessionIdleTimeout {
			s.socket.Close()
			delete(p.sessions, caller)
		}
	}
}
