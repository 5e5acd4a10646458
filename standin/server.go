package main

import (
	"time"

	"github.com/cyclamendock/cyclamendock/lib/trace"
	"github.com/cyclamendock/cyclamendock/standin/server"
)

type serverCommand struct {
	Address string        `help:"Address to listen on." required:""`
	ColdFor time.Duration `help:"How long the backend server is slow after its start." default:"0s"`
	Name    string        `help:"Name of the backend server in its responses." required:""`
	Slots   int           `help:"Number of requests that run at once." default:"7"`
	Trace   string        `help:"File for trace spans, or stderr or off." default:"off"`
	Typical time.Duration `help:"Service time of one request at normal speed." default:"20ms"`
}

// Run serves requests until the process is signalled to end.
func (c *serverCommand) Run() error {
	tracer, err := trace.NewTracer(trace.Config{Output: c.Trace, Process: "server-" + c.Name, Ratio: 1})
	if err != nil {
		return err
	}
	defer tracer.Close()
	ctx, stop := signalContext()
	defer stop()
	s := server.NewServer(server.Config{
		Name: c.Name, ServiceTime: c.Typical, Slots: c.Slots, Tracer: tracer, WarmupDuration: c.ColdFor,
	})
	return s.Run(ctx, c.Address)
}
