package tuple

import (
	"context"
	"net/netip"
	"time"

	"github.com/cyclamendock/cyclamendock/lib/flows"
	"github.com/cyclamendock/cyclamendock/lib/logs"
	"github.com/cyclamendock/cyclamendock/lib/member"
	"github.com/cyclamendock/cyclamendock/lib/netio"
	"github.com/cyclamendock/cyclamendock/lib/snap"
)

const (
	// startListTimeout bounds the read of the member list at the start. After it the agent assumes that it is listed.
	startListTimeout = 100 * time.Millisecond
	// minJoinPause is the minimum pause between two requested joins.
	minJoinPause = 5 * time.Second
	// leaveTimeout bounds how long removing this agent from the member list may delay its shutdown.
	leaveTimeout = time.Second
)

// runMembers joins the member list and subscribes the balancers in it to reports. It joins again whenever a balancer
// reports that this agent is not listed, or that its entry may be marked for removal. It leaves the list when the backend
// server has ended for good and joins again with the next backend server; while a process listens at the backend server's
// address, it tries to leave again later.
func (n *Node) runMembers() {
	n.joinAtStart()
	joinRequested := n.joinRequested
	var pauseEnd, nextLeave <-chan time.Time
	for n.ctx.Err() == nil {
		select {
		case <-n.guard.Due():
			n.guard.Check(n.ctx)
		case <-joinRequested:
			if n.joinMissing.Swap(false) {
				n.setListing(flows.ListingAbsent)
			}
			n.join(false)
			joinRequested, pauseEnd = nil, time.After(minJoinPause)
		case <-pauseEnd:
			joinRequested = n.joinRequested
		case <-n.leaveRequested:
			nextLeave = n.leaveUntilNextServer()
		case <-nextLeave:
			nextLeave = n.leaveUntilNextServer()
		case <-n.ctx.Done():
		}
	}
}

// leaveUntilNextServer leaves the member list and joins again with the next backend server. If a process listens that has not announced
// itself since, it changes nothing and returns a channel that tells when to try again.
func (n *Node) leaveUntilNextServer() <-chan time.Time {
	if n.leaveMembers() {
		n.waitForServer()
		n.join(true)
		return nil
	}
	if n.hasServer() {
		return nil
	}
	return time.After(minProbePause)
}

// leaveMembers removes this agent from the member list, and reports whether it has tried to. It doesn't while a process listens at the
// backend server's address: that one may still finish flows, or be a later process whose predecessor's leave has arrived late.
func (n *Node) leaveMembers() (tried bool) {
	netio.Retry(n.ctx, func() error {
		if n.hasServer() || !n.probeServerPort() {
			return nil
		}
		tried = true
		return n.leave(n.ctx)
	}, func(err error) {
		n.config.Log.Warn("This agent can't leave the member list.", logs.Fields{"error": err.Error()})
	})
	return tried
}

// leave removes this agent from the member list, and the snapshot of its flows, which have ended, from the store.
func (n *Node) leave(ctx context.Context) error {
	n.setListing(flows.ListingAbsent)
	if err := n.directory.Leave(ctx); err != nil {
		return err
	}
	if !n.snapshotStored.Load() {
		return nil
	}
	return snap.NewArchive(n.config.Store, n.config.Address).Remove(ctx)
}

// joinAtStart joins at once on the first start of the system, if a backend server may run here, or if the list can't be read
// in time. Without a backend server there are no earlier flows, so an agent that is not listed joins only after the first
// announcement: if it were listed and its host failed before a backend server had run there, balancers would wait for
// its answer about every flow.
func (n *Node) joinAtStart() {
	if n.config.FirstStart {
		n.join(true)
		return
	}
	n.probeServerPort()
	serverRuns := !n.serverClosed()
	ctx, cancel := context.WithTimeout(n.ctx, startListTimeout)
	list, err := n.directory.List(ctx)
	cancel()
	switch {
	case err != nil:
		n.config.Log.Warn("The member list can't be read in time.", logs.Fields{"error": err.Error()})
		n.join(false)
	case n.directory.ContainsSelf(list):
		n.addSubscribers(n.config.Seeds)
		n.finishJoin(list)
	case serverRuns:
		n.config.Log.Info("A backend server runs, but this agent is not listed.", logs.Fields{"members": len(list.Members)})
		n.join(true)
	default:
		n.config.Log.Info("Waiting for a backend server before joining.", logs.Fields{"members": len(list.Members)})
		n.setListing(flows.ListingAbsent)
		n.waitForServer()
		n.join(true)
	}
}

