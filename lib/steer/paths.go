package steer

import (
	"net/netip"
	"time"
)

const (
	// pathLifetime is how long a path is kept after the caller's last datagram.
	pathLifetime = 2 * time.Minute
	// unansweredTimeout is how long datagrams to a caller may stay unanswered before other balancers are used.
	unansweredTimeout = 100 * time.Millisecond
	// unansweredLimit is how many datagrams to a caller may stay unanswered before other balancers are used.
	unansweredLimit = 3
)

// Path is the route of an agent's datagrams to a caller.
type Path struct {
	Balancer      netip.AddrPort
	ReturnAddress netip.AddrPort // address to which the balancer sends the datagrams
}

type pathState struct {
	firstUnanswered time.Time // time of the first datagram sent since the caller's last one
	lastGeneration  int       // Paths.generation at the caller's last datagram
	lastSeen        time.Time // time of the caller's last datagram
	path            Path
	rotation        int // number of times another balancer was chosen
	unanswered      int // number of datagrams sent since the caller's last one
}

// Paths records the balancer that delivered the last datagram of each caller.
type Paths struct {
	balancers     []netip.AddrPort // live balancers in the order of rotation
	byCaller      map[netip.AddrPort]*pathState
	capacity      int                     // maximum number of callers
	generation    int                     // number of changes to the list of balancers
	liveBalancers map[netip.AddrPort]bool // the same balancers as a set
}

// NewPaths returns empty paths for up to capacity callers.
func NewPaths(capacity int) *Paths {
	return &Paths{byCaller: map[netip.AddrPort]*pathState{}, capacity: capacity, liveBalancers: map[netip.AddrPort]bool{}}
}

// SetBalancers replaces the list of live balancers.
func (p *Paths) SetBalancers(balancers []netip.AddrPort) {
	p.generation++
	p.balancers = append([]netip.AddrPort(nil), balancers...)
	p.liveBalancers = make(map[netip.AddrPort]bool, len(balancers))
	for _, balancer := range balancers {
		p.liveBalancers[balancer] = true
	}
}

// RecordDelivery records that a balancer delivered a datagram of the caller, or reports false when the caller is new
// and the capacity is exhausted.
func (p *Paths) RecordDelivery(now time.Time, caller netip.AddrPort, path Path) bool {
	state := p.byCaller[caller]
	if state == nil {
		if len(p.byCaller) >= p.capacity {
			return false
		}
		state = &pathState{}
		p.byCaller[caller] = state
	}
	state.lastGeneration = p.generation
	state.path = path
	state.lastSeen = now
	state.unanswered = 0
	return true
}

// Next returns the path of the next datagram to a caller and reports false when the caller is unknown.
func (p *Paths) Next(now time.Time, caller netip.AddrPort) (Path, bool) {
	state := p.byCaller[caller]
	if state == nil {
		return Path{}, false
	}
	if state.unanswered == 0 {
		state.firstUnanswered = now
	}
	state.unanswered++
	path := state.path
	if p.mayHaveLostBalancer(now, state) {
		path.Balancer = p.nextBalancer(state)
	}
	return path, true
}

// Sweep removes the callers whose last datagram is older than pathLifetime.
func (p *Paths) Sweep(now time.Time) {
	for caller, state := range p.byCaller {
		if now.Sub(state.lastSeen) > pathLifetime {
			delete(p.byCaller, caller)
		}
	}
}

// Len returns the number of known callers.
func (p *Paths) Len() int { return len(p.byCaller) }

// mayHaveLostBalancer reports whether the balancer of the path was removed from the list, or the caller's silence
// suggests that it has failed. A balancer that delivered since the latest change of the list counts as live.
func (p *Paths) mayHaveLostBalancer(now time.Time, state *pathState) bool {
	if len(p.balancers) == 0 {
		return false
	}
	deliveredSinceChange := state.lastGeneration == p.generation
	if !p.liveBalancers[state.path.Balancer] && !deliveredSinceChange {
		return true
	}
	return state.unanswered > unansweredLimit && now.Sub(state.firstUnanswered) >= unansweredTimeout
}

func (p *Paths) nextBalancer(state *pathState) netip.AddrPort {
	state.rotation++
	return p.balancers[state.rotation%len(p.balancers)]
}
