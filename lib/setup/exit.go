package setup

import "github.com/cyclamendock/cyclamendock/lib/fault"

// Version is the version that the programs print.
const Version = "0.1.0"

// Exit codes of the programs.
const (
	// ExitFailed means that something went wrong that may go right later.
	ExitFailed = 1
	// ExitInvalid means that settings, arguments or a patch are refused as they are.
	ExitInvalid = 2
	// ExitStale means that a patch was made for an older version.
	ExitStale = 3
	// ExitUnavailable means that the platform or a balancer does not answer.
	ExitUnavailable = 4
)

// ExitCode returns the exit code for an error.
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
