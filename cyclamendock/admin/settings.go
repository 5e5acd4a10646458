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
	check := setup.NewChecker(path)
	settings := Settings{
		Balancers:   check.Addresses("balancers", raw.Balancers),
		PlatformURL: check.Required("platformUrl", raw.PlatformURL),
	}
	if len(raw.Balancers) == 0 {
		check.Fail("balancers", "is empty", "name at least one balancer")
	}
	return settings, check.Err()
}
