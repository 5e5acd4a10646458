package tuple

import (
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/cyclamendock/cyclamendock/lib/flows"
	"github.com/cyclamendock/cyclamendock/lib/logs"
	"github.com/cyclamendock/cyclamendock/lib/netio"
)

const (
	// probeTimeout is how long the backend server may take to accept a connection. It runs on the same host.
	probeTimeout = 200 * time.Millisecond
	// minProbePause is the minimum pause between two probes.
	minProbePause = 500 * time.Millisecond
)

// requestProbe makes runProbe check whether a backend server still runs here.
func (n *Node) requestProbe() {
	select {
	case n.probeRequested <- struct{}{}:
	default:
	}
}

// runProbe probes the backend server on request, at most once per minProbePause.
func (n *Node) runProbe() {
	for n.ctx.Err() == nil {
		select {
		case <-n.probeRequested:
			n.probeServerPort()
			netio.Sleep(n.ctx, minProbePause)
		case <-n.ctx.Done():
		}
	}
}

// probeServerPort connects to the backend server's address, and reports whether no process listens there, so that all its flows have
// ended.
func (n *Node) probeServerPort() bool {
	conn, err := net.DialTimeout("tcp4", n.config.Inlet.String(), probeTimeout)
	switch {
	case err == nil:
		_ = conn.Close()
	case errors.Is(err, syscall.ECONNREFUSED):
		n.handlePortClosed(time.Now())
		return true
	default:
		n.config.Log.Warn("The backend server can't be probed.", logs.Fields{"error": err.Error()})
	}
	return false
}

// handlePortClosed records that the backend server's port is closed. If that shows that the backend server has ended,
// it reports the change to the balancers and resets all flows.
func (n *Node) handlePortClosed(now time.Time) {
	n.mu.Lock()
	ended := n.server.RecordRefused(now)
	current := n.server.Current()
	var resets []flows.AgentVerdict
	if ended {
		resets = n.dispatcher.ResetServerFlows(now)
	}
	n.mu.Unlock()
	if !ended {
		return
	}
	n.config.Log.Info("Backend server has ended, its port is closed.", logs.Fields{
		"born":  current.StartMillis,
		"flows": len(resets),
		"id":    current.ID,
	})
	n.requestReport()
	n.sendResets(now, resets)
	n.resetRestored(now)
}
