package wire

import (
	"net/netip"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func drawAddress(t *rapid.T, label string) netip.AddrPort {
	ip := rapid.SliceOfN(rapid.Byte(), 4, 4).Draw(t, label)
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(ip)), rapid.Uint16Min(1).Draw(t, label+" port"))
}

func TestForwardRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := Forward{
			Balancer:      drawAddress(t, "balancer"),
			Best:          drawAddress(t, "best"),
			BestLoad:      rapid.Uint32().Draw(t, "load"),
			Caller:        drawAddress(t, "caller"),
			Datagram:      rapid.SliceOfN(rapid.Byte(), 1, 1500).Draw(t, "datagram"),
			Hops:          rapid.Uint8().Draw(t, "hops"),
			Phase:         Phase(rapid.Uint8Max(3).Draw(t, "phase")),
			PreviousOwner: drawAddress(t, "previous"),
			ReturnAddress: drawAddress(t, "return"),
			Service:       rapid.Uint16().Draw(t, "service"),
		}
		for range rapid.IntRange(1, MaxCandidates).Draw(t, "candidates") {
			want.Candidates = append(want.Candidates, drawAddress(t, "candidate"))
		}
		var got Forward
		g := gomega.NewWithT(t)
		g.Expect(got.Decode(want.Append(nil))).To(gomega.BeTrue())
		g.Expect(got).To(gomega.Equal(want))
	})
}

func TestForwardWithTooManyCandidatesIsMalformed(t *testing.T) {
	address := netip.MustParseAddrPort("10.0.0.1:1")
	f := Forward{Caller: address, Datagram: []byte{1}, Candidates: []netip.AddrPort{address, address, address, address}}
	var got Forward
	gomega.NewWithT(t).Expect(got.Decode(f.Append(nil))).To(gomega.BeFalse())
}

func TestReturnRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := Return{
			Datagram:      rapid.SliceOfN(rapid.Byte(), 1, 1500).Draw(t, "datagram"),
			ReturnAddress: drawAddress(t, "return"),
			Service:       rapid.Uint16().Draw(t, "service"),
		}
		var got Return
		g := gomega.NewWithT(t)
		g.Expect(got.Decode(want.Append(nil))).To(gomega.BeTrue())
		g.Expect(got).To(gomega.Equal(want))
	})
}

func FuzzForward(f *testing.F) {
	address := netip.MustParseAddrPort("10.0.0.1:1")
	seed := Forward{Caller: address, Candidates: []netip.AddrPort{address}, Datagram: []byte("x"), Service: 1}
	f.Add(seed.Append(nil))
	f.Fuzz(func(t *testing.T, b []byte) {
		var got, again Forward
		if !got.Decode(b) {
			return
		}
		if !again.Decode(got.Append(nil)) {
			t.Fatalf("%+v does not decode after encoding", got)
		}
	})
}

func FuzzReturn(f *testing.F) {
	seed := Return{Datagram: []byte("x"), ReturnAddress: netip.MustParseAddrPort("10.0.0.1:1")}
	f.Add(seed.Append(nil))
	f.Fuzz(func(t *testing.T, b []byte) {
		var got, again Return
		if got.Decode(b) && !again.Decode(got.Append(nil)) {
			t.Fatalf("%+v does not decode after encoding", got)
		}
	})
}
