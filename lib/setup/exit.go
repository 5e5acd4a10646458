package setup

import "github.com/cyclamendock/cyclamendock/lib/fault"

// Version is the version of all programs.
const Version = "0.1.0"

// Exit codes of the programs.
const (
	// ExitFailed means that the command failed for a reason without a code of its own; a later attempt may succeed.
	ExitFailed = 1
	// ExitInvalid means that settings, arguments or a patch are invalid.
	ExitInvalid = 2
	// ExitStale means that a patch is based on an outdated version of the configuration.
	ExitStale = 3
	// ExitUnavailable means that the platform or a balancer can't be reached.
	ExitUnavailable = 4
)

// ExitCode returns the exit code for an error, 0 for nil.
func ExitCode(err error) int {
	switch {
	case err == nil:
		return 0
	case fault.Is(err, fault.Invalid):
		return ExitInvalid
	case fault.Is(err, fault.Stale):
		return ExitStale
	case fault.Is(err, fault.Unavailable), fault.Is(err, fault.Missing):
		return ExitUnavailable
	default:
		return ExitFailed
	}
}
