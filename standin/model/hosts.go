package model

import (
	"slices"
	"time"

	"github.com/cyclamendock/cyclamendock/lib/flows"
)

// balancerHost simulates a balancer, which runs one director.
type balancerHost struct {
	address        flows.Endpoint
	director       *flows.Director // nil while the host is without power
	inRotation     bool            // the routers send flows to the balancer
	listingMembers bool            // a confirmed list of members has been requested
	simulation     *flowSimulation
}

func (b *balancerHost) start() {
	now := b.simulation.clock.now
	director := flows.NewDirector(flows.DirectorConfig{
		Admission:    b.simulation.config.Admission,
		FlowLifetime: flowLifetime,
		LostAfter:    lostAfter,
		MaxQueueTime: maxQueueTime,
		Policy:       b.simulation.config.Policy,
		Self:         b.address,
	})
	director.SetRoutes(now, b.simulation.routes())
	for _, a := range b.simulation.agents {
		director.Agents.Add(now, a.address)
	}
	b.director = director
	running := func() bool { return b.director == director }
	b.simulation.clock.after(routerDelay, func() { b.inRotation = running() })
	b.simulation.clock.every(25*time.Millisecond, func() bool {
		if running() {
			b.tick()
		}
		return running()
	})
	b.simulation.clock.every(time.Second, func() bool {
		if running() {
			director.Sweep(b.simulation.clock.now)
		}
		return running()
	})
}

func (b *balancerHost) tick() {
	now := b.simulation.clock.now
	for _, verdict := range b.director.Tick(now) {
		b.apply(verdict, verdict.Forward.Datagram)
	}
	for _, agent := range b.director.Agents.DueHellos(now) {
		host := b.simulation.agent(agent)
		b.simulation.sendMessage(func() { host.receiveHello(b.address) })
	}
}

func (b *balancerHost) receivePacket(p flows.Packet) {
	if b.director != nil {
		datagram := b.simulation.datagram(p)
		b.apply(b.director.HandlePacket(b.simulation.clock.now, p, datagram), datagram)
	}
}

func (b *balancerHost) apply(verdict flows.Verdict, datagram []byte) {
	switch verdict.Action {
	case flows.ActForward:
		verdict.Send(func(message *flows.Forward, agent flows.Endpoint) {
			forward := *message
			forward.Datagram = datagram
			host := b.simulation.agent(agent)
			b.simulation.sendMessage(func() { host.receiveForward(forward) })
		})
	case flows.ActReset:
		b.simulation.resetFlow(verdict.Flow)
	case flows.ActRefreshMembers:
		b.listMembers()
	}
}

func (b *balancerHost) receiveReturned(forward flows.Forward) {
	if b.director != nil {
		verdict := b.director.HandleReturn(b.simulation.clock.now, &forward, b.simulation.packet(forward.Datagram))
		b.apply(verdict, forward.Datagram)
	}
}

// listMembers reports a confirmed list of members to the director after membersDelay, and again for as long as the
// director has pending resets.
func (b *balancerHost) listMembers() {
	if b.listingMembers {
		return
	}
	b.listingMembers = true
	requestedAt := b.simulation.clock.now
	b.simulation.clock.after(membersDelay, func() {
		b.listingMembers = false
		if b.director == nil {
			return
		}
		for _, verdict := range b.director.ResolvePendingResets(b.simulation.clock.now, requestedAt) {
			b.apply(verdict, nil)
		}
		if b.director.HasPendingResets() {
			b.listMembers()
		}
	})
}

// routes returns the configured routes.
func (f *flowSimulation) routes() flows.Routes {
	routes := flows.Routes{ByAddress: map[flows.Endpoint]flows.Route{}, Version: 1}
	for _, address := range []flows.Endpoint{floodAddress, flowAddress} {
		routes.ByAddress[address] = f.route(address)
	}
	return routes
}

// route returns the route of an address.
func (f *flowSimulation) route(address flows.Endpoint) flows.Route {
	return flows.Route{
		Address:       address,
		LatencyTarget: f.config.LatencyTarget,
		Shares:        []flows.Share{{Service: flows.HashName(flowService), Weight: 1}},
		Timeout:       f.config.Timeout,
	}
}

// agentHost simulates an agent, which runs one dispatcher, and the backend server beside it.
type agentHost struct {
	address    flows.Endpoint
	backend    *flowBackend      // nil while the host is without power
	dispatcher *flows.Dispatcher // nil while the host is without power
	simulation *flowSimulation
	snapshot   flows.Snapshot // as last stored
}

