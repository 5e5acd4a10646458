package carry

import (
	"cmp"
	"slices"
	"time"
)

const (
	// forgetFactor is how many times longer than until it is lost an agent has to be silent to be forgotten.
	forgetFactor = 2
	// forgottenMemory is how long a forgotten address is not taken from others that still know it.
	forgottenMemory   = time.Minute
	forgottenCapacity = 1 << 12 // addresses
	// helloFirst is the first pause between greetings of an agent that has not answered.
	helloFirst = 50 * time.Millisecond
	// joinTime is how long an agent that has just started may take to enter the members.
	joinTime = 5 * time.Second
	// helloLast is the longest pause between greetings.
	helloLast = 2 * time.Second
	// staleAfter is how long an agent of a service in use may be unheard before it is greeted.
	staleAfter = time.Second
	// usedFor is how long a service counts as in use after a packet for it.
	usedFor = 10 * time.Second
	// suspectAfter is how long the report of an agent that was sent something may be overdue.
	suspectAfter = 150 * time.Millisecond
	// smoothing is the weight of a new report in an agent's mean of busy requests.
	smoothing = 0.1
)

// An agent is what a balancer knows of one agent.
type agent struct {
	address  Endpoint
	assigned int // new flows sent to it since its last report
	greeted  time.Time
	heard    time.Time // last report; zero when never
	mean     float64   // smoothed busy requests
	met      time.Time // first report
	pause    time.Duration
	report   Report
	since    time.Time // when it began to be silent: known, or first sent something after its last report
	waits    bool      // an answer is due
}

// Agents are what a balancer knows of the agents.
type Agents struct {
	byAddress map[Endpoint]*agent
	byService map[ServiceID][]*agent
	forgotten *Cache[Endpoint, time.Time] // when each was
	lostAfter time.Duration
	used      map[ServiceID]time.Time // last packet for each service
}

// NewAgents returns an empty set; an agent silent for lostAfter holds no flow any more that a caller waits for.
func NewAgents(lostAfter time.Duration) *Agents {
	return &Agents{
		byAddress: map[Endpoint]*agent{},
		byService: map[ServiceID][]*agent{},
		forgotten: NewCache[Endpoint, time.Time](forgottenCapacity, forgottenMemory),
		lostAfter: lostAfter,
		used:      map[ServiceID]time.Time{},
	}
}

// Add makes an address known, unless it was forgotten lately, and reports whether it was new.
func (a *Agents) Add(now time.Time, address Endpoint) bool {
	if a.byAddress[address] != nil || a.forgotten.Has(now, address) {
		return false
	}
	a.byAddress[address] = &agent{address: address, pause: helloFirst, since: now, waits: true}
	return true
}

// Listed makes an address known that a list of members from the store names. An address that was forgotten before the
// list was asked for is that of a new agent, since an agent leaves the store before it says so.
func (a *Agents) Listed(now, asked time.Time, address Endpoint) {
	if at, ok := a.forgotten.Get(now, address); ok && asked.After(at) {
		a.forgotten.Delete(address)
	}
	a.Add(now, address)
}

// Remove forgets an address.
func (a *Agents) Remove(address Endpoint) {
	known := a.byAddress[address]
	if known == nil {
		return
	}
	delete(a.byAddress, address)
	a.leave(known)
}

// Report takes an agent's report and reports whether its state has changed.
func (a *Agents) Report(now time.Time, address Endpoint, report Report) bool {
	if report.State == StateLeft {
		left := a.byAddress[address] != nil
		a.Remove(address)
		a.forgotten.Put(now, address, now)
		return left
	}
	a.forgotten.Delete(address)
	a.Add(now, address)
	known := a.byAddress[address]
	first := known.heard.IsZero()
	changed := first || known.report.State != report.State || known.report.Service != report.Service
	if first || known.report.Service != report.Service {
		a.leave(known)
		a.byService[report.Service] = append(a.byService[report.Service], known)
	}
	if first {
		known.mean = float64(report.Busy)
		known.met = now
	}
	known.mean += (float64(report.Busy) - known.mean) * smoothing
	known.assigned = 0
	known.heard = now
	known.pause = helloFirst
	known.report = report
	known.waits = false
	return changed
}

// Forget forgets and returns the agents that have been silent for long, while most others are heard: when they are
// not, it may be this balancer that can't be reached.
func (a *Agents) Forget(now time.Time) []Endpoint {
	a.forgotten.Sweep(now)
	var silent []Endpoint
	for address, known := range a.byAddress {
		if known.waits && now.Sub(known.since) > forgetFactor*a.lostAfter {
			silent = append(silent, address)
		}
	}
	if 2*len(silent) > len(a.byAddress) {
		return nil
	}
	slices.SortFunc(silent, Endpoint.Compare)
	for _, address := range silent {
		a.Remove(address)
		a.forgotten.Put(now, address, now)
	}
	return silent
}

// Forgot reports whether an address was forgotten lately and has not reported since.
func (a *Agents) Forgot(now time.Time, address Endpoint) bool { return a.forgotten.Has(now, address) }

