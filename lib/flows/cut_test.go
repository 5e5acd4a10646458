package flows

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// testStabilityWindow is how long after a cut a living flow may still be reset, as on the users' platform.
const testStabilityWindow = 4 * time.Second

// testAskTime is how long it may take until all other balancers have been asked about an agent, or are asked again.
const testAskTime = 1500 * time.Millisecond

// testTickInterval is the interval between two ticks of a balancer.
const testTickInterval = 25 * time.Millisecond

// agentCut cuts an agent off from some balancers.
type agentCut struct {
	balancers map[Endpoint]bool
	until     time.Time
}

// cutNetwork is a network in which agents are cut off from the balancers that exist then and balancers are added and restarted. All
// balancers send hellos, the first one marks the entries of silent agents, and an agent that is told so replaces its entry.
type cutNetwork struct {
	*testNetwork
	balancerCount int // ever started
	cuts          map[Endpoint]agentCut
	startedAt     map[Endpoint]time.Time // start of each balancer that was added or restarted
	marked        map[Endpoint]bool      // whether the entry of each listed agent is marked for removal
	opened        int
}

func newCutNetwork(seed uint64, balancers, agents int) *cutNetwork {
	c := &cutNetwork{
		balancerCount: balancers,
		cuts:          map[Endpoint]agentCut{},
		marked:        map[Endpoint]bool{},
		startedAt:     map[Endpoint]time.Time{},
		testNetwork:   newTestNetwork(seed, balancers, agents),
	}
	c.knownOnly = true
	c.cut = func(x, y Endpoint) bool { return c.isCut(x, y) || c.isCut(y, x) }
	c.excused = func(owner *testAgent) bool { return c.isOutOfReach(owner.address) }
	for _, a := range c.testNetwork.agents {
		c.marked[a.address] = false
	}
	return c
}

func (c *cutNetwork) isCut(agent, balancer Endpoint) bool {
	return c.now.Before(c.cuts[agent].until) && c.cuts[agent].balancers[balancer]
}

// isOutOfReach reports whether an agent was cut off a short time ago from all balancers that run now, but for those that started so late
// that the others may not have asked them yet. While one hears it, its flows are carried.
func (c *cutNetwork) isOutOfReach(agent Endpoint) bool {
	cut := c.cuts[agent]
	if c.now.Sub(cut.until) >= testStabilityWindow {
		return false
	}
	for balancer := range c.directors {
		if !cut.balancers[balancer] && c.now.Sub(c.startedAt[balancer]) > testAskTime {
			return false
		}
	}
	return true
}

// cutOff cuts an agent off from all present balancers.
func (c *cutNetwork) cutOff(a *testAgent, duration time.Duration) {
	balancers := map[Endpoint]bool{}
	for _, address := range c.balancers() {
		balancers[address] = true
	}
	c.cuts[a.address] = agentCut{balancers: balancers, until: c.now.Add(duration)}
}

// startBalancer starts a balancer, which knows the members on the list.
func (c *cutNetwork) startBalancer(address Endpoint) {
	d := NewDirector(DirectorConfig{FlowLifetime: time.Minute, LostAfter: testLostAfter, MaxQueueTime: time.Second, Self: address})
	d.SetRoutes(c.now, c.routes)
	c.directors[address] = d
	c.startedAt[address] = c.now
	c.readList(d)
}

func (c *cutNetwork) readList(d *Director) {
	for _, a := range c.agents {
		d.Agents.AddListed(c.now, c.now, a.address, c.marked[a.address])
	}
}

// join makes an agent replace its entry and report to all balancers, unless the message that tells it to is lost.
func (c *cutNetwork) join(agent Endpoint) {
	if c.random.Float64() < c.loss {
		return
	}
	c.marked[agent] = false
	for _, balancer := range c.balancers() {
		c.reportTo(balancer, agent)
	}
}

func (c *cutNetwork) reportTo(balancer, agent Endpoint) {
	if c.isCut(agent, balancer) || c.random.Float64() < c.loss {
		return
	}
	for _, a := range c.agents {
		if a.address != agent {
			continue
		}
		d := c.directors[balancer]
		report := a.dispatcher.Report(c.now)
		report.Interval = testReportInterval
		mustJoin := d.Agents.MustJoin(agent, report)
		d.RecordReport(c.now, agent, report)
		if mustJoin {
			c.join(agent)
		}
	}
}

// wait runs the timers of all processes for a while.
func (c *cutNetwork) wait(duration time.Duration) {
	for ; duration > 0; duration -= testReportInterval {
		for _, a := range c.agents {
			c.announce(a)
		}
		for i, balancer := range c.balancers() {
			c.runTimers(c.directors[balancer], balancer, i == 0)
		}
		for range testReportInterval / testTickInterval {
			c.tick()
		}
	}
}

func (c *cutNetwork) runTimers(d *Director, balancer Endpoint, isReader bool) {
	d.Agents.lastUsed[HashName(testService)] = c.now
	answering := d.Agents.DueHellos(c.now)
	for _, a := range c.agents {
		if state := d.Agents.byAddress[a.address]; state != nil && state.reportPending && !state.suspect(c.now) {
			answering = append(answering, a.address) // it was sent a packet
		}
	}
	for _, agent := range answering {
		c.reportTo(balancer, agent)
	}
	d.Agents.GiveUpSilent(c.now)
	if isReader {
		for _, agent := range d.Agents.TakeUnmarked() {
			c.marked[agent] = true
		}
	}
	if !d.HasPendingResets() {
		return
	}
	c.readList(d)
	for _, verdict := range d.ResolvePendingResets(c.now, c.now) {
		c.recordReset(verdict.Flow, verdict.Reason)
	}
}

