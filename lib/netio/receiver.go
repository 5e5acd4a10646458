package netio

import (
	"net/netip"
	"time"

	"github.com/cyclamendock/cyclamendock/lib/udpio"
)

// Handler handles one datagram, which is valid only until the handler returns.
type Handler func(now time.Time, out *Sender, datagram []byte, from netip.AddrPort)

// Receiver passes the datagrams of one socket to a handler.
type Receiver struct {
	Batch  int // maximum number of datagrams per read
	Handle Handler
	Sender *Sender
	Socket *udpio.Socket
}

// Loop reads until the socket fails or is closed and returns the error; the sender is flushed after each batch.
func (r Receiver) Loop() error {
	reader := udpio.NewReaderSize(r.Socket, r.Batch)
	for {
		count, err := reader.Read()
		if err != nil {
			return err
		}
		now := time.Now()
		for n := range count {
			r.Handle(now, r.Sender, reader.Datagram(n), reader.From(n))
		}
		r.Sender.Flush()
	}
}
