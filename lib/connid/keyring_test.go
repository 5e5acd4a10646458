package connid

import (
	"net/netip"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func drawKey(t *rapid.T, number uint8) Key {
	key := Key{Number: number}
	copy(key.Secret[:], rapid.SliceOfN(rapid.Byte(), SecretLength, SecretLength).Draw(t, "secret"))
	return key
}

func drawID(t *rapid.T) ID {
	address := rapid.SliceOfN(rapid.Byte(), 4, 4).Draw(t, "address")
	return ID{
		Agent:       netip.AddrPortFrom(netip.AddrFrom4([4]byte(address)), rapid.Uint16().Draw(t, "port")),
		Incarnation: rapid.Uint16().Draw(t, "incarnation"),
		Nonce:       rapid.Uint32Range(0, 1<<NonceBits-1).Draw(t, "nonce"),
		Service:     rapid.Uint16().Draw(t, "service"),
	}
}

func TestSealedIDRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		keyring, err := NewKeyring([]Key{drawKey(t, 1), drawKey(t, 2)}, 1)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		want := drawID(t)
		got, ok := keyring.Open(keyring.Seal(nil, want))
		g.Expect(ok).To(gomega.BeTrue())
		g.Expect(got).To(gomega.Equal(want))
	})
}

func TestOldKeyOpensAfterRotation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		first, second := drawKey(t, 1), drawKey(t, 2)
		before, err := NewKeyring([]Key{first}, 1)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		after, err := NewKeyring([]Key{first, second}, 2)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		want := drawID(t)
		got, ok := after.Open(before.Seal(nil, want))
		g.Expect(ok).To(gomega.BeTrue())
		g.Expect(got).To(gomega.Equal(want))
	})
}

func TestForgedIDDoesNotOpen(t *testing.T) {
	g := gomega.NewWithT(t)
	keyring, err := NewKeyring([]Key{{Number: 1}}, 1)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	sealed := keyring.Seal(nil, ID{Agent: netip.MustParseAddrPort("127.0.0.1:7000"), Service: 3})
	for i := range sealed {
		forged := append([]byte(nil), sealed...)
		forged[i] ^= 0x40
		_, ok := keyring.Open(forged)
		g.Expect(ok).To(gomega.BeFalse(), "byte %d", i)
	}
}

func FuzzOpen(f *testing.F) {
	keyring, err := NewKeyring([]Key{{Number: 1}}, 1)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(keyring.Seal(nil, ID{Agent: netip.MustParseAddrPort("127.0.0.1:7000"), Service: 3}))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, sealed []byte) {
		id, ok := keyring.Open(sealed)
		if ok && string(keyring.Seal(nil, id)) != string(sealed) {
			t.Fatalf("%x opens to %v, but Seal returns other bytes for it", sealed, id)
		}
	})
}