// tick runs the balancers' ticks, with which they ask each other about silent agents.
func (c *cutNetwork) tick() {
	for _, balancer := range c.balancers() {
		d := c.directors[balancer]
		for _, verdict := range d.Tick(c.now) {
			c.applyVerdict(balancer, verdict, Packet{})
		}
		for _, query := range d.DueQueries(c.now) {
			for _, other := range c.balancers() {
				if other != balancer {
					c.query(balancer, other, query)
				}
			}
		}
	}
	c.now = c.now.Add(testTickInterval)
}

// query delivers a query and its answer, unless they are lost.
func (c *cutNetwork) query(from, to Endpoint, query Query) {
	if c.random.Float64() < c.loss {
		return
	}
	heard, unsure := c.directors[to].HandleQuery(c.now, query)
	if c.random.Float64() >= c.loss {
		c.directors[from].RecordHeard(heard, to)
	}
	for _, agent := range unsure {
		c.reportTo(to, agent)
	}
}

// useFlows opens some flows and sends a packet on each open one, all through random balancers.
func (c *cutNetwork) useFlows() {
	for range 3 {
		c.openFlow(testFlow(c.opened))
		c.opened++
	}
	for i := range c.opened {
		if c.ownerOf[testFlow(i)] != nil && c.resets[testFlow(i)] == "" {
			c.sendFromCaller(testFlow(i), FlagAck, 100)
		}
	}
}

// disturb cuts off agents, or adds or restarts a balancer.
func (c *cutNetwork) disturb(t *rapid.T) {
	switch rapid.IntRange(0, 3).Draw(t, "kind") {
	case 0:
		duration := time.Duration(rapid.IntRange(1, 20).Draw(t, "seconds")) * time.Second
		for range max(1, len(c.agents)/3) {
			c.cutOff(c.agents[rapid.IntRange(0, len(c.agents)-1).Draw(t, "agent")], duration)
		}
	case 1:
		c.startBalancer(testEndpoint(1, c.balancerCount))
		c.balancerCount++
	case 2:
		c.startBalancer(c.balancers()[rapid.IntRange(0, len(c.directors)-1).Draw(t, "balancer")])
	}
}

// Guards against agents that come back from a cut and are used by some balancers while others, which had forgotten them and found
// them on no list of members, reset their flows.
func TestFlowsOfAgentsThatWereCutOffAreNotReset(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCutNetwork(rapid.Uint64().Draw(t, "seed"), rapid.SampledFrom([]int{2, 3, 5, 31}).Draw(t, "balancers"), rapid.IntRange(3, 7).Draw(t, "agents"))
		c.loss = rapid.SampledFrom([]float64{0, 0.02}).Draw(t, "loss")
		c.wait(time.Second)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			c.disturb(t)
			for range rapid.IntRange(1, 8).Draw(t, "rounds") {
				c.wait(rapid.SampledFrom([]time.Duration{100, 300, 1000}).Draw(t, "pause") * time.Millisecond)
				c.useFlows()
				c.checkWrongResets(t)
			}
		}
	})
}

// Guards against a balancer that resets flows because it alone can't hear their agent.
func TestFlowsOfAgentsThatAnotherBalancerHearsAreCarried(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCutNetwork(1, 3, 3)
	c.wait(time.Second)
	for i := range 20 {
		c.openFlow(testFlow(i))
	}
	deaf := c.balancers()[0]
	for _, a := range c.agents[1:] {
		c.cuts[a.address] = agentCut{balancers: map[Endpoint]bool{deaf: true}, until: c.now.Add(time.Hour)}
	}
	c.restartBalancer(deaf) // without hints
	c.wait(testLostAfter + time.Second)
	for i := range 20 {
		before := c.delivered[testFlow(i)]
		for range 6 {
			c.sendVia(deaf, testFlow(i), FlagAck, 100)
			c.wait(200 * time.Millisecond)
		}
		g.Expect(c.delivered[testFlow(i)]).To(gomega.BeNumerically(">", before), "flow %d", i)
	}
	g.Expect(c.resets).To(gomega.BeEmpty())
}

// Guards against flows of a host that has failed whose callers are never told.
func TestFlowsOfAgentsThatNobodyHearsAreReset(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCutNetwork(1, 3, 3)
	c.wait(time.Second)
	for i := range 20 {
		c.openFlow(testFlow(i))
	}
	failed := c.agents[0]
	failed.running = false
	c.cutOff(failed, time.Hour)
	c.wait(testLostAfter + time.Second)
	for range 6 { // callers retransmit
		for i := range 20 {
			c.sendFromCaller(testFlow(i), FlagAck, 100)
		}
		c.wait(400 * time.Millisecond)
	}
	for i := range 20 {
		if c.ownerOf[testFlow(i)] == failed {
			g.Expect(c.resets).To(gomega.HaveKey(testFlow(i)))
		}
	}
	g.Expect(c.wrongResets).To(gomega.BeEmpty())
}
