package tuple

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/cyclamendock/cyclamendock/lib/flows"
	"github.com/cyclamendock/cyclamendock/lib/logs"
)

const (
	isolationCheckInterval = 100 * time.Millisecond
	// isolationGrace is how long the other processes may take to answer before this balancer takes itself for cut off.
	isolationGrace = 300 * time.Millisecond
	// isolationSample is how many balancers and agents are asked.
	isolationSample = 8
)

// isolation tracks whether this balancer is cut off from the agents while other balancers are not. The routers still
// reach it then, and would go on sending it packets that the others could deliver.
type isolation struct {
	answers map[netip.AddrPort]bool // balancers that have answered, and whether they hear agents
	asked   []netip.AddrPort        // balancers that were alive when the agents became unreachable
	since   time.Time               // when the agents became unreachable; zero while one is heard
}

// update records whether agents are unreachable; alive returns the balancers that were heard lately.
func (i *isolation) update(now time.Time, agentsUnreachable bool, alive func() []netip.AddrPort) {
	switch {
	case !agentsUnreachable:
		*i = isolation{}
	case i.since.IsZero():
		*i = isolation{answers: map[netip.AddrPort]bool{}, asked: sample(alive()), since: now}
	}
}

// agentsHeard reports whether this balancer hears agents, or has not waited long enough to know.
func (i *isolation) agentsHeard(now time.Time) bool {
	return i.since.IsZero() || now.Sub(i.since) <= isolationGrace
}

// recordAnswer records whether another balancer hears agents.
func (i *isolation) recordAnswer(balancer netip.AddrPort, agentsHeard bool) {
	if !i.since.IsZero() {
		i.answers[balancer] = agentsHeard
	}
}

// cutOff reports whether other balancers can do better: one of them hears agents, or does not answer this balancer. When
// all of them answer that they hear none either, the agents are down.
func (i *isolation) cutOff(now time.Time) bool {
	if i.agentsHeard(now) {
		return false
	}
	for _, balancer := range i.asked {
		if agentsHeard, answered := i.answers[balancer]; agentsHeard || !answered {
			return true
		}
	}
	return false
}

// checkIsolation updates whether this balancer is cut off. While it hears no agent, it asks some agents for reports, as
// those that it has sent packets to may be down, and some balancers for digests.
func (n *Node) checkIsolation(now time.Time) {
	n.mu.Lock()
	n.isolation.update(now, n.director.Agents.Unreachable(now), func() []netip.AddrPort { return n.peers.heardLately(now) })
	asked, cutOff := n.isolation.asked, n.isolation.cutOff(now)
	var agents []flows.Endpoint
	if !n.isolation.since.IsZero() {
		agents = sample(n.director.Agents.Addresses())
	}
	n.mu.Unlock()
	n.requestDigests(asked)
	hello := flows.Hello{Era: n.guard.Era()}.Append(nil)
	for _, agent := range agents {
		n.socket.Send(hello, agent.AddrPort())
	}
	if n.cutOff.Swap(cutOff) != cutOff {
		n.config.Log.Warn("Reachability of the agents has changed.", logs.Fields{"balancersAsked": len(asked), "cutOff": cutOff})
	}
}

// sample returns up to isolationSample random elements.
func sample[E any](all []E) []E {
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(len(all), isolationSample)]
}
