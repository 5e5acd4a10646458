package tuple

import (
	"context"
	"net/netip"
	"time"

	"github.com/cyclamendock/cyclamendock/lib/flows"
	"github.com/cyclamendock/cyclamendock/lib/logs"
	"github.com/cyclamendock/cyclamendock/lib/netio"
)

const (
	methodKnown = "Tuple.Known"
	pullTimeout = time.Second
)

// RPCHandler implements the RPC methods for other balancers and operators.
type RPCHandler struct {
	node *Node
}

// KnownState holds the members and the configuration that a balancer knows.
type KnownState struct {
	Agents    []string // addresses
	Balancers []string // addresses
	Config    []byte   // encoded; empty when the client has this version or a newer one
}

// StateRequest holds the configuration version of the balancer that asks.
type StateRequest struct {
	Version uint64
}

// Known returns the members that this balancer knows, and its configuration when that is newer than the requested one.
func (h *RPCHandler) Known(request StateRequest, known *KnownState) error {
	n := h.node
	n.mu.Lock()
	defer n.mu.Unlock()
	if request.Version < n.director.Version() {
		known.Config = n.rawConfig
	}
	for _, agent := range n.director.Agents.Addresses() {
		known.Agents = append(known.Agents, agent.String())
	}
	for _, balancer := range n.peers.list {
		known.Balancers = append(known.Balancers, balancer.String())
	}
	return nil
}

// handleDigest records that a balancer is alive, pulls its state when that differs, and replies when this balancer's state
// differs or a reply is required. It returns false for a malformed digest.
func (n *Node) handleDigest(now time.Time, message []byte, from netip.AddrPort) bool {
	var theirs flows.Digest
	if !theirs.Decode(message) {
		return false
	}
	n.guard.RecordStated(theirs.Era)
	n.mu.Lock()
	n.peers.markSeen(now, from)
	n.isolation.recordAnswer(from, theirs.AgentsHeard)
	ours := n.digest(true)
	if theirs.FromStore && theirs.Version <= ours.Version {
		n.configReads.recordNotice(now, from)
	}
	zonesChange := n.zoneSync.recordDigest(now, theirs, from)
	zonesAhead := n.zoneSync.ahead(theirs)
	n.mu.Unlock()
	if zonesChange.Any() {
		n.sendDigests(n.nextDigestPeers())
		n.logZones(zonesChange, theirs.Zones, "balancer")
	}
	behind := theirs.Version > ours.Version || theirs.MembersHash != ours.MembersHash
	if behind {
		go n.runPull(from)
	}
	ahead := ours.Version > theirs.Version || theirs.MembersHash != ours.MembersHash || zonesAhead
	if (ahead || theirs.ReplyRequired) && !theirs.IsReply {
		n.socket.Send(ours.Append(nil), from)
	}
	return true
}

// runPull fetches and merges the state of another balancer; only one pull runs at a time.
func (n *Node) runPull(from netip.AddrPort) {
	n.mu.Lock()
	if n.pulling {
		n.mu.Unlock()
		return
	}
	n.pulling = true
	request := StateRequest{Version: n.director.Version()}
	n.mu.Unlock()
	ctx, cancel := context.WithTimeout(n.ctx, pullTimeout)
	defer cancel()
	var known KnownState
	err := n.client.Call(ctx, from, methodKnown, request, &known)
	n.mu.Lock()
	n.pulling = false
	n.mu.Unlock()
	if err != nil {
		n.config.Log.Warn("Pulling state from a balancer failed.", logs.Fields{"balancer": from.String(), "error": err.Error()})
		return
	}
	n.mergeKnown(known)
}

func (n *Node) mergeKnown(known KnownState) {
	if len(known.Config) > 0 {
		n.applyConfig(known.Config, "balancer")
	}
	now := time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, agent := range n.parseAddresses(now, known.Agents) {
		n.director.Agents.Add(now, flows.EndpointOf(agent))
	}
	for _, balancer := range n.parseAddresses(now, known.Balancers) {
		n.peers.add(balancer)
	}
}

// parseAddresses returns the valid addresses among texts from another balancer.
func (n *Node) parseAddresses(now time.Time, texts []string) []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, text := range texts {
		address, err := netip.ParseAddrPort(text)
		if err != nil || !address.Addr().Is4() || address.Port() == 0 {
			n.config.Ignored.Record(now, netio.InputMessage, text, "no IPv4 address with a port")
			continue
		}
		addresses = append(addresses, address)
	}
	return addresses
}

// sendDigests sends this balancer's digest.
func (n *Node) sendDigests(to []netip.AddrPort) { n.sendDigest(to, n.currentDigest()) }

// sendReadNotice sends all balancers digests that state what this balancer has just read from the store.
func (n *Node) sendReadNotice(config, zones bool) {
	digest := n.currentDigest()
	digest.FromStore, digest.ZonesFromStore = config, zones
	n.sendDigest(n.allPeers(), digest)
}

func (n *Node) sendDigest(to []netip.AddrPort, digest flows.Digest) {
	message := digest.Append(nil)
	for _, balancer := range to {
		n.socket.Send(message, balancer)
	}
}

// currentDigest returns a digest that is no reply.
func (n *Node) currentDigest() flows.Digest {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.digest(false)
}

// requestDigests sends digests that require a reply, to find out soon which balancers are alive and whether their state
// differs.
func (n *Node) requestDigests(balancers []netip.AddrPort) {
	digest := n.currentDigest()
	digest.ReplyRequired = true
	n.sendDigest(balancers, digest)
}

// nextDigestPeers returns the balancers that receive the next digests.
func (n *Node) nextDigestPeers() []netip.AddrPort {
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
