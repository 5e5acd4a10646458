package flow

import (
	"context"

	"github.com/quic-go/quic-go"

	"github.com/cyclamendock/cyclamendock/lib/fault"
)

// rejectListener refuses the new flows that no agent accepts, with a QUIC error instead of silence.
type rejectListener struct {
	conn      *packetConn
	listener  *quic.Listener
	transport *quic.Transport
}

func newRejectListener(endpoint *Endpoint, config Config) (*rejectListener, error) {
	r := &rejectListener{conn: newPacketConn(endpoint, config.Address)}
	r.transport = &quic.Transport{Conn: r.conn, ConnContext: rejectFlow}
	listener, err := r.transport.Listen(config.TLS, nil)
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "the QUIC endpoint can't start", "check certificate and key")
	}
	r.listener = listener
	return r, nil
}

func rejectFlow(context.Context, *quic.ClientInfo) (context.Context, error) {
	return nil, fault.New(fault.Unavailable, "no backend server accepts the flow", "try again later")
}

func (r *rejectListener) close() {
	_ = r.listener.Close()
	_ = r.transport.Close()
	_ = r.conn.Close()
}
