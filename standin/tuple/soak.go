package tuple

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

const (
	soakAgents         = 5
	soakBalancers      = 3
	soakCallers        = 12
	soakRequestTimeout = 3 * time.Second
	soakRequestPause   = 20 * time.Millisecond // between a caller's requests
	// soakMaxFaultPause is the longest pause between two faults.
	soakMaxFaultPause = 900 * time.Millisecond
	// soakKeptBackups is the number of copies of the store, one for each injected fault, of which one may be restored.
	soakKeptBackups = 6
	// soakFaultsPerRestore is the mean number of injected faults between two restores of the store.
	soakFaultsPerRestore = 6
	// soakWriteDelay is how much later writes without an answer are executed, longer than a process waits for the answer.
	soakWriteDelay = 2 * time.Second
	// soakRecoveryTime is the time without faults after which every request has to succeed.
	soakRecoveryTime = 3 * time.Second
)

// SoakConfig configures a soak test.
type SoakConfig struct {
	Duration    time.Duration // duration of the fault injection
	Network     byte          // second byte of the hosts' loopback addresses
	ProgramPath string        // path of the platform program
	Seed        uint64
	WorkDir     string // folder for settings and logs
}

// SoakReport holds the results of a soak test.
type SoakReport struct {
	Excused    int      // resets of flows whose agent no balancer had heard for long
	Failed     int      // requests without a response while faults were injected
	Faults     []string // injected faults, in order
	Served     int      // requests with a correct response
	Violations []string // violated invariants
}

// soak injects random faults into a cluster and checks the invariants that callers and backend servers observe.
type soak struct {
	backups       []Backup // latest copies of the store, oldest first
	callerRandom  *rand.Rand
	cluster       *Cluster
	config        SoakConfig
	configVersion int
	faultRandom   *rand.Rand
	faulty        map[string]bool // processes and backend servers with an active fault; they get no second one
	mu            sync.Mutex      // guards report and callerRandom
	report        SoakReport
	restoreRandom *rand.Rand // separate, so that a seed draws the same other faults with and without restores
}

// Soak runs a cluster of the real programs under random faults for a while, and returns the violated invariants.
func Soak(ctx context.Context, config SoakConfig) (SoakReport, error) {
	cluster, err := NewCluster(ClusterConfig{
		Agents:      soakAgents,
		Balancers:   soakBalancers,
		Network:     config.Network,
		ProgramPath: config.ProgramPath,
		WorkDir:     config.WorkDir,
	})
	if err != nil {
		return SoakReport{}, err
	}
	defer cluster.Stop()
	s := &soak{
		callerRandom:  rand.New(rand.NewPCG(config.Seed, 1)),
		cluster:       cluster,
		config:        config,
		configVersion: 1,
		faultRandom:   rand.New(rand.NewPCG(config.Seed, 2)),
		faulty:        map[string]bool{},
		restoreRandom: rand.New(rand.NewPCG(config.Seed, 3)),
	}
	faultCtx, cancel := context.WithTimeout(ctx, config.Duration)
	defer cancel()
	var group sync.WaitGroup
	for i := range soakCallers {
		group.Add(1)
		go func() {
			defer group.Done()
			s.runCaller(faultCtx, i)
		}()
	}
	s.injectFaults(faultCtx)
	group.Wait()
	s.checkRecovery()
	return s.report, nil
}

