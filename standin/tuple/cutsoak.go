package tuple

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"time"
)

const (
	cutCount = 2 // cuts in one run
	// cutCallers is the number of callers per agent, of which every second one keeps its flow through the whole run.
	cutCallers = 3
	// cutRequestTimeout is longer than a run, since a request on an open flow must be answered after the cut at the latest.
	cutRequestTimeout = 2 * time.Minute
	// cutExcuse is added to lostAfter, in which a balancer asks all others about a silent agent, to get the silence that excuses a reset.
	cutExcuse = time.Second
	// cutResetDelay is the longest time between a balancer's decision and the arrival of its reset at a caller that waits for it.
	cutResetDelay = 300 * time.Millisecond
	cutMaxPause   = time.Second // between two steps of a run
	// cutShortPause is the longest pause between two requests of a caller whose flow is busy.
	cutShortPause = 200 * time.Millisecond
)

// CutSoakConfig configures a soak test with cuts.
type CutSoakConfig struct {
	SoakConfig // its program has the build tag cuts; its Duration is not used
	Agents     int
	Balancers  int // before more are added
	CutFor     time.Duration
	LostAfter  time.Duration // setting of the balancers
}

// RandomCutSoak returns a configuration drawn from the seed.
func RandomCutSoak(config SoakConfig) CutSoakConfig {
	random := rand.New(rand.NewPCG(config.Seed, 4))
	return CutSoakConfig{
		SoakConfig: config,
		Agents:     5 + random.IntN(5),
		Balancers:  3,
		CutFor:     8*time.Second + time.Duration(random.Int64N(int64(4*time.Second))),
		LostAfter:  time.Second + time.Duration(random.Int64N(int64(3*time.Second))),
	}
}

// cutSoak cuts agents off from a cluster and checks that the balancers reset no flow that a backend server holds.
type cutSoak struct {
	*soak
	config  CutSoakConfig
	ctx     context.Context // ends with the last fault
	group   sync.WaitGroup  // of callers and samplers
	hearing *hearing
}

// CutSoak runs a cluster of the real programs, cuts a third of the agents off twice, adds balancers meanwhile and restarts all balancers
// in turn afterwards. It returns the violated invariants.
func CutSoak(ctx context.Context, config CutSoakConfig) (SoakReport, error) {
	if err := os.MkdirAll(filepath.Join(config.WorkDir, "cuts"), 0o700); err != nil {
		return SoakReport{}, err
	}
	cluster, err := NewCluster(ClusterConfig{
		Agents:      config.Agents,
		Balancers:   config.Balancers,
		Cuts:        true,
		LostAfter:   config.LostAfter,
		Network:     config.Network,
		ProgramPath: config.ProgramPath,
		WorkDir:     config.WorkDir,
	})
	if err != nil {
		return SoakReport{}, err
	}
	defer cluster.Stop()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := &cutSoak{
		config:  config,
		ctx:     ctx,
		hearing: newHearing(),
		soak:    &soak{cluster: cluster, configVersion: 1, faultRandom: rand.New(rand.NewPCG(config.Seed, 2))},
	}
	defer s.hearing.client.Close()
	for i := range config.Balancers {
		s.observe(i)
	}
	for i := range cutCallers * config.Agents {
		s.group.Go(func() { s.runCaller(i, rand.New(rand.NewPCG(config.Seed, uint64(100+i)))) })
	}
	s.recordFault(fmt.Sprintf("%d agents and %d balancers run, with lostAfter %v", config.Agents, config.Balancers, config.LostAfter))
	err = s.injectCuts()
	cancel()
	s.group.Wait()
	if err == nil {
		s.checkRecovery()
	}
	return s.report, err
}

// observe samples which agents a balancer hears.
func (s *cutSoak) observe(balancer int) {
	address := netip.AddrPortFrom(s.cluster.host(1, balancer), internalPort)
	s.group.Go(func() { s.hearing.run(s.ctx, address) })
}

// injectCuts runs the cuts, each with balancers that are added during it, and restarts all balancers in turn after each: once after the
// first one, twice after the second one, and so on.
func (s *cutSoak) injectCuts() error {
	for rounds := 1; rounds <= cutCount; rounds++ {
		s.pause(cutMaxPause)
		if err := s.injectCut(); err != nil {
			return err
		}
		for range rounds {
			s.pause(cutMaxPause)
			s.recordFault("all balancers are restarted in turn")
			for i := range s.cluster.config.Balancers {
				if err := s.cluster.RestartBalancer(i); err != nil {
					return err
				}
			}
		}
	}
	s.pause(cutMaxPause)
	return nil
}

