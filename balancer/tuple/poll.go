package tuple

import (
	"net/netip"
	"sync"
	"time"
)

const (
	// maxPolled is how many balancers are asked about the members; more are too many for each proof.
	maxPolled = 32
	// pollLimit is how long their answers may take.
	pollLimit = 40 * time.Millisecond
)

// A poll waits until other balancers have agreed on the members.
type poll struct {
	agreed  chan struct{}
	mu      sync.Mutex
	waiting map[netip.AddrPort]bool
}

// begin starts a poll of some balancers; the channel it returns is closed once all of them have agreed.
func (p *poll) begin(asked []netip.AddrPort) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.agreed = make(chan struct{})
	p.waiting = map[netip.AddrPort]bool{}
	for _, balancer := range asked {
		p.waiting[balancer] = true
	}
	return p.agreed
}

// agree records that a balancer knows the same members.
func (p *poll) agree(balancer netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.waiting[balancer] {
		return
	}
	delete(p.waiting, balancer)
	if len(p.waiting) == 0 {
		close(p.agreed)
	}
}

// agreeOnMembers reports whether all other living balancers know the same members as this one. An agent that holds a
// flow is known to the balancer that gave it the flow.
func (n *Node) agreeOnMembers(now time.Time) bool {
	n.mu.Lock()
	asked := n.peers.living(now)
	digest := n.digest(false)
	n.mu.Unlock()
	if len(asked) == 0 || len(asked) > maxPolled {
		return false
	}
	agreed := n.poll.begin(asked)
	digest.Ask = true
	message := digest.Append(nil)
	for _, balancer := range asked {
		n.socket.Send(message, balancer)
	}
	timer := time.NewTimer(pollLimit)
	defer timer.Stop()
	select {
	case <-agreed:
		return true
	case <-timer.C:
	case <-n.ctx.Done():
	}
	return false
}