func (a *agentHost) start() {
	now := a.simulation.clock.now
	server := flows.NewServer(flowService, announceInterval)
	a.backend = &flowBackend{
		coldUntil: now.Add(coldDuration),
		freeSlots: a.simulation.config.Slots,
		host:      a,
		speed:     a.simulation.speedOf(a),
		nextSeq:   map[flows.Flow]uint32{},
	}
	dispatcher := flows.NewDispatcher(flows.DispatcherConfig{
		Admission:    a.simulation.config.Admission,
		FirstEcho:    a.simulation.random.Uint32(),
		FlowLifetime: flowLifetime,
		Self:         a.address,
		Server:       server,
		Service:      flows.HashName(flowService),
	})
	a.dispatcher = dispatcher
	for _, b := range a.simulation.balancers {
		dispatcher.HandleHello(now, b.address)
	}
	startMillis, sequence := now.UnixMilli(), int64(0)
	announce := func() bool {
		if a.dispatcher != dispatcher {
			return false
		}
		sequence++
		now := a.simulation.clock.now
		_, _ = server.Announce(now, flows.Announcement{
			ID: "i", Sequence: sequence, Service: flowService, Slots: a.simulation.config.Slots, StartMillis: startMillis,
			State: flows.StateReady, WarmupLeft: max(0, a.backend.coldUntil.Sub(now)),
		})
		return true
	}
	dispatcher.Restore(now, a.snapshot)
	announce()
	for _, verdict := range dispatcher.ResetRestored(now) {
		a.apply(verdict, nil)
	}
	a.sendDueReports(true)
	a.simulation.clock.every(announceInterval, announce)
	a.repeat(dispatcher, 50*time.Millisecond, func() { a.sendDueReports(false) })
	a.repeat(dispatcher, 25*time.Millisecond, a.release)
	if !a.simulation.config.WithoutSnapshots {
		a.repeat(dispatcher, snapshotInterval, func() { a.snapshot = dispatcher.Snapshot(a.simulation.clock.now) })
	}
	a.repeat(dispatcher, 200*time.Millisecond, func() { dispatcher.Sweep(a.simulation.clock.now) })
}

// repeat runs an action at regular intervals for as long as the host runs the given dispatcher.
func (a *agentHost) repeat(dispatcher *flows.Dispatcher, interval time.Duration, action func()) {
	a.simulation.clock.every(interval, func() bool {
		if a.dispatcher != dispatcher {
			return false
		}
		action()
		return true
	})
}

func (a *agentHost) sendDueReports(changed bool) {
	now := a.simulation.clock.now
	report := a.dispatcher.Report(now)
	for _, due := range a.dispatcher.DueReports(now, changed) {
		report.Interval = due.Interval
		a.sendReport(due.Balancer, report)
	}
}

func (a *agentHost) sendReport(balancer flows.Endpoint, report flows.Report) {
	host := a.simulation.balancer(balancer)
	a.simulation.sendMessage(func() {
		if host.director != nil {
			host.director.RecordReport(a.simulation.clock.now, a.address, report)
		}
	})
}

func (a *agentHost) receiveHello(balancer flows.Endpoint) {
	if a.dispatcher != nil {
		a.dispatcher.HandleHello(a.simulation.clock.now, balancer)
		a.sendReport(balancer, a.dispatcher.Report(a.simulation.clock.now))
	}
}

func (a *agentHost) release() {
	for _, verdict := range a.dispatcher.Release(a.simulation.clock.now) {
		a.apply(verdict, nil)
	}
	a.dispatcher.TakeEnded()
}

func (a *agentHost) receiveForward(forward flows.Forward) {
	if a.dispatcher != nil {
		verdict := a.dispatcher.HandleForward(a.simulation.clock.now, &forward, a.simulation.packet(forward.Datagram))
		a.apply(verdict, forward.Datagram)
	}
}

func (a *agentHost) apply(verdict flows.AgentVerdict, datagram []byte) {
	if verdict.Datagram != nil {
		datagram = verdict.Datagram
	}
	switch verdict.Action {
	case flows.AgentDeliver:
		a.deliver(verdict.Echo, datagram)
	case flows.AgentForwardOrReturn:
		a.sendMessage(verdict, datagram)
	case flows.AgentSendOwner:
		a.sendOwner(verdict.To, verdict.Flow)
	case flows.AgentReset:
		a.simulation.resetFlow(verdict.Flow)
	}
}

