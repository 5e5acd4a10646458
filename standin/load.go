package main

import (
	"net/netip"
	"time"

	"github.com/cyclamendock/cyclamendock/standin/caller"
)

type loadCommand struct {
	Address   string        `help:"Address of the service." required:""`
	Bookings  float64       `help:"Bookings per second."`
	Documents float64       `help:"Documents per second."`
	Duration  time.Duration `help:"How long to generate load." default:"10s"`
	Feeds     int           `help:"Number of feeds that stay open."`
	Seed      uint64        `help:"Seed for the callers' random choices." default:"1"`
	Server    []string      `help:"Address of a backend server whose records are compared with the outcomes of bookings."`
}

// Run generates load, prints the report and fails when an invariant was violated.
func (c *loadCommand) Run() error {
	address, err := parseAddress(c.Address)
	if err != nil {
		return err
	}
	var servers []netip.AddrPort
	for _, text := range c.Server {
		server, err := parseAddress(text)
		if err != nil {
			return err
		}
		servers = append(servers, server)
	}
	ctx, stop := signalContext()
	defer stop()
	report := caller.NewGenerator(caller.Config{
		Duration: c.Duration,
		Seed:     c.Seed,
		Servers:  servers,
		Services: []caller.ServiceLoad{{
			Address:            address,
			BookingsPerSecond:  c.Bookings,
			DocumentsPerSecond: c.Documents,
			Feeds:              c.Feeds,
			Name:               "service",
		}},
	}).Run(ctx)
	return printReport(report)
}
