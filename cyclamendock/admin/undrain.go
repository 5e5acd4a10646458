package admin

import "github.com/cyclamendock/cyclamendock/lib/config"

// UndrainCommand resumes new work for a drained member.
type UndrainCommand struct {
	Member string `arg:"" help:"Name of the backend server's agent or of the balancer."`
}

// Run submits the removal of the member's drain on top of the current version.
func (c *UndrainCommand) Run(s *Session) error {
	return s.submitOperations("undrain "+c.Member, config.Undrain{Member: c.Member})
}
