package model

import (
	"time"

	"github.com/cyclamendock/cyclamendock/lib/carry"
)

// A balancerHost runs one director; it has none while it is without power.
type balancerHost struct {
	address  carry.Endpoint
	director *carry.Director
	flows    *flows
	proving  bool
	ready    bool // for the routers
}

func (b *balancerHost) start() {
	now := b.flows.clock.now
	director := carry.NewDirector(carry.DirectorConfig{
		FlowLifetime: flowLifetime,
		HoldLimit:    holdLimit,
		LostAfter:    lostAfter,
		Policy:       b.flows.config.Policy,
		Self:         b.address,
	})
	director.SetRoutes(now, b.flows.routes())
	for _, a := range b.flows.agents {
		director.Agents.Add(now, a.address)
	}
	b.director = director
	running := func() bool { return b.director == director }
	b.flows.clock.after(routerDelay, func() { b.ready = running() })
	b.flows.clock.every(25*time.Millisecond, func() bool {
		if running() {
			b.tick()
		}
		return running()
	})
	b.flows.clock.every(time.Second, func() bool {
		if running() {
			director.Sweep(b.flows.clock.now)
		}
		return running()
	})
}

func (b *balancerHost) tick() {
	now := b.flows.clock.now
	for _, verdict := range b.director.Tick(now) {
		b.do(verdict, verdict.Forward.Datagram)
	}
	for _, agent := range b.director.Agents.Greet(now) {
		host := b.flows.agent(agent)
		b.flows.message(func() { host.greeted(b.address) })
	}
}

func (b *balancerHost) carry(p carry.Packet) {
	if b.director != nil {
		datagram := b.flows.datagram(p)
		b.do(b.director.Packet(b.flows.clock.now, p, datagram), datagram)
	}
}

func (b *balancerHost) do(verdict carry.Verdict, datagram []byte) {
	switch verdict.Action {
	case carry.ActForward:
		for _, agent := range verdict.To {
			forward := verdict.Forward
			forward.Datagram = datagram
			host := b.flows.agent(agent)
			b.flows.message(func() { host.forwarded(forward) })
		}
	case carry.ActReset:
		b.flows.reset(verdict.Flow)
	case carry.ActProve:
		b.prove()
	}
}

func (b *balancerHost) returned(forward carry.Forward) {
	if b.director != nil {
		verdict := b.director.Returned(b.flows.clock.now, &forward, b.flows.packet(forward.Datagram))
		b.do(verdict, forward.Datagram)
	}
}

// prove confirms the members a little later.
func (b *balancerHost) prove() {
	if b.proving {
		return
	}
	b.proving = true
	asked := b.flows.clock.now
	b.flows.clock.after(proofDelay, func() {
		b.proving = false
		if b.director == nil {
			return
		}
		for _, verdict := range b.director.Listed(b.flows.clock.now, asked) {
			b.do(verdict, nil)
		}
		if b.director.Proving() {
			b.prove()
		}
	})
}

func (f *flows) routes() carry.Routes {
	route := carry.Route{
		Address: flowAddress,
		Aim:     f.config.Aim,
		Shares:  []carry.Share{{Service: carry.ServiceIDOf(flowService), Weight: 1}},
		Timeout: f.config.Timeout,
	}
	return carry.Routes{ByAddress: map[carry.Endpoint]carry.Route{flowAddress: route}, Version: 1}
}

// An agentHost runs one carrier beside one backend server; it has neither while it is without power.
type agentHost struct {
	address carry.Endpoint
	backend *flowBackend
	carrier *carry.Carrier
	flows   *flows
}

func (a *agentHost) start() {
	now := a.flows.clock.now
	server := carry.NewServer(flowService, announceEvery)
	a.backend = &flowBackend{
		flows:   map[carry.Flow]uint32{},
		host:    a,
		running: a.flows.config.Slots,
		warm:    now.Add(coldTime),
	}
	carrier := carry.NewCarrier(carry.CarrierConfig{
		FirstEcho:    a.flows.random.Uint32(),
		FlowLifetime: flowLifetime,
		Self:         a.address,
		Server:       server,
		Service:      carry.ServiceIDOf(flowService),
	})
	a.carrier = carrier
	for _, b := range a.flows.balancers {
		carrier.Greeted(now, b.address)
	}
	born, sequence := now.UnixMilli(), int64(0)
	announce := func() bool {
		if a.carrier != carrier {
			return false
		}
		sequence++
		now := a.flows.clock.now
		_, _ = server.Announce(now, carry.Announcement{
			Born: born, ID: "i", Sequence: sequence, Service: flowService, Slots: a.flows.config.Slots,
			State: carry.StateReady, Warm: max(0, a.backend.warm.Sub(now)),
		})
		return true
	}
	announce()
	a.report(true)
	a.flows.clock.every(announceEvery, announce)
	a.repeat(carrier, 50*time.Millisecond, func() { a.report(false) })
	a.repeat(carrier, 25*time.Millisecond, a.release)
	a.repeat(carrier, 200*time.Millisecond, func() { carrier.Sweep(a.flows.clock.now) })
}

// repeat does something for as long as a carrier runs.
func (a *agentHost) repeat(carrier *carry.Carrier, interval time.Duration, do func()) {
	a.flows.clock.every(interval, func() bool {
		if a.carrier != carrier {
			return false
		}
		do()
		return true
	})
}

