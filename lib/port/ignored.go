package port

import (
	"time"

	"github.com/cyclamendock/cyclamendock/lib/logs"
	"github.com/cyclamendock/cyclamendock/lib/stats"
)

// ignoredLines is how many lines about input that was ignored are logged each second.
const ignoredLines = 20

// An Input names where something came from that a process can't use.
type Input string

// The inputs of the processes.
const (
	InputAnnouncement  Input = "announcement"
	InputCallerPacket  Input = "callerPacket"
	InputConfiguration Input = "configuration"
	InputMember        Input = "member"
	InputMessage       Input = "message"
	InputServerPacket  Input = "serverPacket"
	InputUntrusted     Input = "untrusted" // a message of an address that is not trusted
)

// Ignored counts and logs input that a process can't use; what is ignored changes nothing else.
type Ignored struct {
	limiter *logs.Limiter
	log     *logs.Logger
	stats   *stats.Server
}

// NewIgnored returns the counts of a process, which its metrics serve.
func NewIgnored(log *logs.Logger, server *stats.Server) *Ignored {
	return &Ignored{limiter: logs.NewLimiter(ignoredLines), log: log, stats: server}
}

// Note counts one input and logs the reason with its source, such as an address or a key, unless too many lines came.
func (i *Ignored) Note(now time.Time, input Input, source, reason string) {
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
