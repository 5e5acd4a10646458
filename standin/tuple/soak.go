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
	soakAgents    = 5
	soakBalancers = 3
	soakCallers   = 12
	soakLimit     = 3 * time.Second // of one request
	soakPause     = 20 * time.Millisecond
	// soakStep is the longest pause between two disturbances.
	soakStep = 900 * time.Millisecond
	// soakCalm is how long nothing is disturbed before everything has to work again.
	soakCalm = 3 * time.Second
)

// A SoakConfig says what a soak does.
type SoakConfig struct {
	Dir      string
	Duration time.Duration // of the disturbances
	Network  byte
	Program  string
	Seed     uint64
}

// A SoakReport is what a soak saw.
type SoakReport struct {
	Disturbances []string
	Failed       int // requests that ended without an answer while something was disturbed
	Served       int
	Violations   []string // broken promises
}

// A soak disturbs a stage at random and checks what callers and backend servers see.
type soak struct {
	callers *rand.Rand
	config  SoakConfig
	down    map[string]bool // processes and backend servers that a disturbance holds
	faults  *rand.Rand
	mu      sync.Mutex // guards report
	report  SoakReport
	stage   *Stage
	version int // of the configuration
}

// Soak runs the real programs for a while under random disturbances.
func Soak(ctx context.Context, config SoakConfig) (SoakReport, error) {
	stage, err := NewStage(StageConfig{
		Agents:    soakAgents,
		Balancers: soakBalancers,
		Dir:       config.Dir,
		Network:   config.Network,
		Program:   config.Program,
	})
	if err != nil {
		return SoakReport{}, err
	}
	defer stage.Stop()
	s := &soak{
		callers: rand.New(rand.NewPCG(config.Seed, 1)),
		config:  config,
		down:    map[string]bool{},
		faults:  rand.New(rand.NewPCG(config.Seed, 2)),
		stage:   stage,
		version: 1,
	}
	disturbed, cancel := context.WithTimeout(ctx, config.Duration)
	defer cancel()
	var wait sync.WaitGroup
	for i := range soakCallers {
		wait.Add(1)
		go func() {
			defer wait.Done()
			s.runCaller(disturbed, i)
		}()
	}
	s.disturb(disturbed)
	wait.Wait()
	s.settle()
	return s.report, nil
}

