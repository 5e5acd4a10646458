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

	"github.com/cyclamendock/cyclamendock/lib/link"
)

const (
	healthInterval = 250 * time.Millisecond
	healthTimeout  = 200 * time.Millisecond
	sessionIdle    = 2 * time.Minute
	// healthMisses is how many checks in a row must fail before a balancer gets no more packets.
	healthMisses = 2
)

// A Balancer is one entry host with the address of its health check.
type Balancer struct {
	Front  netip.AddrPort
	Health netip.AddrPort
}

// A Config holds what a Fabric needs.
type Config struct {
	Balancers []Balancer
	Seed      uint64
	Services  []netip.AddrPort
}

// A Fabric sprays callers' datagrams at random over the balancers that answer their health checks.
type Fabric struct {
	config Config
	live   []netip.AddrPort
	misses map[netip.AddrPort]int
	mu     sync.Mutex
	random *rand.Rand
}

// NewFabric returns a fabric that believes in every balancer.
func NewFabric(config Config) *Fabric {
	f := &Fabric{config: config, misses: map[netip.AddrPort]int{}, random: rand.New(rand.NewPCG(config.Seed, 1))}
	for _, balancer := range config.Balancers {
		f.live = append(f.live, balancer.Front)
	}
	return f
}

// Run serves until the context ends.
func (f *Fabric) Run(ctx context.Context) error {
	var listeners []*link.Socket
	for _, service := range f.config.Services {
		listener, err := link.Listen(service)
		if err != nil {
			return err
		}
		listeners = append(listeners, listener)
		go (&entrance{fabric: f, listener: listener, service: service, sessions: map[netip.AddrPort]*session{}}).run()
	}
	go f.runHealth(ctx)
	<-ctx.Done()
	for _, listener := range listeners {
		listener.Close()
	}
	return nil
}

func (f *Fabric) pick() (netip.AddrPort, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.live) == 0 {
		return netip.AddrPort{}, false
	}
	return f.live[f.random.IntN(len(f.live))], true
}

func (f *Fabric) runHealth(ctx context.Context) {
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
			f.record(balancer.Front, reachable(client, balancer.Health))
		}
	}
}

// reachable reports whether anybody answers, whatever the answer.
func reachable(client *http.Client, address netip.AddrPort) bool {
	response, err := client.Get("http://" + address.String() + "/healthz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return true
}

func (f *Fabric) record(front netip.AddrPort, good bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if good {
		f.misses[front] = 0
	} else {
		f.misses[front]++
	}
	listed := slices.Contains(f.live, front)
	switch {
	case good && !listed:
		f.live = append(f.live, front)
	case f.misses[front] >= healthMisses && listed:
		f.live = slices.DeleteFunc(f.live, func(a netip.AddrPort) bool { return a == front })
	}
}

// An entrance receives the datagrams for one service address.
type entrance struct {
	fabric   *Fabric
	listener *link.Socket
	mu       sync.Mutex
	service  netip.AddrPort
	sessions map[netip.AddrPort]*session
}

// A session carries the datagrams of one caller.
type session struct {
	caller netip.AddrPort
	header []byte
	socket *link.Socket
	used   time.Time
}

func (e *entrance) run() {
	buffer := make([]byte, link.MaxDatagram)
	swept := time.Now()
	for {
		n, from, err := e.listener.Receive(buffer)
		if err != nil {
			return
		}
		s := e.session(from)
		balancer, ok := e.fabric.pick()
		if s == nil || !ok {
			continue
		}
		s.socket.Send(append(slices.Clone(s.header), buffer[:n]...), balancer)
		if time.Since(swept) > sessionIdle {
			swept = time.Now()
			e.sweep()
		}
	}
}

func (e *entrance) session(caller netip.AddrPort) *session {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s := e.sessions[caller]; s != nil {
		s.used = time.Now()
		return s
	}
	header, err := proxyproto.HeaderProxyFromAddrs(2, net.UDPAddrFromAddrPort(caller), net.UDPAddrFromAddrPort(e.service)).Format()
	if err != nil {
		return nil
	}
	socket, err := link.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		return nil
	}
	s := &session{caller: caller, header: header, socket: socket, used: time.Now()}
	e.sessions[caller] = s
	go e.runSession(s)
	return s
}

// runSession carries answers back to the caller.
func (e *entrance) runSession(s *session) {
	buffer := make([]byte, link.MaxDatagram)
	for {
		n, _, err := s.socket.Receive(buffer)
		if err != nil {
			return
		}
		e.listener.Send(buffer[:n], s.caller)
	}
}

func (e *entrance) sweep() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for caller, s := range e.sessions {
		if time.Since(s.used) > sessionIdle {
			s.socket.Close()
			delete(e.sessions, caller)
		}
	}
}
