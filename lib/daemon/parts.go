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

// A PartsConfig holds what Parts are built from.
type PartsConfig struct {
	Healthy         func() error // for the health endpoint
	Name            string       // of the program, for its logs
	Process         setup.Process
	TimerResolution time.Duration
}

// Parts are what every node is made of.
type Parts struct {
	Calls    *peer.Client
	Clock    *clock.Service
	Ctx      context.Context // ends with the node
	Log      *logs.Logger
	Platform store.Store
	Stats    *stats.Server
	Stop     context.CancelFunc
	Tracer   *trace.Tracer
	Trust    *trust.List
}

// NewParts returns parts that do not run yet, or an Unavailable fault when traces can't be written.
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

// Close ends what the parts run; Stop comes before it.
func (p *Parts) Close() {
	p.Clock.Stop()
	p.Stats.Close()
	p.Calls.Close()
	p.Tracer.Close()
}
