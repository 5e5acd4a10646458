package admin

import (
	"crypto/rand"

	"github.com/cyclamendock/cyclamendock/lib/config"
	"github.com/cyclamendock/cyclamendock/lib/connid"
	"github.com/cyclamendock/cyclamendock/lib/fault"
)

// KeyCommand groups the commands that manage the keys of connection IDs.
type KeyCommand struct {
	Remove KeyRemoveCommand `cmd:"" help:"Remove a key that no flow uses any more."`
	Rotate KeyRotateCommand `cmd:"" help:"Add a new key and activate it; older keys stay valid."`
}

// KeyRotateCommand adds and activates a new key.
type KeyRotateCommand struct {
	Number uint8 `arg:"" help:"Number of the new key; it must be unused."`
}

// Run generates a random secret and submits it as the new active key.
func (c *KeyRotateCommand) Run(s *Session) error {
	secret := make([]byte, connid.SecretLength)
	if _, err := rand.Read(secret); err != nil {
		return fault.Wrap(err, fault.Internal, "the random secret of the key can't be generated", "check the host's random device")
	}
	return s.submitOperations("rotate the connection ID key",
		config.AddKey{Key: config.Key{Number: c.Number, Secret: secret}},
		config.ActivateKey{Number: c.Number},
	)
}

// KeyRemoveCommand removes a key.
type KeyRemoveCommand struct {
	Number uint8 `arg:"" help:"Number of the key."`
}

// Run submits the removal of the key.
func (c *KeyRemoveCommand) Run(s *Session) error {
	return s.submitOperations("remove a connection ID key", config.RemoveKey{Number: c.Number})
}
