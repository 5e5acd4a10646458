package local

import (
	"context"
	"net"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pires/go-proxyproto"

	"github.com/cyclamendock/cyclamendock/lib/connid"
	"github.com/cyclamendock/cyclamendock/lib/fault"
	"github.com/cyclamendock/cyclamendock/lib/udpio"
)

const (
	payloadSize         = 1200 // bytes
	clockTicksPerSecond = 100  // unit of CPU times in /proc
)

// BenchResult holds the measurements of one forwarder.
type BenchResult struct {
	CPU       time.Duration // CPU time that the forwarder used
	Forwarded uint64        // datagrams that arrived at the sink
}

// DatagramsPerCPUSecond returns the datagrams forwarded per second of CPU time.
func (r BenchResult) DatagramsPerCPUSecond() float64 { return float64(r.Forwarded) / r.CPU.Seconds() }

// BenchForwarding floods a bare relay and then the first balancer, each limited to one CPU, for the given span.
func (c *Cluster) BenchForwarding(ctx context.Context, span time.Duration) (balancer, relay BenchResult, err error) {
	socket, err := udpio.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		return balancer, relay, err
	}
	defer socket.Close()
	sink := &countingSink{socket: socket}
	go sink.run()
	relayAddress, err := c.startForwarders(ctx, socket.Address())
	if err != nil {
		return balancer, relay, err
	}
	datagram, err := c.establishedDatagram(socket.Address())
	if err != nil {
		return balancer, relay, err
	}
	if relay, err = c.floodForwarder("bare", relayAddress, datagram, sink, span); err != nil {
		return balancer, relay, err
	}
	balancer, err = c.floodForwarder(c.Balancers[0].Name, c.Balancers[0].FrontAddress, datagram, sink, span)
	return balancer, relay, err
}

// startForwarders starts the platform, one balancer and the bare relay, and returns the relay's address.
func (c *Cluster) startForwarders(ctx context.Context, sink netip.AddrPort) (netip.AddrPort, error) {
	relay, err := c.ports.allocate()
	if err != nil {
		return relay, err
	}
	if err := os.Setenv("GOMAXPROCS", "1"); err != nil {
		return relay, fault.Wrap(err, fault.Internal, "the environment can't be set", "report this")
	}
	if err := c.startProcess("platform", "standin", "platform", "--address", c.PlatformAddress.String()); err != nil {
		return relay, err
	}
	if err := c.waitPlatform(ctx); err != nil {
		return relay, err
	}
	if _, err := c.Patch(ctx, "first", c.initialOperations()...); err != nil {
		return relay, err
	}
	if err := c.startBalancer(c.Balancers[0]); err != nil {
		return relay, err
	}
	if err := c.startProcess("bare", "standin", "relay", "--address", relay.String(), "--to", sink.String()); err != nil {
		return relay, err
	}
	return relay, c.WaitFor(ctx, "the balancer", func() bool { return isHealthy(c.Balancers[0].MetricsAddress) })
}

// establishedDatagram returns a datagram of an established flow whose connection ID names the sink as the agent.
func (c *Cluster) establishedDatagram(sink netip.AddrPort) ([]byte, error) {
	keyring, err := connid.NewKeyring([]connid.Key{{Number: 1, Secret: [connid.SecretLength]byte(c.connectionIDKey)}}, 1)
	if err != nil {
		return nil, err
	}
	service := c.config.Deployment.Services[0].Name
	caller := net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:9"))
	header, err := proxyproto.HeaderProxyFromAddrs(2, caller, net.UDPAddrFromAddrPort(c.ServiceAddresses[service])).Format()
	if err != nil {
		return nil, err
	}
	payload := make([]byte, 1, payloadSize)
	payload[0] = 0x40 // first byte of a QUIC short header
	payload = keyring.Seal(payload, connid.ID{Agent: sink, Service: 1})
	return append(header, payload[:payloadSize]...), nil
}

// floodForwarder sends the datagram to a forwarder as fast as possible and measures its CPU time and throughput.
func (c *Cluster) floodForwarder(
	name string, to netip.AddrPort, datagram []byte, sink *countingSink, span time.Duration,
) (BenchResult, error) {
	source, err := udpio.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		return BenchResult{}, err
	}
	defer source.Close()
	writer := udpio.NewWriter(source)
	pid := c.process(name).command.Process.Pid
	cpuBefore, countBefore := cpuTime(pid), sink.received.Load()
	for end := time.Now().Add(span); time.Now().Before(end); {
		for range udpio.BatchSize {
			writer.Add(append(writer.Buffer(), datagram...), to)
		}
	}
	time.Sleep(100 * time.Millisecond)
	return BenchResult{CPU: cpuTime(pid) - cpuBefore, Forwarded: sink.received.Load() - countBefore}, nil
}

// cpuTime returns the user and system time of a process, or zero when the process does not exist.
func cpuTime(pid int) time.Duration {
	const userField, systemField = 11, 12 // counted from the field after the program's name in parentheses
	b, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if err != nil {
		return 0
	}
	_, afterName, _ := strings.Cut(string(b), ") ")
	columns := strings.Fields(afterName)
	user, _ := strconv.Atoi(columns[userField])
	system, _ := strconv.Atoi(columns[systemField])
	return time.Duration(user+system) * time.Second / clockTicksPerSecond
}

// countingSink counts the datagrams that arrive at its socket.
type countingSink struct {
	received atomic.Uint64
	socket   *udpio.Socket
}

func (s *countingSink) run() {
	reader := udpio.NewReader(s.socket)
	for {
		n, err := reader.Read()
		if err != nil {
			return
		}
		s.received.Add(uint64(n))
	}
}
