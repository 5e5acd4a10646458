package admin

import (
	agent "github.com/cyclamendock/cyclamendock/agent/node"
	balancer "github.com/cyclamendock/cyclamendock/balancer/node"
)

// SettingsCommand groups the commands for settings files.
type SettingsCommand struct {
	Check SettingsCheckCommand `cmd:"" help:"Check a settings file without starting a process."`
}

// SettingsCheckCommand checks one settings file.
type SettingsCheckCommand struct {
	File    string `arg:"" help:"Path of the settings file." type:"path"`
	Program string `help:"Program that reads the settings." enum:"agent,balancer,cyclamendock" default:"balancer"`
}

// Run prints that the settings are valid, or returns an Invalid fault that names the key and the remedy.
func (c *SettingsCheckCommand) Run(s *Session) error {
	var err error
	switch c.Program {
	case "agent":
		_, err = agent.LoadSettings(c.File)
	case "balancer":
		_, err = balancer.LoadSettings(c.File)
	default:
		_, err = LoadSettings(c.File)
	}
	if err != nil {
		return err
	}
	if s.Root.JSON {
		s.printf("{\"good\":true}\n")
		return nil
	}
	s.printf("%s is good for %s.\n", c.File, c.Program)
	return nil
}
