package ticket

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/rand"
	"encoding/base64"
	"encoding/binary"
	"net/netip"

	"github.com/cyclamendock/cyclamendock/lib/fault"
	"github.com/cyclamendock/cyclamendock/lib/fields"
)

// SecretLength is the size of a sealing secret in bytes.
const SecretLength = 16

const plainLength = 8 + 8 + 8 + 2

// A Ticket names the one agent process that may run a request.
type Ticket struct {
	Boot     uint64 // the issuer's process
	Issuer   netip.AddrPort
	Sequence uint64
	Service  uint16
}

// A Sealer turns tickets into text that callers can carry but not make.
type Sealer struct {
	aead cipher.AEAD
}

// NewSealer returns a sealer, or an Invalid fault when the secret has the wrong size.
func NewSealer(secret []byte) (*Sealer, error) {
	if len(secret) != SecretLength {
		return nil, fault.New(fault.Invalid, "the ticket secret has the wrong size", "give a secret of 16 bytes")
	}
	block, err := aes.NewCipher(secret)
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "the ticket secret is unusable", "give a secret of 16 bytes")
	}
	aead, err := cipher.NewGCM(block)
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "the ticket cipher can't be made", "report this")
	}
	return &Sealer{aead: aead}, nil
}

// Seal returns the ticket's text, or an Internal fault when the system has no randomness.
func (s *Sealer) Seal(t Ticket) (string, error) {
	nonce := make([]byte, s.aead.NonceSize(), s.aead.NonceSize()+plainLength+s.aead.Overhead())
	if _, err := rand.Read(nonce); err != nil {
		return "", fault.Wrap(err, fault.Internal, "no randomness for a ticket", "check the host's random device")
	}
	plain := make([]byte, 0, plainLength)
	plain = binary.BigEndian.AppendUint64(plain, t.Boot)
	plain = binary.BigEndian.AppendUint64(plain, fields.PackAddress(t.Issuer))
	plain = binary.BigEndian.AppendUint64(plain, t.Sequence)
	plain = binary.BigEndian.AppendUint16(plain, t.Service)
	return base64.RawURLEncoding.EncodeToString(s.aead.Seal(nonce, nonce, plain, nil)), nil
}

// Open returns the ticket of a text, or an Invalid fault when this system did not seal it.
func (s *Sealer) Open(text string) (Ticket, error) {
	sealed, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil || len(sealed) != s.aead.NonceSize()+plainLength+s.aead.Overhead() {
		return Ticket{}, malformed()
	}
	nonce := sealed[:s.aead.NonceSize()]
	plain, err := s.aead.Open(nil, nonce, sealed[len(nonce):], nil)
	if err != nil {
		return Ticket{}, malformed()
	}
	return Ticket{
		Boot:     binary.BigEndian.Uint64(plain[0:8]),
		Issuer:   fields.UnpackAddress(binary.BigEndian.Uint64(plain[8:16])),
		Sequence: binary.BigEndian.Uint64(plain[16:24]),
		Service:  binary.BigEndian.Uint16(plain[24:26]),
	}, nil
}

func malformed() error {
	return fault.New(fault.Invalid, "the ticket is not one of ours", "ask for a new ticket and send the request with it")
}
