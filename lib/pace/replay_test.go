package pace

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// The replay models a service of 12 backend servers at 80 % load. Some of them start at once, and work at 0.6 of their speed for two
// seconds. Balancers know the load of agents as of their reports. It compares the pacer with alternatives.
const (
	replayAttempts    = 5 // agents that a new flow is tried at before it is sent to one that accepts all
	replayBalancers   = 6
	replayColdFor     = 2 * time.Second
	replayColdSpeed   = 0.6
	replayHop         = time.Millisecond
	replayLoad        = 0.8
	replayQueue       = 7 // requests that a backend server queues beyond its slots; it fails further ones
	replayReports     = 100 * time.Millisecond
	replayServers     = 12
	replayServiceTime = 90 * time.Millisecond // mean of a warm backend server
	replaySettle      = 3 * time.Second       // before the start of the servers
	replaySpan        = 6 * time.Second       // after it
	replayStep        = time.Millisecond
	replayTarget      = 300 * time.Millisecond
)

// replayPolicy is an alternative to the pacer: a limit of requests in progress, or zero for none.
type replayPolicy interface {
	limit(now time.Time) int
	record(now time.Time, response Response, busy int)
	start(now time.Time)
}

// noPacing accepts all new flows.
type noPacing struct{}

func (noPacing) limit(time.Time) int             { return 0 }
func (noPacing) record(time.Time, Response, int) {}
func (noPacing) start(time.Time)                 {}

// fixedRamp raises the limit to all slots within a fixed time.
type fixedRamp struct {
	length  time.Duration
	started time.Time
}

func (f *fixedRamp) limit(now time.Time) int {
	elapsed := now.Sub(f.started)
	if f.started.IsZero() || elapsed >= f.length {
		return 0
	}
	return 1 + int(float64(testSlots)*float64(elapsed)/float64(f.length))
}
func (f *fixedRamp) record(time.Time, Response, int) {}
func (f *fixedRamp) start(now time.Time)             { f.started = now }

// additive raises the limit by one after as many good responses as the limit, and halves it on failed ones.
type additive struct{ value float64 }

func (a *additive) limit(time.Time) int { return int(a.value) }

func (a *additive) record(_ time.Time, response Response, _ int) {
	switch {
	case a.value == 0:
	case response.Failed:
		a.value = max(1, a.value/2)
	default:
		a.value += 1 / a.value
	}
	if a.value > testSlots {
		a.value = 0
	}
}

func (a *additive) start(time.Time) { a.value = 1 }

// gradient scales the limit by the ratio of the shortest to the present service time, and adds the square root of it, as
// concurrency limits by latency gradient do.
type gradient struct {
	recent, shortest time.Duration
	value            float64
}

func (c *gradient) limit(time.Time) int { return int(c.value) }

func (c *gradient) record(_ time.Time, response Response, _ int) {
	if c.value == 0 {
		return
	}
	if response.Failed {
		c.value = max(1, c.value/2)
		return
	}
	if c.shortest == 0 {
		c.shortest, c.recent = response.ServiceTime, response.ServiceTime
	}
	c.shortest = min(c.shortest, response.ServiceTime)
	c.recent += (response.ServiceTime - c.recent) / 5
	ratio := max(0.5, min(1, 2*float64(c.shortest)/float64(c.recent)))
	c.value += 0.2 * (c.value*(ratio-1) + 1)
	c.value = max(1, c.value)
	if c.value > testSlots {
		c.value = 0
	}
}

func (c *gradient) start(time.Time) { *c = gradient{value: 1} }

// pacerPolicy is the pacer itself.
type pacerPolicy struct {
	coldTill time.Time
	pacer    *Pacer
	process  int64
}

func newPacerPolicy() *pacerPolicy { return &pacerPolicy{pacer: New(Settings{Pacing: true})} }

func (p *pacerPolicy) limit(now time.Time) int {
	if p.pacer.ramp.active && now.Before(p.pacer.ramp.pausedUntil) {
		return -1
	}
	return min(p.pacer.Pace(), testSlots)
}

