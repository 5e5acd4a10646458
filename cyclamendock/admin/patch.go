package admin

import (
	"crypto/rand"
	"encoding/json"
	"os"
	"os/user"

	"github.com/cyclamendock/cyclamendock/lib/config"
	"github.com/cyclamendock/cyclamendock/lib/fault"
)

// PatchCommand groups the commands that change the configuration.
type PatchCommand struct {
	Apply PatchApplyCommand `cmd:"" help:"Submit a patch; resubmitting the same ID gives the same result."`
}

// PatchApplyCommand submits one patch.
type PatchApplyCommand struct {
	File string `arg:"" help:"Path of the patch, a JSON file." type:"existingfile"`
}

// Run submits the patch and prints the version that it created.
func (c *PatchApplyCommand) Run(s *Session) error {
	content, err := os.ReadFile(c.File)
	if err != nil {
		return fault.Wrap(err, fault.Invalid, "the patch can't be read", "give the path of a readable file")
	}
	patch, err := config.DecodePatch(content)
	if err != nil {
		return err
	}
	return s.submit(patch)
}

type submitResultJSON struct {
	ID       string `json:"id"`
	Repeated bool   `json:"repeated"`
	Version  uint64 `json:"version"`
}

// submit submits the patch and prints the version that it created.
func (s *Session) submit(patch config.Patch) error {
	_, platform, err := s.openPlatform()
	if err != nil {
		return err
	}
	ctx, cancel := newCallContext()
	defer cancel()
	result, err := config.Submit(ctx, platform, patch)
	if err != nil {
		return err
	}
	if s.Root.JSON {
		return json.NewEncoder(s.Out).Encode(submitResultJSON{ID: patch.ID, Repeated: result.Repeated, Version: result.Version})
	}
	if result.Repeated {
		s.printf("Patch %s was accepted before, as version %d.\n", patch.ID, result.Version)
		return nil
	}
	s.printf("Patch %s is accepted as version %d.\n", patch.ID, result.Version)
	return nil
}

// submitOperations submits operations as a patch on top of the current version.
func (s *Session) submitOperations(note string, operations ...config.Operation) error {
	_, platform, err := s.openPlatform()
	if err != nil {
		return err
	}
	ctx, cancel := newCallContext()
	defer cancel()
	head, _, err := config.ReadHead(ctx, platform)
	if err != nil {
		return err
	}
	return s.submit(config.Patch{
		Author:     currentUser(),
		Base:       head.Version,
		ID:         "cli-" + rand.Text(),
		Note:       note,
		Operations: operations,
	})
}

func currentUser() string {
	current, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return current.Username
}
