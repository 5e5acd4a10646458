package port

import (
	"net/netip"
	"time"

	"github.com/cyclamendock/cyclamendock/lib/link"
)

// A Handler handles one datagram, which is valid until it returns.
type Handler func(now time.Time, out *Outlet, datagram []byte, from netip.AddrPort)

// An Inlet gives the datagrams of one socket to a handler.
type Inlet struct {
	Batch  int // datagrams read at once
	Handle Handler
	Outlet *Outlet
	Socket *link.Socket
}

// Loop reads until the socket is closed and returns its error.
func (i Inlet) Loop() error {
	reader := link.NewReaderSize(i.Socket, i.Batch)
	for {
		count, err := reader.Read()
		if err != nil {
			return err
		}
		now := time.Now()
		for n := range count {
			i.Handle(now, i.Outlet, reader.Datagram(n), reader.From(n))
		}
		i.Outlet.Flush()
	}
}