func (p *pacerPolicy) record(now time.Time, response Response, busy int) {
	load := testLoad(busy)
	load.Cold = now.Before(p.coldTill)
	p.pacer.RecordResponse(now, response, load)
}

func (p *pacerPolicy) start(now time.Time) {
	p.coldTill = now.Add(replayColdFor)
	p.process++
	load := testLoad(0)
	load.Cold = true
	p.pacer.Observe(now, p.process, true, load)
}

type replayRequest struct {
	openedAt time.Time
	deliver  time.Time
	work     time.Duration // at full speed
}

type replayServer struct {
	busy     int           // at the agent: delivered and not answered
	coldTill time.Time     // zero before its start
	meanTime time.Duration // mean service time measured at the agent
	policy   replayPolicy
	queue    []replayRequest // at the backend server
	reported [replayBalancers]struct{ assigned, busy, limit int }
	running  []replayRequest // work is what is left of it
	startsAt []time.Time     // of running
	answered []time.Time
}

// replayResult holds what is compared.
type replayResult struct {
	failed     int           // requests that a backend server failed
	fullShare  time.Duration // until the started servers answer as many requests as their speed and share permit
	p99        time.Duration // of requests opened in the first three seconds
	p99Started time.Duration // of those that the started servers answered
	turnedAway int           // openings that an agent rejected, each counted as often as that
}

type replay struct {
	latencies [2][]time.Duration // of all servers, and of the started ones
	now       time.Time
	random    *rand.Rand
	result    replayResult
	servers   []*replayServer
	started   int // number of servers that start at once
	startAt   time.Time
	turned    bool // count turnedAway and failed
}

func newReplay(seed uint64, started int, policy func() replayPolicy) *replay {
	r := &replay{now: testStart, random: rand.New(rand.NewPCG(seed, 2)), started: started, startAt: testStart.Add(replaySettle)}
	for range replayServers {
		r.servers = append(r.servers, &replayServer{policy: policy()})
	}
	return r
}

func (r *replay) run() replayResult {
	rate := replayLoad * replayServers * testSlots / replayServiceTime.Seconds()
	credit := 0.0
	end := r.startAt.Add(replaySpan)
	up := false
	for ; r.now.Before(end); r.now = r.now.Add(replayStep) {
		if !up && !r.now.Before(r.startAt) {
			up = true
			r.turned = true
			for _, s := range r.servers[:r.started] {
				s.coldTill = r.now.Add(replayColdFor)
				s.policy.start(r.now)
			}
		}
		for i, s := range r.servers {
			r.serve(s)
			for b := range s.reported {
				if (int(r.now.Sub(testStart)/replayStep)+17*b+29*i)%int(replayReports/replayStep) == 0 {
					s.reported[b].assigned, s.reported[b].busy, s.reported[b].limit = 0, s.busy, s.policy.limit(r.now)
				}
			}
		}
		running := r.up(up)
		share := float64(len(running)) / replayServers
		for credit += share * rate * replayStep.Seconds() * r.random.ExpFloat64(); credit >= 1; credit-- {
			r.open(running)
		}
	}
	r.result.fullShare = r.fullShare(rate)
	r.result.p99, r.result.p99Started = percentile99(r.latencies[0]), percentile99(r.latencies[1])
	return r.result
}

func percentile99(latencies []time.Duration) time.Duration {
	slices.Sort(latencies)
	return latencies[len(latencies)*99/100]
}

// up returns the servers that run.
func (r *replay) up(started bool) []*replayServer {
	if started {
		return r.servers
	}
	return r.servers[r.started:]
}

