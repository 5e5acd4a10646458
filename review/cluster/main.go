package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	balancerCount = 3
	agentCount    = 3
	flowCount     = 24

	heartbeatInterval = 1200 * time.Millisecond // heartbeat_interval_ms
	drainTime         = 3 * time.Second         // drain_ms
	stabilityWindow   = 4 * time.Second         // stability_window_ms
	lateBy            = 5 * time.Second         // platform_lost, late: "done 1 to 6 s later"
	restartDelay      = 2200 * time.Millisecond // herd_kill, for_s = 2.2
	requestLimit      = 4 * time.Second
	idleTimeout       = 15 * time.Second // idle_timeout_ms

	serviceName = "class-desk"
)

var route = netip.MustParseAddrPort("127.63.0.1:8443")

// ports of a day; each host has a loopback address of its own.
type ports struct{ announce, app, caller, internal, metrics, outbound, ready, store uint16 }

// process is one process of the system.
type process struct {
	arguments []string
	cmd       *exec.Cmd
	done      chan struct{}
	log       *os.File
	name      string
	program   string
	settings  string
}

func (p *process) start() error {
	p.cmd = exec.Command(p.program, p.arguments...)
	p.cmd.Env = []string{"CYCLAMENDOCK_SETTINGS=" + p.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		_ = cmd.Wait()
		close(done)
	}(p.cmd, p.done)
	return nil
}

func (p *process) kill() {
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Kill()
		<-p.done
	}
}

// scenario holds everything that one run starts.
type scenario struct {
	agents    []*process
	balancers []*process
	dir       string
	killAll   bool // all balancers are killed at the same moment
	loseWrite bool // one write gets no response and is executed late
	network   byte
	ports     ports
	program   string
	record    *record
	routers   *routers
	stop      chan struct{}
	store     *store
	targets   []*target
}

func (s *scenario) host(group, i int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, s.network, byte(group), byte(i + 1)})
}

func (s *scenario) at(group, i int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(s.host(group, i), port)
}

// addProcess writes the settings that the templates in deploy/ give, and starts the process.
func (s *scenario) addProcess(role string, group, i int, bootstrap bool, extra map[string]any) (*process, error) {
	name := fmt.Sprintf("%s-%d", role, i)
	settings := map[string]any{
		"address":          s.at(group, i, s.ports.internal).String(),
		"availabilityZone": "khi-a",
		"callerAddress":    s.at(group, i, s.ports.caller).String(),
		"firstStart":       bootstrap,
		"flowLifetime":     "60s",
		"metricsAddress":   s.at(group, i, s.ports.metrics).String(),
		"name":             name,
		"readyAddress":     s.at(group, i, s.ports.ready).String(),
		"seeds":            []string{s.at(1, 0, s.ports.announce).String(), s.at(1, 1, s.ports.announce).String(), s.at(1, 2, s.ports.announce).String()},
		"storeAddress":     s.at(0, 0, s.ports.store).String(),
		"storeHistory":     "20s",
		"trustedNetworks":  []string{"127.0.0.0/8"},
	}
	for key, value := range extra {
		settings[key] = value
	}
	p := &process{arguments: []string{role}, name: name, program: s.program, settings: filepath.Join(s.dir, name+".json")}
	if err := writeSettings(p.settings, settings); err != nil {
		return nil, err
	}
	var err error
	if p.log, err = os.Create(filepath.Join(s.dir, name+".log")); err != nil {
		return nil, err
	}
	return p, p.start()
}

func writeSettings(path string, settings map[string]any) error {
	encoded, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, encoded, 0o600)
}

// clearBootstrap turns bootstrap off, as the whole system has started once.
func clearBootstrap(path string) error {
	encoded, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	return os.WriteFile(path, []byte(strings.Replace(string(encoded), `"firstStart": true`, `"firstStart": false`, 1)), 0o600)
}

func (s *scenario) newTarget(agent int, id string) (*target, error) {
	return startTarget(&target{
		announce: s.at(2, agent, s.ports.announce).String(),
		app:      s.at(2, agent, s.ports.app),
		id:       id,
		interval: heartbeatInterval,
		outbound: s.at(2, agent, s.ports.outbound),
		record:   s.record,
		service:  serviceName,
	})
}