func (a *agentHost) sendMessage(verdict flows.AgentVerdict, datagram []byte) {
	forward := verdict.Forward
	forward.Datagram = datagram
	if verdict.Kind == flows.KindForward {
		host := a.simulation.agent(verdict.To)
		a.simulation.sendMessage(func() { host.receiveForward(forward) })
		return
	}
	host := a.simulation.balancer(verdict.To)
	a.simulation.sendMessage(func() { host.receiveReturned(forward) })
}

func (a *agentHost) sendOwner(balancer flows.Endpoint, flow flows.Flow) {
	host := a.simulation.balancer(balancer)
	a.simulation.sendMessage(func() {
		if host.director != nil {
			host.director.RecordOwner(a.simulation.clock.now, flow, a.address)
		}
	})
}

// deliver gives a packet to the backend server, and returns it to the dispatcher when the server doesn't hold its flow.
func (a *agentHost) deliver(echo uint32, datagram []byte) {
	p := a.simulation.packet(datagram)
	if a.backend.receive(p) {
		return
	}
	p.Echo = echo
	a.apply(a.dispatcher.HandleBounced(a.simulation.clock.now, p), datagram)
}

// sendToCaller sends a packet from the backend server to its caller, past the dispatcher.
func (a *agentHost) sendToCaller(p flows.Packet) {
	now := a.simulation.clock.now
	balancer, notify := a.dispatcher.HandleServerPacket(now, p)
	if notify {
		a.sendOwner(balancer, p.ServerFlow())
	}
	a.release()
	a.simulation.clock.after(callerDelay, func() { a.simulation.receiveAtCaller(p) })
}

// flowBackend simulates a backend server, which holds flows and runs requests in order of arrival, one in each slot.
type flowBackend struct {
	coldUntil time.Time // time until which service times are longer
	freeSlots int
	host      *agentHost
	speed     float64
	nextSeq   map[flows.Flow]uint32 // next sequence number expected on each flow held
	queue     []flows.Packet        // requests that wait for a slot
}

// receive processes a packet and reports false when the backend server does not hold its flow.
func (b *flowBackend) receive(p flows.Packet) bool {
	flow := p.CallerFlow()
	next, held := b.nextSeq[flow]
	switch {
	case p.IsOpening():
		b.nextSeq[flow] = next
		b.reply(p, flows.FlagSyn|flows.FlagAck, 0)
	case !held:
		return false
	case p.Flags.Has(flows.FlagFin) || p.Flags.Has(flows.FlagReset):
		delete(b.nextSeq, flow)
	case p.Length > 0 && p.Seq >= next:
		b.nextSeq[flow] = p.Seq + uint32(p.Length)
		b.queue = append(b.queue, p)
		b.startRequests()
	}
	return true
}

// startRequests starts queued requests in free slots, and refuses the newest one when the queue is over its limit.
func (b *flowBackend) startRequests() {
	for b.freeSlots > 0 && len(b.queue) > 0 {
		p := b.queue[0]
		b.queue = b.queue[1:]
		b.freeSlots--
		b.host.simulation.clock.after(b.randomServiceTime(), func() {
			b.freeSlots++
			if b.host.backend != b {
				return // the host lost power while the request ran
			}
			b.reply(p, flows.FlagAck, responseLength)
			b.startRequests()
		})
	}
	if limit := queueLimitPerSlot * b.host.simulation.config.Slots; len(b.queue) > limit {
		shed := b.queue[limit]
		b.queue = b.queue[:limit]
		b.reply(shed, flows.FlagAck, shedResponseLength)
	}
}

// speedOf returns the speed of the backend server beside an agent.
func (f *flowSimulation) speedOf(a *agentHost) float64 {
	if i := slices.Index(f.agents, a); i < len(f.config.Speeds) {
		return f.config.Speeds[i]
	}
	return 1
}

func (b *flowBackend) randomServiceTime() time.Duration {
	simulation := b.host.simulation
	serviceTime := time.Duration((0.5 + simulation.random.Float64()) * float64(simulation.config.ServiceTime) / b.speed)
	if simulation.clock.now.Before(b.coldUntil) {
		serviceTime = time.Duration(coldFactor * float64(serviceTime))
	}
	return serviceTime
}

func (b *flowBackend) reply(p flows.Packet, flags flows.Flags, length int) {
	b.host.sendToCaller(flows.Packet{
		Ack: p.Seq + uint32(p.Length), Destination: p.Source, Failed: length == shedResponseLength, Flags: flags, Length: length,
		Source: p.Destination,
	})
}
