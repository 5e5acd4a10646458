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
	n.updateTakes(time.Now())
	n.perform(actions)
}

func (n *Node) endDrain(cause drain.Cause) {
	n.mu.Lock()
	actions := n.drain.End(cause)
	n.mu.Unlock()
	n.perform(actions)
}

func (n *Node) tickDrain(now time.Time) {
	n.mu.Lock()
	n.drain.SetFlows(now, int(n.flows.Load()))
	actions := n.drain.Tick(now)
	n.mu.Unlock()
	n.perform(actions)
}

func (n *Node) perform(actions []drain.Action) {
	for _, action := range actions {
		switch action {
		case drain.Announce:
			n.Log.Info("Draining.", logs.Fields{"flows": n.flows.Load()})
			n.setState(fleet.StateDraining)
			go n.runShutdown(n.replaceServer())
		case drain.Cut:
			n.Log.Warn("Drain limit reached.", logs.Fields{"flows": n.flows.Load()})
			n.cutFlows()
		case drain.Exit:
			close(n.exited)
		case drain.Resume:
			n.Log.Info("Taking new flows again.", nil)
			n.setState(fleet.StateAlive)
		}
	}
}

// setState announces whether the agent takes new flows.
func (n *Node) setState(state fleet.State) {
	n.mu.Lock()
	changed := n.lease.SetState(state)
	n.mu.Unlock()
	n.updateTakes(time.Now())
	if changed {
		n.beat(time.Now())
	}
}

// replaceServer returns the HTTP server of the open flows and gives later flows a new one.
func (n *Node) replaceServer() *http3.Server {
	n.mu.Lock()
	defer n.mu.Unlock()
	old := n.http
	n.http = n.newServer()
	return old
}

// runShutdown tells open flows that no more requests should start on them, and never cuts them.
func (n *Node) runShutdown(server *http3.Server) { _ = server.Shutdown(context.Background()) }

func (n *Node) cutFlows() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for conn := range n.open {
		_ = conn.CloseWithError(codeNoError, "draining")
	}
}

// runProbe follows the backend server's own word.
func (n *Node) runProbe() {
	ticks := n.Clock.Subscribe(probeInterval)
	for {
		select {
		case <-ticks:
			n.probe()
		case <-n.Ctx.Done():
			return
		}
	}
}

func (n *Node) probe() {
	health := n.backend.Probe(n.Ctx)
	n.unhealthy.Store(health == serve.HealthUnreachable)
	switch health {
	case serve.HealthDraining:
		n.beginDrain(drain.CauseBackend)
	case serve.HealthGood:
		n.endDrain(drain.CauseBackend)
	}
}
