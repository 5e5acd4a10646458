package main

import (
	"time"

	"github.com/cyclamendock/cyclamendock/lib/trace"
	"github.com/cyclamendock/cyclamendock/standin/server"
)

type serverCommand struct {
	Address string        `help:"Address to listen on." required:""`
	ColdFor time.Duration `help:"How long it is slow after its start." default:"0s"`
	Name    string        `help:"Name in answers." required:""`
	Slots   int           `help:"Requests that run at once." default:"7"`
	Trace   string        `help:"File for spans, stderr or off." default:"off"`
	Typical time.Duration `help:"Time of one request while cool." default:"20ms"`
}

// Run serves until the process is told to end.
func (c *serverCommand) Run() error {
	tracer, err := trace.NewTracer(trace.Config{Output: c.Trace, Process: "server-" + c.Name, Ratio: 1})
	if err != nil {
		return err
	}
	defer tracer.Close()
	ctx, stop := untilSignal()
	defer stop()
	s := server.NewServer(server.Config{
		ColdFor: c.ColdFor, Name: c.Name, Slots: c.Slots, Tracer: tracer, Typical: c.Typical,
	})
	return s.Run(ctx, c.Address)
}
