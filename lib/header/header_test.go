package header

import (
	"testing"

	"github.com/onsi/gomega"
)

const testIDLength = 17

func longHeaderPacket(first byte, version byte, id []byte) []byte {
	packet := []byte{first, 0, 0, 0, version, byte(len(id))}
	return append(packet, id...)
}

func TestParse(t *testing.T) {
	id := []byte("12345678")
	cases := map[string]struct {
		datagram []byte
		want     Kind
	}{
		"early data":          {longHeaderPacket(0xd0, 1, id), EarlyData},
		"empty":               {nil, Malformed},
		"handshake":           {longHeaderPacket(0xe0, 1, id), Handshake},
		"initial":             {longHeaderPacket(0xc0, 1, id), Initial},
		"long, truncated":     {longHeaderPacket(0xc0, 1, id)[:9], Malformed},
		"long, oversized id":  {longHeaderPacket(0xc0, 1, make([]byte, 21)), Malformed},
		"short":               {make([]byte, 1+testIDLength), Short},
		"short, truncated":    {make([]byte, testIDLength), Malformed},
		"unknown version":     {longHeaderPacket(0xe0, 9, id), Initial},
		"version negotiation": {longHeaderPacket(0x80, 0, id), Initial},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			gomega.NewWithT(t).Expect(Parse(c.datagram, testIDLength).Kind).To(gomega.Equal(c.want))
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add(longHeaderPacket(0xc0, 1, []byte("12345678")))
	f.Fuzz(func(t *testing.T, datagram []byte) {
		got := Parse(datagram, testIDLength)
		if len(got.DestinationID) > len(datagram) {
			t.Fatal("the connection ID is longer than its datagram")
		}
	})
}
