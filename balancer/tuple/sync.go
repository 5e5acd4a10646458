package tuple

import (
	"context"
	"net/netip"
	"time"

	"github.com/cyclamendock/cyclamendock/lib/carry"
	"github.com/cyclamendock/cyclamendock/lib/logs"
	"github.com/cyclamendock/cyclamendock/lib/port"
)

const (
	methodKnown = "Tuple.Known"
	pullTimeout = time.Second
)

// Calls are the calls that other balancers make.
type Calls struct {
	node *Node
}

// Known is what a balancer tells another one.
type Known struct {
	Agents    []string
	Balancers []string
	Config    []byte // empty when the caller has this version or a newer one
}

// Ask says what the calling balancer has.
type Ask struct {
	Version uint64
}

// Known returns what this balancer knows.
func (c *Calls) Known(ask Ask, known *Known) error {
	n := c.node
	n.mu.Lock()
	defer n.mu.Unlock()
	if ask.Version < n.director.Version() {
		known.Config = n.raw
	}
	for _, agent := range n.director.Agents.Addresses() {
		known.Agents = append(known.Agents, agent.String())
	}
	for _, balancer := range n.peers.list {
		known.Balancers = append(known.Balancers, balancer.String())
	}
	return nil
}

func (n *Node) handleDigest(now time.Time, message []byte, from netip.AddrPort) bool {
	var theirs carry.Digest
	if !theirs.Decode(message) {
		return false
	}
	n.mu.Lock()
	n.peers.hear(now, from)
	ours := n.digest(true)
	if theirs.Fresh && theirs.Version <= ours.Version {
		n.checked = now
	}
	n.mu.Unlock()
	behind := theirs.Version > ours.Version || theirs.Members != ours.Members
	if behind {
		go n.runPull(from)
	}
	ahead := ours.Version > theirs.Version || theirs.Members != ours.Members
	if theirs.Reply && theirs.Members == ours.Members {
		n.poll.agree(from)
	}
	if (ahead || theirs.Ask) && !theirs.Reply {
		n.socket.Send(ours.Append(nil), from)
	}
	return true
}

// runPull learns what another balancer knows; only one pull runs at a time.
func (n *Node) runPull(from netip.AddrPort) {
	n.mu.Lock()
	if n.pulling {
		n.mu.Unlock()
		return
	}
	n.pulling = true
	ask := Ask{Version: n.director.Version()}
	n.mu.Unlock()
	ctx, cancel := context.WithTimeout(n.ctx, pullTimeout)
	defer cancel()
	var known Known
	err := n.calls.Call(ctx, from, methodKnown, ask, &known)
	n.mu.Lock()
	n.pulling = false
	n.mu.Unlock()
	if err != nil {
		n.config.Log.Warn("A balancer can't be asked.", logs.Fields{"balancer": from.String(), "error": err.Error()})
		return
	}
	n.learn(known)
}

func (n *Node) learn(known Known) {
	if len(known.Config) > 0 {
		n.takeConfig(known.Config, "balancer")
	}
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, agent := range n.parse(now, known.Agents) {
		n.director.Agents.Add(now, carry.EndpointOf(agent))
	}
	for _, balancer := range n.parse(now, known.Balancers) {
		n.peers.add(balancer)
	}
}

// parse returns the addresses that another balancer named.
func (n *Node) parse(now time.Time, texts []string) []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, text := range texts {
		address, err := netip.ParseAddrPort(text)
		if err != nil || !address.Addr().Is4() {
			n.config.Ignored.Note(now, port.InputMessage, text, "no IPv4 address with a port")
			continue
		}
		addresses = append(addresses, address)
	}
	return addresses
}

// sendDigests compares this balancer with the given ones; fresh says that it has just read the configuration.
func (n *Node) sendDigests(to []netip.AddrPort, fresh bool) {
	n.mu.Lock()
	digest := n.digest(false)
	n.mu.Unlock()
	digest.Fresh = fresh
	message := digest.Append(nil)
	for _, balancer := range to {
		n.socket.Send(message, balancer)
	}
}

// greetPeers makes balancers answer, so that this one soon knows which of them live and what they know.
func (n *Node) greetPeers(balancers []netip.AddrPort) {
	n.mu.Lock()
	digest := n.digest(false)
	n.mu.Unlock()
	digest.Ask = true
	for _, balancer := range balancers {
		n.socket.Send(digest.Append(nil), balancer)
	}
}

// nextPeers returns the balancers whose turn it is to be compared with.
func (n *Node) nextPeers() []netip.AddrPort {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.peers.next()
}

// allPeers returns every known balancer.
func (n *Node) allPeers() []netip.AddrPort {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]netip.AddrPort(nil), n.peers.list...)
}
