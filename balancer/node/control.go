package node

import (
	"net/netip"
	"time"

	"github.com/cyclamendock/cyclamendock/balancer/relay"
	"github.com/cyclamendock/cyclamendock/lib/fleet"
	"github.com/cyclamendock/cyclamendock/lib/logs"
	"github.com/cyclamendock/cyclamendock/lib/wire"
)

const (
	rumorInterval = 100 * time.Millisecond
	sweepInterval = time.Minute
	// rumorBatch is how many records fit one datagram.
	rumorBatch = 12
	// probeFanout is how many peers learn at once of a new configuration.
	probeFanout = 3
)

// runControl handles the datagrams between processes.
func (n *Node) runControl() {
	for {
		control, ok := n.control.Pop()
		if !ok {
			return
		}
		n.handle(time.Now(), control)
	}
}

func (n *Node) handle(now time.Time, control relay.Control) {
	body := control.Datagram[1:]
	switch wire.KindOf(control.Datagram) {
	case wire.KindAnnounce, wire.KindRumor:
		n.handleRecords(now, body)
	case wire.KindHeartbeat:
		n.handleHeartbeat(now, control.From, body)
	case wire.KindProbe:
		n.handleProbe(control.From, body)
	case wire.KindReply:
		n.handleReply(now, control.From, body)
	case wire.KindVote:
		n.handleVote(now, body)
	}
}

func (n *Node) handleRecords(now time.Time, body []byte) {
	records, ok := fleet.DecodeRecords(body)
	if !ok {
		return
	}
	n.mergeRecords(now, records)
}

// mergeRecords takes records from anywhere and puts the changes in force.
func (n *Node) mergeRecords(now time.Time, records []fleet.Aged) {
	var changed []fleet.Record
	n.state.locked(func() { changed = n.state.merge(now, records) })
	for _, record := range changed {
		n.logMember(record)
	}
	if len(changed) > 0 {
		n.refresh(now)
	}
}

func (n *Node) logMember(record fleet.Record) {
	n.Log.Info("Member changed.", logs.Fields{
		"incarnation": record.Incarnation,
		"member":      record.Name,
		"state":       record.State.String(),
	})
}

func (n *Node) handleHeartbeat(now time.Time, from netip.AddrPort, body []byte) {
	var beat fleet.Heartbeat
	if !beat.Decode(body) {
		return
	}
	var reply fleet.Reply
	n.state.locked(func() { reply = n.state.keeper.Heartbeat(now, beat, n.state.version()) })
	n.socket.Send(reply.Append(nil), from)
}

func (n *Node) handleVote(now time.Time, body []byte) {
	var vote fleet.Vote
	if vote.Decode(body) {
		n.state.locked(func() { n.state.keeper.Vote(now, vote) })
	}
}

// handleReply does what a keeper asks of this balancer as a member.
func (n *Node) handleReply(now time.Time, from netip.AddrPort, body []byte) {
	var reply fleet.Reply
	if !reply.Decode(body) {
		return
	}
	var needs []fleet.Need
	n.state.locked(func() {
		needs = n.state.lease.Reply(now, reply, n.state.version())
		n.state.publishSelf(now)
	})
	for _, need := range needs {
		switch need {
		case fleet.NeedAnnounce:
			n.announce(from)
		case fleet.NeedConfig:
			go n.runPull(from)
		}
	}
}

func (n *Node) announce(to netip.AddrPort) {
	var self fleet.Record
	n.state.locked(func() { self = n.state.lease.Self() })
	n.socket.Send(fleet.AppendRecords(nil, wire.KindAnnounce, []fleet.Aged{{Record: self}}), to)
}

