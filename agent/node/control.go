package node

import (
	"context"
	"net/netip"
	"time"

	"github.com/cyclamendock/cyclamendock/agent/flow"
	"github.com/cyclamendock/cyclamendock/lib/fleet"
	"github.com/cyclamendock/cyclamendock/lib/logs"
	"github.com/cyclamendock/cyclamendock/lib/peer"
	"github.com/cyclamendock/cyclamendock/lib/wire"
)

const (
	callTimeout = 2 * time.Second
	// fetchPausePerBalancer times the number of known balancers is the minimum pause between two fetches of their list.
	fetchPausePerBalancer = 10 * time.Millisecond
	slotsInterval         = 50 * time.Millisecond
	stateInterval         = 200 * time.Millisecond
	sweepInterval         = 10 * time.Second
)

// runControl handles the replies of monitors, the balancers that watch this agent's heartbeats.
func (n *Node) runControl() {
	for {
		control, ok := n.controlQueue.Pop()
		if !ok {
			return
		}
		if wire.KindOf(control.Datagram) == wire.KindReply {
			n.handleReply(time.Now(), control)
		}
	}
}

// handleReply applies a monitor's reply to the lease and sends or fetches what the reply requests.
func (n *Node) handleReply(now time.Time, control flow.Control) {
	var reply fleet.Reply
	if !reply.Decode(control.Datagram[1:]) {
		return
	}
	n.mu.Lock()
	before := n.lease.Self().Incarnation
	actions := n.lease.Reply(now, reply, n.replica.Current().Version)
	after := n.lease.Self().Incarnation
	n.meanLoad.Store(n.lease.MeanLoad())
	n.mu.Unlock()
	if before != after {
		n.Log.Info("New incarnation.", logs.Fields{"incarnation": after})
	}
	n.updateAcceptsFlows(now)
	for _, action := range actions {
		switch action {
		case fleet.ActionAnnounce:
			n.announce(control.From)
		case fleet.ActionFetchBalancers:
			if n.allowBalancerFetch(now) {
				go n.runFetchBalancers(control.From)
			}
		case fleet.ActionFetchConfig:
			go n.runFetchConfig(control.From)
		}
	}
}

func (n *Node) announce(to netip.AddrPort) {
	n.mu.Lock()
	self := n.lease.Self()
	n.mu.Unlock()
	n.socket.Send(fleet.AppendRecords(nil, wire.KindAnnounce, []fleet.AgedRecord{{Record: self}}), to)
}

// runTimers sends heartbeats, updates admission and drain, and expires state at fixed intervals.
func (n *Node) runTimers() {
	heartbeats := n.Clock.Subscribe(fleet.HeartbeatInterval)
	slots := n.Clock.Subscribe(slotsInterval)
	states := n.Clock.Subscribe(stateInterval)
	sweeps := n.Clock.Subscribe(sweepInterval)
	for {
		select {
		case now := <-heartbeats:
			n.sendHeartbeat(now)
		case now := <-slots:
			n.tickSlots(now)
		case now := <-states:
			n.updateAcceptsFlows(now)
			n.tickDrain(now)
		case now := <-sweeps:
			n.endpoint.Sweep(now)
			n.Peers.Sweep(now)
		case <-n.Ctx.Done():
			return
		}
	}
}

// sendHeartbeat sends a heartbeat to the monitors, and to the seeds too while there are no monitors or no valid lease.
func (n *Node) sendHeartbeat(now time.Time) {
	load := n.currentLoad().Self
	n.mu.Lock()
	heartbeat, monitors := n.lease.Tick(now, fleet.HeartbeatData{
		ConfigVersion: n.replica.Current().Version,
		Flows:         uint32(n.flowCount.Load()),
		Load:          load,
		Speed:         uint32(n.slots.Usage(0).Speed),
	})
	n.mu.Unlock()
	if len(monitors) == 0 {
		monitors = n.settings.Seeds
	}
	datagram := heartbeat.Append(nil)
	for _, monitor := range monitors {
		n.socket.Send(datagram, monitor)
	}
	if len(monitors) == 0 || !n.leaseValid(now) {
		n.sendToSeeds(datagram)
	}
}

// sendToSeeds sends a heartbeat to the seeds, which may know the current monitors when the lease is not renewed.
func (n *Node) sendToSeeds(datagram []byte) {
	for _, seed := range n.settings.Seeds {
		n.socket.Send(datagram, seed)
	}
}

func (n *Node) leaseValid(now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.lease.Valid(now)
}

func (n *Node) tickSlots(now time.Time) {
	if violation := n.slots.Tick(now); violation != "" {
		n.Stats.Counter("cyclamendock_invariants_broken_total").Inc()
		n.Log.Warn("Invariant broken.", logs.Fields{"what": violation})
	}
}

// allowBalancerFetch limits how often the list of balancers is fetched: the longer the list, the more rarely.
func (n *Node) allowBalancerFetch(now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if now.Sub(n.balancersFetched) < time.Duration(len(n.lease.Balancers()))*fetchPausePerBalancer {
		return false
	}
	n.balancersFetched = now
	return true
}

// runFetchBalancers replaces the list of balancers with that of the balancer at the given address.
func (n *Node) runFetchBalancers(from netip.AddrPort) {
	ctx, cancel := context.WithTimeout(n.Ctx, callTimeout)
	defer cancel()
	var reply peer.Records
	if err := n.Peers.Call(ctx, from, peer.MethodBalancers, peer.Empty{}, &reply); err != nil {
		return
	}
	decoded, ok := fleet.DecodeRecords(reply.Encoded)
	if !ok {
		return
	}
	var records []fleet.Record
	for _, entry := range decoded {
		records = append(records, entry.Record)
	}
	n.setBalancers(records)
}

func (n *Node) setBalancers(records []fleet.Record) {
	n.mu.Lock()
	n.lease.SetBalancers(records)
	n.mu.Unlock()
	n.Trust.SetMembers(liveAddresses(records))
	n.endpoint.SetBalancers(liveAddresses(n.inOwnRegion(records)))
}

// inOwnRegion returns the records of the agent's own region.
func (n *Node) inOwnRegion(records []fleet.Record) []fleet.Record {
	var kept []fleet.Record
	for _, record := range records {
		if record.Region == n.settings.Region {
			kept = append(kept, record)
		}
	}
	return kept
}
