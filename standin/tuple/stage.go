package tuple

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/cyclamendock/cyclamendock/standin/stage"
)

// The ports of a stage, each on the hosts' own loopback addresses.
const (
	announcePort = 8166
	innerPort    = 7700
	inletPort    = 8165
	metricsPort  = 9464
	outletPort   = 8162
	packetPort   = 8172
	readyPort    = 8167
	storePort    = 8169
)

// callerNetworks is how far the network of a stage's callers is from that of its hosts.
const callerNetworks = 100

// endLimit is how long a program may take to end.
const endLimit = 10 * time.Second

// Route is the address of the only route.
var Route = netip.MustParseAddrPort("198.18.0.1:443")

// A StageConfig says what runs.
type StageConfig struct {
	Agents    int
	Balancers int
	Dir       string // for settings and logs
	Network   byte   // second byte of all loopback addresses, so that stages do not meet
	Program   string // path of the platform's program
}

// A Stage runs balancers and agents as processes, and the platform around them.
type Stage struct {
	Backends  []*Backend // guarded by mu once Replace is used
	Objects   *Objects
	Routers   *Routers
	config    StageConfig
	mu        sync.Mutex
	processes map[string]*stage.Process
	proxies   map[string]*Proxy // of each process on its way to the store
	store     *http.Server
}

// NewStage starts everything and waits until the balancers are ready.
func NewStage(config StageConfig) (*Stage, error) {
	s := &Stage{config: config, Objects: NewObjects(), processes: map[string]*stage.Process{}, proxies: map[string]*Proxy{}}
	if err := s.start(); err != nil {
		s.Stop()
		return nil, err
	}
	return s, nil
}

// Balancer returns the address at which a balancer receives callers' packets.
func (s *Stage) Balancer(i int) netip.AddrPort {
	return netip.AddrPortFrom(s.host(1, i), packetPort)
}

// Metrics returns the metrics that a process serves, by name.
func (s *Stage) Metrics(name string) (string, error) {
	group, i := byte(2), 0
	if _, err := fmt.Sscanf(name, "agent-%d", &i); err != nil {
		group = 1
		if _, err := fmt.Sscanf(name, "balancer-%d", &i); err != nil {
			return "", err
		}
	}
	response, err := http.Get("http://" + netip.AddrPortFrom(s.host(group, i), metricsPort).String() + "/metrics")
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// Backend returns a backend server.
func (s *Stage) Backend(i int) *Backend {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Backends[i]
}

// Replace ends a backend server, if it still runs, and starts a new one in its place.
func (s *Stage) Replace(i int) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Backends[i].Crash()
	backend, err := NewBackend(s.Backends[i].config)
	if err == nil {
		s.Backends[i] = backend
	}
	return err
}

// Process returns the process of a balancer or an agent by name, such as balancer-0.
func (s *Stage) Process(name string) *stage.Process { return s.processes[name] }

// StartAgain starts a process that has ended, which then knows that it has run before.
func (s *Stage) StartAgain(name string) error {
	path := filepath.Join(s.config.Dir, name+".json")
	settings, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	settings = bytes.Replace(settings, []byte(`"firstStart": true`), []byte(`"firstStart": false`), 1)
	if err := os.WriteFile(path, settings, 0o600); err != nil {
		return err
	}
	return s.processes[name].Start()
}

// Stop ends everything that the stage started.
func (s *Stage) Stop() {
	for _, process := range s.processes {
		process.Kill(endLimit)
	}
	for _, backend := range s.Backends {
		backend.Crash()
	}
	for _, proxy := range s.proxies {
		proxy.Close()
	}
	if s.store != nil {
		_ = s.store.Close()
	}
}

// SetConfig writes a version of the configuration as the operator does.
func (s *Stage) SetConfig(version int) {
	s.Objects.Set("config", "main", map[string]any{
		"version": version,
		"limits":  map[string]any{"idle_timeout_ms": 15000},
		"routes": []any{map[string]any{
			"name": "r", "host": Route.Addr().String(), "path_prefix": fmt.Sprintf("/%d/", Route.Port()), "type": "safe",
			"aim_ms": 300, "timeout_ms": 2500, "priority": 2, "service": "desk",
		}},
	})
}

