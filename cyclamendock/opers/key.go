package opers

import (
	"crypto/rand"

	"github.com/cyclamendock/cyclamendock/lib/config"
	"github.com/cyclamendock/cyclamendock/lib/connid"
	"github.com/cyclamendock/cyclamendock/lib/fault"
)

// A KeyCommand rotates the keys of connection IDs.
type KeyCommand struct {
	Remove KeyRemoveCommand `cmd:"" help:"Forget a key once no flow uses it any more."`
	Rotate KeyRotateCommand `cmd:"" help:"Add a new key and make it active; old ones stay valid."`
}

// A KeyRotateCommand adds and activates a new key.
type KeyRotateCommand struct {
	Number uint8 `arg:"" help:"Number of the new key, not in use yet."`
}

// Run draws a secret and submits it.
func (c *KeyRotateCommand) Run(s *Session) error {
	secret := make([]byte, connid.SecretLength)
	if _, err := rand.Read(secret); err != nil {
		return fault.Wrap(err, fault.Internal, "no randomness for a key", "check the host's random device")
	}
	return s.submitNow("rotate the connection ID key",
		config.AddKey{Key: config.Key{Number: c.Number, Secret: secret}},
		config.ActivateKey{Number: c.Number},
	)
}

// A KeyRemoveCommand forgets a key.
type KeyRemoveCommand struct {
	Number uint8 `arg:"" help:"Number of the key."`
}

// Run submits the removal.
func (c *KeyRemoveCommand) Run(s *Session) error {
	return s.submitNow("remove a connection ID key", config.RemoveKey{Number: c.Number})
}
