package relay

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/cyclamendock/cyclamendock/lib/ring"
	"github.com/cyclamendock/cyclamendock/lib/sched"
	"github.com/cyclamendock/cyclamendock/lib/stats"
	"github.com/cyclamendock/cyclamendock/lib/steer"
	"github.com/cyclamendock/cyclamendock/lib/trace"
	"github.com/cyclamendock/cyclamendock/lib/trust"
	"github.com/cyclamendock/cyclamendock/lib/udpio"
	"github.com/cyclamendock/cyclamendock/lib/wire"
)

const (
	queueDepth      = 2048 // datagrams per service and class
	queueQuantum    = 4 * udpio.MaxDatagram
	queueTotalDepth = 8 * queueDepth // datagrams of all services together
)

// Control is a message of an agent or another balancer that contains no datagram for a caller.
type Control struct {
	Datagram []byte
	From     netip.AddrPort
}

// Config holds the settings and dependencies of a Relay.
type Config struct {
	Back        *udpio.Socket       // to agents and other balancers
	Control     *ring.Ring[Control] // receives the messages that contain no datagram for a caller
	Direct      bool                // listen on the services' own addresses
	Fabric      *trust.Allowlist    // senders whose PROXY headers are trusted
	Front       netip.AddrPort      // local address for callers' datagrams unless Direct
	MaxDatagram int                 // largest datagram of a caller that fits the path to an agent, in bytes
	Stats       *stats.Server
	Tracer      *trace.Tracer
	Trust       *trust.Allowlist // senders that may use the back socket
}

// outgoingPacket is an encoded datagram that is queued for an agent.
type outgoingPacket struct {
	buffer []byte
	to     netip.AddrPort
}

// Relay forwards datagrams between the front sockets, which face callers, and the back socket, which faces agents.
type Relay struct {
	config        Config
	dropCounts    map[DropReason]*atomic.Uint64
	mu            sync.Mutex     // guards queue and stopped
	notEmpty      *sync.Cond     // signalled when queue gets items or the relay stops
	openings      *atomic.Uint64 // packets of new flows that were routed
	pool          sync.Pool
	queue         *sched.Scheduler[*outgoingPacket]
	serviceFronts atomic.Pointer[map[uint16]*front] // by service ID; empty unless Direct
	sharedFront   *front                            // front socket of all services; nil when Direct
	stopped       bool
	view          atomic.Pointer[View]
}

// New opens the front socket unless Direct, or returns an Unavailable fault when its address is taken.
func New(config Config) (*Relay, error) {
	r := &Relay{
		config:     config,
		dropCounts: map[DropReason]*atomic.Uint64{},
		openings:   &atomic.Uint64{},
		queue:      sched.NewScheduler[*outgoingPacket](sched.Config{Depth: queueDepth, Quantum: queueQuantum, Total: queueTotalDepth}),
	}
	r.pool.New = func() any { return &outgoingPacket{buffer: make([]byte, 0, udpio.MaxDatagram)} }
	r.notEmpty = sync.NewCond(&r.mu)
	r.view.Store(&View{Table: steer.NewTable()})
	r.serviceFronts.Store(&map[uint16]*front{})
	r.registerMetrics()
	if config.Direct {
		return r, nil
	}
	socket, err := udpio.Listen(config.Front)
	if err != nil {
		return nil, err
	}
	r.sharedFront = newFront(r, socket, 0)
	return r, nil
}

// Start starts the forwarding goroutines, which run until Close.
func (r *Relay) Start() {
	go r.runSend()
	go r.runBack()
	if r.sharedFront != nil {
		go r.sharedFront.run()
	}
}

// Close stops the forwarding goroutines and closes the front sockets.
func (r *Relay) Close() {
	r.mu.Lock()
	r.stopped = true
	r.notEmpty.Broadcast()
	r.mu.Unlock()
	if r.sharedFront != nil {
		r.sharedFront.socket.Close()
	}
	for _, f := range *r.serviceFronts.Load() {
		f.socket.Close()
	}
}

// SetView replaces the view of the forwarding goroutines, or returns an Unavailable fault when a service's address can't
// be opened. It must not be called concurrently.
func (r *Relay) SetView(view *View) error {
	r.view.Store(view)
	if !r.config.Direct {
		return nil
	}
	return r.updateFronts(view)
}

// updateFronts opens a socket for each new service address and closes the sockets of removed services.
func (r *Relay) updateFronts(view *View) error {
	next := map[uint16]*front{}
	var listenErr error
	current := *r.serviceFronts.Load()
	for address, service := range view.Addresses {
		if f := current[service]; f != nil && f.socket.Address() == address {
			next[service] = f
			continue
		}
		socket, err := udpio.Listen(address)
		if err != nil {
			listenErr = err
			continue
		}
		next[service] = newFront(r, socket, service)
		go next[service].run()
	}
	r.serviceFronts.Store(&next)
	for service, f := range current {
		if next[service] != f {
			f.socket.Close()
		}
	}
	return listenErr
}

