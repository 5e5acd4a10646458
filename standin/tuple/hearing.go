package tuple

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cyclamendock/cyclamendock/lib/peer"
)

const (
	hearingInterval = 100 * time.Millisecond // between two samples
	hearingTimeout  = 500 * time.Millisecond
)

// hearing records when any balancer has received a report of each agent, sampled from the balancers' status.
type hearing struct {
	client *peer.Client
	mu     sync.Mutex
	times  map[string][]time.Time // by the agent's address, in the order of the samples
}

// balancerStatus is the part of a balancer's status that is used here.
type balancerStatus struct {
	Agents []struct {
		Address string
		HeardMS int64 // milliseconds since the last report; -1 when there was none
	}
}

func newHearing() *hearing {
	return &hearing{client: peer.NewClient(), times: map[string][]time.Time{}}
}

// run samples one balancer until ctx ends. A balancer that doesn't run hears no agent.
func (h *hearing) run(ctx context.Context, balancer netip.AddrPort) {
	for ctx.Err() == nil {
		var status balancerStatus
		callCtx, cancel := context.WithTimeout(ctx, hearingTimeout)
		err := h.client.Call(callCtx, balancer, "Tuple.Status", struct{ Version uint64 }{}, &status)
		cancel()
		if err == nil {
			h.record(time.Now(), status)
		}
		time.Sleep(hearingInterval)
	}
}

func (h *hearing) record(now time.Time, status balancerStatus) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, agent := range status.Agents {
		if agent.HeardMS >= 0 {
			heard := now.Add(-time.Duration(agent.HeardMS) * time.Millisecond)
			h.times[agent.Address] = append(h.times[agent.Address], heard)
		}
	}
}

// silence returns for how long no balancer had received a report of an agent at a time.
func (h *hearing) silence(agent netip.AddrPort, at time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	var last time.Time
	for _, heard := range slices.Backward(h.times[agent.String()]) {
		if heard.After(last) && !heard.After(at) {
			last = heard
		}
	}
	return at.Sub(last)
}
