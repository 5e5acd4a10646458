package admin

import "github.com/cyclamendock/cyclamendock/lib/config"

// DrainCommand stops new work for one member.
type DrainCommand struct {
	Member string `arg:"" help:"Name of the backend server's agent or of the balancer."`
}

// Run submits a drain of the member on top of the current version.
func (c *DrainCommand) Run(s *Session) error {
	return s.submitOperations("drain "+c.Member, config.Drain{Member: c.Member})
}
