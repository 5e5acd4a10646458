package tuple

import (
	"time"

	"github.com/cyclamendock/cyclamendock/lib/fault"
	"github.com/cyclamendock/cyclamendock/lib/flows"
	"github.com/cyclamendock/cyclamendock/lib/logs"
	"github.com/cyclamendock/cyclamendock/lib/netio"
	"github.com/cyclamendock/cyclamendock/lib/store"
)

const (
	// configCheckTick is how often a balancer checks whether it has to read the configuration.
	configCheckTick = 50 * time.Millisecond
	// maxQueueTime is how long a new flow waits for an agent before it is refused.
	maxQueueTime = 1200 * time.Millisecond
	// shutdownDelay is long enough for the routers to see two failed readiness checks, half a second apart.
	shutdownDelay = 1600 * time.Millisecond
	// digestRequestInterval is how often a balancer without a configuration requests digests from other balancers.
	digestRequestInterval = 50 * time.Millisecond
	tickInterval          = 25 * time.Millisecond
	sweepInterval         = time.Second
	// watchPause coalesces configuration changes in quick succession.
	watchPause = 100 * time.Millisecond
)

// runTimers runs the periodic tasks.
func (n *Node) runTimers() {
	out := n.newSender(timerBatch)
	ticks := n.clock.Subscribe(tickInterval)
	sweeps := n.clock.Subscribe(sweepInterval)
	digests := n.clock.Subscribe(digestInterval)
	isolationChecks := n.clock.Subscribe(isolationCheckInterval)
	digestRequests := n.clock.Subscribe(digestRequestInterval)
	for {
		select {
		case <-ticks:
			n.tick(out)
		case now := <-sweeps:
			n.sweep(now)
		case <-digestRequests:
			if n.version() == 0 {
				n.requestDigests(n.nextDigestPeers())
			}
			n.repeatZones()
		case now := <-isolationChecks:
			n.checkIsolation(now)
		case <-digests:
			n.sendDigests(n.nextDigestPeers())
		case <-n.ctx.Done():
			return
		}
	}
}

// sweep removes expired state and gives up agents that have not reported for long.
func (n *Node) sweep(now time.Time) {
	n.mu.Lock()
	n.director.Sweep(now)
	silent := n.director.Agents.GiveUpSilent(now)
	isReader := n.configReads.isReader()
	var unmarked []flows.Endpoint
	if isReader {
		unmarked = n.director.Agents.TakeUnmarked()
	}
	n.mu.Unlock()
	if isReader && n.markDue(now) {
		go n.runMarkComplete()
	}
	n.logNewAgents()
	for _, agent := range silent {
		n.config.Log.Info("An agent is silent.", logs.Fields{"agent": agent.String()})
	}
	if len(unmarked) > 0 {
		go n.runMark(unmarked)
	}
}

func (n *Node) tick(out *netio.Sender) {
	now := time.Now()
	n.mu.Lock()
	verdicts := n.director.Tick(now)
	hellos := n.director.Agents.DueHellos(now)
	queries := n.director.DueQueries(now)
	n.mu.Unlock()
	n.sendQueries(queries)
	n.sendLimits(now)
	for i := range verdicts {
		n.execute(now, out, &verdicts[i], verdicts[i].Forward.Datagram)
	}
	hello := flows.Hello{Era: n.guard.Era()}
	for _, agent := range hellos {
		out.QueueMessage(hello.Append, agent)
	}
	out.Flush()
}

// runConfigWatch watches the configuration in the store and applies its changes.
func (n *Node) runConfigWatch() {
	pause := netio.MinRetryPause
	var known store.Version
	for n.ctx.Err() == nil {
		object, err := n.config.Store.Watch(n.ctx, n.config.ConfigKey, known)
		switch {
		case err == nil:
			pause = netio.MinRetryPause
			known = object.Version
			n.recordConfigRead()
			n.applyConfig(object.Value, "store")
			netio.Sleep(n.ctx, watchPause)
		case fault.Is(err, fault.Missing):
			pause = netio.MinRetryPause
			n.recordConfigRead()
		default:
			n.handleStoreError("The configuration can't be watched.", err)
			netio.Sleep(n.ctx, netio.Jitter(pause))
			pause = min(2*pause, netio.MaxRetryPause)
		}
	}
}

// recordConfigRead records that a watch has returned, which shows the latest configuration and that the store answers.
func (n *Node) recordConfigRead() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.configReads.recordRead(time.Now())
	n.zoneSync.retrySoon()
}

// runConfigCheck reads the configuration and lists the evacuated availability zones when no balancer has done so for a while. A pending
// watch of the configuration may miss changes when the store drops its history or the connection stalls.
func (n *Node) runConfigCheck() {
	ticks := n.clock.Subscribe(configCheckTick)
	for {
		select {
		case now := <-ticks:
			n.pollEra(now)
			n.checkStore(now)
		case <-n.ctx.Done():
			return
		}
	}
}

// checkStore makes the reads that are due, at the same time, and sends all balancers digests that state which reads have succeeded.
func (n *Node) checkStore(now time.Time) {
	configDue, zonesDue := n.readsDue(now)
	listed := make(chan bool, 1)
	if zonesDue {
		go n.runZoneList(listed)
	} else {
		listed <- false
	}
	configRead := configDue && n.readConfig()
	if zonesListed := <-listed; configRead || zonesListed {
		n.sendReadNotice(configRead, zonesListed)
	}
}

// readsDue reports whether the configuration has to be read and whether the evacuated availability zones have to be listed, which is
// done with each read of the configuration, so that one notice states both.
func (n *Node) readsDue(now time.Time) (config, zones bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	config = n.director.Version() > 0 && n.configReads.due(now)
	return config, n.zoneSync.due(now, config)
}

// readConfig reads and applies the configuration and reports whether it could be read.
func (n *Node) readConfig() bool {
	requestedAt := time.Now()
	object, err := n.config.Store.Get(n.ctx, n.config.ConfigKey)
	if err != nil {
		n.handleStoreError("The configuration can't be read.", err)
		n.mu.Lock()
		n.configReads.pauseUntil(time.Now().Add(netio.Jitter(netio.MaxRetryPause)))
		n.mu.Unlock()
		return false
	}
	n.applyConfig(object.Value, "check")
	n.mu.Lock()
	n.configReads.recordNotice(requestedAt, n.config.Address)
	n.mu.Unlock()
	return true
}

// applyConfig applies a configuration that is newer than the current one and sends digests to some other balancers, which
// do the same.
func (n *Node) applyConfig(value []byte, source string) {
	routes, err := n.config.Routes(value)
	if err != nil {
		n.config.Ignored.Record(time.Now(), netio.InputConfiguration, source, err.Error())
		return
	}
	n.mu.Lock()
	applied := n.director.SetRoutes(time.Now(), routes)
	if applied {
		n.rawConfig = value
	}
	n.mu.Unlock()
	if !applied {
		return
	}
	n.config.Log.Info("Configuration applied.", logs.Fields{"routes": len(routes.ByAddress), "source": source, "version": routes.Version})
	n.sendDigests(n.nextDigestPeers())
}

// handleStoreError logs that the store could not be used, and records when.
func (n *Node) handleStoreError(text string, err error) {
	if n.ctx.Err() != nil {
		return
	}
	n.mu.Lock()
	n.configReads.recordFailure(time.Now())
	n.mu.Unlock()
	n.config.Log.Warn(text, logs.Fields{"error": err.Error()})
}