// serve advances a backend server by one step, and answers at its end.
func (r *replay) serve(s *replayServer) {
	speed := 1.0
	if r.now.Before(s.coldTill) {
		speed = replayColdSpeed
	}
	for i := 0; i < len(s.running); {
		s.running[i].work -= time.Duration(speed * float64(replayStep))
		if s.running[i].work > 0 {
			i++
			continue
		}
		r.answer(s, s.running[i], r.now.Sub(s.startsAt[i]), false)
		s.running = slices.Delete(s.running, i, i+1)
		s.startsAt = slices.Delete(s.startsAt, i, i+1)
	}
	for len(s.queue) > 0 && len(s.running) < testSlots && !s.queue[0].deliver.After(r.now) {
		s.running = append(s.running, s.queue[0])
		s.startsAt = append(s.startsAt, r.now)
		s.queue = s.queue[1:]
	}
}

func (r *replay) answer(s *replayServer, request replayRequest, took time.Duration, failed bool) {
	busy := s.busy
	s.busy--
	s.policy.record(r.now, Response{Failed: failed, ServiceTime: took}, busy)
	if failed {
		r.result.failed++
		return
	}
	if s.meanTime == 0 {
		s.meanTime = took
	}
	s.meanTime += (took - s.meanTime) / 10
	s.answered = append(s.answered, r.now)
	if since := request.openedAt.Sub(r.startAt); since >= 0 && since < replaySettle {
		r.latencies[0] = append(r.latencies[0], r.now.Sub(request.openedAt))
		if !s.coldTill.IsZero() {
			r.latencies[1] = append(r.latencies[1], r.now.Sub(request.openedAt))
		}
	}
}

// open places a new flow through a random balancer, as a director and the dispatchers do.
func (r *replay) open(servers []*replayServer) {
	if len(servers) == 0 {
		return
	}
	balancer := r.random.IntN(replayBalancers)
	request := replayRequest{deliver: r.now.Add(2 * replayHop), openedAt: r.now, work: time.Duration((0.5 + r.random.Float64()) * float64(replayServiceTime))}
	hasRoom := func(s *replayServer) bool {
		known := s.reported[balancer]
		return known.limit == 0 || known.limit-known.busy > known.assigned
	}
	onlyLimits := !slices.ContainsFunc(servers, hasRoom)
	order := r.random.Perm(len(servers))
	var candidates []*replayServer
	for _, i := range order {
		if onlyLimits || hasRoom(servers[i]) {
			candidates = append(candidates, servers[i])
		}
	}
	for len(candidates) > 0 {
		chain := slices.Clone(candidates[:min(3, len(candidates))])
		slices.SortStableFunc(chain, func(x, y *replayServer) int {
			a, b := x.reported[balancer], y.reported[balancer]
			return cmp.Compare(a.busy+a.assigned, b.busy+b.assigned)
		})
		chain[0].reported[balancer].assigned++
		for _, s := range chain {
			if r.accepts(s, onlyLimits) {
				r.deliver(s, request)
				return
			}
			s.reported[balancer].limit, s.reported[balancer].busy = -1, s.busy
			request.deliver = request.deliver.Add(replayHop)
			if r.turned {
				r.result.turnedAway++
			}
		}
		candidates = candidates[len(chain):]
		request.deliver = request.deliver.Add(2 * replayHop)
		if len(order)-len(candidates) >= replayAttempts*3 {
			break
		}
	}
	r.deliver(slices.MinFunc(servers, func(x, y *replayServer) int { return cmp.Compare(x.busy, y.busy) }), request)
}

// accepts reports whether an agent accepts a new flow: by its pace, and by the latency that it expects.
func (r *replay) accepts(s *replayServer, onlyLimits bool) bool {
	if limit := s.policy.limit(r.now); limit != 0 && s.busy >= limit && !onlyLimits {
		return false
	}
	mean := s.meanTime
	if mean == 0 {
		mean = replayTarget / 4
	}
	return s.busy < testSlots || mean*time.Duration(s.busy+1)/testSlots <= replayTarget/2
}

