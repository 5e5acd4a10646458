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
	// NonceBits is the size of an ID's nonce in bits.
	NonceBits = 24
)

// ID is the content of a connection ID; a balancer forwards the packets of an established flow by it.
type ID struct {
	Agent       netip.AddrPort
	Incarnation uint16 // distinguishes processes of the agent
	Nonce       uint32 // makes each connection ID unique, NonceBits wide
	Service     uint16
}

// Key is an AES secret and the number that identifies it in sealed IDs.
type Key struct {
	Number uint8
	Secret [SecretLength]byte
}

// Keyring encrypts IDs with its active key and decrypts them with all of its keys.
type Keyring struct {
	active  uint8             // number of the key that seals new IDs
	ciphers [256]cipher.Block // by key number, nil without a key
}

// NewKeyring returns a keyring, or an Invalid fault when the active key is not among the keys.
func NewKeyring(keys []Key, active uint8) (*Keyring, error) {
	keyring := &Keyring{active: active}
	for _, key := range keys {
		cipherBlock, err := aes.NewCipher(key.Secret[:])
		if err != nil {
			return nil, fault.Wrap(err, fault.Invalid, "the connection ID key is unusable", "give a key of 16 bytes")
		}
		keyring.ciphers[key.Number] = cipherBlock
	}
	if keyring.ciphers[active] == nil {
		return nil, fault.New(fault.Invalid, "the active connection ID key is missing", "add the key before making it active")
	}
	return keyring, nil
}

// Active returns the number of the key that seals new IDs.
func (k *Keyring) Active() uint8 { return k.active }

// Has reports whether the keyring contains the key with a number.
func (k *Keyring) Has(number uint8) bool { return k.ciphers[number] != nil }

// Seal appends an encrypted ID of Length bytes; the agent must have an IPv4 address.
func (k *Keyring) Seal(dst []byte, id ID) []byte {
	var plaintext [aes.BlockSize]byte
	address := id.Agent.Addr().As4()
	copy(plaintext[0:4], address[:])
	binary.BigEndian.PutUint16(plaintext[4:6], id.Agent.Port())
	binary.BigEndian.PutUint16(plaintext[6:8], id.Service)
	binary.BigEndian.PutUint16(plaintext[8:10], id.Incarnation)
	// The nonce takes three bytes; the four bytes written begin with the second byte of the incarnation.
	binary.BigEndian.PutUint32(plaintext[9:13], id.Nonce&(1<<NonceBits-1)|uint32(plaintext[9])<<NonceBits)
	dst = append(dst, k.active)
	start := len(dst)
	dst = append(dst, plaintext[:]...)
	k.ciphers[k.active].Encrypt(dst[start:], plaintext[:])
	return dst
}

// Open decrypts an ID and reports false for bytes that were not sealed with a key of this keyring.
func (k *Keyring) Open(sealed []byte) (ID, bool) {
	if len(sealed) != Length || k.ciphers[sealed[0]] == nil {
		return ID{}, false
	}
	var plaintext [aes.BlockSize]byte
	k.ciphers[sealed[0]].Decrypt(plaintext[:], sealed[1:])
	// Seal leaves the last three bytes zero; a forged ID decrypts to zeros there with a probability of only 2^-24.
	if plaintext[13]|plaintext[14]|plaintext[15] != 0 {
		return ID{}, false
	}
	return ID{
		Agent:       netip.AddrPortFrom(netip.AddrFrom4([4]byte(plaintext[0:4])), binary.BigEndian.Uint16(plaintext[4:6])),
		Incarnation: binary.BigEndian.Uint16(plaintext[8:10]),
		Nonce:       binary.BigEndian.Uint32(plaintext[9:13]) & (1<<NonceBits - 1),
		Service:     binary.BigEndian.Uint16(plaintext[6:8]),
	}, true
}
