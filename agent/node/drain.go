package node

import (
	"context"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"github.com/cyclamendock/cyclamendock/agent/serve"
	"github.com/cyclamendock/cyclamendock/lib/drain"
	"github.com/cyclamendock/cyclamendock/lib/fleet"
	"github.com/cyclamendock/cyclamendock/lib/logs"
)

const (
	probeInterval = time.Second
	codeNoError   = quic.ApplicationErrorCode(http3.ErrCodeNoError)
)

func (n *Node) beginDrain(cause drain.Cause) {
	n.mu.Lock()
	actions := n.drain.Begin(time.Now(), cause)
	n.mu.Unlock()
	n.updateAcceptsFlows(time.Now())
	n.executeDrainActions(actions)
}

func (n *Node) endDrain(cause drain.Cause) {
	n.mu.Lock()
	actions := n.drain.End(cause)
	n.mu.Unlock()
	n.executeDrainActions(actions)
}

func (n *Node) tickDrain(now time.Time) {
	n.mu.Lock()
	n.drain.SetFlows(now, int(n.flowCount.Load()))
	actions := n.drain.Tick(now)
	n.mu.Unlock()
	n.executeDrainActions(actions)
}

// executeDrainActions carries out what the drain's state machine has decided.
func (n *Node) executeDrainActions(actions []drain.Action) {
	for _, action := range actions {
		switch action {
		case drain.Announce:
			n.Log.Info("Draining.", logs.Fields{"flows": n.flowCount.Load()})
			n.setState(fleet.StateDraining)
			go n.runShutdown(n.replaceHTTPServer())
		case drain.CloseFlows:
			n.Log.Warn("Drain limit reached.", logs.Fields{"flows": n.flowCount.Load()})
			n.closeFlows()
		case drain.Exit:
			close(n.drained)
		case drain.Resume:
			n.Log.Info("Taking new flows again.", nil)
			n.setState(fleet.StateAlive)
		}
	}
}

// setState sets the agent's state and sends a heartbeat at once if it has changed.
func (n *Node) setState(state fleet.State) {
	n.mu.Lock()
	changed := n.lease.SetState(state)
	n.mu.Unlock()
	n.updateAcceptsFlows(time.Now())
	if changed {
		n.sendHeartbeat(time.Now())
	}
}

// replaceHTTPServer returns the HTTP server that serves the open flows and creates a new one for later flows.
func (n *Node) replaceHTTPServer() *http3.Server {
	n.mu.Lock()
	defer n.mu.Unlock()
	old := n.httpServer
	n.httpServer = n.newHTTPServer()
	return old
}

// runShutdown sends GOAWAY on open flows, so that callers start no more requests on them. It has no time limit, so that
// it never breaks off a flow.
func (n *Node) runShutdown(server *http3.Server) { _ = server.Shutdown(context.Background()) }

func (n *Node) closeFlows() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for conn := range n.openFlows {
		_ = conn.CloseWithError(codeNoError, "draining")
	}
}

// runProbe probes the backend server's health and drains the agent while the backend server reports that it drains.
func (n *Node) runProbe() {
	ticks := n.Clock.Subscribe(probeInterval)
	for {
		select {
		case <-ticks:
			n.probeBackend()
		case <-n.Ctx.Done():
			return
		}
	}
}

func (n *Node) probeBackend() {
	health := n.backend.Probe(n.Ctx)
	n.backendUnreachable.Store(health == serve.HealthUnreachable)
	switch health {
	case serve.HealthDraining:
		n.beginDrain(drain.CauseBackendServer)
	case serve.HealthGood:
		n.endDrain(drain.CauseBackendServer)
	}
}
