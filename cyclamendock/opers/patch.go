package opers

import (
	"crypto/rand"
	"encoding/json"
	"os"
	"os/user"

	"github.com/cyclamendock/cyclamendock/lib/config"
	"github.com/cyclamendock/cyclamendock/lib/fault"
)

// A PatchCommand changes the configuration.
type PatchCommand struct {
	Apply PatchApplyCommand `cmd:"" help:"Submit a patch; the same ID again gives the same answer."`
}

// A PatchApplyCommand submits one patch.
type PatchApplyCommand struct {
	File string `arg:"" help:"Path of the JSON patch." type:"existingfile"`
}

// Run prints the version that the patch made.
func (c *PatchApplyCommand) Run(s *Session) error {
	b, err := os.ReadFile(c.File)
	if err != nil {
		return fault.Wrap(err, fault.Invalid, "the patch can't be read", "give the path of a readable file")
	}
	patch, err := config.DecodePatch(b)
	if err != nil {
		return err
	}
	return s.submit(patch)
}

type resultJSON struct {
	ID       string `json:"id"`
	Repeated bool   `json:"repeated"`
	Version  uint64 `json:"version"`
}

// submit makes the patch the next version and prints it.
func (s *Session) submit(patch config.Patch) error {
	_, platform, err := s.open()
	if err != nil {
		return err
	}
	ctx, cancel := withTimeout()
	defer cancel()
	result, err := config.Submit(ctx, platform, patch)
	if err != nil {
		return err
	}
	if s.Root.JSON {
		return json.NewEncoder(s.Out).Encode(resultJSON{ID: patch.ID, Repeated: result.Repeated, Version: result.Version})
	}
	if result.Repeated {
		s.printf("Patch %s was accepted before, as version %d.\n", patch.ID, result.Version)
		return nil
	}
	s.printf("Patch %s is accepted as version %d.\n", patch.ID, result.Version)
	return nil
}

// submitNow submits operations against the version in force.
func (s *Session) submitNow(note string, operations ...config.Operation) error {
	_, platform, err := s.open()
	if err != nil {
		return err
	}
	ctx, cancel := withTimeout()
	defer cancel()
	head, _, err := config.ReadHead(ctx, platform)
	if err != nil {
		return err
	}
	return s.submit(config.Patch{
		Author:     author(),
		Base:       head.Version,
		ID:         "cli-" + rand.Text(),
		Note:       note,
		Operations: operations,
	})
}

func author() string {
	current, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return current.Username
}
