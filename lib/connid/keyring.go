package connid

import (
	"crypto/aes"
	"crypto/cipher"
	"encoding/binary"
	"net/netip"

	"github.com/cyclamendock/cyclamendock/lib/fault"
)

const (
	// Length is the size of a sealed connection ID in bytes.
	Length = 1 + aes.BlockSize
	// SecretLength is the size of a key's secret in bytes.
	SecretLength = 16
	// NonceBits is the width of an ID's nonce in bits.
	NonceBits = 24
)

// An ID is what a balancer must know to forward a packet of an established flow.
type ID struct {
	Agent       netip.AddrPort
	Incarnation uint16
	Nonce       uint32
	Service     uint16
}

// A Key is one secret with the number that names it in sealed IDs.
type Key struct {
	Number uint8
	Secret [SecretLength]byte
}

// A Keyring seals with its active key and opens with every key that it holds.
type Keyring struct {
	active uint8
	blocks [256]cipher.Block
}

// NewKeyring returns a keyring, or an Invalid fault when the active key is not among the keys.
func NewKeyring(keys []Key, active uint8) (*Keyring, error) {
	ring := &Keyring{active: active}
	for _, key := range keys {
		block, err := aes.NewCipher(key.Secret[:])
		if err != nil {
			return nil, fault.Wrap(err, fault.Invalid, "the connection ID key is unusable", "give a key of 16 bytes")
		}
		ring.blocks[key.Number] = block
	}
	if ring.blocks[active] == nil {
		return nil, fault.New(fault.Invalid, "the active connection ID key is missing", "add the key before making it active")
	}
	return ring, nil
}

// Active returns the number of the key that seals new IDs.
func (k *Keyring) Active() uint8 { return k.active }

// Has reports whether the keyring can open IDs of the numbered key.
func (k *Keyring) Has(number uint8) bool { return k.blocks[number] != nil }

// Seal appends the sealed form of an ID, whose agent must have an IPv4 address.
func (k *Keyring) Seal(dst []byte, id ID) []byte {
	var plain [aes.BlockSize]byte
	address := id.Agent.Addr().As4()
	copy(plain[0:4], address[:])
	binary.BigEndian.PutUint16(plain[4:6], id.Agent.Port())
	binary.BigEndian.PutUint16(plain[6:8], id.Service)
	binary.BigEndian.PutUint16(plain[8:10], id.Incarnation)
	binary.BigEndian.PutUint32(plain[9:13], id.Nonce&(1<<NonceBits-1)|uint32(plain[9])<<NonceBits)
	dst = append(dst, k.active)
	start := len(dst)
	dst = append(dst, plain[:]...)
	k.blocks[k.active].Encrypt(dst[start:], plain[:])
	return dst
}

// Open returns the ID of sealed bytes and reports false for any that no key here has sealed.
func (k *Keyring) Open(sealed []byte) (ID, bool) {
	if len(sealed) != Length || k.blocks[sealed[0]] == nil {
		return ID{}, false
	}
	var plain [aes.BlockSize]byte
	k.blocks[sealed[0]].Decrypt(plain[:], sealed[1:])
	if plain[13]|plain[14]|plain[15] != 0 {
		return ID{}, false
	}
	return ID{
		Agent:       netip.AddrPortFrom(netip.AddrFrom4([4]byte(plain[0:4])), binary.BigEndian.Uint16(plain[4:6])),
		Incarnation: binary.BigEndian.Uint16(plain[8:10]),
		Nonce:       binary.BigEndian.Uint32(plain[9:13]) & (1<<NonceBits - 1),
		Service:     binary.BigEndian.Uint16(plain[6:8]),
	}, true
}