// start starts store, balancers, agents, targets and routers, and waits until all are in service.
func (s *scenario) start() error {
	s.store.put("config", "main", map[string]any{
		"version": 3,
		"limits":  map[string]any{"idle_timeout_ms": idleTimeout.Milliseconds()},
		"routes": []any{map[string]any{
			"name": "r1", "host": route.Addr().String(), "path_prefix": fmt.Sprintf("/%d/", route.Port()), "type": "unsafe",
			"service": serviceName, "timeout_ms": 2000, "aim_ms": 150, "priority": 1, "attempts": 1,
		}},
		"services": []any{map[string]any{"name": serviceName, "health_path": "/health", "max_conns": 2000}},
	})
	listener, err := net.Listen("tcp4", s.at(0, 0, s.ports.store).String())
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(listener, s.store) }()
	s.routers = &routers{inRotation: map[netip.AddrPort]bool{}, readyPort: s.ports.ready}
	for i := range balancerCount {
		p, err := s.addProcess("balancer", 1, i, true, map[string]any{"configDeadline": "3000ms", "lostAfter": "4000ms"})
		if err != nil {
			return err
		}
		s.balancers = append(s.balancers, p)
		s.routers.nodes = append(s.routers.nodes, s.at(1, i, s.ports.caller))
	}
	for i := range agentCount {
		p, err := s.addProcess("agent", 2, i, true, map[string]any{
			"announceAddress":      s.at(2, i, s.ports.announce).String(),
			"announceInterval":     heartbeatInterval.String(),
			"inlet":                s.at(2, i, s.ports.app).String(),
			"outlet":               s.at(2, i, s.ports.outbound).String(),
			"service":              serviceName,
			"storeWritesPerSecond": 400,
		})
		if err != nil {
			return err
		}
		s.agents = append(s.agents, p)
	}
	time.Sleep(time.Second)
	for i := range agentCount {
		t, err := s.newTarget(i, fmt.Sprintf("i-%d", i))
		if err != nil {
			return err
		}
		s.targets = append(s.targets, t)
	}
	for _, node := range s.routers.nodes {
		go s.routers.runChecks(node, s.stop)
	}
	for range 100 {
		time.Sleep(100 * time.Millisecond)
		if s.routers.readyCount() == balancerCount {
			time.Sleep(8 * time.Second) // all is calm for longer than stability_window_ms
			return nil
		}
	}
	return errors.New("the balancers don't become ready")
}

// play plays the scenario and returns how many open flows of a living target were reset by the system.
func (s *scenario) play() (int, error) {
	const replaced = 0
	agentEntry := "cyclamendock-members/" + strings.NewReplacer(".", "-", ":", "-").Replace(s.at(2, replaced, s.ports.internal).String())
	lost := make(<-chan struct{})
	if s.loseWrite {
		lost = s.store.loseNextDelete(agentEntry, lateBy)
	}

	// Planned: the target leaves and starts again on its machine.
	s.targets[replaced].drainAndEnd(drainTime)
	time.Sleep(500 * time.Millisecond)
	t, err := s.newTarget(replaced, fmt.Sprintf("i-%d", replaced)) // "may start again under the id that it had"
	if err != nil {
		return 0, err
	}
	s.targets[replaced] = t
	leftAt := time.Now()
	if s.loseWrite {
		select {
		case <-lost:
		case <-time.After(3 * time.Second):
			return 0, errors.New("the agent has not left the list of members")
		}
	}

	time.Sleep(time.Until(leftAt.Add(lateBy + time.Second)))
	s.record.note("store", "members: %s; writing calls since the one without a response, which included: %d",
		strings.Join(s.store.names("cyclamendock-members"), " "), s.store.writeCount())

	// Consumers open flows and use them.
	flows, err := s.openFlows()
	if err != nil {
		return 0, err
	}
	onNewTarget := 0
	for _, f := range flows {
		if t.holds(f.key()) {
			onNewTarget++
		}
	}
	s.record.note("check", "%d of %d flows are open at the target that has started again", onNewTarget, len(flows))
	if onNewTarget == 0 {
		return 0, errors.New("no flow is open at the target that has started again")
	}
	time.Sleep(500 * time.Millisecond)
	if s.killAll {
		s.killBalancers()
	}
	for range 100 {
		if s.routers.readyCount() == balancerCount {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	if s.routers.readyCount() != balancerCount {
		return 0, errors.New("the balancers don't become ready again")
	}
	time.Sleep(stabilityWindow + 1500*time.Millisecond)
	return s.useFlows(flows), nil
}

// killBalancers kills all balancers at the same moment and starts them again.
func (s *scenario) killBalancers() {
	s.record.note("platform", "kills all balancers")
	var group sync.WaitGroup
	for _, p := range s.balancers {
		group.Go(p.kill)
	}
	group.Wait()
	time.Sleep(restartDelay)
	for _, p := range s.balancers {
		if err := clearBootstrap(p.settings); err != nil {
			s.record.note("platform", "settings: %v", err)
		}
		if err := p.start(); err != nil {
			s.record.note("platform", "start: %v", err)
		}
	}
	s.record.note("platform", "has started all balancers again")
	time.Sleep(1200 * time.Millisecond) // the routers notice what is down
}

// openFlows opens flows and sends one request on each.
func (s *scenario) openFlows() ([]*consumerFlow, error) {
	var flows []*consumerFlow
	for i := range flowCount {
		src := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, s.network, 9, byte(i + 1)}), uint16(1024+rand.IntN(40000)))
		f, err := openFlow(s.routers, src, route, s.ports.caller)
		if err != nil {
			return nil, err
		}
		if f == nil {
			s.record.note("consumer", "%s: the flow did not open", src)
			continue
		}
		result := f.request(fmt.Sprintf("first-%d", i), requestLimit)
		s.record.note("consumer", "%s: request first-%d is %s", src, i, result)
		if result != resultAnswered {
			return nil, fmt.Errorf("request first-%d is %s before any trouble", i, result)
		}
		flows = append(flows, f)
	}
	return flows, nil
}

