package relay

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/pires/go-proxyproto"

	"github.com/cyclamendock/cyclamendock/lib/connid"
	"github.com/cyclamendock/cyclamendock/lib/header"
	"github.com/cyclamendock/cyclamendock/lib/ring"
	"github.com/cyclamendock/cyclamendock/lib/sched"
	"github.com/cyclamendock/cyclamendock/lib/stats"
	"github.com/cyclamendock/cyclamendock/lib/steer"
	"github.com/cyclamendock/cyclamendock/lib/trace"
	"github.com/cyclamendock/cyclamendock/lib/trust"
	"github.com/cyclamendock/cyclamendock/lib/udpio"
	"github.com/cyclamendock/cyclamendock/lib/wire"
)

var (
	agentAddress  = netip.MustParseAddrPort("127.0.0.1:7000")
	callerAddress = netip.MustParseAddrPort("192.0.2.9:4000")
	otherService  = netip.MustParseAddrPort("198.51.100.1:444")
	testTime      = time.Unix(0, 0)
	testService   = netip.MustParseAddrPort("198.51.100.1:443")
)

func testView(t testing.TB) *View {
	keyring, err := connid.NewKeyring([]connid.Key{{Number: 1}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	table := steer.NewTable()
	table.Set(testTime, 1, []steer.Agent{{Address: agentAddress, Weight: 1}})
	return &View{
		Addresses: map[netip.AddrPort]uint16{testService: 1, otherService: 2},
		Keyring:   keyring,
		Rates:     map[uint16]float64{1: 5, 2: 5},
		Table:     table,
	}
}

func shortHeaderPacket(id []byte) []byte {
	return append(append([]byte{0x40}, id...), make([]byte, 30)...)
}

func initialPacket(size int) []byte {
	packet := make([]byte, size)
	copy(packet, []byte{0xc0, 0, 0, 0, 1, 8, 1, 2, 3, 4, 5, 6, 7, 8})
	return packet
}

func routeDatagram(t testing.TB, service uint16, datagram []byte) (Route, DropReason) {
	r := Route{Forward: wire.Forward{Caller: callerAddress, Datagram: datagram, Service: service}}
	drop := NewRouter(agentAddress).Route(testTime, testView(t), &r)
	return r, drop
}

func TestEstablishedPacketIsRoutedToTheAgentInItsConnectionID(t *testing.T) {
	g := gomega.NewWithT(t)
	id := testView(t).Keyring.Seal(nil, connid.ID{Agent: agentAddress, Service: 1})
	got, drop := routeDatagram(t, 1, shortHeaderPacket(id))
	g.Expect(drop).To(gomega.BeEmpty())
	g.Expect(got.To).To(gomega.Equal(agentAddress))
	g.Expect(got.Class).To(gomega.Equal(sched.ClassEstablished))
}

func TestPacketWithConnectionIDOfAnotherServiceIsDropped(t *testing.T) {
	id := testView(t).Keyring.Seal(nil, connid.ID{Agent: agentAddress, Service: 1})
	_, drop := routeDatagram(t, 2, shortHeaderPacket(id))
	gomega.NewWithT(t).Expect(drop).To(gomega.Equal(DropWrongService))
}

func TestInvalidDatagramsAreDroppedWithAReason(t *testing.T) {
	forged := testView(t).Keyring.Seal(nil, connid.ID{Agent: agentAddress, Service: 1})
	forged[5] ^= 1
	unknownKey := append([]byte{9}, forged[1:]...)
	earlyData := initialPacket(header.MinInitialSize)
	earlyData[0] = 0xd0
	cases := map[string]struct {
		datagram []byte
		service  uint16
		want     DropReason
	}{
		"early data":             {earlyData, 1, DropEarlyData},
		"empty":                  {nil, 1, DropMalformed},
		"forged connection ID":   {shortHeaderPacket(forged), 1, DropForgedID},
		"no backend server":      {initialPacket(header.MinInitialSize), 2, DropNoBackend},
		"short initial packet":   {initialPacket(header.MinInitialSize - 1), 1, DropMalformed},
		"truncated long header":  {[]byte{0xc0, 0, 0}, 1, DropMalformed},
		"truncated short header": {make([]byte, 10), 1, DropMalformed},
		"unknown key":            {shortHeaderPacket(unknownKey), 1, DropUnknownKey},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, drop := routeDatagram(t, c.service, c.datagram)
			gomega.NewWithT(t).Expect(drop).To(gomega.Equal(c.want))
		})
	}
}

