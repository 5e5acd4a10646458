package opers

import "github.com/cyclamendock/cyclamendock/lib/config"

// A DrainCommand takes a member out of new work.
type DrainCommand struct {
	Member string `arg:"" help:"Name of the backend server's agent or of the balancer."`
}

// Run submits the drain against the version in force.
func (c *DrainCommand) Run(s *Session) error {
	return s.submitNow("drain "+c.Member, config.Drain{Member: c.Member})
}
