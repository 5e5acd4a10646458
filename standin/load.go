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
	Duration  time.Duration `help:"How long to make callers." default:"10s"`
	Feeds     int           `help:"Feeds that stay open."`
	Seed      uint64        `help:"Seed of the random choice." default:"1"`
	Server    []string      `help:"Address of a backend server whose records judge the bookings."`
}

// Run prints the report and fails when a promise was broken.
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
	ctx, stop := untilSignal()
	defer stop()
	report := caller.NewLoad(caller.Config{
		Duration: c.Duration,
		Plans: []caller.Plan{{
			Address:            address,
			BookingsPerSecond:  c.Bookings,
			DocumentsPerSecond: c.Documents,
			Feeds:              c.Feeds,
			Name:               "service",
		}},
		Seed:    c.Seed,
		Servers: servers,
	}).Run(ctx)
	return printReport(report)
}
