package zones

import "github.com/cyclamendock/cyclamendock/lib/store"

// Own is what an agent knows about its own availability zone. The zero Own accepts new flows until a balancer states otherwise.
type Own struct {
	evacuated bool
	known     bool
	version   store.Version
}

// Apply records what a balancer states, unless this is not later than what is known, and reports whether it was recorded.
func (o *Own) Apply(version store.Version, evacuated bool) bool {
	if o.known && version.Compare(o.version) <= 0 {
		return false
	}
	o.evacuated, o.known, o.version = evacuated, true, version
	return true
}

// Evacuated reports whether the agent accepts no new flow.
func (o *Own) Evacuated() bool { return o.evacuated }

// Version returns the store's version at which that was stated; zero when none was.
func (o *Own) Version() store.Version { return o.version }
