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
	flowsCallers        = 30
	flowsNetwork        = 100                   // second byte of the hosts' loopback addresses
	flowsRequestPause   = 50 * time.Millisecond // between a caller's requests
	flowsRequestTimeout = 5 * time.Second
	flowsResponseSize   = 20_000 // bytes
)

type flowsCommand struct {
	Bin      string        `help:"Folder of the programs." default:"bin"`
	Dir      string        `help:"Folder for settings and logs." default:"run/flows"`
	Duration time.Duration `help:"How long to generate load." default:"20s"`
}

// flowsReport counts the results of the callers' requests.
type flowsReport struct {
	broken, notOpened, served int
	mu                        sync.Mutex // guards the counts
}

// Run generates load on flows, kills a balancer after a third of the duration and drains a backend server after half.
func (c *flowsCommand) Run() error {
	if err := os.MkdirAll(c.Dir, 0o755); err != nil {
		return err
	}
	program, err := filepath.Abs(filepath.Join(c.Bin, "platform"))
	if err != nil {
		return err
	}
	cluster, err := tuple.NewCluster(tuple.ClusterConfig{Agents: 6, Balancers: 3, Network: flowsNetwork, ProgramPath: program, WorkDir: c.Dir})
	if err != nil {
		return err
	}
	defer cluster.Stop()
	ctx, stop := signalContext()
	defer stop()
	fmt.Printf("Started 3 balancers and 6 backend servers. Logs and settings are in %s.\n", c.Dir)
	go c.runFailures(ctx, cluster)
	report := c.runCallers(ctx, cluster)
	return report.check(cluster)
}

// runCallers runs callers, each with one flow, until the duration is over, and returns their results.
func (c *flowsCommand) runCallers(ctx context.Context, cluster *tuple.Cluster) *flowsReport {
	report := &flowsReport{}
	ctx, cancel := context.WithTimeout(ctx, c.Duration)
	defer cancel()
	var group sync.WaitGroup
	for i := range flowsCallers {
		group.Add(1)
		go func() {
			defer group.Done()
			report.runCaller(ctx, cluster, i)
		}()
	}
	group.Wait()
	return report
}

func (c *flowsCommand) runFailures(ctx context.Context, cluster *tuple.Cluster) {
	if !sleep(ctx, c.Duration/3) {
		return
	}
	fmt.Println("Killing balancer-0.")
	cluster.Process("balancer-0").Signal(syscall.SIGKILL)
	cluster.Routers.Remove(cluster.Balancer(0))
	if !sleep(ctx, c.Duration/6) {
		return
	}
	fmt.Println("Draining the backend server i-1.")
	cluster.Backends[1].Drain()
}

func (r *flowsReport) runCaller(ctx context.Context, cluster *tuple.Cluster, caller int) {
	flow, err := cluster.Routers.Open(tuple.Route)
	r.countResult(err)
	for n := 0; err == nil && ctx.Err() == nil; n++ {
		err = flow.Get(fmt.Sprintf("caller-%d-%d", caller, n), flowsResponseSize, flowsRequestTimeout)
		r.countResult(err)
		sleep(ctx, flowsRequestPause)
	}
	if flow != nil {
		flow.Close()
	}
}

func (r *flowsReport) countResult(err error) {
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

// check prints the results, and returns an error when a flow broke or failed to open, or a packet was corrupt.
func (r *flowsReport) check(cluster *tuple.Cluster) error {
	runs, corruptPackets := 0, 0
	for _, backend := range cluster.Backends {
		started, corrupt := backend.Totals()
		runs += started
		corruptPackets += corrupt
	}
	fmt.Printf("{\"broken\": %d, \"notOpened\": %d, \"runs\": %d, \"served\": %d, \"wrongPackets\": %d}\n",
		r.broken, r.notOpened, runs, r.served, corruptPackets)
	if r.broken+r.notOpened+corruptPackets > 0 {
		return fault.New(fault.Internal, "flows broke or failed to open, or packets were corrupt", "see the logs of the balancers and agents")
	}
	fmt.Println("No flow broke, and every response was complete.")
	return nil
}