// injectFaults injects random faults until ctx ends. It may revert a fault only after it has injected later ones, so that up
// to three overlap.
func (s *soak) injectFaults(ctx context.Context) {
	reverts := []func(){}
	for ctx.Err() == nil {
		pause := time.Duration(s.faultRandom.Int64N(int64(soakMaxFaultPause)))
		description, revert := s.injectFault()
		s.recordFault(fmt.Sprintf("%s, then %v", description, pause.Round(time.Millisecond)))
		s.maybeRestoreStore()
		if revert != nil {
			reverts = append(reverts, revert)
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
		if len(reverts) > 2 || len(reverts) > 0 && s.faultRandom.IntN(2) == 0 {
			reverts[0]()
			reverts = reverts[1:]
		}
	}
	for _, revert := range reverts {
		revert()
	}
}

// maybeRestoreStore replaces the store's content by an older copy of it, at random. The operator then writes the latest
// configuration again.
func (s *soak) maybeRestoreStore() {
	s.backups = append(s.backups, s.cluster.Store.Backup())
	s.backups = s.backups[max(0, len(s.backups)-soakKeptBackups):]
	if s.restoreRandom.IntN(soakFaultsPerRestore) != 0 {
		return
	}
	age := s.restoreRandom.IntN(len(s.backups))
	s.cluster.Store.Restore(s.backups[len(s.backups)-1-age])
	s.cluster.SetConfig(s.configVersion)
	s.recordFault(fmt.Sprintf("the store is restored from %d faults ago", age))
}

// injectFault injects a random fault, and returns its description and a function that reverts it, if any.
func (s *soak) injectFault() (string, func()) {
	balancer := fmt.Sprintf("balancer-%d", s.faultRandom.IntN(soakBalancers))
	agent := fmt.Sprintf("agent-%d", s.faultRandom.IntN(soakAgents))
	backend := s.faultRandom.IntN(soakAgents)
	switch s.faultRandom.IntN(17) {
	case 0:
		return s.restart(balancer, syscall.SIGKILL)
	case 1:
		return s.restart(balancer, syscall.SIGTERM)
	case 2:
		return s.restart(agent, syscall.SIGKILL)
	case 3:
		return s.suspend(agent)
	case 4:
		return s.suspend(balancer)
	case 5:
		return s.injectStoreFault(StoreFault{Status: 503})
	case 6:
		return s.injectStoreFault(StoreFault{Silent: true})
	case 7:
		return s.injectStoreFault(StoreFault{Delay: 200 * time.Millisecond, UnansweredWrites: 1})
	case 8:
		return s.replaceBackend(backend, "crashes", (*Backend).Crash)
	case 9:
		return s.replaceBackend(backend, "drains", (*Backend).Drain)
	case 10, 11:
		return s.injectProxyFault(balancer)
	case 12:
		return s.injectProxyFault(agent)
	case 13:
		return s.replaceBackend(backend, "leaves", s.removeBackend)
	case 14:
		return s.injectStoreFault(StoreFault{LateBy: soakWriteDelay, LateWrites: 3})
	case 15:
		return s.restartBalancers()
	default:
		s.configVersion++
		s.cluster.SetConfig(s.configVersion)
		s.cluster.Store.DropHistory()
		return fmt.Sprintf("configuration %d is written and the store's history dropped", s.configVersion), nil
	}
}

// removeBackend makes a backend server end as planned, of which its agent is told.
func (s *soak) removeBackend(b *Backend) {
	b.Crash()
	if err := b.Leave(); err != nil {
		s.recordFault(b.config.Name + " could not say that it leaves: " + err.Error())
	}
}

// restartBalancers kills all balancers that have no fault; the revert function starts them again.
func (s *soak) restartBalancers() (string, func()) {
	var reverts []func()
	for i := range soakBalancers {
		if _, revert := s.restart(fmt.Sprintf("balancer-%d", i), syscall.SIGKILL); revert != nil {
			reverts = append(reverts, revert)
		}
	}
	return fmt.Sprintf("%d balancers are killed", len(reverts)), func() {
		for _, revert := range reverts {
			revert()
		}
	}
}

// replaceBackend makes a backend server crash, drain or leave; the revert function starts a new one at the same address.
func (s *soak) replaceBackend(i int, action string, inject func(*Backend)) (string, func()) {
	backend := s.cluster.Backend(i)
	name := backend.config.Name
	if s.faulty[name] {
		return name + " already has a fault", nil
	}
	s.faulty[name] = true
	inject(backend)
	return name + " " + action, func() {
		s.faulty[name] = false
		if err := s.cluster.Replace(i); err != nil {
			s.recordViolation(err.Error())
		}
	}
}

// restart ends a process with a signal; the revert function starts it again.
func (s *soak) restart(name string, signal syscall.Signal) (string, func()) {
	if s.faulty[name] {
		return name + " already has a fault", nil
	}
	s.faulty[name] = true
	process := s.cluster.Process(name)
	process.Signal(signal)
	return fmt.Sprintf("%s gets %v", name, signal), func() {
		s.faulty[name] = false
		if !process.WaitExit(exitTimeout) {
			s.recordViolation(name + " did not exit in time")
			return
		}
		if err := process.Start(); err != nil {
			s.recordViolation(err.Error())
		}
	}
}

// suspend stops a process without ending it; the revert function resumes it.
func (s *soak) suspend(name string) (string, func()) {
	if s.faulty[name] {
		return name + " already has a fault", nil
	}
	s.faulty[name] = true
	process := s.cluster.Process(name)
	process.Signal(syscall.SIGSTOP)
	return name + " is suspended", func() {
		s.faulty[name] = false
		process.Signal(syscall.SIGCONT)
	}
}

// injectProxyFault injects a random fault into one process's connections to the store.
func (s *soak) injectProxyFault(name string) (string, func()) {
	proxy := s.cluster.proxies[name]
	fault := FaultDropResponses + ProxyFault(s.faultRandom.IntN(int(proxyFaultCount-FaultDropResponses)))
	proxy.SetFault(fault)
	return fmt.Sprintf("connections to the store are %s for %s", fault, name), func() { proxy.SetFault(FaultNone) }
}

// injectStoreFault makes the store misbehave towards every process; the revert function ends the fault.
func (s *soak) injectStoreFault(fault StoreFault) (string, func()) {
	s.cluster.Store.SetFault(fault)
	return fmt.Sprintf("the store injects %+v", fault), func() { s.cluster.Store.SetFault(StoreFault{}) }
}

// runCaller opens flows and sends requests until ctx ends.
func (s *soak) runCaller(ctx context.Context, caller int) {
	for n := 0; ctx.Err() == nil; n++ {
		flow, err := s.cluster.Routers.Open(Route)
		if err != nil {
			s.countResult(err)
			continue
		}
		for m := range s.randomRequestCount() {
			err = flow.Get(fmt.Sprintf("c%d-%d-%d", caller, n, m), 5000, soakRequestTimeout)
			s.countResult(err)
			s.checkResetFlow(flow, err)
			if err != nil || ctx.Err() != nil {
				break
			}
			time.Sleep(soakRequestPause)
		}
		flow.Close()
	}
}

// randomRequestCount draws the number of requests on the next flow.
func (s *soak) randomRequestCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return 1 + s.callerRandom.IntN(40)
}

