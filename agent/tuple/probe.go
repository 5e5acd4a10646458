package tuple

import (
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/cyclamendock/cyclamendock/lib/carry"
	"github.com/cyclamendock/cyclamendock/lib/logs"
	"github.com/cyclamendock/cyclamendock/lib/port"
)

const (
	// probeLimit is how long the backend server, on the same host, may take to accept a connection.
	probeLimit = 200 * time.Millisecond
	// probePause is the least pause between two probes.
	probePause = 500 * time.Millisecond
)

// probeSoon makes runProbe find out whether a backend server runs here.
func (n *Node) probeSoon() {
	select {
	case n.probe <- struct{}{}:
	default:
	}
}

// runProbe looks for the backend server when its announcements are missing, at most once in a while.
func (n *Node) runProbe() {
	for n.ctx.Err() == nil {
		select {
		case <-n.probe:
			n.probeServer()
			port.Sleep(n.ctx, probePause)
		case <-n.ctx.Done():
		}
	}
}

// probeServer connects to the backend server's address. Without a process that listens there, there are no flows.
func (n *Node) probeServer() {
	conn, err := net.DialTimeout("tcp4", n.config.Inlet.String(), probeLimit)
	switch {
	case err == nil:
		_ = conn.Close()
	case errors.Is(err, syscall.ECONNREFUSED):
		n.noteClosed(time.Now())
	default:
		n.config.Log.Warn("The backend server can't be probed.", logs.Fields{"error": err.Error()})
	}
}

// noteClosed takes it that the backend server has ended when its port is closed, and tells its callers.
func (n *Node) noteClosed(now time.Time) {
	n.mu.Lock()
	ended := n.server.Refused(now)
	current := n.server.Current()
	var resets []carry.AgentVerdict
	if ended {
		resets = n.carrier.ServerEnded(now)
	}
	n.mu.Unlock()
	if !ended {
		return
	}
	n.config.Log.Info("Backend server has ended, its port is closed.", logs.Fields{
		"born":  current.Born,
		"flows": len(resets),
		"id":    current.ID,
	})
	n.reportSoon()
	out := n.newOutlet(timerBatch, timerBatch)
	for i := range resets {
		n.do(now, out, &resets[i], nil)
	}
	out.Flush()
}
