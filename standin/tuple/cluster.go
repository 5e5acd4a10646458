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
	"regexp"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cyclamendock/cyclamendock/standin/local"
)

// The ports of a cluster's processes; each host has a loopback address of its own.
const (
	announcePort = 8166 // at an agent, for its backend server's announcements
	callerPort   = 8172 // for packets between routers, callers and the system
	inletPort    = 8165 // at a backend server, for packets of its agent
	internalPort = 7700 // for messages between balancers and agents
	metricsPort  = 9464
	outletPort   = 8162 // at an agent, for packets of its backend server
	readyPort    = 8167
	storePort    = 8169
)

// callerNetworkOffset is the difference between the second bytes of the callers' and the hosts' loopback networks.
const callerNetworkOffset = 100

// exitTimeout is the longest time that a process may take to exit, and that a cluster may take to become ready.
const exitTimeout = 10 * time.Second

// Route is the address of the only configured route.
var Route = netip.MustParseAddrPort("198.18.0.1:443")

// ClusterConfig configures a Cluster.
type ClusterConfig struct {
	Agents       int
	Balancers    int
	Cuts         bool          // Cut is used; ProgramPath is then the platform program with the build tag cuts
	LostAfter    time.Duration // balancers' setting lostAfter; its default when zero
	Network      byte          // second byte of the hosts' loopback addresses; clusters that run at once need different ones
	ProgramPath  string        // path of the platform program, which runs balancers and agents
	WorkDir      string        // folder for settings and logs
	ZoneDeadline time.Duration // balancers' setting zoneDeadline; absent when zero
}

// Cluster runs balancers and agents as processes, together with simulated callers, backend servers and object store.
type Cluster struct {
	Backends    []*Backend // guarded by mu once Replace is used
	Routers     *Routers
	Store       *ObjectStore
	config      ClusterConfig
	mu          sync.Mutex
	processes   map[string]*local.Process
	proxies     map[string]*Proxy // between each process and the store, by the process's name
	storeServer *http.Server
}

// NewCluster starts a cluster and waits until its balancers are ready.
func NewCluster(config ClusterConfig) (*Cluster, error) {
	c := &Cluster{config: config, Store: NewObjectStore(), processes: map[string]*local.Process{}, proxies: map[string]*Proxy{}}
	if err := c.start(); err != nil {
		c.Stop()
		return nil, err
	}
	return c, nil
}

// Balancer returns the address at which a balancer receives callers' packets.
func (c *Cluster) Balancer(i int) netip.AddrPort {
	return netip.AddrPortFrom(c.host(1, i), callerPort)
}

