package relay

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/cyclamendock/cyclamendock/lib/link"
	"github.com/cyclamendock/cyclamendock/lib/ring"
	"github.com/cyclamendock/cyclamendock/lib/sched"
	"github.com/cyclamendock/cyclamendock/lib/stats"
	"github.com/cyclamendock/cyclamendock/lib/steer"
	"github.com/cyclamendock/cyclamendock/lib/trace"
	"github.com/cyclamendock/cyclamendock/lib/trust"
	"github.com/cyclamendock/cyclamendock/lib/wire"
)

const (
	queueDepth   = 2048 // datagrams per service and class
	queueQuantum = 4 * link.MaxDatagram
	queueTotal   = 8 * queueDepth // datagrams of all services
)

// A Control is a datagram between processes that is not a caller's.
type Control struct {
	Datagram []byte
	From     netip.AddrPort
}

// A Config holds what a Relay needs.
type Config struct {
	Back        *link.Socket
	Control     *ring.Ring[Control]
	Direct      bool           // listen on the services' own addresses
	Fabric      *trust.List    // of senders of PROXY headers
	Front       netip.AddrPort // unless Direct
	MaxDatagram int            // bytes of a caller's datagram that fit the way to an agent
	Stats       *stats.Server
	Tracer      *trace.Tracer
	Trust       *trust.List
}

// A packet is one datagram that waits to be sent to an agent.
type packet struct {
	buffer []byte
	to     netip.AddrPort
}

// A Relay moves datagrams between the front sockets and the back socket.
type Relay struct {
	config  Config
	drops   map[Drop]*atomic.Uint64
	flows   *atomic.Uint64
	fronts  atomic.Pointer[map[uint16]*front]
	mu      sync.Mutex
	pool    sync.Pool
	queue   *sched.Scheduler[*packet]
	ready   *sync.Cond
	shared  *front // the one front socket unless Direct
	stopped bool
	view    atomic.Pointer[View]
}

// New opens the front socket, or returns an Unavailable fault when its address is taken.
func New(config Config) (*Relay, error) {
	r := &Relay{
		config: config,
		drops:  map[Drop]*atomic.Uint64{},
		flows:  &atomic.Uint64{},
		queue:  sched.NewScheduler[*packet](sched.Config{Depth: queueDepth, Quantum: queueQuantum, Total: queueTotal}),
	}
	r.pool.New = func() any { return &packet{buffer: make([]byte, 0, link.MaxDatagram)} }
	r.ready = sync.NewCond(&r.mu)
	r.view.Store(&View{Table: steer.NewTable()})
	r.fronts.Store(&map[uint16]*front{})
	r.register()
	if config.Direct {
		return r, nil
	}
	socket, err := link.Listen(config.Front)
	if err != nil {
		return nil, err
	}
	r.shared = newFront(r, socket, 0)
	return r, nil
}

// Start runs the forwarding goroutines until Close.
func (r *Relay) Start() {
	go r.runSend()
	go r.runBack()
	if r.shared != nil {
		go r.shared.run()
	}
}

// Close ends the forwarding goroutines.
func (r *Relay) Close() {
	r.mu.Lock()
	r.stopped = true
	r.ready.Broadcast()
	r.mu.Unlock()
	if r.shared != nil {
		r.shared.socket.Close()
	}
	for _, f := range *r.fronts.Load() {
		f.socket.Close()
	}
}

// SetView replaces what the forwarding goroutines know; it must be called from one goroutine.
func (r *Relay) SetView(view *View) error {
	r.view.Store(view)
	if !r.config.Direct {
		return nil
	}
	return r.listen(view)
}

// listen opens a socket for each new service address and closes those of removed services.
func (r *Relay) listen(view *View) error {
	next := map[uint16]*front{}
	var failed error
	known := *r.fronts.Load()
	for address, service := range view.Addresses {
		if f := known[service]; f != nil && f.socket.Address() == address {
			next[service] = f
			continue
		}
		socket, err := link.Listen(address)
		if err != nil {
			failed = err
			continue
		}
		next[service] = newFront(r, socket, service)
		go next[service].run()
	}
	r.fronts.Store(&next)
	for service, f := range known {
		if next[service] != f {
			f.socket.Close()
		}
	}
	return failed
}