// disturb does one random thing after the other; some overlap, since each is undone only later.
func (s *soak) disturb(ctx context.Context) {
	undo := []func(){}
	for ctx.Err() == nil {
		pause := time.Duration(s.faults.Int64N(int64(soakStep)))
		name, later := s.disturbOnce()
		s.note(fmt.Sprintf("%s, then %v", name, pause.Round(time.Millisecond)))
		if later != nil {
			undo = append(undo, later)
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
		if len(undo) > 2 || len(undo) > 0 && s.faults.IntN(2) == 0 {
			undo[0]()
			undo = undo[1:]
		}
	}
	for _, later := range undo {
		later()
	}
}

// disturbOnce begins a disturbance and returns its name and how it is undone.
func (s *soak) disturbOnce() (string, func()) {
	balancer := fmt.Sprintf("balancer-%d", s.faults.IntN(soakBalancers))
	agent := fmt.Sprintf("agent-%d", s.faults.IntN(soakAgents))
	backend := s.faults.IntN(soakAgents)
	switch s.faults.IntN(14) {
	case 0:
		return s.restart(balancer, syscall.SIGKILL)
	case 1:
		return s.restart(balancer, syscall.SIGTERM)
	case 2:
		return s.restart(agent, syscall.SIGKILL)
	case 3:
		return s.pause(agent)
	case 4:
		return s.pause(balancer)
	case 5:
		return s.storeMood(Mood{Status: 503})
	case 6:
		return s.storeMood(Mood{Silent: true})
	case 7:
		return s.storeMood(Mood{Delay: 200 * time.Millisecond, LoseWrites: 1})
	case 8:
		return s.replace(backend, "crashes", (*Backend).Crash)
	case 9:
		return s.replace(backend, "drains", (*Backend).Drain)
	case 10, 11:
		return s.harm(balancer)
	case 12:
		return s.harm(agent)
	default:
		s.version++
		s.stage.SetConfig(s.version)
		s.stage.Objects.DropHistory()
		return fmt.Sprintf("configuration %d with its history dropped", s.version), nil
	}
}

// replace disturbs a backend server, which is replaced by a new one at the same address later.
func (s *soak) replace(i int, how string, disturb func(*Backend)) (string, func()) {
	backend := s.stage.Backend(i)
	name := backend.config.Name
	if s.down[name] {
		return name + " is left alone", nil
	}
	s.down[name] = true
	disturb(backend)
	return name + " " + how, func() {
		s.down[name] = false
		if err := s.stage.Replace(i); err != nil {
			s.violate(err.Error())
		}
	}
}

func (s *soak) restart(name string, signal syscall.Signal) (string, func()) {
	if s.down[name] {
		return name + " is left alone", nil
	}
	s.down[name] = true
	process := s.stage.Process(name)
	process.Signal(signal)
	return fmt.Sprintf("%s gets %v", name, signal), func() {
		s.down[name] = false
		if !process.WaitEnd(endLimit) {
			s.violate(name + " does not end")
			return
		}
		if err := process.Start(); err != nil {
			s.violate(err.Error())
		}
	}
}

func (s *soak) pause(name string) (string, func()) {
	if s.down[name] {
		return name + " is left alone", nil
	}
	s.down[name] = true
	process := s.stage.Process(name)
	process.Signal(syscall.SIGSTOP)
	return name + " is paused", func() {
		s.down[name] = false
		process.Signal(syscall.SIGCONT)
	}
}

// harm harms one process's connections to the store.
func (s *soak) harm(name string) (string, func()) {
	proxy := s.stage.proxies[name]
	harm := HarmCutAnswers + Harm(s.faults.IntN(int(harmCount-HarmCutAnswers)))
	proxy.SetHarm(harm)
	return fmt.Sprintf("the store is %s for %s", harm, name), func() { proxy.SetHarm(HarmNone) }
}

func (s *soak) storeMood(mood Mood) (string, func()) {
	s.stage.Objects.SetMood(mood)
	return fmt.Sprintf("the store is %+v", mood), func() { s.stage.Objects.SetMood(Mood{}) }
}

// runCaller opens flows and makes requests until the disturbances end.
func (s *soak) runCaller(ctx context.Context, caller int) {
	for n := 0; ctx.Err() == nil; n++ {
		flow, err := s.stage.Routers.Open(Route)
		if err != nil {
			s.count(err)
			continue
		}
		for m := range s.requests() {
			err = flow.Get(fmt.Sprintf("c%d-%d-%d", caller, n, m), 5000, soakLimit)
			s.count(err)
			s.checkReset(flow, err)
			if err != nil || ctx.Err() != nil {
				break
			}
			time.Sleep(soakPause)
		}
		flow.Close()
	}
}

// requests returns how many requests the next flow carries.
func (s *soak) requests() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return 1 + s.callers.IntN(40)
}

// checkReset checks that no backend server holds a flow that was reset.
func (s *soak) checkReset(flow *Flow, err error) {
	if !errors.Is(err, ErrReset) {
		return
	}
	for i := range soakAgents {
		backend := s.stage.Backend(i)
		if backend.Holds(flow.address) {
			s.violate(fmt.Sprintf("the flow of %v was reset though %s holds it", flow.address, backend.config.Name))
		}
	}
}

// settle ends all disturbance and checks that everything works again.
func (s *soak) settle() {
	s.stage.Objects.SetMood(Mood{})
	for _, proxy := range s.stage.proxies {
		proxy.SetHarm(HarmNone)
	}
	for _, process := range s.stage.processes {
		process.Signal(syscall.SIGCONT)
	}
	time.Sleep(soakCalm)
	for i := range soakCallers {
		flow, err := s.stage.Routers.Open(Route)
		if err == nil {
			err = flow.Get(fmt.Sprintf("calm-%d", i), 5000, soakLimit)
			flow.Close()
		}
		if err != nil {
			s.violate(fmt.Sprintf("a request after all was calm: %v", err))
		}
	}
	for i := range soakAgents {
		backend := s.stage.Backend(i)
		if _, wrong := backend.Totals(); wrong > 0 {
			s.violate(fmt.Sprintf("%s got %d packets that nobody wrote so", backend.config.Name, wrong))
		}
		for _, id := range backend.Repeated() {
			s.violate("request " + id + " ran twice")
		}
	}
}

func (s *soak) count(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err == nil:
		s.report.Served++
	case errors.Is(err, ErrWrong):
		s.report.Violations = append(s.report.Violations, "a response or packet was wrong")
	default:
		s.report.Failed++
	}
}

func (s *soak) note(disturbance string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Disturbances = append(s.report.Disturbances, disturbance)
}

func (s *soak) violate(violation string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Violations = append(s.report.Violations, violation)
}
