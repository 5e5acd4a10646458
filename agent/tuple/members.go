package tuple

import (
	"context"
	"net/netip"
	"time"

	"github.com/cyclamendock/cyclamendock/lib/carry"
	"github.com/cyclamendock/cyclamendock/lib/logs"
	"github.com/cyclamendock/cyclamendock/lib/member"
	"github.com/cyclamendock/cyclamendock/lib/port"
)

const (
	// enterLimit is how long the list of members may take before this agent counts as one of them.
	enterLimit = 100 * time.Millisecond
	// joinPause is the least pause between two entries into the members.
	joinPause = 5 * time.Second
	// leaveTimeout is how long taking this agent out of the members may hold up its end.
	leaveTimeout = time.Second
)

// runMembers enters the members and reports to the balancers among them, again whenever a balancer misses this agent. It
// leaves them when its backend server has ended for good, and joins with the next one.
func (n *Node) runMembers() {
	n.enter()
	for n.ctx.Err() == nil {
		select {
		case <-n.rejoin:
			n.join(false)
			port.Sleep(n.ctx, joinPause)
		case <-n.serverLeft:
			n.leaveMembers()
			n.waitForServer()
			n.join(true)
		case <-n.ctx.Done():
		}
	}
}

// leaveMembers takes this agent out of the members unless another backend server has come meanwhile.
func (n *Node) leaveMembers() {
	port.Retry(n.ctx, func() error {
		if n.hasServer() {
			return nil
		}
		return n.directory.Leave(n.ctx)
	}, func(err error) {
		n.config.Log.Warn("This agent can't leave the members.", logs.Fields{"error": err.Error()})
	})
}

// enter joins the members, unless this agent has left them or never was one: then its backend server holds no flows of
// before, and it joins with the first announcement. Otherwise balancers would wait for its answer about every flow if
// its host went away without a backend server ever having run there.
func (n *Node) enter() {
	if n.config.First {
		n.join(true)
		return
	}
	ctx, cancel := context.WithTimeout(n.ctx, enterLimit)
	members, err := n.directory.List(ctx)
	cancel()
	switch {
	case err != nil:
		n.config.Log.Warn("The members can't be read in time.", logs.Fields{"error": err.Error()})
		n.join(false)
	case n.directory.Lists(members):
		n.greet(n.config.Seeds)
		n.takeMembers(members)
		n.probeSoon()
	default:
		n.config.Log.Info("Waits for a backend server before it joins.", logs.Fields{"members": len(members)})
		n.waitForServer()
		n.join(true)
	}
}

// waitForServer waits until a backend server has announced itself here and not ended since.
func (n *Node) waitForServer() {
	for n.ctx.Err() == nil && !n.hasServer() {
		select {
		case <-n.serverSeen:
		case <-n.ctx.Done():
		}
	}
}

func (n *Node) hasServer() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.server.Current().Born != 0 && n.server.State(time.Now()) != carry.StateGone
}

func (n *Node) join(first bool) {
	port.Retry(n.ctx, func() error {
		n.greet(n.config.Seeds)
		members, err := n.directory.Join(n.ctx, first)
		if err != nil {
			return err
		}
		n.takeMembers(members)
		return nil
	}, func(err error) {
		n.config.Log.Warn("This agent can't join.", logs.Fields{"error": err.Error()})
	})
}

func (n *Node) takeMembers(members []member.Member) {
	n.config.Log.Info("Joined.", logs.Fields{"members": len(members)})
	var balancers []netip.AddrPort
	for _, m := range members {
		if m.Role == member.RoleBalancer {
			balancers = append(balancers, m.Address)
		}
	}
	n.greet(balancers)
}

// greet reports to balancers that may not know this agent yet.
func (n *Node) greet(balancers []netip.AddrPort) {
	now := time.Now()
	n.mu.Lock()
	for _, balancer := range balancers {
		n.carrier.Greeted(now, carry.EndpointOf(balancer))
	}
	n.mu.Unlock()
	n.reportSoon()
}

// seeServer lets an agent join that waits for its first backend server.
func (n *Node) seeServer() {
	select {
	case n.serverSeen <- struct{}{}:
	default:
	}
}

// leaveSoon makes runMembers take this agent out of the members.
func (n *Node) leaveSoon() {
	select {
	case n.serverLeft <- struct{}{}:
	default:
	}
}

// joinSoon makes runMembers enter the members again.
func (n *Node) joinSoon() {
	select {
	case n.rejoin <- struct{}{}:
	default:
	}
}
