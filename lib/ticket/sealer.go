package ticket

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/rand"
	"encoding/base64"
	"encoding/binary"
	"net/netip"

	"github.com/cyclamendock/cyclamendock/lib/fault"
	"github.com/cyclamendock/cyclamendock/lib/proto"
)

// SecretLength is the size of a Sealer's secret in bytes.
const SecretLength = 16

const plaintextLength = 8 + 8 + 8 + 2 // BootID, Issuer, Sequence and Service

// Ticket identifies a request and the agent process that may run it.
type Ticket struct {
	BootID   uint64         // identifies the issuing process among all that have used the address
	Issuer   netip.AddrPort // address of the issuing agent
	Sequence uint64
	Service  uint16
}

// Sealer encrypts tickets to text that callers cannot forge.
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
		return nil, fault.Wrap(err, fault.Internal, "the ticket cipher can't be created", "report this")
	}
	return &Sealer{aead: aead}, nil
}

// Seal returns the encrypted ticket as URL-safe text, or an Internal fault when the host provides no randomness.
func (s *Sealer) Seal(t Ticket) (string, error) {
	nonce := make([]byte, s.aead.NonceSize(), s.aead.NonceSize()+plaintextLength+s.aead.Overhead())
	if _, err := rand.Read(nonce); err != nil {
		return "", fault.Wrap(err, fault.Internal, "no randomness for a ticket", "check the host's random device")
	}
	plaintext := make([]byte, 0, plaintextLength)
	plaintext = binary.BigEndian.AppendUint64(plaintext, t.BootID)
	plaintext = binary.BigEndian.AppendUint64(plaintext, proto.PackAddress(t.Issuer))
	plaintext = binary.BigEndian.AppendUint64(plaintext, t.Sequence)
	plaintext = binary.BigEndian.AppendUint16(plaintext, t.Service)
	return base64.RawURLEncoding.EncodeToString(s.aead.Seal(nonce, nonce, plaintext, nil)), nil
}

// Open decrypts a ticket, or returns an Invalid fault when the text was not sealed with the same secret.
func (s *Sealer) Open(text string) (Ticket, error) {
	sealed, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil || len(sealed) != s.aead.NonceSize()+plaintextLength+s.aead.Overhead() {
		return Ticket{}, invalidTicket()
	}
	nonce := sealed[:s.aead.NonceSize()]
	plaintext, err := s.aead.Open(nil, nonce, sealed[len(nonce):], nil)
	if err != nil {
		return Ticket{}, invalidTicket()
	}
	return Ticket{
		BootID:   binary.BigEndian.Uint64(plaintext[0:8]),
		Issuer:   proto.UnpackAddress(binary.BigEndian.Uint64(plaintext[8:16])),
		Sequence: binary.BigEndian.Uint64(plaintext[16:24]),
		Service:  binary.BigEndian.Uint16(plaintext[24:26]),
	}, nil
}

func invalidTicket() error {
	return fault.New(
		fault.Invalid, "the ticket was not issued by this system", "get a new ticket and send the request with it",
	)
}
