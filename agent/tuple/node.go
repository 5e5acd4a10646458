package tuple

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cyclamendock/cyclamendock/lib/clock"
	"github.com/cyclamendock/cyclamendock/lib/fault"
	"github.com/cyclamendock/cyclamendock/lib/flows"
	"github.com/cyclamendock/cyclamendock/lib/logs"
	"github.com/cyclamendock/cyclamendock/lib/member"
	"github.com/cyclamendock/cyclamendock/lib/netio"
	"github.com/cyclamendock/cyclamendock/lib/pace"
	"github.com/cyclamendock/cyclamendock/lib/snap"
	"github.com/cyclamendock/cyclamendock/lib/stats"
	"github.com/cyclamendock/cyclamendock/lib/store"
	"github.com/cyclamendock/cyclamendock/lib/trust"
	"github.com/cyclamendock/cyclamendock/lib/udpio"
)

const (
	readBatch       = 32 // datagrams
	writeBatch      = 32 // datagrams
	timerResolution = 25 * time.Millisecond
	// packetLogsPerSecond limits the log lines about single packets.
	packetLogsPerSecond = 20
)

// Config configures a Node.
type Config struct {
	Address          netip.AddrPort  // own address for messages between agents and balancers
	Admission        flows.Admission // how to decide when not all requests can be served in time
	AnnounceInterval time.Duration   // interval between announcements of the backend server
	CallerPort       uint16          // destination port of packets for callers
	Codec            flows.Codec
	Filter           udpio.Filter // of messages to other processes; nil passes all
	FirstStart       bool         // no agent or balancer has run before, so there are no earlier flows
	FlowLifetime     time.Duration
	Ignored          *netio.IgnoredInputs
	Inlet            netip.AddrPort // address at which the backend server receives packets
	Log              *logs.Logger
	Outlet           netip.AddrPort // own address at which the backend server's packets arrive
	Pacing           pace.Settings
	Seeds            []netip.AddrPort // balancers to report to before the member list is read
	Service          string
	Stats            *stats.Server
	Store            store.Store
	StoreWrites      float64 // writes per second that the store accepts from all processes; zero when not known
	Trust            *trust.Allowlist
	Zone             string
}

// Node is one agent process.
type Node struct {
	agentCount      int           // agents on the last member list read
	archive         *snap.Archive // used by runSnapshots until the shutdown
	clock           *clock.Ticker
	config          Config
	ctx             context.Context
	directory       *member.Directory
	dispatcher      *flows.Dispatcher
	guard           *member.EntryGuard
	inlet           *net.UDPConn  // connected to the backend server's address
	joinMissing     atomic.Bool   // a balancer has reported that this agent is not listed
	joinRequested   chan struct{} // wakes runMembers to join the member list again
	leaveRequested  chan struct{} // wakes runMembers after the backend server has ended for good
	meter           *meter
	mu              sync.Mutex    // guards agentCount, dispatcher and server
	outlet          *udpio.Socket // receives the backend server's packets and sends them to callers
	packetLimiter   *logs.Limiter
	probeRequested  chan struct{} // wakes runProbe to check whether the backend server still runs
	reportRequested chan struct{} // wakes runTimers to report a change of state
	server          *flows.Server
	serverChanged   chan struct{} // wakes waitForServer after a changed announcement
	snapshotStored  atomic.Bool   // the store may hold a snapshot of this agent
	socket          *udpio.Socket // for messages between agents and balancers
	stop            context.CancelFunc
}

// New opens the sockets of an agent, or returns an Unavailable fault when an address is taken.
func New(config Config) (*Node, error) {
	ctx, stop := context.WithCancel(context.Background())
	server := flows.NewServer(config.Service, config.AnnounceInterval)
	var knownFrom time.Time
	if !config.FirstStart {
		knownFrom = time.Now().Add(config.FlowLifetime) // the backend server may hold flows of before this start
	}
	n := &Node{
		archive: snap.NewArchive(config.Store, config.Address),
		clock:   clock.NewTicker(timerResolution),
		config:  config,
		ctx:     ctx,
		directory: member.NewDirectory(member.Config{
			Ignored: config.Ignored,
			Self:    member.Member{Address: config.Address, Role: member.RoleAgent},
			Store:   config.Store,
		}),
		dispatcher: flows.NewDispatcher(flows.DispatcherConfig{
			Admission:    config.Admission,
			FirstEcho:    rand.Uint32(),
			FlowLifetime: config.FlowLifetime,
			KnownFrom:    knownFrom,
			Pacing:       config.Pacing,
			Self:         flows.EndpointOf(config.Address),
			Server:       server,
			Service:      flows.HashName(config.Service),
			Zone:         flows.HashName(config.Zone),
		}),
		joinRequested:   make(chan struct{}, 1),
		leaveRequested:  make(chan struct{}, 1),
		meter:           newMeter(config.Stats),
		packetLimiter:   logs.NewLimiter(packetLogsPerSecond),
		probeRequested:  make(chan struct{}, 1),
		reportRequested: make(chan struct{}, 1),
		server:          server,
		serverChanged:   make(chan struct{}, 1),
		stop:            stop,
	}
	n.guard = member.NewEntryGuard(member.EntryGuardConfig{
		Directory: n.directory,
		Log:       config.Log,
		Members:   n.knownAgents,
		SetListed: n.setListed,
		Store:     config.Store,
	})
	n.dispatcher.SetListing(startListing(config.FirstStart))
	n.registerGauges(config.Stats)
	return n, n.open()
}

