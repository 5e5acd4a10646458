package steer

import (
	"net/netip"
	"time"
)

const (
	// pathMemory is how long a path is kept after the caller's last datagram.
	pathMemory = 2 * time.Minute
	// silenceLimit is how long datagrams may stay unanswered before other balancers are tried.
	silenceLimit = 100 * time.Millisecond
	// unansweredLimit is how many datagrams may stay unanswered before other balancers are tried.
	unansweredLimit = 3
)

// A Path is how datagrams reach a caller.
type Path struct {
	Balancer netip.AddrPort
	Return   netip.AddrPort
}

type pathState struct {
	firstUnanswered time.Time
	generation      int // of the list of balancers when the caller was last seen
	path            Path
	seen            time.Time
	turn            int
	unanswered      int
}

// Paths remembers which balancer last delivered for each caller.
type Paths struct {
	balancers  []netip.AddrPort
	capacity   int
	generation int // of the list of balancers
	live       map[netip.AddrPort]bool
	states     map[netip.AddrPort]*pathState
}

// NewPaths returns an empty memory of up to capacity callers.
func NewPaths(capacity int) *Paths {
	return &Paths{capacity: capacity, live: map[netip.AddrPort]bool{}, states: map[netip.AddrPort]*pathState{}}
}

// SetBalancers replaces the list of live balancers.
func (p *Paths) SetBalancers(balancers []netip.AddrPort) {
	p.generation++
	p.balancers = append([]netip.AddrPort(nil), balancers...)
	p.live = make(map[netip.AddrPort]bool, len(balancers))
	for _, balancer := range balancers {
		p.live[balancer] = true
	}
}

// Seen records that a balancer delivered a datagram of the caller and reports false when the memory is full.
func (p *Paths) Seen(now time.Time, caller netip.AddrPort, path Path) bool {
	state := p.states[caller]
	if state == nil {
		if len(p.states) >= p.capacity {
			return false
		}
		state = &pathState{}
		p.states[caller] = state
	}
	state.generation = p.generation
	state.path = path
	state.seen = now
	state.unanswered = 0
	return true
}

// Pick returns the path of the next datagram to a caller and reports false when none is known.
func (p *Paths) Pick(now time.Time, caller netip.AddrPort) (Path, bool) {
	state := p.states[caller]
	if state == nil {
		return Path{}, false
	}
	if state.unanswered == 0 {
		state.firstUnanswered = now
	}
	state.unanswered++
	path := state.path
	if p.doubts(now, state) {
		path.Balancer = p.rotate(state)
	}
	return path, true
}

// Sweep forgets callers that have been silent for long.
func (p *Paths) Sweep(now time.Time) {
	for caller, state := range p.states {
		if now.Sub(state.seen) > pathMemory {
			delete(p.states, caller)
		}
	}
}

// Len returns the number of remembered callers.
func (p *Paths) Len() int { return len(p.states) }

// doubts reports whether the balancer of the path may be gone.
func (p *Paths) doubts(now time.Time, state *pathState) bool {
	if len(p.balancers) == 0 {
		return false
	}
	deliveredSince := state.generation == p.generation
	if !p.live[state.path.Balancer] && !deliveredSince {
		return true
	}
	return state.unanswered > unansweredLimit && now.Sub(state.firstUnanswered) >= silenceLimit
}

func (p *Paths) rotate(state *pathState) netip.AddrPort {
	state.turn++
	return p.balancers[state.turn%len(p.balancers)]
}
