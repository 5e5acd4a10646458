package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cyclamendock/cyclamendock/lib/fault"
	"github.com/cyclamendock/cyclamendock/standin/tuple"
)

const (
	flowsCallers = 30
	flowsLimit   = 5 * time.Second // of one request
	flowsNetwork = 100
	flowsPause   = 50 * time.Millisecond // between a caller's requests
	flowsSize    = 20_000                // bytes of a response
)

type flowsCommand struct {
	Bin      string        `help:"Folder of the programs." default:"bin"`
	Dir      string        `help:"Folder for settings and logs." default:"run/flows"`
	Duration time.Duration `help:"How long to make callers." default:"20s"`
}

// flowsReport counts what became of the callers' requests.
type flowsReport struct {
	broken, notOpened, served int
	mu                        sync.Mutex
}

// Run carries flows, kills a balancer at a third of the time and drains a backend server at half of it.
func (c *flowsCommand) Run() error {
	if err := os.MkdirAll(c.Dir, 0o755); err != nil {
		return err
	}
	program, err := filepath.Abs(filepath.Join(c.Bin, "platform"))
	if err != nil {
		return err
	}
	s, err := tuple.NewStage(tuple.StageConfig{Agents: 6, Balancers: 3, Dir: c.Dir, Network: flowsNetwork, Program: program})
	if err != nil {
		return err
	}
	defer s.Stop()
	ctx, stop := untilSignal()
	defer stop()
	fmt.Printf("Started 3 balancers and 6 backend servers. Logs and settings are in %s.\n", c.Dir)
	go c.runFailures(ctx, s)
	report := c.load(ctx, s)
	return report.verdict(s)
}

// load makes callers that each keep a flow open until the time is over.
func (c *flowsCommand) load(ctx context.Context, s *tuple.Stage) *flowsReport {
	report := &flowsReport{}
	ctx, cancel := context.WithTimeout(ctx, c.Duration)
	defer cancel()
	var wait sync.WaitGroup
	for i := range flowsCallers {
		wait.Add(1)
		go func() {
			defer wait.Done()
			report.runCaller(ctx, s, i)
		}()
	}
	wait.Wait()
	return report
}

func (c *flowsCommand) runFailures(ctx context.Context, s *tuple.Stage) {
	if !sleep(ctx, c.Duration/3) {
		return
	}
	fmt.Println("Killing balancer-0.")
	s.Process("balancer-0").Signal(syscall.SIGKILL)
	s.Routers.Remove(s.Balancer(0))
	if !sleep(ctx, c.Duration/6) {
		return
	}
	fmt.Println("Draining the backend server i-1.")
	s.Backends[1].Drain()
}

func (r *flowsReport) runCaller(ctx context.Context, s *tuple.Stage, caller int) {
	flow, err := s.Routers.Open(tuple.Route)
	r.count(err)
	for n := 0; err == nil && ctx.Err() == nil; n++ {
		err = flow.Get(fmt.Sprintf("caller-%d-%d", caller, n), flowsSize, flowsLimit)
		r.count(err)
		sleep(ctx, flowsPause)
	}
	if flow != nil {
		flow.Close()
	}
}

func (r *flowsReport) count(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case err == nil:
		r.served++
	case errors.Is(err, tuple.ErrNotOpened):
		r.notOpened++
	default:
		r.broken++
	}
}

// verdict fails when a flow broke, or a packet or a response was not what its sender wrote.
func (r *flowsReport) verdict(s *tuple.Stage) error {
	runs, wrong := 0, 0
	for _, backend := range s.Backends {
		begun, bad := backend.Totals()
		runs += begun
		wrong += bad
	}
	fmt.Printf("{\"broken\": %d, \"notOpened\": %d, \"runs\": %d, \"served\": %d, \"wrongPackets\": %d}\n",
		r.broken, r.notOpened, runs, r.served, wrong)
	if r.broken+r.notOpened+wrong > 0 {
		return fault.New(fault.Internal, "flows were broken", "see the logs of the balancers and agents")
	}
	fmt.Println("No flow broke, and every response was whole.")
	return nil
}
