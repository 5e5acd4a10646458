package tuple

import (
	"time"

	"github.com/cyclamendock/cyclamendock/lib/carry"
	"github.com/cyclamendock/cyclamendock/lib/fault"
	"github.com/cyclamendock/cyclamendock/lib/logs"
	"github.com/cyclamendock/cyclamendock/lib/member"
	"github.com/cyclamendock/cyclamendock/lib/port"
)

const (
	// checkInterval is how often one of the balancers reads the configuration. With maxCheckRank staggers it stays
	// under the 3 s in which a change has to be in force.
	checkInterval = 1800 * time.Millisecond
	checkStagger  = 200 * time.Millisecond
	checkTick     = 100 * time.Millisecond
	maxCheckRank  = 4
	// holdLimit is how long a new flow waits for an agent before it is refused.
	holdLimit = 1200 * time.Millisecond
	// leaveLinger covers the routers' two missed checks, half a second apart.
	leaveLinger = 1600 * time.Millisecond
	// agreePause is the least pause between two questions about the members to other balancers.
	agreePause = 10 * time.Millisecond
	// learnInterval is how often a balancer without configuration asks the others for theirs.
	learnInterval = 50 * time.Millisecond
	// listPause is the least pause between two reads of the members.
	listPause     = 100 * time.Millisecond
	tickInterval  = 25 * time.Millisecond
	sweepInterval = time.Second
	// watchPause gathers changes that come in quick succession.
	watchPause = 100 * time.Millisecond
)

// runTimers does what is due by time.
func (n *Node) runTimers() {
	out := n.newOutlet(timerBatch)
	ticks := n.clock.Subscribe(tickInterval)
	sweeps := n.clock.Subscribe(sweepInterval)
	digests := n.clock.Subscribe(digestInterval)
	learning := n.clock.Subscribe(learnInterval)
	for {
		select {
		case <-ticks:
			n.tick(out)
		case now := <-sweeps:
			n.sweep(now)
		case <-learning:
			if n.version() == 0 {
				n.greetPeers(n.nextPeers())
			}
		case <-digests:
			n.sendDigests(n.nextPeers(), false)
		case <-n.ctx.Done():
			return
		}
	}
}

// sweep forgets what has expired, and agents that have been silent for long.
func (n *Node) sweep(now time.Time) {
	n.mu.Lock()
	n.director.Sweep(now)
	forgotten := n.director.Agents.Forget(now)
	var mine []carry.Endpoint
	for _, agent := range forgotten {
		if n.peers.first(now, agent) {
			mine = append(mine, agent)
		}
	}
	n.mu.Unlock()
	for _, agent := range forgotten {
		n.config.Log.Info("Agent forgotten.", logs.Fields{"agent": agent.String()})
	}
	if len(mine) > 0 {
		go n.runRemove(mine)
	}
}

// runRemove removes agents from the members; one that is back is asked to join again.
func (n *Node) runRemove(agents []carry.Endpoint) {
	for _, agent := range agents {
		if err := n.directory.Remove(n.ctx, agent.AddrPort()); err != nil {
			n.logStore("An agent can't be removed from the members.", err)
		}
	}
}

func (n *Node) tick(out *port.Outlet) {
	now := time.Now()
	n.mu.Lock()
	verdicts := n.director.Tick(now)
	greet := n.director.Agents.Greet(now)
	n.mu.Unlock()
	for i := range verdicts {
		n.do(now, out, &verdicts[i], verdicts[i].Forward.Datagram)
	}
	for _, agent := range greet {
		out.Message(carry.AppendHello, agent)
	}
	out.Flush()
}

// runConfig follows the configuration in the store.
func (n *Node) runConfig() {
	pause := port.RetryFirst
	var version uint64
	for n.ctx.Err() == nil {
		object, err := n.config.Store.Watch(n.ctx, n.config.ConfigKey, version)
		switch {
		case err == nil:
			pause = port.RetryFirst
			version = object.Version
			n.takeConfig(object.Value, "store")
			port.Sleep(n.ctx, watchPause)
		case fault.Is(err, fault.Missing):
			pause = port.RetryFirst
		default:
			n.logStore("The configuration can't be followed.", err)
			port.Sleep(n.ctx, port.Jitter(pause))
			pause = min(2*pause, port.RetryLast)
		}
	}
}

