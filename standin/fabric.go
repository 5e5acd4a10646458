package main

import (
	"net/netip"
	"strings"

	"github.com/cyclamendock/cyclamendock/lib/fault"
	"github.com/cyclamendock/cyclamendock/standin/fabric"
)

type fabricCommand struct {
	Balancer []string `help:"Front address of a balancer, @ and its metrics address, such as 127.0.0.1:7000@127.0.0.1:9464." required:""`
	Seed     uint64   `help:"Seed for the random choice of balancers." default:"1"`
	Service  []string `help:"Address of a service." required:""`
}

// Run distributes callers' datagrams over the balancers until the process is signalled to end.
func (c *fabricCommand) Run() error {
	config := fabric.Config{Seed: c.Seed}
	for _, text := range c.Service {
		address, err := parseAddress(text)
		if err != nil {
			return err
		}
		config.Services = append(config.Services, address)
	}
	for _, text := range c.Balancer {
		front, health, _ := strings.Cut(text, "@")
		frontAddress, err := parseAddress(front)
		if err != nil {
			return err
		}
		healthAddress, err := parseAddress(health)
		if err != nil {
			return err
		}
		config.Balancers = append(config.Balancers, fabric.Balancer{FrontAddress: frontAddress, HealthAddress: healthAddress})
	}
	ctx, stop := signalContext()
	defer stop()
	return fabric.NewFabric(config).Run(ctx)
}

func parseAddress(text string) (netip.AddrPort, error) {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return netip.AddrPort{}, fault.Wrap(err, fault.Invalid, text+" is not an address with a port", "give one such as 127.0.0.1:7000")
	}
	return address, nil
}