// Unlisted returns the agents that are heard but missing from a list of members.
func (a *Agents) Unlisted(now time.Time, listed []Endpoint) []Endpoint {
	var missing []Endpoint
	for address, known := range a.byAddress {
		if known.report.State == StateGone {
			continue // it has left, as it holds no flows
		}
		if !known.suspect(now) && now.Sub(known.met) > joinTime && !slices.Contains(listed, address) {
			missing = append(missing, address)
		}
	}
	slices.SortFunc(missing, Endpoint.Compare)
	return missing
}

// Sent records that an agent was sent something that makes it report.
func (a *Agents) Sent(now time.Time, address Endpoint, opens bool) {
	known := a.byAddress[address]
	if known == nil {
		return
	}
	if opens {
		known.assigned++
	}
	if !known.waits {
		known.waits = true
		known.since = now
	}
}

// Greet returns the agents that should be sent a hello now.
func (a *Agents) Greet(now time.Time) []Endpoint {
	var due []Endpoint
	for address, known := range a.byAddress {
		if !a.quiet(now, known) || now.Sub(known.greeted) < known.pause {
			continue
		}
		known.greeted = now
		known.pause = min(known.pause*2, helloLast)
		due = append(due, address)
	}
	slices.SortFunc(due, Endpoint.Compare)
	return due
}

// quiet reports whether an agent should be asked for a report.
func (a *Agents) quiet(now time.Time, known *agent) bool {
	if known.suspect(now) {
		return true
	}
	unheard := now.Sub(known.heard)
	if known.report.State != StateReady && unheard > helloLast {
		return true
	}
	return unheard > staleAfter && now.Sub(a.used[known.report.Service]) < usedFor
}

// Known reports whether the address is that of an agent.
func (a *Agents) Known(address Endpoint) bool { return a.byAddress[address] != nil }

// Suspect reports whether an agent has not answered for a while.
func (a *Agents) Suspect(now time.Time, address Endpoint) bool {
	known := a.byAddress[address]
	return known == nil || known.suspect(now)
}

// Lost reports whether an agent has been silent for so long that no caller waits for its flows.
func (a *Agents) Lost(now time.Time, address Endpoint) bool {
	known := a.byAddress[address]
	return known == nil || known.waits && now.Sub(known.since) > a.lostAfter
}

// State returns the last reported state of an agent.
func (a *Agents) State(address Endpoint) State {
	known := a.byAddress[address]
	if known == nil {
		return StateUnknown
	}
	return known.report.State
}

// HeardOf reports whether an agent has ever reported.
func (a *Agents) HeardOf(address Endpoint) bool {
	known := a.byAddress[address]
	return known != nil && !known.heard.IsZero()
}

// ServiceOf returns the service of an agent that has reported.
func (a *Agents) ServiceOf(address Endpoint) (ServiceID, bool) {
	known := a.byAddress[address]
	if known == nil || known.heard.IsZero() {
		return 0, false
	}
	return known.report.Service, true
}

// Load returns the last report of an agent and its age.
func (a *Agents) Load(now time.Time, address Endpoint) (Report, time.Duration) {
	known := a.byAddress[address]
	if known == nil {
		return Report{}, 0
	}
	return known.report, now.Sub(known.heard)
}

// Addresses returns all known addresses in order.
func (a *Agents) Addresses() []Endpoint {
	all := make([]Endpoint, 0, len(a.byAddress))
	for address := range a.byAddress {
		all = append(all, address)
	}
	slices.SortFunc(all, Endpoint.Compare)
	return all
}

// Heard returns how many agents have ever reported.
func (a *Agents) Heard() int {
	count := 0
	for _, known := range a.byAddress {
		if !known.heard.IsZero() {
			count++
		}
	}
	return count
}

// Unheard returns the agents that have not reported yet and are not lost, which may be of any service.
func (a *Agents) Unheard(now time.Time) []Endpoint {
	var unheard []Endpoint
	for address, known := range a.byAddress {
		if known.heard.IsZero() && now.Sub(known.since) <= a.lostAfter {
			unheard = append(unheard, address)
		}
	}
	slices.SortFunc(unheard, Endpoint.Compare)
	return unheard
}

// ranked returns the agents of a service in the order of a flow's rendezvous hash.
func (a *Agents) ranked(service ServiceID, flow Flow) []*agent {
	hash := flow.Hash()
	type scored struct {
		agent *agent
		score uint64
	}
	members := a.byService[service]
	scores := make([]scored, len(members))
	for i, member := range members {
		scores[i] = scored{agent: member, score: mix(hash, member.address.key())}
	}
	slices.SortFunc(scores, func(x, y scored) int { return cmp.Compare(y.score, x.score) })
	order := make([]*agent, len(scores))
	for i, s := range scores {
		order[i] = s.agent
	}
	return order
}

func (a *Agents) leave(known *agent) {
	members := a.byService[known.report.Service]
	a.byService[known.report.Service] = slices.DeleteFunc(members, func(other *agent) bool { return other == known })
}

func (g *agent) suspect(now time.Time) bool {
	return g.heard.IsZero() || g.waits && now.Sub(g.since) > g.report.Every+suspectAfter
}

// stale reports whether what is known of an agent is old.
func (g *agent) stale(now time.Time) bool { return now.Sub(g.heard) > 3*staleAfter/2+g.report.Every }

func (g *agent) eligible(now time.Time) bool {
	return g.report.State == StateReady && !g.suspect(now)
}
