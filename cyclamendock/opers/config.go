package opers

import (
	"bytes"
	"encoding/json"

	"github.com/cyclamendock/cyclamendock/lib/config"
)

// A ConfigCommand looks at the configuration.
type ConfigCommand struct {
	History ConfigHistoryCommand `cmd:"" help:"List the latest accepted patches."`
	Show    ConfigShowCommand    `cmd:"" help:"Print the version in force without its secrets."`
}

// A ConfigHistoryCommand lists accepted patches.
type ConfigHistoryCommand struct{}

type historyJSON struct {
	Author  string `json:"author"`
	ID      string `json:"id"`
	Note    string `json:"note"`
	Version uint64 `json:"version"`
}

// Run prints a line for each patch, oldest first.
func (c *ConfigHistoryCommand) Run(s *Session) error {
	head, _, err := s.readHead()
	if err != nil {
		return err
	}
	history := make([]historyJSON, 0, len(head.Entries))
	for _, entry := range head.Entries {
		history = append(history, historyJSON{
			Author: entry.Patch.Author, ID: entry.Patch.ID, Note: entry.Patch.Note, Version: entry.Version,
		})
	}
	if s.Root.JSON {
		return json.NewEncoder(s.Out).Encode(history)
	}
	for _, line := range history {
		s.printf("%6d  %-12s %-32s %s\n", line.Version, line.Author, line.ID, line.Note)
	}
	return nil
}

// A ConfigShowCommand prints the configuration.
type ConfigShowCommand struct{}

// Run prints JSON, in one line with --json.
func (c *ConfigShowCommand) Run(s *Session) error {
	_, current, err := s.readHead()
	if err != nil {
		return err
	}
	b := config.EncodeRedacted(current)
	if s.Root.JSON {
		s.printf("%s\n", b)
		return nil
	}
	var indented bytes.Buffer
	if err := json.Indent(&indented, b, "", "  "); err != nil {
		return err
	}
	s.printf("%s\n", indented.String())
	return nil
}

// readHead returns the head and the whole configuration that it names.
func (s *Session) readHead() (config.Head, config.Config, error) {
	_, platform, err := s.open()
	if err != nil {
		return config.Head{}, config.Config{}, err
	}
	ctx, cancel := withTimeout()
	defer cancel()
	head, _, err := config.ReadHead(ctx, platform)
	if err != nil {
		return config.Head{}, config.Config{}, err
	}
	current, err := config.Materialize(ctx, platform, head)
	return head, current, err
}