func (r *Relay) register() {
	for _, drop := range Drops {
		count := &atomic.Uint64{}
		r.drops[drop] = count
		r.config.Stats.Gauge("cyclamendock_balancer_dropped_total", func() float64 { return float64(count.Load()) }, "reason", string(drop))
	}
	r.config.Stats.Gauge("cyclamendock_balancer_openings_total", func() float64 { return float64(r.flows.Load()) })
	r.config.Stats.Gauge("cyclamendock_balancer_queued", r.queued)
}

func (r *Relay) queued() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return float64(r.queue.Len())
}

// A routed is an encoded datagram that has not been queued yet.
type routed struct {
	class   sched.Class
	packet  *packet
	service uint16
}

// encode returns the datagram of a route in a buffer of its own.
func (r *Relay) encode(route *Route) routed {
	p := r.pool.Get().(*packet)
	p.buffer = route.Forward.Append(p.buffer[:0])
	p.to = route.To
	if route.Class == sched.Opening {
		r.flows.Add(1)
		r.traceOpening(route)
	}
	return routed{class: route.Class, packet: p, service: route.Forward.Service}
}

// enqueue queues a batch of datagrams for their agents.
func (r *Relay) enqueue(batch []routed) {
	if len(batch) == 0 {
		return
	}
	full := 0
	r.mu.Lock()
	for _, item := range batch {
		if !r.queue.Push(item.service, item.class, len(item.packet.buffer), item.packet) {
			r.pool.Put(item.packet)
			full++
		}
	}
	r.ready.Signal()
	r.mu.Unlock()
	r.drops[DropQueueFull].Add(uint64(full))
}

func (r *Relay) traceOpening(route *Route) {
	ctx := trace.Flow(context.Background(), route.Forward.Service, route.FirstID)
	_, span := r.config.Tracer.Start(ctx, "forward new flow", "caller", route.Forward.Caller.String(), "agent", route.To.String())
	span.End()
}

func (r *Relay) drop(reason Drop) { r.drops[reason].Add(1) }

// runSend writes queued datagrams to their agents.
func (r *Relay) runSend() {
	writer := link.NewWriter(r.config.Back)
	batch := make([]*packet, 0, link.BatchSize)
	for {
		batch = r.next(batch[:0])
		if len(batch) == 0 {
			return
		}
		for _, p := range batch {
			writer.Add(append(writer.Buffer(), p.buffer...), p.to)
			r.pool.Put(p)
		}
		writer.Flush()
	}
}

// next waits for queued datagrams and returns none once the relay has stopped.
func (r *Relay) next(batch []*packet) []*packet {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.queue.Len() == 0 && !r.stopped {
		r.ready.Wait()
	}
	for len(batch) < cap(batch) {
		p, ok := r.queue.Pop()
		if !ok {
			break
		}
		batch = append(batch, p)
	}
	return batch
}

// runBack takes datagrams of agents and other balancers.
func (r *Relay) runBack() {
	reader := link.NewReader(r.config.Back)
	writers := map[*front]*link.Writer{}
	for {
		count, err := reader.Read()
		if err != nil {
			return
		}
		for i := range count {
			r.receive(reader.Datagram(i), reader.From(i), writers)
		}
		for _, writer := range writers {
			writer.Flush()
		}
	}
}

func (r *Relay) receive(datagram []byte, from netip.AddrPort, writers map[*front]*link.Writer) {
	if !r.config.Trust.Allows(from.Addr()) {
		r.drop(DropUntrusted)
		return
	}
	if wire.KindOf(datagram) != wire.KindReturn {
		r.config.Control.Push(Control{Datagram: append([]byte(nil), datagram...), From: from})
		return
	}
	var returned wire.Return
	if !returned.Decode(datagram) {
		r.drop(DropMalformed)
		return
	}
	f := r.frontOf(returned.Service)
	if f == nil {
		r.drop(DropUnknownService)
		return
	}
	if writers[f] == nil {
		writers[f] = link.NewWriter(f.socket)
	}
	writers[f].Add(append(writers[f].Buffer(), returned.Datagram...), returned.Return)
}

func (r *Relay) frontOf(service uint16) *front {
	if r.shared != nil {
		return r.shared
	}
	return (*r.fronts.Load())[service]
}