// handleProbe repairs whatever differs between this balancer and the sender.
func (n *Node) handleProbe(from netip.AddrPort, body []byte) {
	var theirs, ours fleet.Probe
	if !theirs.Decode(body) {
		return
	}
	n.state.locked(func() { ours = n.state.probe() })
	switch {
	case theirs.Config > ours.Config:
		go n.runPull(from)
	case theirs.Config < ours.Config:
		n.socket.Send(ours.Append(nil), from)
	}
	if theirs.Digest != ours.Digest {
		go n.runExchange(from)
	}
}

// runTimers drives everything that depends on time.
func (n *Node) runTimers() {
	beats := n.Clock.Subscribe(fleet.HeartbeatInterval)
	rumors := n.Clock.Subscribe(rumorInterval)
	sweeps := n.Clock.Subscribe(sweepInterval)
	for {
		select {
		case now := <-beats:
			n.tick(now)
		case now := <-rumors:
			n.sendRumors(now)
			n.refresh(now)
		case now := <-sweeps:
			n.Calls.Sweep(now)
			n.state.locked(func() { n.state.replica.Expire(now) })
		case <-n.Ctx.Done():
			return
		}
	}
}

func (n *Node) tick(now time.Time) {
	var beat fleet.Heartbeat
	var keepers []netip.AddrPort
	var ballots []fleet.Ballot
	var down, peers []fleet.Record
	var lost fleet.Record
	var reconnect bool
	var probe fleet.Probe
	var broken string
	n.state.locked(func() {
		beat, keepers = n.state.lease.Tick(now, fleet.Vitals{Config: n.state.version()})
		ballots, down = n.state.keeper.Tick(now)
		n.state.changed = n.state.changed || len(down) > 0
		peers = n.state.replica.Peers(1)
		probe = n.state.probe()
		broken = n.state.replica.Check()
		lost, reconnect = n.state.lostPeer()
		n.state.updateSuspects(now)
	})
	if broken != "" {
		n.Stats.Counter("cyclamendock_invariants_broken_total").Inc()
		n.Log.Warn("Invariant broken.", logs.Fields{"what": broken})
	}
	n.sendTo(keepers, beat.Append(nil))
	for _, ballot := range ballots {
		n.sendTo(addressesOf(ballot.To), ballot.Vote.Append(nil))
	}
	for _, record := range down {
		n.logMember(record)
	}
	n.sendTo(addressesOf(peers), probe.Append(nil))
	if reconnect {
		n.sendTo(addressesOf([]fleet.Record{lost}), probe.Append(nil))
	}
	n.probeSeeds(peers, probe)
}

// probeSeeds looks for other balancers among the seeds while none is known.
func (n *Node) probeSeeds(peers []fleet.Record, probe fleet.Probe) {
	if len(peers) > 0 {
		return
	}
	for _, seed := range n.settings.Seeds {
		if seed != n.settings.Address {
			n.socket.Send(probe.Append(nil), seed)
		}
	}
}

// sendRumors tells a few peers about changed members.
func (n *Node) sendRumors(now time.Time) {
	var records []fleet.Aged
	var peers []fleet.Record
	n.state.locked(func() { records, peers = n.state.replica.TakeRumors(now) })
	for len(records) > 0 {
		batch := records[:min(rumorBatch, len(records))]
		records = records[len(batch):]
		n.sendTo(addressesOf(peers), fleet.AppendRecords(nil, wire.KindRumor, batch))
	}
}

// sendProbes tells a few peers that this balancer holds a newer configuration.
func (n *Node) sendProbes() {
	var probe fleet.Probe
	var peers []fleet.Record
	n.state.locked(func() {
		probe = n.state.probe()
		peers = n.state.replica.Peers(probeFanout)
	})
	n.sendTo(addressesOf(peers), probe.Append(nil))
}

func (n *Node) sendTo(addresses []netip.AddrPort, datagram []byte) {
	for _, address := range addresses {
		n.socket.Send(datagram, address)
	}
}

func addressesOf(records []fleet.Record) []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, record := range records {
		addresses = append(addresses, record.Address)
	}
	return addresses
}