// injectCut cuts a third of the agents off and adds one or two balancers, which are not cut off from them.
func (s *cutSoak) injectCut() error {
	end := time.Now().Add(s.config.CutFor)
	agents := s.faultRandom.Perm(s.config.Agents)[:(s.config.Agents+2)/3]
	s.recordFault(fmt.Sprintf("the agents %v are cut off for %v", agents, s.config.CutFor))
	for _, agent := range agents {
		if err := s.cluster.Cut(agent); err != nil {
			return err
		}
	}
	for range 1 + s.faultRandom.IntN(2) {
		s.pause(s.config.CutFor / 2)
		s.observe(s.cluster.config.Balancers)
		if err := s.cluster.AddBalancer(); err != nil {
			return err
		}
		s.recordFault(fmt.Sprintf("balancer-%d is added", s.cluster.config.Balancers-1))
	}
	time.Sleep(time.Until(end))
	s.recordFault("the cut ends")
	return s.cluster.Heal()
}

// pause waits for a random time up to longest.
func (s *cutSoak) pause(longest time.Duration) {
	time.Sleep(time.Duration(s.faultRandom.Int64N(int64(longest))))
}

// runCaller opens flows and uses each until its end: until it has sent some requests, or the faults end. Every second caller keeps its
// flow until the faults end, with pauses in which it is idle as long as a cut.
func (s *cutSoak) runCaller(caller int, random *rand.Rand) {
	longPause := []time.Duration{cutShortPause, s.config.CutFor}[caller%2]
	for n := 0; s.ctx.Err() == nil; n++ {
		flow, err := s.cluster.Routers.Open(Route)
		if err != nil {
			s.countResult(err)
			continue
		}
		requests := 1 + random.IntN(40)
		for m, last := 0, false; !last && err == nil; m++ {
			last = s.ctx.Err() != nil || caller%2 == 0 && m == requests
			err = flow.Get(fmt.Sprintf("c%d-%d-%d", caller, n, m), 5000, cutRequestTimeout)
			s.countResult(err)
			if err == nil && !last {
				err = s.idle(flow, time.Duration(random.Int64N(int64(longPause))))
			}
		}
		switch {
		case errors.Is(err, ErrReset):
			s.checkReset(time.Now(), flow)
		case errors.Is(err, ErrTimeout):
			s.recordViolation(fmt.Sprintf("a request on the open flow of %v got no response", flow.address))
		}
		flow.Close()
	}
}

// idle keeps a flow idle for a while, or until the faults end.
func (s *cutSoak) idle(flow *Flow, pause time.Duration) error {
	for end := time.Now().Add(pause); time.Now().Before(end) && s.ctx.Err() == nil; {
		if err := flow.Wait(min(cutShortPause, time.Until(end))); err != nil {
			return err
		}
	}
	return nil
}

// checkReset records a violation if a backend server still holds a flow that was reset. The reset is excused only while no balancer at all
// has heard the backend server's agent within lostAfter plus cutExcuse: then none can carry the flow's packets, nor knows of the flow.
func (s *cutSoak) checkReset(now time.Time, flow *Flow) {
	for i, backend := range s.cluster.Backends {
		if !backend.HasOpenFlow(flow.address) {
			continue
		}
		agent := netip.AddrPortFrom(s.cluster.host(2, i), internalPort)
		time.Sleep(2 * hearingInterval) // until the reports that came before the reset are sampled
		silence := max(s.hearing.silence(agent, now), s.hearing.silence(agent, now.Add(-cutResetDelay)))
		if silence <= s.config.LostAfter+cutExcuse {
			s.recordViolation(fmt.Sprintf("%s: the flow of %v was reset although %s holds it and a balancer heard agent-%d %v before, with lostAfter %v",
				now.Format(time.RFC3339Nano), flow.address, backend.config.Name, i, silence, s.config.LostAfter))
			continue
		}
		s.mu.Lock()
		s.report.Excused++
		s.mu.Unlock()
	}
}