func (a *agentHost) report(changed bool) {
	now := a.flows.clock.now
	report := a.carrier.Report(now)
	for _, due := range a.carrier.Due(now, changed) {
		report.Every = due.Every
		a.tell(due.Balancer, report)
	}
}

func (a *agentHost) tell(balancer carry.Endpoint, report carry.Report) {
	host := a.flows.balancer(balancer)
	a.flows.message(func() {
		if host.director != nil {
			host.director.Report(a.flows.clock.now, a.address, report)
		}
	})
}

func (a *agentHost) greeted(balancer carry.Endpoint) {
	if a.carrier != nil {
		a.carrier.Greeted(a.flows.clock.now, balancer)
		a.tell(balancer, a.carrier.Report(a.flows.clock.now))
	}
}

func (a *agentHost) release() {
	for _, verdict := range a.carrier.Release(a.flows.clock.now) {
		a.do(verdict, nil)
	}
	a.carrier.TakeEnded()
}

func (a *agentHost) forwarded(forward carry.Forward) {
	if a.carrier != nil {
		verdict := a.carrier.Forwarded(a.flows.clock.now, &forward, a.flows.packet(forward.Datagram))
		a.do(verdict, forward.Datagram)
	}
}

func (a *agentHost) do(verdict carry.AgentVerdict, datagram []byte) {
	if verdict.Datagram != nil {
		datagram = verdict.Datagram
	}
	switch verdict.Action {
	case carry.AgentDeliver:
		a.deliver(verdict.Echo, datagram)
	case carry.AgentMessage:
		a.pass(verdict, datagram)
	case carry.AgentOwn:
		a.own(verdict.To, verdict.Flow)
	case carry.AgentReset:
		a.flows.reset(verdict.Flow)
	}
}

func (a *agentHost) pass(verdict carry.AgentVerdict, datagram []byte) {
	forward := verdict.Forward
	forward.Datagram = datagram
	if verdict.Kind == carry.KindForward {
		host := a.flows.agent(verdict.To)
		a.flows.message(func() { host.forwarded(forward) })
		return
	}
	host := a.flows.balancer(verdict.To)
	a.flows.message(func() { host.returned(forward) })
}

func (a *agentHost) own(balancer carry.Endpoint, flow carry.Flow) {
	host := a.flows.balancer(balancer)
	a.flows.message(func() {
		if host.director != nil {
			host.director.Owner(a.flows.clock.now, flow, a.address)
		}
	})
}

// deliver gives a packet to the backend server, which returns those that it does not hold.
func (a *agentHost) deliver(echo uint32, datagram []byte) {
	p := a.flows.packet(datagram)
	if a.backend.take(p) {
		return
	}
	p.Echo = echo
	a.do(a.carrier.Bounced(a.flows.clock.now, p), datagram)
}

// answer carries a packet of the backend server to its caller.
func (a *agentHost) answer(p carry.Packet) {
	now := a.flows.clock.now
	balancer, tell := a.carrier.FromServer(now, p)
	if tell {
		a.own(balancer, p.FromServer())
	}
	a.release()
	a.flows.clock.after(callerDelay, func() { a.flows.receive(p) })
}

// A flowBackend holds flows and serves requests in order, a few at a time.
type flowBackend struct {
	flows   map[carry.Flow]uint32 // sequence number behind the last request that came
	host    *agentHost
	queue   []carry.Packet
	running int // free slots
	warm    time.Time
}

// take handles a packet and reports false when its flow is not held here.
func (b *flowBackend) take(p carry.Packet) bool {
	flow := p.FromCaller()
	next, held := b.flows[flow]
	switch {
	case p.Opens():
		b.flows[flow] = next
		b.reply(p, carry.FlagSyn|carry.FlagAck, 0)
	case !held:
		return false
	case p.Flags.Has(carry.FlagFin) || p.Flags.Has(carry.FlagReset):
		delete(b.flows, flow)
	case p.Length > 0 && p.Seq >= next:
		b.flows[flow] = p.Seq + uint32(p.Length)
		b.queue = append(b.queue, p)
		b.serve()
	}
	return true
}

// serve starts the requests that have a slot and answers those at once that find the queue full.
func (b *flowBackend) serve() {
	for b.running > 0 && len(b.queue) > 0 {
		p := b.queue[0]
		b.queue = b.queue[1:]
		b.running--
		b.host.flows.clock.after(b.work(), func() {
			b.running++
			if b.host.backend != b {
				return // lost power meanwhile
			}
			b.reply(p, carry.FlagAck, answerLength)
			b.serve()
		})
	}
	if limit := shedQueue * b.host.flows.config.Slots; len(b.queue) > limit {
		shed := b.queue[limit]
		b.queue = b.queue[:limit]
		b.reply(shed, carry.FlagAck, shedLength)
	}
}

func (b *flowBackend) work() time.Duration {
	f := b.host.flows
	work := time.Duration((0.5 + f.random.Float64()) * float64(f.config.Work))
	if f.clock.now.Before(b.warm) {
		work = time.Duration(coldFactor * float64(work))
	}
	return work
}

func (b *flowBackend) reply(p carry.Packet, flags carry.Flags, length int) {
	b.host.answer(carry.Packet{
		Ack: p.Seq + uint32(p.Length), Destination: p.Source, Flags: flags, Length: length, Source: p.Destination,
	})
}
