package udpio

import (
	"net/netip"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Guards against a way to send that passes the filter by: tests would then cut off less than they state.
func TestFilterDropsSingleAndBatchedDatagrams(t *testing.T) {
	g := gomega.NewWithT(t)
	local := netip.MustParseAddrPort("127.0.0.1:0")
	sender, err := Listen(local)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer sender.Close()
	cutOff, err := Listen(local)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer cutOff.Close()
	reachable, err := Listen(local)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer reachable.Close()
	sender.SetFilter(func(to netip.AddrPort) bool { return to != cutOff.Address() })
	writer := NewWriter(sender)
	for _, to := range []netip.AddrPort{cutOff.Address(), reachable.Address()} {
		sender.Send([]byte("single"), to)
		writer.Add(append(writer.Buffer(), "batched"...), to)
	}
	writer.Flush()
	buffer := make([]byte, MaxDatagram)
	for _, want := range []string{"single", "batched"} {
		n, _, err := reachable.Receive(buffer)
		g.Expect(string(buffer[:n]), err).To(gomega.Equal(want))
	}
	g.Expect(cutOff.conn.SetReadDeadline(time.Now().Add(20 * time.Millisecond))).To(gomega.Succeed())
	_, _, err = cutOff.Receive(buffer)
	g.Expect(err).To(gomega.HaveOccurred())
}
