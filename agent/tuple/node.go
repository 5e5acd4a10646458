package tuple

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cyclamendock/cyclamendock/lib/carry"
	"github.com/cyclamendock/cyclamendock/lib/clock"
	"github.com/cyclamendock/cyclamendock/lib/fault"
	"github.com/cyclamendock/cyclamendock/lib/link"
	"github.com/cyclamendock/cyclamendock/lib/logs"
	"github.com/cyclamendock/cyclamendock/lib/member"
	"github.com/cyclamendock/cyclamendock/lib/port"
	"github.com/cyclamendock/cyclamendock/lib/stats"
	"github.com/cyclamendock/cyclamendock/lib/store"
	"github.com/cyclamendock/cyclamendock/lib/trust"
)

const (
	readBatch       = 32 // datagrams
	writeBatch      = 32 // datagrams
	timerResolution = 25 * time.Millisecond
	// packetLines is how many lines about packets are logged each second.
	packetLines = 20
)

// A Config holds what a Node needs.
type Config struct {
	Address      netip.AddrPort // for messages between processes
	BeatInterval time.Duration  // of the backend server's announcements
	CallerPort   uint16         // to which packets for callers are sent
	Codec        carry.Codec
	First        bool // no process has run before
	FlowLifetime time.Duration
	Ignored      *port.Ignored
	Inlet        netip.AddrPort // where the backend server receives packets
	Log          *logs.Logger
	Outlet       netip.AddrPort   // to which the backend server sends its packets
	Seeds        []netip.AddrPort // balancers to report to before the members are known
	Service      string
	Stats        *stats.Server
	Store        store.Store
	Trust        *trust.List
	Zone         string
}

// A Node is one agent process.
type Node struct {
	announced  chan struct{} // a changed announcement has to be reported
	carrier    *carry.Carrier
	clock      *clock.Service
	config     Config
	ctx        context.Context
	directory  *member.Directory
	inlet      *net.UDPConn
	limiter    *logs.Limiter
	meter      *meter
	mu         sync.Mutex // guards carrier and server
	outlet     *link.Socket
	probe      chan struct{} // the backend server has to be looked for
	rejoin     chan struct{}
	server     *carry.Server
	serverLeft chan struct{} // the backend server has ended for good
	serverSeen chan struct{} // the backend server has changed
	socket     *link.Socket
	stop       context.CancelFunc
}

// New opens the sockets of an agent, or returns an Unavailable fault when an address is taken.
func New(config Config) (*Node, error) {
	ctx, stop := context.WithCancel(context.Background())
	server := carry.NewServer(config.Service, config.BeatInterval)
	n := &Node{
		announced: make(chan struct{}, 1),
		carrier: carry.NewCarrier(carry.CarrierConfig{
			FirstEcho:    rand.Uint32(),
			FlowLifetime: config.FlowLifetime,
			Self:         carry.EndpointOf(config.Address),
			Server:       server,
			Service:      carry.ServiceIDOf(config.Service),
			Zone:         carry.ServiceIDOf(config.Zone),
		}),
		clock:  clock.NewService(timerResolution),
		config: config,
		ctx:    ctx,
		directory: member.NewDirectory(member.Config{
			Ignored: config.Ignored,
			Self:    member.Member{Address: config.Address, Role: member.RoleAgent},
			Store:   config.Store,
		}),
		probe:      make(chan struct{}, 1),
		rejoin:     make(chan struct{}, 1),
		limiter:    logs.NewLimiter(packetLines),
		meter:      newMeter(config.Stats),
		server:     server,
		serverLeft: make(chan struct{}, 1),
		serverSeen: make(chan struct{}, 1),
		stop:       stop,
	}
	n.registerGauges(config.Stats)
	return n, n.open()
}

// AddSeeds reports to balancers that the settings have named since.
func (n *Node) AddSeeds(seeds []netip.AddrPort) { n.greet(seeds) }

func (n *Node) open() error {
	var err error
	if n.socket, err = link.Listen(n.config.Address); err != nil {
		return err
	}
	if n.outlet, err = link.Listen(n.config.Outlet); err != nil {
		return err
	}
	n.inlet, err = net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(n.config.Inlet))
	if err != nil {
		return fault.Wrap(err, fault.Unavailable, "the backend server's address "+n.config.Inlet.String()+" can't be used", "correct inlet in the settings")
	}
	return nil
}

// Run serves until the context ends. Nothing that a flow needs is lost with the process.
func (n *Node) Run(ctx context.Context) {
	n.clock.Start()
	go n.runSocket()
	go n.runOutlet()
	go n.runInlet()
	go n.runTimers()
	go n.runMembers()
	go n.runProbe()
	n.config.Log.Info("Started.", logs.Fields{"address": n.config.Address.String(), "service": n.config.Service})
	<-ctx.Done()
	n.leave()
}

// Announce takes an announcement of the backend server and returns why it is refused.
func (n *Node) Announce(a carry.Announcement) error {
	now := time.Now()
	n.mu.Lock()
	changed, err := n.server.Announce(now, a)
	n.mu.Unlock()
	if err != nil {
		n.config.Ignored.Note(now, port.InputAnnouncement, fmt.Sprintf("%s born %d sequence %d", a.ID, a.Born, a.Sequence), err.Error())
		return err
	}
	if changed {
		n.config.Log.Info("Backend server changed.", logs.Fields{"born": a.Born, "id": a.ID, "sequence": a.Sequence, "state": a.State.String()})
		n.reportSoon()
		n.seeServer()
	}
	return nil
}

// Leave records that the backend server has ended.
func (n *Node) Leave(id string) {
	n.mu.Lock()
	left := n.server.Leave(id)
	n.mu.Unlock()
	if left {
		n.config.Log.Info("Backend server left.", logs.Fields{"id": id})
		n.reportSoon()
		n.leaveSoon()
	}
}

// reportSoon makes runTimers report to the balancers at once.
func (n *Node) reportSoon() {
	select {
	case n.announced <- struct{}{}:
	default:
	}
}

// reportLeaving tells the balancers that this agent takes no new flows, or that it has ended for good.
func (n *Node) reportLeaving(gone bool) {
	now := time.Now()
	n.mu.Lock()
	report := n.carrier.Report(now)
	due := n.carrier.Due(now, true)
	n.mu.Unlock()
	report.State = carry.StateUnknown
	if gone {
		report.State = carry.StateLeft
	}
	for _, d := range due {
		n.socket.Send(report.Append(nil), d.Balancer.AddrPort())
	}
}

// leave ends at once, and takes the member out of the store when its backend server has ended for good.
func (n *Node) leave() {
	n.config.Log.Info("Stopping.", nil)
	n.mu.Lock()
	gone := n.server.State(time.Now()) == carry.StateGone
	n.mu.Unlock()
	if gone {
		ctx, cancel := context.WithTimeout(n.ctx, leaveTimeout)
		if err := n.directory.Leave(ctx); err != nil {
			n.config.Log.Warn("This agent can't leave the members.", logs.Fields{"error": err.Error()})
		}
		cancel()
	}
	n.reportLeaving(gone)
	n.stop()
	n.socket.Close()
	n.outlet.Close()
	_ = n.inlet.Close()
	n.clock.Stop()
	n.config.Log.Info("Stopped.", nil)
}
