package flow

import (
	"crypto/tls"
	"net/netip"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/cyclamendock/cyclamendock/lib/connid"
	"github.com/cyclamendock/cyclamendock/lib/ring"
	"github.com/cyclamendock/cyclamendock/lib/stats"
	"github.com/cyclamendock/cyclamendock/lib/steer"
	"github.com/cyclamendock/cyclamendock/lib/trace"
	"github.com/cyclamendock/cyclamendock/lib/trust"
	"github.com/cyclamendock/cyclamendock/lib/udpio"
	"github.com/cyclamendock/cyclamendock/lib/wire"
)

var (
	balancerAddress = netip.MustParseAddrPort("127.0.0.1:6000")
	callerAddress   = netip.MustParseAddrPort("192.0.2.9:4000")
	otherAgent      = netip.MustParseAddrPort("127.0.0.1:6001")
)

func testKeyring(t *testing.T) *connid.Keyring {
	keyring, err := connid.NewKeyring([]connid.Key{{Number: 1}}, 1)
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	return keyring
}

func newTestEndpoint(t *testing.T, load steer.Load) *Endpoint {
	t.Helper()
	g := gomega.NewWithT(t)
	socket, err := udpio.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	tracer, err := trace.NewTracer(trace.Config{Output: trace.Off})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	e, err := NewEndpoint(Config{
		Address: socket.Address(),
		Control: ring.New[Control](16),
		Load:    func() steer.Load { return load },
		Socket:  socket,
		Stats:   stats.NewServer(stats.Config{}),
		TLS:     &tls.Config{MinVersion: tls.VersionTLS13},
		Tracer:  tracer,
		Trust:   trust.NewAllowlist([]netip.Prefix{netip.MustParsePrefix("127.0.0.0/8")}),
	})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	e.Configure(1, testKeyring(t))
	t.Cleanup(e.Close)
	return e
}

func receive(e *Endpoint, f wire.Forward, from netip.AddrPort) DropReason {
	var decoded wire.Forward
	return e.receive(time.Unix(0, 0), f.Append(nil), from, &decoded, udpio.NewWriter(e.config.Socket))
}

func shortHeaderPacket(id []byte) []byte {
	return append(append([]byte{0x40}, id...), make([]byte, 30)...)
}

func TestEndpointDropsForeignAndForgedDatagrams(t *testing.T) {
	e := newTestEndpoint(t, steer.Load{})
	keyring := testKeyring(t)
	ownID := keyring.Seal(nil, connid.ID{Agent: e.config.Address, Service: 1})
	otherAgentID := keyring.Seal(nil, connid.ID{Agent: otherAgent, Service: 1})
	otherServiceID := keyring.Seal(nil, connid.ID{Agent: e.config.Address, Service: 2})
	forgedID := append([]byte(nil), ownID...)
	forgedID[3] ^= 1
	cases := map[string]struct {
		from    netip.AddrPort
		id      []byte
		service uint16
		want    DropReason
	}{
		"ID of another agent":                 {balancerAddress, otherAgentID, 1, DropOtherAgent},
		"flow of another service":             {balancerAddress, ownID, 2, DropWrongService},
		"ID of another service":               {balancerAddress, otherServiceID, 1, DropWrongService},
		"ID and flow of another service":      {balancerAddress, otherServiceID, 2, DropWrongService},
		"forged ID":                           {balancerAddress, forgedID, 1, DropForgedID},
		"own ID and service":                  {balancerAddress, ownID, 1, ""},
		"sender outside the trusted networks": {netip.MustParseAddrPort("192.0.2.1:1"), ownID, 1, DropUntrusted},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := wire.Forward{Balancer: balancerAddress, Caller: callerAddress, Datagram: shortHeaderPacket(c.id), Service: c.service}
			gomega.NewWithT(t).Expect(receive(e, f, c.from)).To(gomega.Equal(c.want))
		})
	}
}

func TestMalformedForwardIsDropped(t *testing.T) {
	e := newTestEndpoint(t, steer.Load{})
	var decoded wire.Forward
	b := []byte{byte(wire.KindForward), 0xff, 0xff}
	drop := e.receive(time.Unix(0, 0), b, balancerAddress, &decoded, udpio.NewWriter(e.config.Socket))
	gomega.NewWithT(t).Expect(drop).To(gomega.Equal(DropMalformed))
}

func TestBusyAgentForwardsANewFlow(t *testing.T) {
	g := gomega.NewWithT(t)
	e := newTestEndpoint(t, steer.Load{Mean: 1, Self: 2})
	other, err := udpio.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(other.Close)
	datagram := make([]byte, 1200)
	copy(datagram, []byte{0xc0, 0, 0, 0, 1, 8, 1, 2, 3, 4, 5, 6, 7, 8})
	f := wire.Forward{
		Balancer:   balancerAddress,
		Caller:     callerAddress,
		Candidates: []netip.AddrPort{e.config.Address, other.Address()},
		Datagram:   datagram,
		Service:    1,
	}
	var decoded wire.Forward
	writer := udpio.NewWriter(e.config.Socket)
	g.Expect(e.receive(time.Unix(0, 0), f.Append(nil), balancerAddress, &decoded, writer)).To(gomega.BeEmpty())
	writer.Flush()
	buffer := make([]byte, udpio.MaxDatagram)
	n, from, err := other.Receive(buffer)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(from).To(gomega.Equal(e.config.Address))
	g.Expect(decoded.Decode(buffer[:n])).To(gomega.BeTrue())
	g.Expect(decoded.BestLoad).To(gomega.Equal(uint32(2)))
}
