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

// A PartsConfig configures Parts.
type PartsConfig struct {
	Healthy         func() error // returns why the health endpoint should report a failure, or nil
	Name            string       // program name, the prefix of log lines
	Process         setup.Process
	TimerResolution time.Duration
}

// Parts are the components that every node uses.
type Parts struct {
	Calls    *peer.Client
	Clock    *clock.Service
	Ctx      context.Context // cancelled by Stop
	Log      *logs.Logger
	Platform store.Store
	Stats    *stats.Server
	Stop     context.CancelFunc
	Tracer   *trace.Tracer
	Trust    *trust.List
}

// NewParts returns parts that are not started yet, or an Invalid fault when the trace output can't be opened.
func NewParts(config PartsConfig) (Parts, error) {
	process := config.Process
	tracer, err := trace.NewTracer(trace.Config{
		Output:  process.Trace.Output,
		Process: process.Name,
		Ratio:   process.Trace.Ratio,
	})
	if err != nil {
		return Parts{}, err
	}
	ctx, stop := context.WithCancel(context.Background())
	return Parts{
		Calls:    peer.NewClient(),
		Clock:    clock.NewService(config.TimerResolution),
		Ctx:      ctx,
		Log:      logs.New(logs.Config{Format: process.Log.Format, Level: process.Log.Level, Writer: os.Stderr}, config.Name),
		Platform: store.NewClient(store.ClientConfig{URL: process.PlatformURL}),
		Stats:    stats.NewServer(stats.Config{Address: process.Metrics, Healthy: config.Healthy}),
		Stop:     stop,
		Tracer:   tracer,
		Trust:    trust.NewList(process.TrustedNetworks),
	}, nil
}

// Close stops and closes the parts; call Stop first.
func (p *Parts) Close() {
	p.Clock.Stop()
	p.Stats.Close()
	p.Calls.Close()
	p.Tracer.Close()
}
