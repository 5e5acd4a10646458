package listen

import (
	"context"
	"net"
	"net/http"

	"github.com/cyclamendock/cyclamendock/lib/fault"
)

// Server serves HTTP until its context ends.
type Server struct {
	ctx  context.Context
	http *http.Server
}

// Serve serves the handler until the context ends, or returns an Unavailable fault when the address can't be used.
func Serve(ctx context.Context, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return fault.Wrap(err, fault.Unavailable, "the address "+address+" can't be used", "choose a free address of this host")
	}
	s := &Server{ctx: ctx, http: &http.Server{Handler: handler}}
	go s.runClose()
	if err := s.http.Serve(listener); err != http.ErrServerClosed {
		return fault.Wrap(err, fault.Unavailable, "the HTTP server on "+address+" failed", "restart the stand-in")
	}
	return nil
}

// runClose closes the server when the context ends.
func (s *Server) runClose() {
	<-s.ctx.Done()
	_ = s.http.Close()
}
