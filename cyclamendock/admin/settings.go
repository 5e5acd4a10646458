package admin

import (
	"net/netip"

	"github.com/cyclamendock/cyclamendock/lib/setup"
)

// Settings holds the validated settings of the operators' command line.
type Settings struct {
	Balancers   []netip.AddrPort // queried by the status command
	PlatformURL string
}

type settingsJSON struct {
	Balancers   []string `json:"balancers"`
	PlatformURL string   `json:"platformUrl"`
}

// LoadSettings reads and validates a settings file, or returns an Invalid fault that names the key.
func LoadSettings(path string) (Settings, error) {
	var raw settingsJSON
	if err := setup.Load(path, &raw); err != nil {
		return Settings{}, err
	}
	checker := setup.NewChecker(path)
	settings := Settings{
		Balancers:   checker.Addresses("balancers", raw.Balancers),
		PlatformURL: checker.Required("platformUrl", raw.PlatformURL),
	}
	if len(raw.Balancers) == 0 {
		checker.Fail("balancers", "is empty", "name at least one balancer")
	}
	return settings, checker.Err()
}