func (s *Stage) start() error {
	s.SetConfig(1)
	listener, err := net.Listen("tcp4", netip.AddrPortFrom(s.host(0, 0), storePort).String())
	if err != nil {
		return err
	}
	s.store = &http.Server{Handler: s.Objects, ReadHeaderTimeout: endLimit}
	go s.run(listener)
	var fronts []netip.AddrPort
	for i := range s.config.Balancers {
		fronts = append(fronts, s.Balancer(i))
		if err := s.startRole("balancer", 1, i, nil); err != nil {
			return err
		}
	}
	s.Routers = NewRouters(packetPort, s.config.Network+callerNetworks, fronts)
	for i := range s.config.Agents {
		if err := s.startAgent(i); err != nil {
			return err
		}
	}
	return s.waitReady()
}

func (s *Stage) run(listener net.Listener) { _ = s.store.Serve(listener) }

func (s *Stage) startAgent(i int) error {
	host := s.host(2, i)
	inlet := netip.AddrPortFrom(host, inletPort)
	outlet := netip.AddrPortFrom(host, outletPort)
	announce := netip.AddrPortFrom(host, announcePort)
	backend, err := NewBackend(BackendConfig{
		Announce: announce.String(),
		Inlet:    inlet,
		Name:     fmt.Sprintf("i-%d", i),
		Outlet:   outlet,
		Service:  "desk",
		Slots:    7,
	})
	if err != nil {
		return err
	}
	s.Backends = append(s.Backends, backend)
	return s.startRole("agent", 2, i, map[string]any{
		"announceAddress":  announce.String(),
		"announceInterval": announceInterval.String(),
		"inlet":            inlet.String(),
		"outlet":           outlet.String(),
		"service":          "desk",
	})
}

// startRole writes the settings of a process and starts it.
func (s *Stage) startRole(role string, group byte, i int, more map[string]any) error {
	host := s.host(group, i)
	name := fmt.Sprintf("%s-%d", role, i)
	proxy, err := NewProxy(netip.AddrPortFrom(host, storePort), netip.AddrPortFrom(s.host(0, 0), storePort))
	if err != nil {
		return err
	}
	s.proxies[name] = proxy
	settings := map[string]any{
		"address":          netip.AddrPortFrom(host, innerPort).String(),
		"availabilityZone": fmt.Sprintf("zone-%d", i%3),
		"callerAddress":    netip.AddrPortFrom(host, packetPort).String(),
		"firstStart":       true,
		"metricsAddress":   netip.AddrPortFrom(host, metricsPort).String(),
		"name":             name,
		"readyAddress":     netip.AddrPortFrom(host, readyPort).String(),
		"seeds":            []string{netip.AddrPortFrom(s.host(1, 0), announcePort).String()},
		"storeAddress":     netip.AddrPortFrom(host, storePort).String(),
		"trustedNetworks":  []string{"127.0.0.0/8"},
	}
	for key, value := range more {
		settings[key] = value
	}
	encoded, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return err
	}
	path := filepath.Join(s.config.Dir, name+".json")
	if err := os.WriteFile(path, encoded, 0o600); err != nil {
		return err
	}
	s.processes[name] = stage.NewProcess(stage.ProcessConfig{
		Arguments:   []string{role},
		Environment: []string{"CYCLAMENDOCK_SETTINGS=" + path},
		Log:         filepath.Join(s.config.Dir, name+".log"),
		Name:        name,
		Program:     s.config.Program,
	})
	return s.processes[name].Start()
}

// waitReady waits until every balancer is ready and places flows.
func (s *Stage) waitReady() error {
	deadline := time.Now().Add(endLimit)
	for i := 0; i < s.config.Balancers; {
		if time.Now().After(deadline) {
			return fmt.Errorf("balancer-%d is not ready; see its log in %s", i, s.config.Dir)
		}
		if s.ready(i) {
			i++
			continue
		}
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(2 * announceInterval) // so that every agent has heard its backend server
	return nil
}

// ready reports whether a balancer says that it is ready.
func (s *Stage) ready(i int) bool {
	response, err := http.Get("http://" + netip.AddrPortFrom(s.host(1, i), readyPort).String() + "/v1/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (s *Stage) host(group byte, i int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, s.config.Network, group, byte(i + 1)})
}
