package main

import (
	"bytes"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// synWaits are a consumer's waits after the SYN and its two copies.
var synWaits = []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond}

// result tells how a request ended.
type result string

const (
	resultAnswered result = "answered"
	resultReset    result = "reset"
	resultTimeout  result = "no answer"
	resultWrong    result = "wrong answer"
)

// routers forward each packet of a consumer to a node in rotation, by a hash of the four addresses and ports (steady).
type routers struct {
	inRotation map[netip.AddrPort]bool
	mu         sync.Mutex
	nodes      []netip.AddrPort // datagram_addr
	readyPort  uint16
}

// runChecks asks a node twice a second whether it is ready; after two misses it is out of rotation.
func (r *routers) runChecks(node netip.AddrPort, stop <-chan struct{}) {
	client := http.Client{Timeout: 400 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	misses := 0
	for {
		response, err := client.Get("http://" + netip.AddrPortFrom(node.Addr(), r.readyPort).String() + "/v1/ready")
		if err == nil {
			_ = response.Body.Close()
		}
		if err == nil && response.StatusCode == http.StatusOK {
			misses = 0
		} else {
			misses++
		}
		r.mu.Lock()
		r.inRotation[node] = misses == 0 || misses == 1 && r.inRotation[node]
		r.mu.Unlock()
		select {
		case <-time.After(500 * time.Millisecond):
		case <-stop:
			return
		}
	}
}

// readyCount returns the number of nodes in rotation.
func (r *routers) readyCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for _, ready := range r.inRotation {
		if ready {
			count++
		}
	}
	return count
}

func (r *routers) nodeFor(src, dst netip.AddrPort) netip.AddrPort {
	all := 2*r.readyCount() < len(r.nodes)
	r.mu.Lock()
	defer r.mu.Unlock()
	var best netip.AddrPort
	var highest uint64
	for _, node := range r.nodes {
		hash := fnv.New64a()
		fmt.Fprint(hash, src, dst, node)
		if score := hash.Sum64(); (all || r.inRotation[node]) && score >= highest {
			best, highest = node, score
		}
	}
	return best
}

// consumerFlow is a consumer's end of one flow.
type consumerFlow struct {
	ack     uint32
	conn    *net.UDPConn
	route   netip.AddrPort
	routers *routers
	seq     uint32
	src     netip.AddrPort
}

func (f *consumerFlow) key() flowKey { return flowKey{consumer: f.src, route: f.route} }

// openFlow opens a flow from a consumer's address, and returns nil if the attempt ends without one.
func openFlow(r *routers, src, route netip.AddrPort, callerPort uint16) (*consumerFlow, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(src.Addr(), callerPort)))
	if err != nil {
		return nil, err
	}
	f := &consumerFlow{conn: conn, route: route, routers: r, seq: rand.Uint32(), src: src}
	for i, wait := range synWaits {
		f.send(packet{flags: flagSyn, seq: f.seq, ack: uint32(i)})
		end := time.Now().Add(wait)
		for {
			p, ok := f.receive(end)
			if !ok {
				break
			}
			if p.flags&flagReset != 0 {
				_ = conn.Close()
				return nil, nil
			}
			if p.flags == flagSyn|flagAck && p.ack == f.seq+1 {
				f.seq++
				f.ack = p.seq + 1
				f.send(packet{flags: flagAck, seq: f.seq, ack: f.ack})
				return f, nil
			}
		}
	}
	_ = conn.Close()
	return nil, nil
}

// request sends one request and waits for its response until the time limit.
func (f *consumerFlow) request(id string, limit time.Duration) result {
	message := fmt.Appendf(nil, "POST /save HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\nX-Cyclamendock-Request-Id: %s\r\n\r\n", id)
	end := time.Now().Add(limit)
	next := f.seq + uint32(len(message))
	pause := firstRetransmit
	acknowledged := false
	for time.Now().Before(end) {
		if !acknowledged {
			f.send(packet{flags: flagAck, seq: f.seq, ack: f.ack, data: message})
		}
		wait := time.Now().Add(pause)
		pause = min(2*pause, maxRetransmit)
		for {
			p, ok := f.receive(wait)
			if !ok {
				break
			}
			if p.flags&flagReset != 0 && p.seq-f.ack+76800 <= 2*76800 {
				return resultReset
			}
			acknowledged = acknowledged || p.ack == next
			if len(p.data) == 0 || p.seq != f.ack {
				continue
			}
			f.seq = next
			f.ack += uint32(len(p.data))
			f.send(packet{flags: flagAck, seq: f.seq, ack: f.ack})
			if !bytes.HasPrefix(p.data, []byte("HTTP/1.1 200 ")) || !bytes.HasSuffix(p.data, []byte("\r\n\r\ndone "+id)) {
				return resultWrong
			}
			return resultAnswered
		}
	}
	return resultTimeout
}

// close closes the flow.
func (f *consumerFlow) close() {
	f.send(packet{flags: flagFin | flagAck, seq: f.seq, ack: f.ack})
	_ = f.conn.Close()
}

func (f *consumerFlow) send(p packet) {
	p.src, p.dst = f.src, f.route
	_, _ = f.conn.WriteToUDPAddrPort(p.encode(), f.routers.nodeFor(f.src, f.route))
}

// receive returns the next packet of this flow, or false at the given time.
func (f *consumerFlow) receive(end time.Time) (packet, bool) {
	buffer := make([]byte, 2048)
	for {
		_ = f.conn.SetReadDeadline(end)
		n, err := f.conn.Read(buffer)
		if err != nil {
			return packet{}, false
		}
		p, sumOK, ok := decode(bytes.Clone(buffer[:n]))
		isOwnReset := ok && p.flags == flagReset && p.sum == 0 && len(p.data) == 0
		if ok && (sumOK || isOwnReset) && p.src == f.route && p.dst == f.src {
			return p, true
		}
	}
}
