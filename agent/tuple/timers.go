package tuple

import (
	"time"

	"github.com/cyclamendock/cyclamendock/lib/netio"
)

const (
	// stateChangeRepeats is how many times the report of a state change is sent again, since datagrams get lost.
	stateChangeRepeats = 2
	// reportInterval is how often the agent checks which balancers are due a report.
	reportInterval = 50 * time.Millisecond
	sweepInterval  = 200 * time.Millisecond
	tickInterval   = 25 * time.Millisecond
	timerBatch     = 8 // datagrams
)

// runTimers sends reports, releases waiting flows and expires state at fixed intervals.
func (n *Node) runTimers() {
	out := n.newSender(1, timerBatch)
	reports := n.clock.Subscribe(reportInterval)
	ticks := n.clock.Subscribe(tickInterval)
	sweeps := n.clock.Subscribe(sweepInterval)
	repeats := 0 // repeated reports of the last state change that are still to be sent
	for {
		select {
		case <-reports:
			n.sendReports(out, repeats > 0)
			repeats = max(0, repeats-1)
		case <-n.reportRequested:
			n.sendReports(out, true)
			repeats = stateChangeRepeats
		case <-ticks:
			n.releaseWaiting(out)
		case now := <-sweeps:
			n.guard.Poll(now)
			n.mu.Lock()
			n.dispatcher.Sweep(now)
			holdsFlows := n.dispatcher.Flows() > 0
			overdue := n.server.Overdue(now)
			n.mu.Unlock()
			if holdsFlows {
				n.guard.PollSilence(now)
			}
			if overdue {
				n.requestProbe()
			}
		case <-n.ctx.Done():
			return
		}
	}
}

// releaseWaiting delivers waiting flows that the backend server can take now and refuses those that waited too long.
func (n *Node) releaseWaiting(out *netio.Sender) {
	now := time.Now()
	n.mu.Lock()
	released := n.dispatcher.Release(now)
	ended := n.dispatcher.TakeEnded()
	changes := n.dispatcher.TakePaceChanges()
	refusals := n.dispatcher.TakeRefusals()
	n.mu.Unlock()
	n.recordEnded(now, ended)
	n.recordPace(now, changes, refusals)
	for i := range released {
		n.execute(now, out, &released[i], nil)
	}
	out.Flush()
}

// sendReports reports to the balancers that are due a report, or to all subscribed ones when the state has changed.
func (n *Node) sendReports(out *netio.Sender, changed bool) {
	now := time.Now()
	n.mu.Lock()
	report := n.dispatcher.Report(now)
	due := n.dispatcher.DueReports(now, changed)
	n.mu.Unlock()
	for _, d := range due {
		report.Interval = d.Interval
		out.QueueMessage(report.Append, d.Balancer)
	}
	out.Flush()
}