func (r *replay) deliver(s *replayServer, request replayRequest) {
	s.busy++
	if len(s.queue)+len(s.running) >= testSlots+replayQueue {
		r.answer(s, request, 0, true)
		return
	}
	s.queue = append(s.queue, request)
}

// fullShare returns the time from the start until the started servers first answer, within 300 ms, 0.9 of what they may be given: their
// share of the load, or what their speed permits if that is less.
func (r *replay) fullShare(rate float64) time.Duration {
	const window = 300 * time.Millisecond
	perServer := func(from time.Time) float64 {
		count := 0
		for _, s := range r.servers[:r.started] {
			for _, at := range s.answered {
				if !at.Before(from) && at.Before(from.Add(window)) {
					count++
				}
			}
		}
		return float64(count) / float64(r.started) / window.Seconds()
	}
	for elapsed := time.Duration(0); elapsed < replaySpan-window; elapsed += 10 * time.Millisecond {
		speed := 1.0
		if elapsed+window < replayColdFor {
			speed = replayColdSpeed
		}
		share := min(rate/replayServers, speed*testSlots/replayServiceTime.Seconds())
		if perServer(r.startAt.Add(elapsed)) >= 0.9*share {
			return elapsed + window
		}
	}
	return replaySpan
}

var replayPolicies = []struct {
	name string
	make func() replayPolicy
}{
	{"none", func() replayPolicy { return noPacing{} }},
	{"fixed ramp of 2 s", func() replayPolicy { return &fixedRamp{length: replayColdFor} }},
	{"additive increase", func() replayPolicy { return &additive{} }},
	{"latency gradient", func() replayPolicy { return &gradient{} }},
	{"pacer", func() replayPolicy { return newPacerPolicy() }},
}

// medianOf returns the medians of the results over several seeds.
func medianOf(started int, policy func() replayPolicy) replayResult {
	const seeds = 7
	var results []replayResult
	for seed := range uint64(seeds) {
		results = append(results, newReplay(seed, started, policy).run())
	}
	median := func(read func(replayResult) int) int {
		var values []int
		for _, result := range results {
			values = append(values, read(result))
		}
		slices.Sort(values)
		return values[seeds/2]
	}
	return replayResult{
		failed:     median(func(r replayResult) int { return r.failed }),
		fullShare:  time.Duration(median(func(r replayResult) int { return int(r.fullShare) })),
		p99:        time.Duration(median(func(r replayResult) int { return int(r.p99) })),
		p99Started: time.Duration(median(func(r replayResult) int { return int(r.p99Started) })),
		turnedAway: median(func(r replayResult) int { return r.turnedAway }),
	}
}

// Guards against a pacer that floods started backend servers, leaves them idle, or makes callers wait when all start at once.
func TestReplayOfStarts(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, started := range []int{1, replayServers / 3, replayServers} {
		results := map[string]replayResult{}
		for _, policy := range replayPolicies {
			r := medianOf(started, policy.make)
			results[policy.name] = r
			t.Logf("| %d | %s | %d | %d | %d | %d | %d |", started, policy.name,
				r.fullShare.Milliseconds(), r.turnedAway, r.failed, r.p99.Milliseconds(), r.p99Started.Milliseconds())
		}
		none, pacer := results["none"], results["pacer"]
		g.Expect(pacer.p99).To(gomega.BeNumerically("<=", none.p99*102/100))
		if started == replayServers {
			g.Expect(pacer.fullShare).To(gomega.BeNumerically("<=", none.fullShare+replayReports), "callers don't wait for the ramp")
			g.Expect(pacer.turnedAway).To(gomega.BeNumerically("<=", none.turnedAway*5/4))
			continue
		}
		g.Expect(pacer.p99Started).To(gomega.BeNumerically("<", none.p99Started*9/10), "not flooded")
		for _, slower := range []string{"fixed ramp of 2 s", "additive increase", "latency gradient"} {
			g.Expect(pacer.fullShare).To(gomega.BeNumerically("<", results[slower].fullShare), slower)
		}
	}
}
