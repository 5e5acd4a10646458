package tuple

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"
)

// The ways in which a request fails.
var (
	// ErrNotOpened means that the flow never opened, so that nothing ran.
	ErrNotOpened = errors.New("the flow did not open")
	// ErrReset means that an open flow was reset.
	ErrReset = errors.New("the flow was reset")
	// ErrTimeout means that no whole response came in time.
	ErrTimeout = errors.New("no whole response came in time")
	// ErrWrong means that a packet or a response is not what the backend server sent.
	ErrWrong = errors.New("the response is wrong")
)

// A Flow is a caller's end of one flow.
type Flow struct {
	ack     uint32 // next byte expected of the backend server
	address netip.AddrPort
	conn    *net.UDPConn
	open    bool
	route   netip.AddrPort
	routers *Routers
	seq     uint32
}

// openPauses are the times between the copies of an opening packet, and until the caller gives up.
var openPauses = []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond}

// Open opens a flow to a route, or returns ErrNotOpened.
func (r *Routers) Open(route netip.AddrPort) (*Flow, error) {
	f, err := r.newFlow(route)
	if err != nil {
		return nil, err
	}
	for _, pause := range openPauses {
		f.send(Syn, nil)
		packet, err := f.receive(time.Now().Add(pause))
		switch {
		case errors.Is(err, ErrTimeout):
			continue
		case err != nil || packet.Flags&Reset != 0:
			f.Close()
			return nil, ErrNotOpened
		case packet.Flags == Syn|Ack:
			f.seq++
			f.ack = packet.Seq + 1
			f.open = true
			f.send(Ack, nil)
			return f, nil
		}
	}
	f.Close()
	return nil, ErrNotOpened
}

// Get sends a request over the flow and returns nil once the whole response has come.
func (f *Flow) Get(id string, size int, limit time.Duration) error {
	deadline := time.Now().Add(limit)
	request := fmt.Appendf(nil, "GET %s %d\n", id, size)
	var body []byte
	pause := resendPause
	requested := false // the backend server has the request
	for len(body) < size {
		if time.Now().After(deadline) {
			return ErrTimeout
		}
		if !requested {
			f.send(Ack, request)
		}
		packet, err := f.receive(time.Now().Add(pause))
		switch {
		case errors.Is(err, ErrTimeout):
			pause = min(2*pause, 8*resendPause)
			f.send(Ack, nil)
			continue
		case err != nil:
			return err
		case packet.Flags&Reset != 0:
			return ErrReset
		}
		requested = requested || packet.Ack == f.seq+uint32(len(request))
		if len(packet.Data) > 0 && packet.Seq == f.ack {
			if !requested {
				return ErrWrong
			}
			f.ack += uint32(len(packet.Data))
			body = append(body, packet.Data...)
			f.sendAfter(request)
		}
	}
	f.seq += uint32(len(request))
	if !bytes.Equal(body, Body(id, size)) {
		return ErrWrong
	}
	return nil
}

// Close ends the flow.
func (f *Flow) Close() {
	if f.open {
		f.send(Ack|Fin, nil)
	}
	_ = f.conn.Close()
}

// sendAfter acknowledges data behind a request that has arrived.
func (f *Flow) sendAfter(request []byte) {
	f.seq += uint32(len(request))
	f.send(Ack, nil)
	f.seq -= uint32(len(request))
}

func (f *Flow) send(flags byte, data []byte) {
	packet := Packet{Ack: f.ack, Data: data, Flags: flags, From: f.address, Seq: f.seq, To: f.route}
	_, _ = f.conn.WriteToUDPAddrPort(packet.Encode(), f.routers.pick(f.address)) // a closed port is one more loss
}

// receive returns the next packet of the flow, or ErrTimeout.
func (f *Flow) receive(until time.Time) (Packet, error) {
	buffer := make([]byte, 2048)
	_ = f.conn.SetReadDeadline(until)
	count, err := f.conn.Read(buffer)
	if err != nil {
		return Packet{}, ErrTimeout
	}
	packet, ok := Decode(buffer[:count])
	if !ok || packet.From != f.route || packet.Flags&Bounced != 0 {
		return Packet{}, ErrWrong
	}
	return packet, nil
}

// newFlow binds the caller's own address, to which the system sends.
func (r *Routers) newFlow(route netip.AddrPort) (*Flow, error) {
	r.mu.Lock()
	r.nextCaller++
	host := netip.AddrFrom4([4]byte{127, r.network, byte(r.nextCaller >> 8), byte(r.nextCaller)})
	r.mu.Unlock()
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(host, r.port)))
	if err != nil {
		return nil, err
	}
	return &Flow{
		address: netip.AddrPortFrom(host, uint16(1024+rand.IntN(60000))),
		conn:    conn,
		route:   route,
		routers: r,
		seq:     rand.Uint32(),
	}, nil
}