func TestNewFlowsAboveTheRateLimitAreDropped(t *testing.T) {
	g := gomega.NewWithT(t)
	router, view := NewRouter(agentAddress), testView(t)
	routed := 0
	for range 100 {
		r := Route{Forward: wire.Forward{Caller: callerAddress, Datagram: initialPacket(header.MinInitialSize), Service: 1}}
		if router.Route(testTime, view, &r) == "" {
			routed++
		}
	}
	g.Expect(routed).To(gomega.Equal(5))
}

func withProxyHeader(t testing.TB, service netip.AddrPort, payload []byte) []byte {
	built := proxyproto.HeaderProxyFromAddrs(2, net.UDPAddrFromAddrPort(callerAddress), net.UDPAddrFromAddrPort(service))
	b, err := built.Format()
	if err != nil {
		t.Fatal(err)
	}
	return append(b, payload...)
}

func TestProxyHeaderYieldsCallerAndService(t *testing.T) {
	g := gomega.NewWithT(t)
	reader := NewProxyReader()
	for range 2 {
		origin, payload, ok := reader.Read(withProxyHeader(t, testService, []byte("payload")))
		g.Expect(ok).To(gomega.BeTrue())
		g.Expect(origin).To(gomega.Equal(Origin{Caller: callerAddress, Service: testService}))
		g.Expect(string(payload)).To(gomega.Equal("payload"))
	}
}

func FuzzProxyReader(f *testing.F) {
	f.Add(withProxyHeader(f, testService, []byte("payload")))
	f.Add([]byte("PROXY TCP4 1.1.1.1 2.2.2.2 1 2\r\n"))
	reader := NewProxyReader()
	f.Fuzz(func(t *testing.T, datagram []byte) {
		_, payload, ok := reader.Read(datagram)
		if ok && len(payload) > len(datagram) {
			t.Fatal("the payload is longer than its datagram")
		}
	})
}

// startRelay returns a running relay on loopback sockets that trusts the given network, and a caller's socket.
func startRelay(t testing.TB, trusted string) (*Relay, *udpio.Socket) {
	g := gomega.NewWithT(t)
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	back, err := udpio.Listen(loopback)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	tracer, err := trace.NewTracer(trace.Config{Output: trace.Off})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	networks := []netip.Prefix{netip.MustParsePrefix(trusted)}
	r, err := New(Config{
		Back:        back,
		Control:     ring.New[Control](16),
		Fabric:      trust.NewAllowlist(networks),
		Front:       loopback,
		MaxDatagram: 1400,
		Stats:       stats.NewServer(stats.Config{}),
		Tracer:      tracer,
		Trust:       trust.NewAllowlist(networks),
	})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(r.SetView(testView(t))).To(gomega.Succeed())
	r.Start()
	t.Cleanup(func() {
		r.Close()
		back.Close()
	})
	caller, err := udpio.Listen(loopback)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(caller.Close)
	return r, caller
}

func TestDatagramsOfUntrustedSendersAreDropped(t *testing.T) {
	g := gomega.NewWithT(t)
	r, caller := startRelay(t, "10.0.0.0/8")
	caller.Send(withProxyHeader(t, testService, initialPacket(1200)), r.sharedFront.socket.Address())
	returned := wire.Return{Datagram: []byte("x"), ReturnAddress: callerAddress, Service: 1}
	caller.Send(returned.Append(nil), r.config.Back.Address())
	g.Eventually(func() uint64 { return r.dropCounts[DropUntrusted].Load() }, 10*time.Second).Should(gomega.Equal(uint64(2)))
}

func TestOversizedDatagramsAreDropped(t *testing.T) {
	g := gomega.NewWithT(t)
	r, caller := startRelay(t, "127.0.0.0/8")
	caller.Send(withProxyHeader(t, testService, initialPacket(1401)), r.sharedFront.socket.Address())
	g.Eventually(func() uint64 { return r.dropCounts[DropOversized].Load() }, 10*time.Second).Should(gomega.Equal(uint64(1)))
}
