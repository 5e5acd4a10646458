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

// The errors of opening a flow and of a request on it.
var (
	// ErrCorrupt means that a packet or a response differs from what the backend server sent.
	ErrCorrupt = errors.New("the response differs from what the backend server sent")
	// ErrNotOpened means that the flow's handshake failed, so that no request ran.
	ErrNotOpened = errors.New("the flow did not open")
	// ErrReset means that an open flow was reset.
	ErrReset = errors.New("the flow was reset")
	// ErrTimeout means that the response was not complete by the deadline.
	ErrTimeout = errors.New("the response was not complete by the deadline")
)

// Flow is a caller's end of one flow.
type Flow struct {
	ack     uint32         // sequence number of the next byte expected from the backend server
	address netip.AddrPort // caller's address in the packets; conn has another port
	conn    *net.UDPConn
	open    bool
	route   netip.AddrPort
	routers *Routers
	seq     uint32 // sequence number of the next byte to send
}

// synTimeouts are the waits after each copy of the Syn packet; the caller gives up after the last one.
var synTimeouts = []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond}

// Open opens a flow to a route, or returns ErrNotOpened when the handshake fails.
func (r *Routers) Open(route netip.AddrPort) (*Flow, error) {
	f, err := r.newFlow(route)
	if err != nil {
		return nil, err
	}
	for _, timeout := range synTimeouts {
		f.send(Syn, nil)
		packet, err := f.receive(time.Now().Add(timeout))
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

// Get sends a request over the flow, and returns nil once the complete and correct response has arrived.
func (f *Flow) Get(id string, size int, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	request := fmt.Appendf(nil, "GET %s %d\n", id, size)
	var body []byte
	retryTimeout := retransmitInterval
	delivered := false // the backend server has acknowledged the request
	for len(body) < size {
		if time.Now().After(deadline) {
			return ErrTimeout
		}
		if !delivered {
			f.send(Ack, request)
		}
		packet, err := f.receive(time.Now().Add(retryTimeout))
		switch {
		case errors.Is(err, ErrTimeout):
			retryTimeout = min(2*retryTimeout, 8*retransmitInterval)
			f.send(Ack, nil)
			continue
		case err != nil:
			return err
		case packet.Flags&Reset != 0:
			return ErrReset
		}
		delivered = delivered || packet.Ack == f.seq+uint32(len(request))
		if len(packet.Data) > 0 && packet.Seq == f.ack {
			if !delivered {
				return ErrCorrupt
			}
			f.ack += uint32(len(packet.Data))
			body = append(body, packet.Data...)
			f.ackResponse(request)
		}
	}
	f.seq += uint32(len(request))
	if !bytes.Equal(body, Body(id, size)) {
		return ErrCorrupt
	}
	return nil
}

// Wait reads packets of an idle flow for a while, and returns ErrReset or ErrCorrupt when one ends it.
func (f *Flow) Wait(d time.Duration) error {
	deadline := time.Now().Add(d)
	for {
		packet, err := f.receive(deadline)
		switch {
		case errors.Is(err, ErrTimeout):
			return nil
		case err != nil:
			return err
		case packet.Flags&Reset != 0:
			return ErrReset
		case len(packet.Data) > 0:
			f.send(Ack, nil) // the previous acknowledgement was lost
		}
	}
}

// Close closes the flow, with a Fin packet if it is open.
func (f *Flow) Close() {
	if f.open {
		f.send(Ack|Fin, nil)
	}
	_ = f.conn.Close()
}

// ackResponse acknowledges response data, with the sequence number that follows the delivered request.
func (f *Flow) ackResponse(request []byte) {
	f.seq += uint32(len(request))
	f.send(Ack, nil)
	f.seq -= uint32(len(request))
}

func (f *Flow) send(flags byte, data []byte) {
	packet := Packet{Ack: f.ack, Data: data, Flags: flags, From: f.address, Seq: f.seq, To: f.route}
	_, _ = f.conn.WriteToUDPAddrPort(packet.Encode(), f.routers.balancerFor(f.address)) // an error counts as a lost packet
}

// receive returns the next packet, ErrTimeout at the deadline, or ErrCorrupt when the packet is damaged or belongs to another
// flow.
func (f *Flow) receive(deadline time.Time) (Packet, error) {
	buffer := make([]byte, 2048)
	_ = f.conn.SetReadDeadline(deadline)
	count, err := f.conn.Read(buffer)
	if err != nil {
		return Packet{}, ErrTimeout
	}
	packet, ok := Decode(buffer[:count])
	if !ok || packet.From != f.route || packet.Flags&Bounced != 0 {
		return Packet{}, ErrCorrupt
	}
	return packet, nil
}

// newFlow assigns a new caller address and binds the socket that receives the caller's packets.
func (r *Routers) newFlow(route netip.AddrPort) (*Flow, error) {
	r.mu.Lock()
	r.callerCount++
	host := netip.AddrFrom4([4]byte{127, r.network, byte(r.callerCount >> 8), byte(r.callerCount)})
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
