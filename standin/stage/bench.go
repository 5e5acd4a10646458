package stage

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
	"github.com/cyclamendock/cyclamendock/lib/link"
)

const (
	benchPayload = 1200 // bytes
	clockTicks   = 100  // per second of processor time in /proc
)

// A BenchResult is what one forwarder did.
type BenchResult struct {
	CPU       time.Duration
	Forwarded uint64
}

// PerSecond returns the datagrams that one second of processor time forwards.
func (r BenchResult) PerSecond() float64 { return float64(r.Forwarded) / r.CPU.Seconds() }

// BenchForwarding floods the first balancer and a bare relay in turn, each limited to one processor.
func (l *Stage) BenchForwarding(ctx context.Context, span time.Duration) (balancer, bare BenchResult, err error) {
	sink, err := link.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		return balancer, bare, err
	}
	defer sink.Close()
	counter := &benchSink{socket: sink}
	go counter.run()
	bareAddress, err := l.startBench(ctx, sink.Address())
	if err != nil {
		return balancer, bare, err
	}
	datagram, err := l.benchDatagram(sink.Address())
	if err != nil {
		return balancer, bare, err
	}
	if bare, err = l.flood("bare", bareAddress, datagram, counter, span); err != nil {
		return balancer, bare, err
	}
	balancer, err = l.flood(l.Balancers[0].Name, l.Balancers[0].Front, datagram, counter, span)
	return balancer, bare, err
}

// startBench starts the platform, one balancer and the bare relay.
func (l *Stage) startBench(ctx context.Context, sink netip.AddrPort) (netip.AddrPort, error) {
	bare, err := l.ports.take()
	if err != nil {
		return bare, err
	}
	if err := os.Setenv("GOMAXPROCS", "1"); err != nil {
		return bare, fault.Wrap(err, fault.Internal, "the environment can't be set", "report this")
	}
	if err := l.run("platform", "standin", "platform", "--address", l.Platform.String()); err != nil {
		return bare, err
	}
	if err := l.waitPlatform(ctx); err != nil {
		return bare, err
	}
	if _, err := l.Patch(ctx, "first", l.firstOperations()...); err != nil {
		return bare, err
	}
	if err := l.startBalancer(l.Balancers[0]); err != nil {
		return bare, err
	}
	if err := l.run("bare", "standin", "relay", "--address", bare.String(), "--to", sink.String()); err != nil {
		return bare, err
	}
	return bare, l.WaitFor(ctx, "the balancer", func() bool { return healthy(l.Balancers[0].Metrics) })
}

// benchDatagram returns a datagram of an established flow whose agent is the sink.
func (l *Stage) benchDatagram(sink netip.AddrPort) ([]byte, error) {
	keyring, err := connid.NewKeyring([]connid.Key{{Number: 1, Secret: [connid.SecretLength]byte(l.key)}}, 1)
	if err != nil {
		return nil, err
	}
	service := l.config.Deployment.Services[0].Name
	caller := net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:9"))
	header, err := proxyproto.HeaderProxyFromAddrs(2, caller, net.UDPAddrFromAddrPort(l.Services[service])).Format()
	if err != nil {
		return nil, err
	}
	payload := make([]byte, 1, benchPayload)
	payload[0] = 0x40
	payload = keyring.Seal(payload, connid.ID{Agent: sink, Service: 1})
	return append(header, payload[:benchPayload]...), nil
}

func (l *Stage) flood(name string, to netip.AddrPort, datagram []byte, counter *benchSink, span time.Duration) (BenchResult, error) {
	source, err := link.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		return BenchResult{}, err
	}
	defer source.Close()
	writer := link.NewWriter(source)
	pid := l.find(name).command.Process.Pid
	cpuBefore, countBefore := processorTime(pid), counter.count.Load()
	for end := time.Now().Add(span); time.Now().Before(end); {
		for range link.BatchSize {
			writer.Add(append(writer.Buffer(), datagram...), to)
		}
	}
	time.Sleep(100 * time.Millisecond)
	return BenchResult{CPU: processorTime(pid) - cpuBefore, Forwarded: counter.count.Load() - countBefore}, nil
}

// processorTime returns the user and system time of a process, or zero when it is gone.
func processorTime(pid int) time.Duration {
	const userField, systemField = 11, 12 // after the closing parenthesis
	b, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(b), ") ")
	columns := strings.Fields(rest)
	user, _ := strconv.Atoi(columns[userField])
	system, _ := strconv.Atoi(columns[systemField])
	return time.Duration(user+system) * time.Second / clockTicks
}

// A benchSink counts the datagrams that arrive.
type benchSink struct {
	count  atomic.Uint64
	socket *link.Socket
}

func (s *benchSink) run() {
	reader := link.NewReader(s.socket)
	for {
		n, err := reader.Read()
		if err != nil {
			return
		}
		s.count.Add(uint64(n))
	}
}
