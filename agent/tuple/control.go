package tuple

import (
	"time"

	"github.com/cyclamendock/cyclamendock/lib/port"
)

const (
	// changeRepeats is how often a change of state is reported again.
	changeRepeats = 2
	// reportInterval is how often the balancers that should get a report are looked for.
	reportInterval = 50 * time.Millisecond
	sweepInterval  = 200 * time.Millisecond
	tickInterval   = 25 * time.Millisecond
	timerBatch     = 8 // datagrams
)

// runTimers does what is due by time.
func (n *Node) runTimers() {
	out := n.newOutlet(1, timerBatch)
	reports := n.clock.Subscribe(reportInterval)
	ticks := n.clock.Subscribe(tickInterval)
	sweeps := n.clock.Subscribe(sweepInterval)
	repeats := 0 // of the last change of state, since datagrams get lost
	for {
		select {
		case <-reports:
			n.report(out, repeats > 0)
			repeats = max(0, repeats-1)
		case <-n.announced:
			n.report(out, true)
			repeats = changeRepeats
		case <-ticks:
			n.release(out)
		case now := <-sweeps:
			n.mu.Lock()
			n.carrier.Sweep(now)
			overdue := n.server.Overdue(now)
			n.mu.Unlock()
			if overdue {
				n.probeSoon()
			}
		case <-n.ctx.Done():
			return
		}
	}
}

// release lets waiting flows in, or refuses those that have waited too long.
func (n *Node) release(out *port.Outlet) {
	now := time.Now()
	n.mu.Lock()
	released := n.carrier.Release(now)
	ended := n.carrier.TakeEnded()
	n.mu.Unlock()
	n.observe(now, ended)
	for i := range released {
		n.do(now, out, &released[i], nil)
	}
	out.Flush()
}

func (n *Node) report(out *port.Outlet, changed bool) {
	now := time.Now()
	n.mu.Lock()
	report := n.carrier.Report(now)
	due := n.carrier.Due(now, changed)
	n.mu.Unlock()
	for _, d := range due {
		report.Every = d.Every
		out.Message(report.Append, d.Balancer)
	}
	out.Flush()
}