func (r *Relay) registerMetrics() {
	for _, drop := range DropReasons {
		count := &atomic.Uint64{}
		r.dropCounts[drop] = count
		r.config.Stats.Gauge("cyclamendock_balancer_dropped_total", func() float64 { return float64(count.Load()) }, "reason", string(drop))
	}
	r.config.Stats.Gauge("cyclamendock_balancer_openings_total", func() float64 { return float64(r.openings.Load()) })
	r.config.Stats.Gauge("cyclamendock_balancer_queued", r.queueLength)
}

func (r *Relay) queueLength() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return float64(r.queue.Len())
}

// queueItem is an encoded datagram with the queue that it goes to.
type queueItem struct {
	class   sched.Class
	packet  *outgoingPacket
	service uint16
}

// encode copies the forward message of a route into a pooled buffer.
func (r *Relay) encode(route *Route) queueItem {
	p := r.pool.Get().(*outgoingPacket)
	p.buffer = route.Forward.Append(p.buffer[:0])
	p.to = route.To
	if route.Class == sched.ClassOpening {
		r.openings.Add(1)
		r.traceOpening(route)
	}
	return queueItem{class: route.Class, packet: p, service: route.Forward.Service}
}

// enqueue queues a batch of datagrams and counts those for which there is no room.
func (r *Relay) enqueue(batch []queueItem) {
	if len(batch) == 0 {
		return
	}
	rejected := 0
	r.mu.Lock()
	for _, item := range batch {
		if !r.queue.Push(item.service, item.class, len(item.packet.buffer), item.packet) {
			r.pool.Put(item.packet)
			rejected++
		}
	}
	r.notEmpty.Signal()
	r.mu.Unlock()
	r.dropCounts[DropQueueFull].Add(uint64(rejected))
}

func (r *Relay) traceOpening(route *Route) {
	ctx := trace.FlowContext(context.Background(), route.Forward.Service, route.OriginalID)
	_, span := r.config.Tracer.Start(ctx, "forward new flow", "caller", route.Forward.Caller.String(), "agent", route.To.String())
	span.End()
}

func (r *Relay) countDrop(reason DropReason) { r.dropCounts[reason].Add(1) }

// runSend sends queued datagrams to their agents.
func (r *Relay) runSend() {
	writer := udpio.NewWriter(r.config.Back)
	batch := make([]*outgoingPacket, 0, udpio.BatchSize)
	for {
		batch = r.nextBatch(batch[:0])
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

// nextBatch waits for queued datagrams and returns an empty batch once the relay has stopped and the queue is empty.
func (r *Relay) nextBatch(batch []*outgoingPacket) []*outgoingPacket {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.queue.Len() == 0 && !r.stopped {
		r.notEmpty.Wait()
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

// runBack handles datagrams of agents and other balancers.
func (r *Relay) runBack() {
	reader := udpio.NewReader(r.config.Back)
	writers := map[*front]*udpio.Writer{}
	for {
		count, err := reader.Read()
		if err != nil {
			return
		}
		for i := range count {
			r.handleBackDatagram(reader.Datagram(i), reader.From(i), writers)
		}
		for _, writer := range writers {
			writer.Flush()
		}
	}
}

// handleBackDatagram sends the datagram in an agent's return message to its caller and queues any other message in
// Config.Control.
func (r *Relay) handleBackDatagram(datagram []byte, from netip.AddrPort, writers map[*front]*udpio.Writer) {
	if !r.config.Trust.Allows(from.Addr()) {
		r.countDrop(DropUntrusted)
		return
	}
	if wire.KindOf(datagram) != wire.KindReturn {
		r.config.Control.Push(Control{Datagram: append([]byte(nil), datagram...), From: from})
		return
	}
	var returned wire.Return
	if !returned.Decode(datagram) {
		r.countDrop(DropMalformed)
		return
	}
	f := r.frontOf(returned.Service)
	if f == nil {
		r.countDrop(DropUnknownService)
		return
	}
	if writers[f] == nil {
		writers[f] = udpio.NewWriter(f.socket)
	}
	writers[f].Add(append(writers[f].Buffer(), returned.Datagram...), returned.ReturnAddress)
}

func (r *Relay) frontOf(service uint16) *front {
	if r.sharedFront != nil {
		return r.sharedFront
	}
	return (*r.serviceFronts.Load())[service]
}
