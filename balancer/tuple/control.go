package tuple

import (
	"time"

	"github.com/cyclamendock/cyclamendock/lib/fault"
	"github.com/cyclamendock/cyclamendock/lib/flows"
	"github.com/cyclamendock/cyclamendock/lib/logs"
	"github.com/cyclamendock/cyclamendock/lib/member"
	"github.com/cyclamendock/cyclamendock/lib/netio"
	"github.com/cyclamendock/cyclamendock/lib/snap"
)

const (
	// configCheckInterval is how often one of the balancers reads the configuration. Together with maxConfigCheckRank
	// times configCheckStagger it stays under the 3 s within which a change must be applied.
	configCheckInterval = 1800 * time.Millisecond
	configCheckStagger  = 200 * time.Millisecond
	configCheckTick     = 100 * time.Millisecond
	maxConfigCheckRank  = 4
	// maxQueueTime is how long a new flow waits for an agent before it is refused.
	maxQueueTime = 1200 * time.Millisecond
	// shutdownDelay is long enough for the routers to see two failed readiness checks, half a second apart.
	shutdownDelay = 1600 * time.Millisecond
	// pollPause is the minimum pause between two polls of the other balancers about the members.
	pollPause = 10 * time.Millisecond
	// digestRequestInterval is how often a balancer without a configuration requests digests from other balancers.
	digestRequestInterval = 50 * time.Millisecond
	// listPause is the minimum pause between two reads of the member list from the store.
	listPause     = 100 * time.Millisecond
	tickInterval  = 25 * time.Millisecond
	sweepInterval = time.Second
	// watchPause coalesces configuration changes in quick succession.
	watchPause = 100 * time.Millisecond
)

// runTimers runs the periodic tasks.
func (n *Node) runTimers() {
	out := n.newSender(timerBatch)
	ticks := n.clock.Subscribe(tickInterval)
	sweeps := n.clock.Subscribe(sweepInterval)
	digests := n.clock.Subscribe(digestInterval)
	isolationChecks := n.clock.Subscribe(isolationCheckInterval)
	digestRequests := n.clock.Subscribe(digestRequestInterval)
	for {
		select {
		case <-ticks:
			n.tick(out)
		case now := <-sweeps:
			n.sweep(now)
		case <-digestRequests:
			if n.version() == 0 {
				n.requestDigests(n.nextDigestPeers())
			}
		case now := <-isolationChecks:
			n.checkIsolation(now)
		case <-digests:
			n.sendDigests(n.nextDigestPeers(), false)
		case <-n.ctx.Done():
			return
		}
	}
}

// sweep removes expired state and agents that have not reported for long.
func (n *Node) sweep(now time.Time) {
	n.mu.Lock()
	n.director.Sweep(now)
	removed := n.director.Agents.ForgetSilent(now)
	var assigned []flows.Endpoint
	for _, agent := range removed {
		if n.peers.isResponsible(now, agent) {
			assigned = append(assigned, agent)
		}
	}
	n.mu.Unlock()
	for _, agent := range removed {
		n.config.Log.Info("A silent agent was removed.", logs.Fields{"agent": agent.String()})
	}
	if len(assigned) > 0 {
		go n.runRemove(assigned)
	}
}

// runRemove removes agents from the member list, and their snapshots; an agent that reports again is asked to rejoin.
func (n *Node) runRemove(agents []flows.Endpoint) {
	for _, agent := range agents {
		if err := n.directory.Remove(n.ctx, agent.AddrPort()); err != nil {
			n.logStoreError("An agent can't be removed from the members.", err)
			continue
		}
		if err := snap.NewArchive(n.config.Store, agent.AddrPort()).Remove(n.ctx); err != nil {
			n.logStoreError("The snapshot of a removed agent can't be removed.", err)
		}
	}
}

func (n *Node) tick(out *netio.Sender) {
	now := time.Now()
	n.mu.Lock()
	verdicts := n.director.Tick(now)
	hellos := n.director.Agents.DueHellos(now)
	n.mu.Unlock()
	for i := range verdicts {
		n.execute(now, out, &verdicts[i], verdicts[i].Forward.Datagram)
	}
	for _, agent := range hellos {
		out.QueueMessage(flows.AppendHello, agent)
	}
	out.Flush()
}

// runConfigWatch watches the configuration in the store and applies its changes.
func (n *Node) runConfigWatch() {
	pause := netio.MinRetryPause
	var version uint64
	for n.ctx.Err() == nil {
		object, err := n.config.Store.Watch(n.ctx, n.config.ConfigKey, version)
		switch {
		case err == nil:
			pause = netio.MinRetryPause
			version = object.Version
			n.applyConfig(object.Value, "store")
			netio.Sleep(n.ctx, watchPause)
		case fault.Is(err, fault.Missing):
			pause = netio.MinRetryPause
		default:
			n.logStoreError("The configuration can't be watched.", err)
			netio.Sleep(n.ctx, netio.Jitter(pause))
			pause = min(2*pause, netio.MaxRetryPause)
		}
	}
}

