package flow

import (
	"context"

	"github.com/quic-go/quic-go"

	"github.com/cyclamendock/cyclamendock/lib/fault"
)

// A refuser answers the openings that no agent takes.
type refuser struct {
	conn      *packetConn
	listener  *quic.Listener
	transport *quic.Transport
}

func newRefuser(endpoint *Endpoint, config Config) (*refuser, error) {
	r := &refuser{conn: newPacketConn(endpoint, config.Address)}
	r.transport = &quic.Transport{Conn: r.conn, ConnContext: refuseFlow}
	listener, err := r.transport.Listen(config.TLS, nil)
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "the QUIC endpoint can't start", "check certificate and key")
	}
	r.listener = listener
	return r, nil
}

func refuseFlow(context.Context, *quic.ClientInfo) (context.Context, error) {
	return nil, fault.New(fault.Unavailable, "no backend server takes the flow", "try again later")
}

func (r *refuser) close() {
	_ = r.listener.Close()
	_ = r.transport.Close()
	_ = r.conn.Close()
}
