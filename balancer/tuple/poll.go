package tuple

import (
	"net/netip"
	"sync"
	"time"
)

const (
	// maxPolledPeers is the largest number of live balancers that are polled about the members. With more of them a
	// poll for each pending reset costs too much, and the store is read instead.
	maxPolledPeers = 32
	// pollTimeout is how long the polled balancers may take to answer.
	pollTimeout = 40 * time.Millisecond
)

// memberPoll tracks which of the polled balancers have confirmed the members.
type memberPoll struct {
	confirmed chan struct{}
	mu        sync.Mutex
	pending   map[netip.AddrPort]bool
}

// start starts a poll of the given balancers and returns a channel that is closed once all of them have confirmed.
func (p *memberPoll) start(balancers []netip.AddrPort) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.confirmed = make(chan struct{})
	p.pending = map[netip.AddrPort]bool{}
	for _, balancer := range balancers {
		p.pending[balancer] = true
	}
	return p.confirmed
}

// confirm records that a balancer knows the same members.
func (p *memberPoll) confirm(balancer netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.pending[balancer] {
		return
	}
	delete(p.pending, balancer)
	if len(p.pending) == 0 {
		close(p.confirmed)
	}
}

// confirmMembers polls the other live balancers and reports whether all of them know the same members as this one. This
// suffices to find the agent that holds a flow, since the balancer that placed the flow knows the agent.
func (n *Node) confirmMembers(now time.Time) bool {
	n.mu.Lock()
	polled := n.peers.alive(now)
	digest := n.digest(false)
	n.mu.Unlock()
	if len(polled) == 0 || len(polled) > maxPolledPeers {
		return false
	}
	confirmed := n.poll.start(polled)
	digest.ReplyRequired = true
	message := digest.Append(nil)
	for _, balancer := range polled {
		n.socket.Send(message, balancer)
	}
	timer := time.NewTimer(pollTimeout)
	defer timer.Stop()
	select {
	case <-confirmed:
		return true
	case <-timer.C:
	case <-n.ctx.Done():
	}
	return false
}
