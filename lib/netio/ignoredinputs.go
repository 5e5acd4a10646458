package netio

import (
	"time"

	"github.com/cyclamendock/cyclamendock/lib/logs"
	"github.com/cyclamendock/cyclamendock/lib/stats"
)

// ignoredLogsPerSecond limits the log lines about ignored input.
const ignoredLogsPerSecond = 20

// Input is the kind of an ignored input.
type Input string

// The kinds of input that a process may ignore.
const (
	InputAnnouncement  Input = "announcement"
	InputCallerPacket  Input = "callerPacket"
	InputConfiguration Input = "configuration"
	InputMember        Input = "member"
	InputMessage       Input = "message"
	InputObject        Input = "object" // in the store
	InputServerPacket  Input = "serverPacket"
	InputUntrusted     Input = "untrusted" // a message from an address that is not trusted
)

// IgnoredInputs counts and logs input that a process can't use and that has no other effect.
type IgnoredInputs struct {
	limiter *logs.Limiter
	log     *logs.Logger
	stats   *stats.Server
}

// NewIgnoredInputs returns an IgnoredInputs that logs to log and registers its counters at server.
func NewIgnoredInputs(log *logs.Logger, server *stats.Server) *IgnoredInputs {
	return &IgnoredInputs{limiter: logs.NewLimiter(ignoredLogsPerSecond), log: log, stats: server}
}

// Record counts one input and logs the reason with its source, such as an address or a key, unless the log limit is
// reached.
func (i *IgnoredInputs) Record(now time.Time, input Input, source, reason string) {
	i.stats.Counter("cyclamendock_inputs_ignored_total", "input", string(input)).Inc()
	suppressed, ok := i.limiter.Allow(now)
	if !ok {
		return
	}
	i.log.Warn("Input ignored.", logs.Fields{
		"input":      string(input),
		"reason":     reason,
		"source":     source,
		"suppressed": suppressed,
	})
}