// startListing returns what an agent knows about its entry in the list of members when it starts.
func startListing(firstStart bool) flows.Listing {
	if firstStart {
		return flows.ListingAbsent
	}
	return flows.ListingUnknown
}

// AddSeeds starts to report to balancers that were added to the settings after the start.
func (n *Node) AddSeeds(seeds []netip.AddrPort) { n.addSubscribers(seeds) }

func (n *Node) open() error {
	var err error
	if n.socket, err = udpio.Listen(n.config.Address); err != nil {
		return err
	}
	n.socket.SetFilter(n.config.Filter)
	if n.outlet, err = udpio.Listen(n.config.Outlet); err != nil {
		return err
	}
	n.inlet, err = net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(n.config.Inlet))
	if err != nil {
		return fault.Wrap(err, fault.Unavailable, "the backend server's address "+n.config.Inlet.String()+" can't be used", "correct inlet in the settings")
	}
	return nil
}

// Run serves until the context ends. Open flows survive a restart, since the process holds no state that they need.
func (n *Node) Run(ctx context.Context) {
	n.clock.Start()
	go n.runSocket()
	go n.runOutlet()
	go n.runInlet()
	go n.runTimers()
	go n.runMembers()
	go n.runProbe()
	go n.runSnapshots()
	n.config.Log.Info("Started.", logs.Fields{"address": n.config.Address.String(), "service": n.config.Service})
	<-ctx.Done()
	n.shutDown()
}

// HandleAnnouncement handles an announcement of the backend server, or returns an Invalid fault for another service and
// a Stale fault for an earlier process.
func (n *Node) HandleAnnouncement(a flows.Announcement) error {
	now := time.Now()
	n.mu.Lock()
	changed, err := n.server.Announce(now, a)
	n.mu.Unlock()
	if err != nil {
		n.config.Ignored.Record(now, netio.InputAnnouncement, fmt.Sprintf("%s born %d sequence %d", a.ID, a.StartMillis, a.Sequence), err.Error())
		return err
	}
	if changed {
		n.config.Log.Info("Backend server changed.", logs.Fields{"born": a.StartMillis, "id": a.ID, "sequence": a.Sequence, "state": a.State.String()})
		n.requestReport()
		n.notifyServerChanged()
		n.resetRestored(now)
	}
	return nil
}

// HandleLeave records that the backend server with the given ID has ended; another ID changes nothing.
func (n *Node) HandleLeave(id string) {
	n.mu.Lock()
	left := n.server.RecordLeave(id)
	n.mu.Unlock()
	if left {
		n.config.Log.Info("Backend server left.", logs.Fields{"id": id})
		n.requestReport()
		n.requestLeave()
	}
}

// requestReport makes runTimers report to all balancers at once.
func (n *Node) requestReport() {
	select {
	case n.reportRequested <- struct{}{}:
	default:
	}
}

// sendFinalReport reports to all balancers that this agent takes no new flows, or that it has left for good.
func (n *Node) sendFinalReport(gone bool) {
	now := time.Now()
	n.mu.Lock()
	report := n.dispatcher.Report(now)
	due := n.dispatcher.DueReports(now, true)
	n.mu.Unlock()
	report.State = flows.StateUnknown
	if gone {
		report.State = flows.StateLeft
	}
	for _, d := range due {
		n.socket.Send(report.Append(nil), d.Balancer.AddrPort())
	}
}

// shutDown stops the agent at once. If the backend server has ended for good, it first removes the agent from the
// member list, with its snapshot: balancers would wait for the agent's answer before they take any flow for ended.
func (n *Node) shutDown() {
	n.config.Log.Info("Stopping.", nil)
	closed := n.probeServerPort()
	n.mu.Lock()
	gone := closed && n.server.State(time.Now()) == flows.StateGone
	n.mu.Unlock()
	if gone {
		ctx, cancel := context.WithTimeout(n.ctx, leaveTimeout)
		if err := n.leave(ctx); err != nil {
			n.config.Log.Warn("This agent can't leave the member list.", logs.Fields{"error": err.Error()})
		}
		cancel()
	}
	n.sendFinalReport(gone)
	n.stop()
	n.socket.Close()
	n.outlet.Close()
	_ = n.inlet.Close()
	n.clock.Stop()
	n.config.Log.Info("Stopped.", nil)
}
