package admin

import (
	"bytes"
	"encoding/json"

	"github.com/cyclamendock/cyclamendock/lib/config"
)

// ConfigCommand groups the commands that read the configuration.
type ConfigCommand struct {
	Check   ConfigCheckCommand   `cmd:"" help:"Check a patch or a configuration before it is sent."`
	History ConfigHistoryCommand `cmd:"" help:"List the most recently accepted patches."`
	Show    ConfigShowCommand    `cmd:"" help:"Print the current configuration without its secrets."`
}

// ConfigHistoryCommand lists the patches accepted since the latest snapshot.
type ConfigHistoryCommand struct{}

type historyEntryJSON struct {
	Author  string `json:"author"`
	ID      string `json:"id"`
	Note    string `json:"note"`
	Version uint64 `json:"version"`
}

// Run prints one line per patch, or a JSON array with --json, oldest first.
func (c *ConfigHistoryCommand) Run(s *Session) error {
	head, _, err := s.readHead()
	if err != nil {
		return err
	}
	history := make([]historyEntryJSON, 0, len(head.Entries))
	for _, accepted := range head.Entries {
		history = append(history, historyEntryJSON{
			Author: accepted.Patch.Author, ID: accepted.Patch.ID, Note: accepted.Patch.Note, Version: accepted.Version,
		})
	}
	if s.Root.JSON {
		return json.NewEncoder(s.Out).Encode(history)
	}
	for _, entry := range history {
		s.printf("%6d  %-12s %-32s %s\n", entry.Version, entry.Author, entry.ID, entry.Note)
	}
	return nil
}

// ConfigShowCommand prints the current configuration.
type ConfigShowCommand struct{}

// Run prints the configuration without secrets as indented JSON, or on one line with --json.
func (c *ConfigShowCommand) Run(s *Session) error {
	_, current, err := s.readHead()
	if err != nil {
		return err
	}
	encoded := config.EncodeRedactedConfig(current)
	if s.Root.JSON {
		s.printf("%s\n", encoded)
		return nil
	}
	var indented bytes.Buffer
	if err := json.Indent(&indented, encoded, "", "  "); err != nil {
		return err
	}
	s.printf("%s\n", indented.String())
	return nil
}

// readHead returns the stored head and the full configuration that it describes.
func (s *Session) readHead() (config.Head, config.Config, error) {
	_, platform, err := s.openPlatform()
	if err != nil {
		return config.Head{}, config.Config{}, err
	}
	ctx, cancel := newCallContext()
	defer cancel()
	head, _, err := config.ReadHead(ctx, platform)
	if err != nil {
		return config.Head{}, config.Config{}, err
	}
	current, err := config.Materialize(ctx, platform, head)
	return head, current, err
}
