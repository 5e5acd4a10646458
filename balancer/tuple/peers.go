package tuple

import (
	"hash/maphash"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cyclamendock/cyclamendock/lib/flows"
)

const (
	// digestInterval is how often a balancer sends digests of its configuration and members to some others.
	digestInterval = time.Second
	// digestFanout is the number of balancers that receive a digest each time.
	digestFanout = 3
	// peerTimeout is how long a balancer may be silent before others take over its tasks. While there are few
	// balancers, each one sends a digest about once per digestInterval.
	peerTimeout = 10 * time.Second
)

// peerSet holds the other balancers that a balancer knows.
type peerSet struct {
	cursor   uint64                       // round-robin position in list, random at the start
	lastSeen map[netip.AddrPort]time.Time // time of the last digest by balancer
	list     []netip.AddrPort             // sorted
	self     netip.AddrPort
}

func newPeerSet(self netip.AddrPort, seeds []netip.AddrPort) *peerSet {
	p := &peerSet{cursor: new(maphash.Hash).Sum64(), lastSeen: map[netip.AddrPort]time.Time{}, self: self}
	for _, seed := range seeds {
		p.add(seed)
	}
	return p
}

// add adds a balancer and reports whether it was new.
func (p *peerSet) add(address netip.AddrPort) bool {
	if address == p.self {
		return false
	}
	at, found := slices.BinarySearchFunc(p.list, address, netip.AddrPort.Compare)
	if found {
		return false
	}
	p.list = slices.Insert(p.list, at, address)
	return true
}

// markSeen records that a balancer sent a digest, and adds the balancer when it is new.
func (p *peerSet) markSeen(now time.Time, address netip.AddrPort) {
	p.add(address)
	p.lastSeen[address] = now
}

// isResponsible reports whether this balancer has the highest rendezvous weight for an agent among the live balancers.
func (p *peerSet) isResponsible(now time.Time, agent flows.Endpoint) bool {
	ownWeight := rendezvousWeight(agent, p.self)
	for other, seen := range p.lastSeen {
		if now.Sub(seen) < peerTimeout && rendezvousWeight(agent, other) > ownWeight {
			return false
		}
	}
	return true
}

// alive returns the other balancers that have sent a digest within peerTimeout.
func (p *peerSet) alive(now time.Time) []netip.AddrPort {
	var alive []netip.AddrPort
	for other, seen := range p.lastSeen {
		if now.Sub(seen) < peerTimeout {
			alive = append(alive, other)
		}
	}
	return alive
}

// rank returns the index of this balancer among the live ones in address order.
func (p *peerSet) rank(now time.Time) int {
	rank := 0
	for other, seen := range p.lastSeen {
		if now.Sub(seen) < peerTimeout && other.Compare(p.self) < 0 {
			rank++
		}
	}
	return rank
}

// configCheckDue reports whether this balancer has to read the configuration, given when any balancer last read it.
// Balancers of higher rank wait longer, so that each takes over when the ones before it fail to read.
func (p *peerSet) configCheckDue(now, lastRead time.Time) bool {
	rank := min(p.rank(now), maxConfigCheckRank)
	return now.Sub(lastRead) > configCheckInterval+time.Duration(rank)*configCheckStagger
}

// rendezvousWeight returns the rendezvous hash of an agent and a balancer.
func rendezvousWeight(agent flows.Endpoint, balancer netip.AddrPort) uint64 {
	return xxhash.Sum64String(agent.String() + balancer.String())
}

// next returns the next balancers in round-robin order, at most digestFanout.
func (p *peerSet) next() []netip.AddrPort {
	count := min(digestFanout, len(p.list))
	chosen := make([]netip.AddrPort, 0, count)
	for range count {
		p.cursor++
		chosen = append(chosen, p.list[p.cursor%uint64(len(p.list))])
	}
	return chosen
}

// digest returns a summary of this balancer's configuration and agents; n.mu must be held.
func (n *Node) digest(isReply bool) flows.Digest {
	hash := xxhash.New()
	for _, agent := range n.director.Agents.Addresses() {
		_, _ = hash.WriteString(agent.String())
	}
	return flows.Digest{AgentsHeard: n.isolation.agentsHeard(time.Now()), IsReply: isReply, MembersHash: hash.Sum64(), Version: n.director.Version()}
}