// useFlows sends another request on each flow, and returns how many were reset although their target holds them.
func (s *scenario) useFlows(flows []*consumerFlow) int {
	var broken int
	var mu sync.Mutex
	var group sync.WaitGroup
	for i, f := range flows {
		group.Go(func() {
			var holder *target
			for _, t := range s.targets {
				if t.holds(f.key()) {
					holder = t
				}
			}
			result := f.request(fmt.Sprintf("second-%d", i), requestLimit)
			s.record.note("consumer", "%s: request second-%d is %s", f.src, i, result)
			mu.Lock()
			defer mu.Unlock()
			if result == resultReset && holder != nil && holder.holds(f.key()) && !holder.sentReset(f.key()) {
				s.record.note("check", "FLOW: the open flow of %s was reset; its target %s lives, holds it and sent no reset", f.src, holder.id)
				broken++
			}
			if result == resultWrong {
				broken++
			}
		})
	}
	group.Wait()
	for _, t := range s.targets {
		t.mu.Lock()
		for id, runs := range t.runs {
			if runs > 1 {
				s.record.note("check", "request %s ran %d times", id, runs)
				broken++
			}
		}
		broken += t.wrongServed
		t.mu.Unlock()
	}
	return broken
}

func (s *scenario) end() {
	close(s.stop)
	for _, p := range append(s.balancers, s.agents...) {
		p.kill()
	}
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: cluster PROGRAM FOLDER RECORD")
		os.Exit(2)
	}
	r, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	base := uint16(20000 + 10*rand.IntN(900))
	s := &scenario{
		dir:     os.Args[2],
		network: byte(64 + rand.IntN(128)),
		ports: ports{announce: base, app: base + 1, caller: base + 2, internal: base + 3, metrics: base + 4,
			outbound: base + 5, ready: base + 6, store: base + 7},
		program: os.Args[1],
		record:  r,
		stop:    make(chan struct{}),
		store:   newStore(r),
	}
	switch os.Getenv("TROUBLE") {
	case "0":
	case "kill":
		s.killAll = true
	case "lost":
		s.loseWrite = true
	default:
		s.killAll, s.loseWrite = true, true
	}
	os.Exit(s.run())
}

// run returns the exit code: 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
func (s *scenario) run() int {
	defer s.end()
	if err := s.start(); err != nil {
		s.record.note("check", "can't run: %v", err)
		return 2
	}
	broken, err := s.play()
	if err != nil {
		s.record.note("check", "can't run: %v", err)
		return 2
	}
	if broken > 0 {
		s.record.note("check", "broken: %d", broken)
		return 1
	}
	s.record.note("check", "held")
	return 0
}
