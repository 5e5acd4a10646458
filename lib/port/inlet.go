package port

import (
	"net/netip"
	"time"

	"github.com/cyclamendock/cyclamendock/lib/link"
)

// A Handler handles one datagram, which is valid only until the handler returns.
type Handler func(now time.Time, out *Outlet, datagram []byte, from netip.AddrPort)

// An Inlet passes the datagrams of one socket to a handler.
type Inlet struct {
	Batch  int // maximum number of datagrams per read
	Handle Handler
	Outlet *Outlet
	Socket *link.Socket
}

// Loop reads until the socket fails or is closed and returns the error; the outlet is flushed after each batch.
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
