package opers

import "github.com/cyclamendock/cyclamendock/lib/config"

// An UndrainCommand gives a drained member new work again.
type UndrainCommand struct {
	Member string `arg:"" help:"Name of the backend server's agent or of the balancer."`
}

// Run submits the end of the drain against the version in force.
func (c *UndrainCommand) Run(s *Session) error {
	return s.submitNow("undrain "+c.Member, config.Undrain{Member: c.Member})
}