// runConfigCheck reads the configuration when no balancer has done so for a while, since a pending watch may miss
// changes when the store drops its history or the connection stalls.
func (n *Node) runConfigCheck() {
	ticks := n.clock.Subscribe(configCheckTick)
	for {
		select {
		case now := <-ticks:
			if n.configCheckDue(now) {
				n.checkConfig()
			}
		case <-n.ctx.Done():
			return
		}
	}
}

func (n *Node) configCheckDue(now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.director.Version() > 0 && n.peers.configCheckDue(now, n.configReadAt)
}

// checkConfig reads and applies the configuration and sends all balancers digests that state that it was read.
func (n *Node) checkConfig() {
	requestedAt := time.Now()
	object, err := n.config.Store.Get(n.ctx, n.config.ConfigKey)
	if err != nil {
		n.logStoreError("The configuration can't be read.", err)
		netio.Sleep(n.ctx, netio.Jitter(netio.MaxRetryPause))
		return
	}
	n.applyConfig(object.Value, "check")
	n.mu.Lock()
	n.configReadAt = requestedAt
	n.mu.Unlock()
	n.sendDigests(n.allPeers(), true)
}

// applyConfig applies a configuration that is newer than the current one and sends digests to the other balancers.
func (n *Node) applyConfig(value []byte, source string) {
	routes, err := n.config.Routes(value)
	if err != nil {
		n.config.Ignored.Record(time.Now(), netio.InputConfiguration, source, err.Error())
		return
	}
	n.mu.Lock()
	applied := n.director.SetRoutes(time.Now(), routes)
	if applied {
		n.rawConfig = value
	}
	n.mu.Unlock()
	if !applied {
		return
	}
	n.config.Log.Info("Configuration applied.", logs.Fields{"routes": len(routes.ByAddress), "source": source, "version": routes.Version})
	n.sendDigests(n.allPeers(), false)
}

// runMembers registers this balancer as a member, then confirms the member list whenever resets of flows are
// pending.
func (n *Node) runMembers() {
	n.join()
	for {
		select {
		case <-n.memberChecks:
			n.resetEndedFlows()
		case <-n.ctx.Done():
			return
		}
	}
}

func (n *Node) join() {
	netio.Retry(n.ctx, func() error {
		requestedAt := time.Now()
		members, err := n.directory.Join(n.ctx, n.config.FirstStart)
		if err != nil {
			return err
		}
		n.mergeMemberList(requestedAt, members)
		n.config.Log.Info("Joined.", logs.Fields{"members": len(members)})
		n.requestDigests(n.allPeers())
		return nil
	}, func(err error) { n.logStoreError("This balancer can't join.", err) })
}

// resetEndedFlows resets the flows that no member can hold, once the other balancers or the store confirm the members.
func (n *Node) resetEndedFlows() {
	requestedAt, pause := time.Now(), pollPause
	if !n.confirmMembers(requestedAt) {
		requestedAt = time.Now()
		members, err := n.directory.List(n.ctx)
		if err != nil {
			n.logStoreError("The members can't be read.", err)
			netio.Sleep(n.ctx, netio.MinRetryPause)
			n.requestMemberCheck()
			return
		}
		n.mergeMemberList(requestedAt, members)
		pause = listPause
	}
	out := n.newSender(timerBatch)
	now := time.Now()
	n.mu.Lock()
	verdicts := n.director.ResolvePendingResets(now, requestedAt)
	more := n.director.HasPendingResets()
	n.mu.Unlock()
	for i := range verdicts {
		n.execute(now, out, &verdicts[i], nil)
	}
	out.Flush()
	if more {
		n.requestMemberCheck()
	}
	netio.Sleep(n.ctx, pause)
}

// mergeMemberList adds the members of a list that was requested at the given time, and asks agents that report but are
// missing from the list to join again.
func (n *Node) mergeMemberList(requestedAt time.Time, members []member.Member) {
	now := time.Now()
	var listed []flows.Endpoint
	n.mu.Lock()
	for _, m := range members {
		switch m.Role {
		case member.RoleAgent:
			listed = append(listed, flows.EndpointOf(m.Address))
			n.director.Agents.AddListed(now, requestedAt, flows.EndpointOf(m.Address))
		case member.RoleBalancer:
			n.peers.add(m.Address)
		}
	}
	unlisted := n.director.Agents.Unlisted(now, listed)
	n.mu.Unlock()
	for _, agent := range unlisted {
		n.config.Log.Info("Agent is missing from the members.", logs.Fields{"agent": agent.String()})
		n.socket.Send(flows.AppendJoin(nil), agent.AddrPort())
	}
}

// requestMemberCheck makes runMembers confirm the members soon.
func (n *Node) requestMemberCheck() {
	select {
	case n.memberChecks <- struct{}{}:
	default:
	}
}

func (n *Node) logStoreError(text string, err error) {
	if n.ctx.Err() == nil {
		n.config.Log.Warn(text, logs.Fields{"error": err.Error()})
	}
}
