package local

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cyclamendock/cyclamendock/lib/config"
	"github.com/cyclamendock/cyclamendock/lib/connid"
	"github.com/cyclamendock/cyclamendock/lib/fault"
	"github.com/cyclamendock/cyclamendock/lib/peer"
	"github.com/cyclamendock/cyclamendock/lib/store"
	"github.com/cyclamendock/cyclamendock/lib/ticket"
	"github.com/cyclamendock/cyclamendock/standin/object"
	"github.com/cyclamendock/cyclamendock/standin/server"
)

const (
	callTimeout  = 5 * time.Second
	exitTimeout  = 10 * time.Second
	pollInterval = 100 * time.Millisecond
	waitTimeout  = 30 * time.Second
)

// Config configures a Cluster.
type Config struct {
	BinDir          string // directory of the compiled programs
	Deployment      Deployment
	PlacementPolicy string // placement policy of the agents; empty selects their default
	Seed            uint64 // selects the ports and seeds the fabric
	Trace           bool   // balancers, agents and backend servers write their spans to files in WorkDir
	WorkDir         string // directory for settings and logs
}

// Backend describes one backend server and its agent.
type Backend struct {
	AgentAddress   netip.AddrPort
	MetricsAddress netip.AddrPort
	Name           string
	ServerAddress  netip.AddrPort
	Service        string
	Zone           string
}

// Balancer describes one balancer process.
type Balancer struct {
	Address        netip.AddrPort
	FrontAddress   netip.AddrPort
	MetricsAddress netip.AddrPort
	Name           string
	Zone           string
}

// Cluster starts, stops and manipulates the processes of one deployment.
type Cluster struct {
	Backends         []Backend
	Balancers        []Balancer
	PlatformAddress  netip.AddrPort
	ServiceAddresses map[string]netip.AddrPort // address by service name

	config          Config
	connectionIDKey []byte
	mu              sync.Mutex
	objects         store.Store
	ports           *portPool
	processes       map[string]*Process
}

// New assigns names, zones and addresses to a deployment without starting a process.
func New(c Config) (*Cluster, error) {
	cluster := &Cluster{
		ServiceAddresses: map[string]netip.AddrPort{},
		config:           c,
		connectionIDKey:  randomSecret(connid.SecretLength),
		ports:            newPortPool(c.Seed),
		processes:        map[string]*Process{},
	}
	if err := os.MkdirAll(c.WorkDir, 0o755); err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "the directory "+c.WorkDir+" can't be created", "choose a writable one")
	}
	return cluster, cluster.assignAddresses()
}

// Start starts every process, submits the initial configuration and waits until the fleet is ready.
func (c *Cluster) Start(ctx context.Context) error {
	if err := c.startProcesses(); err != nil {
		return err
	}
	if err := c.waitPlatform(ctx); err != nil {
		return err
	}
	if _, err := c.Patch(ctx, "first", c.initialOperations()...); err != nil {
		return err
	}
	return c.WaitReady(ctx)
}

// Stop kills every started process, including suspended ones.
func (c *Cluster) Stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.processes {
		p.Signal(syscall.SIGCONT)
		p.Signal(syscall.SIGKILL)
	}
	for _, p := range c.processes {
		p.WaitExit(exitTimeout)
	}
}

// Kill sends SIGKILL to a process and waits until it has exited.
func (c *Cluster) Kill(name string) {
	c.process(name).Signal(syscall.SIGKILL)
	c.process(name).WaitExit(exitTimeout)
}

// Suspend suspends a process with SIGSTOP.
func (c *Cluster) Suspend(name string) { c.process(name).Signal(syscall.SIGSTOP) }

// Resume continues a suspended process.
func (c *Cluster) Resume(name string) { c.process(name).Signal(syscall.SIGCONT) }

// Terminate sends SIGTERM to a process and reports whether it exited within the limit.
func (c *Cluster) Terminate(name string, limit time.Duration) bool {
	c.process(name).Signal(syscall.SIGTERM)
	return c.process(name).WaitExit(limit)
}

// Restart starts an exited process again.
func (c *Cluster) Restart(name string) error { return c.process(name).Start() }

// Patch submits operations on top of the current configuration version.
func (c *Cluster) Patch(ctx context.Context, id string, operations ...config.Operation) (config.Result, error) {
	head, _, err := config.ReadHead(ctx, c.objects)
	if err != nil {
		return config.Result{}, err
	}
	return config.Submit(ctx, c.objects, config.Patch{Author: "stage", Base: head.Version, ID: id, Operations: operations})
}

// BackUpPlatform copies all objects of the platform, for RestorePlatform.
func (c *Cluster) BackUpPlatform() error {
	return postJSON("http://"+c.PlatformAddress.String()+"/backup", nil)
}

