package main

import (
	"fmt"
	"sync"
	"time"
)

// The numbers of long flows of the two scenarios.
const (
	flowCount         = 40
	restartsFlowCount = 160
)

// stopAgent opens long flows, stops one agent as planned work while its target runs on, and starts it again. It checks
// that no consumer of an open flow gets a reset that its target didn't send.
func stopAgent(c *cluster, trouble bool, pause time.Duration) int {
	var flows []*consumerFlow
	for i := range flowCount {
		f := c.consumers.openFlow(c.route)
		if f == nil || f.request(fmt.Sprintf("first-%d", i), 900, 5*time.Second) != "answered" {
			c.record.log("the case couldn't run: flow %d doesn't open", i)
			return exitFailed
		}
		flows = append(flows, f)
	}
	c.record.log("%d flows are open", len(flows))
	time.Sleep(3 * time.Second)
	if trouble {
		c.terminate("agent-1")
	}
	var group sync.WaitGroup
	results := make([]string, len(flows))
	for i, f := range flows {
		group.Add(1)
		go func() {
			defer group.Done()
			results[i] = f.request(fmt.Sprintf("second-%d", i), 900, pause+6*time.Second)
			c.record.log("second-%d: %s", i, results[i])
		}()
	}
	time.Sleep(pause)
	if trouble {
		if err := c.startAgent(1, false); err != nil {
			c.record.log("the case couldn't run: %v", err)
			return exitFailed
		}
	}
	group.Wait()
	counts := map[string]int{}
	for _, result := range results {
		counts[result]++
	}
	c.record.log("results: %v", counts)
	for _, t := range c.targets {
		t.mu.Lock()
		c.record.log("%s: ran %d requests, sent %d resets, lives", t.name, len(t.ran), t.resets)
		t.mu.Unlock()
	}
	if counts["reset"] > 0 {
		c.record.log("BROKEN: FLOW (a): %d open flows were reset while their target lives and has sent no reset", counts["reset"])
		return exitBroken
	}
	return exitHeld
}

// reorder is the bound reorder_ms.
const reorder = 2000 * time.Millisecond

// arrival is a packet of an open flow that has reached a target.
type arrival struct {
	at     time.Time
	own    bool // the target holds the flow
	seq    uint32
	target string
}

// arrivals records which packets of consumers have reached which targets.
type arrivals struct {
	byPort map[uint16][]arrival
	mu     sync.Mutex
}

func (a *arrivals) add(target string, at time.Time, p packet, own bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.byPort[p.src.Port()] = append(a.byPort[p.src.Port()], arrival{at: at, own: own, seq: p.seq, target: target})
}

// misled returns the longest time in which three or more different packets of a flow reached other targets and none its own; end is
// the end of the observation.
func misled(all []arrival, end time.Time) (longest time.Duration, others int) {
	var first time.Time
	seen := map[uint32]bool{}
	check := func(until time.Time) {
		if len(seen) >= 3 && until.Sub(first) > longest {
			longest, others = until.Sub(first), len(seen)
		}
	}
	for _, one := range all {
		if one.own {
			check(one.at)
			clear(seen)
			continue
		}
		if len(seen) == 0 {
			first = one.at
		}
		seen[one.seq] = true
	}
	check(end)
	return longest, others
}

// restarts opens long flows, restarts the balancers in turn and then one agent, all as planned work. It checks that the packets of
// an open flow don't reach other targets, and none its own, for reorder.
func restarts(c *cluster, trouble bool, pause time.Duration) int {
	reached := &arrivals{byPort: map[uint16][]arrival{}}
	for _, t := range c.targets {
		t.mu.Lock()
		t.arrived = reached.add
		t.mu.Unlock()
	}
	var flows []*consumerFlow
	for i := range restartsFlowCount {
		f := c.consumers.openFlow(c.route)
		if f == nil || f.request(fmt.Sprintf("first-%d", i), 900, 5*time.Second) != "answered" {
			c.record.log("the case couldn't run: flow %d doesn't open", i)
			return exitFailed
		}
		flows = append(flows, f)
	}
	c.record.log("%d flows are open", len(flows))
	if trouble {
		for i := 1; i <= balancerCount; i++ {
			c.terminate(fmt.Sprintf("balancer-%d", i))
			time.Sleep(500 * time.Millisecond)
			if err := c.startBalancer(i, false); err != nil {
				c.record.log("the case couldn't run: %v", err)
				return exitFailed
			}
			time.Sleep(1500 * time.Millisecond)
		}
		c.terminate("agent-1")
	}
	var group sync.WaitGroup
	results := make([]string, len(flows))
	for i, f := range flows {
		group.Add(1)
		go func() {
			defer group.Done()
			results[i] = f.request(fmt.Sprintf("second-%d", i), 4500, 5*time.Second)
			c.record.log("port %d second-%d: %s", f.port, i, results[i])
		}()
	}
	time.Sleep(pause)
	if trouble {
		if err := c.startAgent(1, false); err != nil {
			c.record.log("the case couldn't run: %v", err)
			return exitFailed
		}
	}
	group.Wait()
	end := time.Now()
	broken := 0
	reached.mu.Lock()
	defer reached.mu.Unlock()
	for i, f := range flows {
		span, others := misled(reached.byPort[f.port], end)
		if span < reorder {
			continue
		}
		broken++
		c.record.log("port %d second-%d: for %d ms %d different packets of the open flow reached other targets and none its own", f.port, i, span.Milliseconds(), others)
	}
	counts := map[string]int{}
	for _, result := range results {
		counts[result]++
	}
	c.record.log("results: %v", counts)
	if broken > 0 {
		c.record.log("BROKEN: FLOW (b): %d open flows", broken)
		return exitBroken
	}
	return exitHeld
}
