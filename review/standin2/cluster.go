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
	"sync"
	"syscall"
	"time"
)

// The sizes of the small deployment.
const (
	balancerCount = 3
	agentCount    = 4
	beatInterval  = 770 * time.Millisecond
	serviceName   = "huvo11a"
)

// The ports, which are the same on all hosts; each host has a loopback address of its own.
const (
	portData     = 8172
	portReady    = 8167
	portControl  = 8166
	portApp      = 8165
	portOutbound = 8162
	portInternal = 7720
	portMetrics  = 9464
	portStore    = 8169
)

type cluster struct {
	consumers *consumers
	dir       string
	mu        sync.Mutex
	network   int
	processes map[string]*exec.Cmd
	program   string
	record    *record
	route     netip.AddrPort
	store     *store
	targets   []*target
}

func (c *cluster) host(group, i int) string { return fmt.Sprintf("127.%d.%d.%d", c.network, group, i) }

func newCluster(record *record, program string) (*cluster, error) {
	c := &cluster{processes: map[string]*exec.Cmd{}, program: program, record: record}
	var err error
	if c.dir, err = os.MkdirTemp("", "standin2-"); err != nil {
		return nil, err
	}
	for range 20 {
		c.network = 60 + rand.IntN(180)
		if c.store, err = newStore(net.JoinHostPort(c.host(0, 1), fmt.Sprint(portStore))); err == nil {
			break
		}
	}
	if err != nil {
		return nil, err
	}
	c.route = netip.MustParseAddrPort(fmt.Sprintf("%s:8443", c.host(250, 1)))
	if err := c.start(); err != nil {
		c.stop()
		return nil, err
	}
	return c, nil
}

func (c *cluster) start() error {
	config := map[string]any{
		"version":  7,
		"limits":   map[string]int{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"services": []any{map[string]any{"name": serviceName, "health_path": "/health", "max_conns": 2000, "protocol": "h1", "tls": false}},
		"routes": []any{map[string]any{
			"name": "r-a3hwrr6", "host": c.route.Addr().String(), "path_prefix": "/8443/", "type": "unsafe", "timeout_ms": 8000,
			"aim_ms": 500, "priority": 1, "service": serviceName, "attempts": 2,
		}},
	}
	spec, _ := json.Marshal(config)
	var o object
	o.Meta.Name, o.Spec = "main", spec
	c.store.apply(http.MethodPost, "config", "", o)
	c.record.log("config/main: %s", spec)
	var routed []balancerAddress
	for i := 1; i <= balancerCount; i++ {
		if err := c.startBalancer(i, true); err != nil {
			return err
		}
		routed = append(routed, balancerAddress{data: &net.UDPAddr{IP: net.ParseIP(c.host(1, i)), Port: portData}, ready: fmt.Sprintf("%s:%d", c.host(1, i), portReady)})
	}
	for j := 1; j <= agentCount; j++ {
		if err := c.startAgent(j, true); err != nil {
			return err
		}
		at := c.host(2, j)
		t, err := newTarget(c.record, fmt.Sprintf("target-%d", j), serviceName, fmt.Sprintf("%s:%d", at, portApp), fmt.Sprintf("%s:%d", at, portOutbound),
			fmt.Sprintf("%s:%d", at, portControl), beatInterval)
		if err != nil {
			return err
		}
		c.targets = append(c.targets, t)
	}
	var err error
	if c.consumers, err = newConsumers(c.record, fmt.Sprintf("%s:%d", c.host(100, 1), portData), routed); err != nil {
		return err
	}
	for range 100 {
		if c.consumers.inRotation() == balancerCount {
			time.Sleep(2 * time.Second)
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.New("the balancers don't get ready")
}

// common returns the settings that both roles have, as the templates in deploy/ give them.
func (c *cluster) common(name, at string, first bool) map[string]any {
	seeds := []string{}
	for i := 1; i <= balancerCount; i++ {
		seeds = append(seeds, fmt.Sprintf("%s:%d", c.host(1, i), portInternal))
	}
	return map[string]any{
		"address": fmt.Sprintf("%s:%d", at, portInternal), "availabilityZone": "zone-a", "callerAddress": fmt.Sprintf("%s:%d", at, portData),
		"contracts":  []string{"base", "drain", "config", "cost", "recover", "flows", "platform"},
		"firstStart": first, "flowLifetime": "60s", "metricsAddress": fmt.Sprintf("%s:%d", at, portMetrics), "name": name,
		"readyAddress": fmt.Sprintf("%s:%d", at, portReady), "seeds": seeds, "storeAddress": fmt.Sprintf("%s:%d", c.host(0, 1), portStore),
		"storeHistory": "20s", "trustedNetworks": []string{"127.0.0.0/8"},
	}
}

func (c *cluster) startBalancer(i int, first bool) error {
	name := fmt.Sprintf("balancer-%d", i)
	settings := c.common(name, c.host(1, i), first)
	settings["configDeadline"], settings["lostAfter"] = "3000ms", "4000ms"
	return c.startProcess(name, "balancer", settings)
}

func (c *cluster) startAgent(j int, first bool) error {
	name, at := fmt.Sprintf("agent-%d", j), c.host(2, j)
	settings := c.common(name, at, first)
	settings["announceAddress"] = fmt.Sprintf("%s:%d", at, portControl)
	settings["announceInterval"] = fmt.Sprintf("%dms", beatInterval.Milliseconds())
	settings["inlet"], settings["outlet"] = fmt.Sprintf("%s:%d", at, portApp), fmt.Sprintf("%s:%d", at, portOutbound)
	settings["service"], settings["storeWritesPerSecond"] = serviceName, 400
	return c.startProcess(name, "agent", settings)
}

func (c *cluster) startProcess(name, role string, settings map[string]any) error {
	text, _ := json.Marshal(settings)
	path := filepath.Join(c.dir, name+".json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(c.dir, name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer output.Close()
	command := exec.Command(c.program, role)
	command.Env = append(os.Environ(), "CYCLAMENDOCK_SETTINGS="+path)
	command.Stdout, command.Stderr = output, output
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	c.mu.Lock()
	c.processes[name] = command
	c.mu.Unlock()
	c.record.log("%s started", name)
	return nil
}

// terminate sends SIGTERM and waits for the end, with SIGKILL after grace_s.
func (c *cluster) terminate(name string) {
	c.mu.Lock()
	command := c.processes[name]
	delete(c.processes, name)
	c.mu.Unlock()
	c.record.log("%s gets SIGTERM", name)
	_ = command.Process.Signal(syscall.SIGTERM)
	kill := time.AfterFunc(6*time.Second, func() { _ = command.Process.Kill() })
	_ = command.Wait()
	kill.Stop()
	c.record.log("%s has ended", name)
}

func (c *cluster) stop() {
	c.mu.Lock()
	for _, command := range c.processes {
		_ = command.Process.Kill()
	}
	for _, command := range c.processes {
		_ = command.Wait()
	}
	c.mu.Unlock()
	for _, t := range c.targets {
		t.stop()
	}
	if c.consumers != nil {
		c.consumers.stop()
	}
	_ = c.store.server.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.dir)
	}
}
