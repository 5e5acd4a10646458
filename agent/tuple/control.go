package tuple

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"syscall"
	"time"

	"github.com/cyclamendock/cyclamendock/lib/carry"
	"github.com/cyclamendock/cyclamendock/lib/logs"
	"github.com/cyclamendock/cyclamendock/lib/member"
	"github.com/cyclamendock/cyclamendock/lib/port"
)

const (
	// changeRepeats is how often a change of state is reported again.
	changeRepeats = 2
	// enterLimit is how long the list of members may take before this agent counts as one of them.
	enterLimit = 100 * time.Millisecond
	// joinPause is the least pause between two entries into the members.
	joinPause    = 5 * time.Second
	leaveTimeout = time.Second
	// probeLimit is how long the backend server, on the same host, may take to accept a connection.
	probeLimit = 200 * time.Millisecond
	probePause = 500 * time.Millisecond
	// reportInterval is how often the balancers that should get a report are looked for.
	reportInterval = 50 * time.Millisecond
	sweepInterval  = 200 * time.Millisecond
	tickInterval   = 25 * time.Millisecond
	timerBatch     = 8 // datagrams
)

// runTimers does what is due by time.
func (n *Node) runTimers() {
	out := n.newOutlet(1, timerBatch)
	reports := n.clock.Subscribe(reportInterval)
	ticks := n.clock.Subscribe(tickInterval)
	sweeps := n.clock.Subscribe(sweepInterval)
	repeats := 0 // of the last change of state, since datagrams get lost
	for {
		select {
		case <-reports:
			n.report(out, repeats > 0)
			repeats = max(0, repeats-1)
		case <-n.announced:
			n.report(out, true)
			repeats = changeRepeats
		case <-ticks:
			n.release(out)
		case now := <-sweeps:
			n.mu.Lock()
			n.carrier.Sweep(now)
			overdue := n.server.Overdue(now)
			n.mu.Unlock()
			if overdue {
				n.probeSoon()
			}
		case <-n.ctx.Done():
			return
		}
	}
}

// release lets waiting flows in, or refuses those that have waited too long.
func (n *Node) release(out *port.Outlet) {
	now := time.Now()
	n.mu.Lock()
	released := n.carrier.Release(now)
	ended := n.carrier.TakeEnded()
	n.mu.Unlock()
	n.observe(now, ended)
	for i := range released {
		n.do(now, out, &released[i], nil)
	}
	out.Flush()
}

func (n *Node) report(out *port.Outlet, changed bool) {
	now := time.Now()
	n.mu.Lock()
	report := n.carrier.Report(now)
	due := n.carrier.Due(now, changed)
	n.mu.Unlock()
	for _, d := range due {
		report.Every = d.Every
		out.Message(report.Append, d.Balancer)
	}
	out.Flush()
}

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

// probeSoon makes runProbe find out whether a backend server runs here.
func (n *Node) probeSoon() {
	select {
	case n.probe <- struct{}{}:
	default:
	}
}

// runProbe looks for the backend server when its announcements are missing, at most once in a while.
func (n *Node) runProbe() {
	for n.ctx.Err() == nil {
		select {
		case <-n.probe:
			n.probeServer()
			port.Sleep(n.ctx, probePause)
		case <-n.ctx.Done():
		}
	}
}

// probeServer connects to the backend server's address. Without a process that listens there, there are no flows.
func (n *Node) probeServer() {
	conn, err := net.DialTimeout("tcp4", n.config.Inlet.String(), probeLimit)
	switch {
	case err == nil:
		_ = conn.Close()
	case errors.Is(err, syscall.ECONNREFUSED):
		n.noteClosed(time.Now())
	default:
		n.config.Log.Warn("The backend server can't be probed.", logs.Fields{"error": err.Error()})
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