// Metrics returns the metrics page of the process with the given name.
func (c *Cluster) Metrics(name string) (string, error) {
	group, i := byte(2), 0
	if _, err := fmt.Sscanf(name, "agent-%d", &i); err != nil {
		group = 1
		if _, err := fmt.Sscanf(name, "balancer-%d", &i); err != nil {
			return "", err
		}
	}
	response, err := http.Get("http://" + netip.AddrPortFrom(c.host(group, i), metricsPort).String() + "/metrics")
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// configVersionMetric matches the metric with the version of the configuration that a balancer applies.
var configVersionMetric = regexp.MustCompile(`cyclamendock_balancer_config_version (\d+)`)

// ConfigVersion returns the version of the configuration that a balancer applies, or zero when it can't be read.
func (c *Cluster) ConfigVersion(balancer int) int {
	page, err := c.Metrics(fmt.Sprintf("balancer-%d", balancer))
	if err != nil {
		return 0
	}
	match := configVersionMetric.FindStringSubmatch(page)
	if match == nil {
		return 0
	}
	version, _ := strconv.Atoi(match[1]) // the pattern matches digits only
	return version
}

// Members returns the names of the processes' entries in the store.
func (c *Cluster) Members() []string {
	return slices.DeleteFunc(c.Store.Names("cyclamendock-members"), func(name string) bool { return name == "complete" })
}

// Backend returns the current backend server beside agent i.
func (c *Cluster) Backend(i int) *Backend {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Backends[i]
}

// Replace crashes the backend server beside agent i, unless it has crashed already, and starts a new one at its address.
func (c *Cluster) Replace(i int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Backends[i].Crash()
	backend, err := NewBackend(c.Backends[i].config)
	if err == nil {
		c.Backends[i] = backend
	}
	return err
}

// Process returns the process of the balancer or agent with the given name, such as balancer-0.
func (c *Cluster) Process(name string) *local.Process { return c.processes[name] }

// Restart starts a process that has ended, with the setting firstStart turned off.
func (c *Cluster) Restart(name string) error {
	path := filepath.Join(c.config.WorkDir, name+".json")
	settings, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	settings = bytes.Replace(settings, []byte(`"firstStart": true`), []byte(`"firstStart": false`), 1)
	if err := os.WriteFile(path, settings, 0o600); err != nil {
		return err
	}
	return c.processes[name].Start()
}

// Stop ends everything that the cluster has started.
func (c *Cluster) Stop() {
	for _, process := range c.processes {
		process.Kill(exitTimeout)
	}
	for _, backend := range c.Backends {
		backend.Crash()
	}
	for _, proxy := range c.proxies {
		proxy.Close()
	}
	if c.storeServer != nil {
		_ = c.storeServer.Close()
	}
}

// SetConfig writes the configuration with the given version to the store, as the operator does.
func (c *Cluster) SetConfig(version int) {
	c.Store.Set("config", "main", map[string]any{
		"version": version,
		"limits":  map[string]any{"idle_timeout_ms": 15000},
		"routes": []any{map[string]any{
			"name": "r", "host": Route.Addr().String(), "path_prefix": fmt.Sprintf("/%d/", Route.Port()), "type": "safe",
			"aim_ms": 300, "timeout_ms": 2500, "priority": 2, "service": "desk",
		}},
		"services": []any{map[string]any{"name": "desk", "max_conns": 2000, "warmup_s": 2, "warmup_per_s": 0}},
	})
}

func (c *Cluster) start() error {
	c.SetConfig(1)
	listener, err := listenWhenFree(func() (net.Listener, error) {
		return net.Listen("tcp4", netip.AddrPortFrom(c.host(0, 0), storePort).String())
	})
	if err != nil {
		return err
	}
	c.storeServer = &http.Server{Handler: c.Store, ReadHeaderTimeout: exitTimeout}
	go c.runStore(listener)
	var balancers []netip.AddrPort
	for i := range c.config.Balancers {
		balancers = append(balancers, c.Balancer(i))
		if err := c.startBalancer(i); err != nil {
			return err
		}
	}
	c.Routers = NewRouters(callerPort, c.config.Network+callerNetworkOffset, balancers)
	for i := range c.config.Agents {
		if err := c.startAgent(i); err != nil {
			return err
		}
	}
	return c.waitReady()
}

func (c *Cluster) runStore(listener net.Listener) { _ = c.storeServer.Serve(listener) }

func (c *Cluster) startAgent(i int) error {
	host := c.host(2, i)
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
	c.Backends = append(c.Backends, backend)
	return c.startProcess("agent", 2, i, map[string]any{
		"announceAddress":  announce.String(),
		"announceInterval": announceInterval.String(),
		"inlet":            inlet.String(),
		"outlet":           outlet.String(),
		"service":          "desk",
	})
}

func (c *Cluster) startBalancer(i int) error {
	settings := map[string]any{}
	if c.config.LostAfter != 0 {
		settings["lostAfter"] = c.config.LostAfter.String()
	}
	if c.config.ZoneDeadline != 0 {
		settings["zoneDeadline"] = c.config.ZoneDeadline.String()
	}
	return c.startProcess("balancer", 1, i, settings)
}

// startProcess writes the settings of a balancer or an agent and starts its process behind a proxy to the store.
func (c *Cluster) startProcess(role string, group byte, i int, extraSettings map[string]any) error {
	host := c.host(group, i)
	name := fmt.Sprintf("%s-%d", role, i)
	proxy, err := NewProxy(netip.AddrPortFrom(host, storePort), netip.AddrPortFrom(c.host(0, 0), storePort))
	if err != nil {
		return err
	}
	c.proxies[name] = proxy
	settings := map[string]any{
		"address":          netip.AddrPortFrom(host, internalPort).String(),
		"availabilityZone": fmt.Sprintf("zone-%d", i%3),
		"callerAddress":    netip.AddrPortFrom(host, callerPort).String(),
		"firstStart":       true,
		"metricsAddress":   netip.AddrPortFrom(host, metricsPort).String(),
		"name":             name,
		"readyAddress":     netip.AddrPortFrom(host, readyPort).String(),
		"seeds":            []string{netip.AddrPortFrom(c.host(1, 0), announcePort).String()},
		"storeAddress":     netip.AddrPortFrom(host, storePort).String(),
		"trustedNetworks":  []string{"127.0.0.0/8"},
	}
	for key, value := range extraSettings {
		settings[key] = value
	}
	encoded, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return err
	}
	path := filepath.Join(c.config.WorkDir, name+".json")
	if err := os.WriteFile(path, encoded, 0o600); err != nil {
		return err
	}
	c.processes[name] = local.NewProcess(local.ProcessConfig{
		Arguments:   []string{role},
		Environment: c.environment(path),
		LogPath:     filepath.Join(c.config.WorkDir, name+".log"),
		Name:        name,
		ProgramPath: c.config.ProgramPath,
	})
	return c.processes[name].Start()
}

// waitReady waits until every balancer is ready and every agent has accepted an announcement of its backend server and had time to
// report it.
func (c *Cluster) waitReady() error {
	deadline := time.Now().Add(exitTimeout)
	for i := range c.config.Balancers {
		if !waitFor(deadline, func() bool { return c.balancerReady(i) }) {
			return fmt.Errorf("balancer-%d is not ready; see its log in %s", i, c.config.WorkDir)
		}
	}
	for i := range c.config.Agents {
		if !waitFor(deadline, c.Backend(i).Accepted) {
			return fmt.Errorf("agent-%d accepts no announcement; see its log in %s", i, c.config.WorkDir)
		}
	}
	time.Sleep(2 * announceInterval)
	return nil
}

// waitFor waits until the condition holds, and reports false when that does not happen before the deadline.
func waitFor(deadline time.Time, holds func() bool) bool {
	for !holds() {
		if time.Now().After(deadline) {
			return false
		}
		time.Sleep(50 * time.Millisecond)
	}
	return true
}

// balancerReady reports whether balancer i reports itself ready.
func (c *Cluster) balancerReady(i int) bool {
	response, err := http.Get("http://" + netip.AddrPortFrom(c.host(1, i), readyPort).String() + "/v1/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// host returns a host's address; group is 0 for the store, 1 for balancers and 2 for agents.
func (c *Cluster) host(group byte, i int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, c.config.Network, group, byte(i + 1)})
}