// runCheck reads the configuration when no balancer has for a while: a waiting watch may miss changes, when the store
// drops its history or the connection goes silent.
func (n *Node) runCheck() {
	ticks := n.clock.Subscribe(checkTick)
	for {
		select {
		case now := <-ticks:
			if n.checkDue(now) {
				n.check()
			}
		case <-n.ctx.Done():
			return
		}
	}
}

func (n *Node) checkDue(now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.director.Version() > 0 && n.peers.checkDue(now, n.checked)
}

func (n *Node) check() {
	asked := time.Now()
	object, err := n.config.Store.Get(n.ctx, n.config.ConfigKey)
	if err != nil {
		n.logStore("The configuration can't be read.", err)
		port.Sleep(n.ctx, port.Jitter(port.RetryLast))
		return
	}
	n.takeConfig(object.Value, "check")
	n.mu.Lock()
	n.checked = asked
	n.mu.Unlock()
	n.sendDigests(n.allPeers(), true)
}

// takeConfig puts a newer configuration in force and tells the other balancers.
func (n *Node) takeConfig(value []byte, source string) {
	routes, err := n.config.Routes(value)
	if err != nil {
		n.config.Ignored.Note(time.Now(), port.InputConfiguration, source, err.Error())
		return
	}
	n.mu.Lock()
	taken := n.director.SetRoutes(time.Now(), routes)
	if taken {
		n.raw = value
	}
	n.mu.Unlock()
	if !taken {
		return
	}
	n.config.Log.Info("Configuration taken.", logs.Fields{"routes": len(routes.ByAddress), "source": source, "version": routes.Version})
	n.sendDigests(n.allPeers(), false)
}

// runMembers joins the members, then confirms them whenever the end of a flow has to be proved.
func (n *Node) runMembers() {
	n.join()
	for {
		select {
		case <-n.wakeList:
			n.endFlows()
		case <-n.ctx.Done():
			return
		}
	}
}

func (n *Node) join() {
	port.Retry(n.ctx, func() error {
		asked := time.Now()
		members, err := n.directory.Join(n.ctx, n.config.First)
		if err != nil {
			return err
		}
		n.takeMembers(asked, members)
		n.config.Log.Info("Joined.", logs.Fields{"members": len(members)})
		n.greetPeers(n.allPeers())
		return nil
	}, func(err error) { n.logStore("This balancer can't join.", err) })
}

// endFlows ends the flows that no member can hold, as far as the other balancers or the store confirm the members.
func (n *Node) endFlows() {
	asked, pause := time.Now(), agreePause
	if !n.agreeOnMembers(asked) {
		asked = time.Now()
		members, err := n.directory.List(n.ctx)
		if err != nil {
			n.logStore("The members can't be read.", err)
			port.Sleep(n.ctx, port.RetryFirst)
			n.askForList()
			return
		}
		n.takeMembers(asked, members)
		pause = listPause
	}
	out := n.newOutlet(timerBatch)
	now := time.Now()
	n.mu.Lock()
	verdicts := n.director.Listed(now, asked)
	more := n.director.Proving()
	n.mu.Unlock()
	for i := range verdicts {
		n.do(now, out, &verdicts[i], nil)
	}
	out.Flush()
	if more {
		n.askForList()
	}
	port.Sleep(n.ctx, pause)
}

// takeMembers adds the members of a list that was asked for at the given time, and asks agents that are missing from
// it to join again.
func (n *Node) takeMembers(asked time.Time, members []member.Member) {
	now := time.Now()
	var listed []carry.Endpoint
	n.mu.Lock()
	for _, m := range members {
		switch m.Role {
		case member.RoleAgent:
			listed = append(listed, carry.EndpointOf(m.Address))
			n.director.Agents.Listed(now, asked, carry.EndpointOf(m.Address))
		case member.RoleBalancer:
			n.peers.add(m.Address)
		}
	}
	unlisted := n.director.Agents.Unlisted(now, listed)
	n.mu.Unlock()
	for _, agent := range unlisted {
		n.config.Log.Info("Agent is missing from the members.", logs.Fields{"agent": agent.String()})
		n.socket.Send(carry.AppendJoin(nil), agent.AddrPort())
	}
}

// askForList makes runMembers read the members soon.
func (n *Node) askForList() {
	select {
	case n.wakeList <- struct{}{}:
	default:
	}
}

func (n *Node) logStore(text string, err error) {
	if n.ctx.Err() == nil {
		n.config.Log.Warn(text, logs.Fields{"error": err.Error()})
	}
}