// checkResetFlow records a violation if a backend server still holds a flow that was reset.
func (s *soak) checkResetFlow(flow *Flow, err error) {
	if !errors.Is(err, ErrReset) {
		return
	}
	for i := range soakAgents {
		backend := s.cluster.Backend(i)
		if backend.HasOpenFlow(flow.address) {
			s.recordViolation(fmt.Sprintf("the flow of %v was reset although %s holds it", flow.address, backend.config.Name))
		}
	}
}

// checkRecovery ends all faults and checks that requests succeed again, and that no packet was corrupted and no request
// ran twice.
func (s *soak) checkRecovery() {
	s.cluster.Store.SetFault(StoreFault{})
	for _, proxy := range s.cluster.proxies {
		proxy.SetFault(FaultNone)
	}
	for _, process := range s.cluster.processes {
		process.Signal(syscall.SIGCONT)
	}
	time.Sleep(soakRecoveryTime)
	for i := range soakCallers {
		flow, err := s.cluster.Routers.Open(Route)
		if err == nil {
			err = flow.Get(fmt.Sprintf("calm-%d", i), 5000, soakRequestTimeout)
			flow.Close()
		}
		if err != nil {
			s.recordViolation(fmt.Sprintf("a request failed after all faults had ended: %v", err))
		}
	}
	s.checkStored()
	for i := range s.cluster.Backends {
		backend := s.cluster.Backend(i)
		if _, corruptPackets := backend.Totals(); corruptPackets > 0 {
			s.recordViolation(fmt.Sprintf("%s received %d corrupt packets", backend.config.Name, corruptPackets))
		}
		for _, id := range backend.RepeatedRequests() {
			s.recordViolation("request " + id + " ran twice")
		}
	}
}

// checkStored checks that every balancer applies the latest configuration and that every process is a member.
func (s *soak) checkStored() {
	for i := range s.cluster.config.Balancers {
		if version := s.cluster.ConfigVersion(i); version != s.configVersion {
			s.recordViolation(fmt.Sprintf("balancer-%d applies configuration %d instead of %d", i, version, s.configVersion))
		}
	}
	if members := s.cluster.Members(); len(members) != len(s.cluster.processes) {
		s.recordViolation(fmt.Sprintf("the store lists only %v", members))
	}
}

func (s *soak) countResult(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err == nil:
		s.report.Served++
	case errors.Is(err, ErrCorrupt):
		s.report.Violations = append(s.report.Violations, "a caller received a corrupt response or packet")
	default:
		s.report.Failed++
	}
}

func (s *soak) recordFault(fault string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Faults = append(s.report.Faults, fault)
}

func (s *soak) recordViolation(violation string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Violations = append(s.report.Violations, violation)
}
