package main

import "github.com/cyclamendock/cyclamendock/lib/udpio"

type relayCommand struct {
	Address string `help:"Address to listen on." required:""`
	To      string `help:"Address to send every datagram to." required:""`
}

// Run forwards datagrams unchanged until the process is signalled to end.
func (c *relayCommand) Run() error {
	address, err := parseAddress(c.Address)
	if err != nil {
		return err
	}
	to, err := parseAddress(c.To)
	if err != nil {
		return err
	}
	socket, err := udpio.Listen(address)
	if err != nil {
		return err
	}
	ctx, stop := signalContext()
	defer stop()
	go func() {
		<-ctx.Done()
		socket.Close()
	}()
	reader, writer := udpio.NewReader(socket), udpio.NewWriter(socket)
	for {
		count, err := reader.Read()
		if err != nil {
			return nil
		}
		for i := range count {
			writer.Add(append(writer.Buffer(), reader.Datagram(i)...), to)
		}
		writer.Flush()
	}
}
