package tuple

import (
	"hash/maphash"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cyclamendock/cyclamendock/lib/carry"
)

const (
	// digestInterval is how often a balancer compares what it knows with some others.
	digestInterval = time.Second
	// digestFanout is how many balancers it compares with each time.
	digestFanout = 3
	// peerSilence is how long a balancer may be silent before others act in its place. Each is heard about once in
	// digestInterval as long as there are few.
	peerSilence = 10 * time.Second
)

// peers are the other balancers that a balancer knows.
type peers struct {
	heard map[netip.AddrPort]time.Time // last digest of each
	list  []netip.AddrPort             // in order
	self  netip.AddrPort
	turn  uint64
}

func newPeers(self netip.AddrPort, seeds []netip.AddrPort) *peers {
	p := &peers{heard: map[netip.AddrPort]time.Time{}, self: self, turn: new(maphash.Hash).Sum64()}
	for _, seed := range seeds {
		p.add(seed)
	}
	return p
}

// add makes a balancer known and reports whether it was new.
func (p *peers) add(address netip.AddrPort) bool {
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

// hear records a sign of life of a balancer.
func (p *peers) hear(now time.Time, address netip.AddrPort) {
	p.add(address)
	p.heard[address] = now
}

// first reports whether of the living balancers this one has to act for an agent.
func (p *peers) first(now time.Time, agent carry.Endpoint) bool {
	own := duty(agent, p.self)
	for other, heard := range p.heard {
		if now.Sub(heard) < peerSilence && duty(agent, other) > own {
			return false
		}
	}
	return true
}

// living returns the balancers that are heard.
func (p *peers) living(now time.Time) []netip.AddrPort {
	var living []netip.AddrPort
	for other, heard := range p.heard {
		if now.Sub(heard) < peerSilence {
			living = append(living, other)
		}
	}
	return living
}

// rank returns the place of this balancer among the living ones.
func (p *peers) rank(now time.Time) int {
	rank := 0
	for other, heard := range p.heard {
		if now.Sub(heard) < peerSilence && other.Compare(p.self) < 0 {
			rank++
		}
	}
	return rank
}

// checkDue reports whether it is this balancer's turn to read the configuration, which some balancer last read at the
// given time; the others follow one after the other when a turn is missed.
func (p *peers) checkDue(now, checked time.Time) bool {
	rank := min(p.rank(now), maxCheckRank)
	return now.Sub(checked) > checkInterval+time.Duration(rank)*checkStagger
}

func duty(agent carry.Endpoint, balancer netip.AddrPort) uint64 {
	return xxhash.Sum64String(agent.String() + balancer.String())
}

// next returns the balancers whose turn it is to be compared with.
func (p *peers) next() []netip.AddrPort {
	count := min(digestFanout, len(p.list))
	chosen := make([]netip.AddrPort, 0, count)
	for range count {
		p.turn++
		chosen = append(chosen, p.list[p.turn%uint64(len(p.list))])
	}
	return chosen
}

// digest summarises the known configuration and members.
func (n *Node) digest(reply bool) carry.Digest {
	hash := xxhash.New()
	for _, agent := range n.director.Agents.Addresses() {
		_, _ = hash.WriteString(agent.String())
	}
	return carry.Digest{Members: hash.Sum64(), Reply: reply, Version: n.director.Version()}
}
