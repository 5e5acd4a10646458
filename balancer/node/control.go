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
	gossipInterval = 100 * time.Millisecond
	sweepInterval  = time.Minute
	// gossipBatch is the number of records that fit into one datagram.
	gossipBatch = 12
	// configProbeFanout is the number of peers that get a probe as soon as the configuration changes.
	configProbeFanout = 3
)

// runControl handles the messages of agents and other balancers.
func (n *Node) runControl() {
	for {
		control, ok := n.controlQueue.Pop()
		if !ok {
			return
		}
		n.handleControl(time.Now(), control)
	}
}

func (n *Node) handleControl(now time.Time, control relay.Control) {
	body := control.Datagram[1:]
	switch wire.KindOf(control.Datagram) {
	case wire.KindAnnounce, wire.KindGossip:
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

// mergeRecords merges member records from any source, logs the changed ones and refreshes the view.
func (n *Node) mergeRecords(now time.Time, records []fleet.AgedRecord) {
	var changed []fleet.Record
	n.state.withLock(func() { changed = n.state.merge(now, records) })
	for _, record := range changed {
		n.logMember(record)
	}
	if len(changed) > 0 {
		n.refreshView(now)
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
	var heartbeat fleet.Heartbeat
	if !heartbeat.Decode(body) {
		return
	}
	var reply fleet.Reply
	n.state.withLock(func() { reply = n.state.monitor.Heartbeat(now, heartbeat, n.state.version()) })
	n.socket.Send(reply.Append(nil), from)
}

func (n *Node) handleVote(now time.Time, body []byte) {
	var vote fleet.DownVote
	if vote.Decode(body) {
		n.state.withLock(func() { n.state.monitor.RecordVote(now, vote) })
	}
}

// handleReply applies a monitor's reply to the lease and sends or pulls what the reply requests.
func (n *Node) handleReply(now time.Time, from netip.AddrPort, body []byte) {
	var reply fleet.Reply
	if !reply.Decode(body) {
		return
	}
	var actions []fleet.Action
	n.state.withLock(func() {
		actions = n.state.lease.Reply(now, reply, n.state.version())
		n.state.publishSelf(now)
	})
	for _, action := range actions {
		switch action {
		case fleet.ActionAnnounce:
			n.announce(from)
		case fleet.ActionFetchConfig:
			go n.runPull(from)
		}
	}
}

func (n *Node) announce(to netip.AddrPort) {
	var self fleet.Record
	n.state.withLock(func() { self = n.state.lease.Self() })
	n.socket.Send(fleet.AppendRecords(nil, wire.KindAnnounce, []fleet.AgedRecord{{Record: self}}), to)
}

// handleProbe synchronises the configuration and the members with the sender where they differ.
func (n *Node) handleProbe(from netip.AddrPort, body []byte) {
	var theirs, ours fleet.Probe
	if !theirs.Decode(body) {
		return
	}
	n.state.withLock(func() { ours = n.state.currentProbe() })
	switch {
	case theirs.ConfigVersion > ours.ConfigVersion:
		go n.runPull(from)
	case theirs.ConfigVersion < ours.ConfigVersion:
		n.socket.Send(ours.Append(nil), from)
	}
	if theirs.Digest != ours.Digest {
		go n.runExchange(from)
	}
}

// runTimers runs the periodic tasks.
func (n *Node) runTimers() {
	heartbeats := n.Clock.Subscribe(fleet.HeartbeatInterval)
	gossip := n.Clock.Subscribe(gossipInterval)
	sweeps := n.Clock.Subscribe(sweepInterval)
	for {
		select {
		case now := <-heartbeats:
			n.tick(now)
		case now := <-gossip:
			n.sendGossip(now)
			n.refreshView(now)
		case now := <-sweeps:
			n.Peers.Sweep(now)
			n.state.withLock(func() { n.state.memberReplica.Expire(now) })
		case <-n.Ctx.Done():
			return
		}
	}
}

func (n *Node) tick(now time.Time) {
	var heartbeat fleet.Heartbeat
	var monitors []netip.AddrPort
	var votes []fleet.OutgoingVote
	var down, peers []fleet.Record
	var downBalancer fleet.Record
	var reconnect bool
	var probe fleet.Probe
	var violation string
	n.state.withLock(func() {
		heartbeat, monitors = n.state.lease.Tick(now, fleet.HeartbeatData{ConfigVersion: n.state.version()})
		votes, down = n.state.monitor.Tick(now)
		n.state.viewStale = n.state.viewStale || len(down) > 0
		peers = n.state.memberReplica.Peers(1)
		probe = n.state.currentProbe()
		violation = n.state.memberReplica.CheckInvariants()
		downBalancer, reconnect = n.state.nextDownBalancer()
		n.state.updateSuspects(now)
	})
	if violation != "" {
		n.Stats.Counter("cyclamendock_invariants_broken_total").Inc()
		n.Log.Warn("Invariant broken.", logs.Fields{"what": violation})
	}
	n.sendTo(monitors, heartbeat.Append(nil))
	for _, vote := range votes {
		n.sendTo(addressesOf(vote.Recipients), vote.Vote.Append(nil))
	}
	for _, record := range down {
		n.logMember(record)
	}
	n.sendTo(addressesOf(peers), probe.Append(nil))
	if reconnect {
		n.sendTo(addressesOf([]fleet.Record{downBalancer}), probe.Append(nil))
	}
	n.probeSeeds(peers, probe)
}

// probeSeeds probes the seeds while no other balancer is known.
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

// sendGossip sends the records of changed members to a few peers.
func (n *Node) sendGossip(now time.Time) {
	var records []fleet.AgedRecord
	var peers []fleet.Record
	n.state.withLock(func() { records, peers = n.state.memberReplica.TakeGossip(now) })
	for len(records) > 0 {
		batch := records[:min(gossipBatch, len(records))]
		records = records[len(batch):]
		n.sendTo(addressesOf(peers), fleet.AppendRecords(nil, wire.KindGossip, batch))
	}
}

// sendProbes probes a few peers, so that they notice that this balancer has a newer configuration.
func (n *Node) sendProbes() {
	var probe fleet.Probe
	var peers []fleet.Record
	n.state.withLock(func() {
		probe = n.state.currentProbe()
		peers = n.state.memberReplica.Peers(configProbeFanout)
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