// RestorePlatform replaces all objects of the platform by those of the last backup, which loses all later changes.
func (c *Cluster) RestorePlatform() error {
	return postJSON("http://"+c.PlatformAddress.String()+"/restore", nil)
}

// SetPlatformFaults injects faults into the platform; the zero value removes them.
func (c *Cluster) SetPlatformFaults(faults object.Faults) error {
	return postJSON("http://"+c.PlatformAddress.String()+"/mood", faults)
}

// SetServerFaults injects faults into a backend server, or returns an Invalid fault when the name is unknown.
func (c *Cluster) SetServerFaults(name string, faults server.Faults) error {
	for _, backend := range c.Backends {
		if backend.Name == name {
			return postJSON("http://"+backend.ServerAddress.String()+"/mood", faults)
		}
	}
	return fault.New(fault.Invalid, "there is no backend server "+name, "use a name from Backends")
}

// Deployment returns the configured deployment.
func (c *Cluster) Deployment() Deployment { return c.config.Deployment }

// Servers returns the addresses of all backend servers.
func (c *Cluster) Servers() []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, backend := range c.Backends {
		addresses = append(addresses, backend.ServerAddress)
	}
	return addresses
}

// Status returns one balancer's view of the fleet.
func (c *Cluster) Status(ctx context.Context, balancer Balancer) (peer.StatusReply, error) {
	client := peer.NewClient()
	defer client.Close()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply peer.StatusReply
	err := client.Call(ctx, balancer.Address, peer.MethodStatus, peer.StatusArgs{All: true}, &reply)
	return reply, err
}

// WaitReady waits until every agent is healthy and every balancer has a configuration and sees every member alive.
func (c *Cluster) WaitReady(ctx context.Context) error {
	members := len(c.Backends) + len(c.Balancers)
	return c.WaitFor(ctx, "the fleet to be ready", func() bool {
		for _, backend := range c.Backends {
			if !isHealthy(backend.MetricsAddress) {
				return false
			}
		}
		for _, balancer := range c.Balancers {
			status, err := c.Status(ctx, balancer)
			if err != nil || status.Config == 0 || countAlive(status) < members {
				return false
			}
		}
		return true
	})
}

// WaitFor polls until a condition holds, or returns an Unavailable fault after 30 s.
func (c *Cluster) WaitFor(ctx context.Context, condition string, holds func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, waitTimeout)
	defer cancel()
	for !holds() {
		select {
		case <-ctx.Done():
			return fault.New(fault.Unavailable, "timed out waiting for "+condition, "see the logs in "+c.config.WorkDir)
		case <-time.After(pollInterval):
		}
	}
	return nil
}

func countAlive(status peer.StatusReply) int {
	count := 0
	for _, member := range status.Members {
		if member.State == "alive" {
			count++
		}
	}
	return count
}

func isHealthy(metrics netip.AddrPort) bool {
	client := &http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + metrics.String() + "/healthz")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func postJSON(url string, body any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return err
	}
	client := &http.Client{Timeout: callTimeout}
	response, err := client.Post(url, "application/json", bytes.NewReader(encoded))
	if err != nil {
		return fault.Wrap(err, fault.Unavailable, "a stand-in does not answer", "see its log")
	}
	return response.Body.Close()
}

func (c *Cluster) waitPlatform(ctx context.Context) error {
	return c.WaitFor(ctx, "the platform", func() bool {
		_, err := c.objects.List(ctx, "")
		return err == nil
	})
}

func (c *Cluster) process(name string) *Process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.processes[name]
}

// startProcess starts a program and registers the process under its name.
func (c *Cluster) startProcess(name, program string, arguments ...string) error {
	p := NewProcess(ProcessConfig{
		Arguments:   arguments,
		LogPath:     filepath.Join(c.config.WorkDir, name+".log"),
		Name:        name,
		ProgramPath: filepath.Join(c.config.BinDir, program),
	})
	c.mu.Lock()
	c.processes[name] = p
	c.mu.Unlock()
	return p.Start()
}

func (c *Cluster) initialOperations() []config.Operation {
	operations := []config.Operation{
		config.AddKey{Key: config.Key{Number: 1, Secret: c.connectionIDKey}},
		config.ActivateKey{Number: 1},
		config.SetTicketSecret{Secret: randomSecret(ticket.SecretLength)},
	}
	for i, spec := range c.config.Deployment.Services {
		operations = append(operations, config.SetService{Service: newService(spec, uint16(i+1), c.ServiceAddresses[spec.Name])})
	}
	return operations
}

func randomSecret(length int) []byte {
	b := make([]byte, length)
	if _, err := rand.Read(b); err != nil {
		panic(fmt.Sprintf("the random source failed: %v", err))
	}
	return b
}