// serverClosed reports whether no backend server runs at this agent's address.
func (n *Node) serverClosed() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.server.Closed()
}

// waitForServer waits until a backend server that runs now has announced itself, or the context ends.
func (n *Node) waitForServer() {
	for n.ctx.Err() == nil && !n.hasServer() {
		select {
		case <-n.serverChanged:
		case <-n.ctx.Done():
		}
	}
}

// hasServer reports whether a backend server has announced itself and not ended since.
func (n *Node) hasServer() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.server.Current().StartMillis != 0 && n.server.State(time.Now()) != flows.StateGone
}

// join adds this agent to the member list and retries until that succeeds. With first, it doesn't check whether the
// agent is already listed.
func (n *Node) join(first bool) {
	netio.Retry(n.ctx, func() error {
		n.addSubscribers(n.config.Seeds)
		list, err := n.directory.Join(n.ctx, first)
		if err != nil {
			return err
		}
		n.finishJoin(list)
		return nil
	}, func(err error) {
		n.config.Log.Warn("This agent can't join.", logs.Fields{"error": err.Error()})
	})
}

// finishJoin subscribes the listed balancers to reports.
func (n *Node) finishJoin(list member.List) {
	n.config.Log.Info("Joined.", logs.Fields{"members": len(list.Members)})
	var balancers []netip.AddrPort
	for _, m := range list.Members {
		if m.Role == member.RoleBalancer {
			balancers = append(balancers, m.Address)
		}
	}
	n.mu.Lock()
	n.agentCount = len(list.Members) - len(balancers)
	n.dispatcher.SetListing(flows.ListingConfirmed)
	n.mu.Unlock()
	n.addSubscribers(balancers)
}

// addSubscribers subscribes balancers, which may not know this agent yet, to its reports and reports at once.
func (n *Node) addSubscribers(balancers []netip.AddrPort) {
	now := time.Now()
	n.mu.Lock()
	for _, balancer := range balancers {
		n.dispatcher.HandleHello(now, flows.EndpointOf(balancer))
	}
	n.mu.Unlock()
	n.requestReport()
}

// setListing sets what reports say about this agent's entry in the member list.
func (n *Node) setListing(listing flows.Listing) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dispatcher.SetListing(listing)
}

// setListed sets what reports say about this agent's entry, which it has found lost or stored again. Balancers that have restarted
// meanwhile don't know this agent, so it then reports to all on the list.
func (n *Node) setListed(listed bool) {
	if !listed {
		n.setListing(flows.ListingAbsent)
		return
	}
	n.setListing(flows.ListingConfirmed)
	n.requestJoin(flows.Join{})
}

// knownAgents returns the number of agents on the last list of members that this agent has read.
func (n *Node) knownAgents() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.agentCount
}

// notifyServerChanged wakes waitForServer.
func (n *Node) notifyServerChanged() {
	select {
	case n.serverChanged <- struct{}{}:
	default:
	}
}

// requestLeave makes runMembers remove this agent from the member list.
func (n *Node) requestLeave() {
	select {
	case n.leaveRequested <- struct{}{}:
	default:
	}
}

// requestJoin makes runMembers join the member list again. An agent whose entry may only be marked for removal is still listed.
func (n *Node) requestJoin(join flows.Join) {
	if join.Missing {
		n.joinMissing.Store(true)
	}
	select {
	case n.joinRequested <- struct{}{}:
	default:
	}
}
