package daemon

import (
	"context"
	"os"
	"time"

	"github.com/cyclamendock/cyclamendock/lib/clock"
	"github.com/cyclamendock/cyclamendock/lib/logs"
	"github.com/cyclamendock/cyclamendock/lib/peer"
	"github.com/cyclamendock/cyclamendock/lib/setup"
	"github.com/cyclamendock/cyclamendock/lib/stats"
	"github.com/cyclamendock/cyclamendock/lib/store"
	"github.com/cyclamendock/cyclamendock/lib/trace"
	"github.com/cyclamendock/cyclamendock/lib/trust"
)

// ComponentsConfig configures Components.
type ComponentsConfig struct {
	Healthy         func() error // returns why the health endpoint should report a failure, or nil
	Name            string       // program name, the prefix of log lines
	Settings        setup.DaemonSettings
	TimerResolution time.Duration
}

// Components holds the components that the daemons have in common.
type Components struct {
	Clock  *clock.Ticker
	Ctx    context.Context // cancelled by Stop
	Log    *logs.Logger
	Peers  *peer.Client
	Stats  *stats.Server
	Stop   context.CancelFunc
	Store  store.Store
	Tracer *trace.Tracer
	Trust  *trust.Allowlist
}

// NewComponents returns components that are not started yet, or an Invalid fault when the trace output can't be opened.
func NewComponents(config ComponentsConfig) (Components, error) {
	settings := config.Settings
	tracer, err := trace.NewTracer(trace.Config{
		Output:  settings.Trace.Output,
		Process: settings.Name,
		Ratio:   settings.Trace.Ratio,
	})
	if err != nil {
		return Components{}, err
	}
	ctx, stop := context.WithCancel(context.Background())
	return Components{
		Clock:  clock.NewTicker(config.TimerResolution),
		Ctx:    ctx,
		Log:    logs.New(logs.Config{Format: settings.Log.Format, Level: settings.Log.Level, Writer: os.Stderr}, config.Name),
		Peers:  peer.NewClient(),
		Stats:  stats.NewServer(stats.Config{Address: settings.Metrics, Healthy: config.Healthy}),
		Stop:   stop,
		Store:  store.NewClient(store.ClientConfig{URL: settings.PlatformURL}),
		Tracer: tracer,
		Trust:  trust.NewAllowlist(settings.TrustedNetworks),
	}, nil
}

// Close stops and closes the components; call Stop first.
func (c *Components) Close() {
	c.Clock.Stop()
	c.Stats.Close()
	c.Peers.Close()
	c.Tracer.Close()
}
