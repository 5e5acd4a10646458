package tuple

import (
	"hash/maphash"
	"net/netip"
	"slices"
	"time"

	"github.com/cyclamendock/cyclamendock/lib/flows"
)

const (
	// digestInterval is how often a balancer sends digests of its configuration and members to some others.
	digestInterval = time.Second
	// digestFanout is the number of balancers that receive a digest each time.
	digestFanout = 3
	// peerTimeout is how long ago a balancer may have sent its last digest to count as heard lately.
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

// heardLately returns other balancers that have sent a digest within peerTimeout. With more than
// digestFanout * peerTimeout / digestInterval balancers these are only a part of those that are alive.
func (p *peerSet) heardLately(now time.Time) []netip.AddrPort {
	var heard []netip.AddrPort
	for other, seen := range p.lastSeen {
		if now.Sub(seen) < peerTimeout {
			heard = append(heard, other)
		}
	}
	return heard
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
	return flows.Digest{
		AgentsHeard: n.isolation.agentsHeard(time.Now()),
		Era:         n.guard.Era(),
		IsReply:     isReply,
		MembersHash: n.director.Agents.Hash(),
		Version:     n.director.Version(),
		Zones:       n.director.Agents.Zones.State(),
	}
}
