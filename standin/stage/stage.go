package stage

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
	endLimit    = 10 * time.Second
	readyLimit  = 30 * time.Second
	readyPause  = 100 * time.Millisecond
	callTimeout = 5 * time.Second
)

// A Config holds what a Stage needs.
type Config struct {
	Bin        string // folder of the programs
	Deployment Deployment
	Dir        string // folder for settings and logs
	Placement  string // policy of the agents, empty for the usual one
	Seed       uint64
	Trace      bool
}

// A Backend is one backend server with its agent.
type Backend struct {
	Agent   netip.AddrPort
	Metrics netip.AddrPort
	Name    string
	Server  netip.AddrPort
	Service string
	Zone    string
}

// A Balancer is one entry host.
type Balancer struct {
	Address netip.AddrPort
	Front   netip.AddrPort
	Metrics netip.AddrPort
	Name    string
	Zone    string
}

// A Stage is a running deployment.
type Stage struct {
	Backends  []Backend
	Balancers []Balancer
	Platform  netip.AddrPort
	Services  map[string]netip.AddrPort

	config    Config
	key       []byte // of connection IDs
	mu        sync.Mutex
	platform  store.Store
	ports     *portPool
	processes map[string]*Process
}

// New lays out a deployment without starting anything.
func New(c Config) (*Stage, error) {
	l := &Stage{
		Services:  map[string]netip.AddrPort{},
		config:    c,
		key:       secret(connid.SecretLength),
		ports:     newPortPool(c.Seed),
		processes: map[string]*Process{},
	}
	if err := os.MkdirAll(c.Dir, 0o755); err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "the folder "+c.Dir+" can't be made", "choose a writable one")
	}
	return l, l.layOut()
}

// Start runs every process and applies the first patch.
func (l *Stage) Start(ctx context.Context) error {
	if err := l.startAll(); err != nil {
		return err
	}
	if err := l.waitPlatform(ctx); err != nil {
		return err
	}
	if _, err := l.Patch(ctx, "first", l.firstOperations()...); err != nil {
		return err
	}
	return l.WaitReady(ctx)
}

// Stop ends every process that was started.
func (l *Stage) Stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.processes {
		p.Signal(syscall.SIGCONT)
		p.Signal(syscall.SIGKILL)
	}
	for _, p := range l.processes {
		p.WaitEnd(endLimit)
	}
}

// Kill ends a process without warning.
func (l *Stage) Kill(name string) {
	l.find(name).Signal(syscall.SIGKILL)
	l.find(name).WaitEnd(endLimit)
}

// Pause freezes a process.
func (l *Stage) Pause(name string) { l.find(name).Signal(syscall.SIGSTOP) }

// Resume lets a frozen process go on.
func (l *Stage) Resume(name string) { l.find(name).Signal(syscall.SIGCONT) }

// Terminate asks a process to end and reports whether it did within the limit.
func (l *Stage) Terminate(name string, limit time.Duration) bool {
	l.find(name).Signal(syscall.SIGTERM)
	return l.find(name).WaitEnd(limit)
}

// Restart starts a process again that has ended.
func (l *Stage) Restart(name string) error { return l.find(name).Start() }

// Patch applies operations to the version in force.
func (l *Stage) Patch(ctx context.Context, id string, operations ...config.Operation) (config.Result, error) {
	head, _, err := config.ReadHead(ctx, l.platform)
	if err != nil {
		return config.Result{}, err
	}
	return config.Submit(ctx, l.platform, config.Patch{Author: "stage", Base: head.Version, ID: id, Operations: operations})
}

// SetPlatformMood makes the platform misbehave.
func (l *Stage) SetPlatformMood(mood object.Mood) error {
	return post("http://"+l.Platform.String()+"/mood", mood)
}

// SetServerMood makes a backend server misbehave.
func (l *Stage) SetServerMood(name string, mood server.Mood) error {
	for _, backend := range l.Backends {
		if backend.Name == name {
			return post("http://"+backend.Server.String()+"/mood", mood)
		}
	}
	return fault.New(fault.Invalid, "there is no backend server "+name, "see Backends")
}

// Deployment returns what the stage runs.
func (l *Stage) Deployment() Deployment { return l.config.Deployment }

// Servers returns the addresses of all backend servers.
func (l *Stage) Servers() []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, backend := range l.Backends {
		addresses = append(addresses, backend.Server)
	}
	return addresses
}

// Status returns one balancer's view of the fleet.
func (l *Stage) Status(ctx context.Context, balancer Balancer) (peer.StatusReply, error) {
	client := peer.NewClient()
	defer client.Close()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply peer.StatusReply
	err := client.Call(ctx, balancer.Address, peer.MethodStatus, peer.StatusArgs{All: true}, &reply)
	return reply, err
}

// WaitReady waits until every balancer and agent is healthy and every balancer knows every member.
func (l *Stage) WaitReady(ctx context.Context) error {
	members := len(l.Backends) + len(l.Balancers)
	return l.WaitFor(ctx, "the fleet to be ready", func() bool {
		for _, backend := range l.Backends {
			if !healthy(backend.Metrics) {
				return false
			}
		}
		for _, balancer := range l.Balancers {
			status, err := l.Status(ctx, balancer)
			if err != nil || status.Config == 0 || alive(status) < members {
				return false
			}
		}
		return true
	})
}

// WaitFor waits until a condition holds, or returns an Unavailable fault.
func (l *Stage) WaitFor(ctx context.Context, what string, holds func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	for !holds() {
		select {
		case <-ctx.Done():
			return fault.New(fault.Unavailable, "waited in vain for "+what, "see the logs in "+l.config.Dir)
		case <-time.After(readyPause):
		}
	}
	return nil
}

func alive(status peer.StatusReply) int {
	count := 0
	for _, member := range status.Members {
		if member.State == "alive" {
			count++
		}
	}
	return count
}

func healthy(metrics netip.AddrPort) bool {
	client := &http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + metrics.String() + "/healthz")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func post(url string, body any) error {
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

func (l *Stage) waitPlatform(ctx context.Context) error {
	return l.WaitFor(ctx, "the platform", func() bool {
		_, err := l.platform.List(ctx, "")
		return err == nil
	})
}

func (l *Stage) find(name string) *Process {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.processes[name]
}

// run starts a program of the deployment, after which it can be found by its name.
func (l *Stage) run(name, program string, arguments ...string) error {
	p := NewProcess(ProcessConfig{
		Arguments: arguments,
		Log:       filepath.Join(l.config.Dir, name+".log"),
		Name:      name,
		Program:   filepath.Join(l.config.Bin, program),
	})
	l.mu.Lock()
	l.processes[name] = p
	l.mu.Unlock()
	return p.Start()
}

func (l *Stage) firstOperations() []config.Operation {
	operations := []config.Operation{
		config.AddKey{Key: config.Key{Number: 1, Secret: l.key}},
		config.ActivateKey{Number: 1},
		config.SetTicketSecret{Secret: secret(ticket.SecretLength)},
	}
	for i, plan := range l.config.Deployment.Services {
		operations = append(operations, config.SetService{Service: serviceOf(plan, uint16(i+1), l.Services[plan.Name])})
	}
	return operations
}

func secret(length int) []byte {
	b := make([]byte, length)
	if _, err := rand.Read(b); err != nil {
		panic(fmt.Sprintf("no randomness: %v", err))
	}
	return b
}
