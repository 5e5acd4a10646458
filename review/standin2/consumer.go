package main

import (
	"bytes"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// consumers is the consumers' host, with its router: one address with many ports.
type consumers struct {
	address  netip.Addr
	balancer []balancerAddress
	conn     *net.UDPConn
	flows    map[uint16]*consumerFlow
	mu       sync.Mutex
	nextPort uint16
	record   *record
	stopped  chan struct{}
}

type balancerAddress struct {
	data  *net.UDPAddr
	in    bool // in rotation
	miss  int
	ready string
}

// consumerFlow is one flow of a consumer.
type consumerFlow struct {
	acked    uint32 // acknowledged by the target
	ack      uint32 // next sequence number of the target
	answers  chan string
	host     *consumers
	lastAck  uint32
	open     bool
	opened   chan struct{}
	port     uint16
	reset    chan struct{}
	resets   int // resets that it has got
	route    netip.AddrPort
	seq      uint32
	received []byte
}

func newConsumers(record *record, address string, balancers []balancerAddress) (*consumers, error) {
	at, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp4", at)
	if err != nil {
		return nil, err
	}
	c := &consumers{address: at.AddrPort().Addr().Unmap(), balancer: balancers, conn: conn, flows: map[uint16]*consumerFlow{}, nextPort: 1024, record: record, stopped: make(chan struct{})}
	go c.receive()
	go c.route()
	return c, nil
}

// route keeps the rotation: two calls a second to each node; after two misses it is out until it responds with 200.
func (c *consumers) route() {
	client := &http.Client{Timeout: 400 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		for i := range c.balancer {
			response, err := client.Get("http://" + c.balancer[i].ready + "/v1/ready")
			good := err == nil && response.StatusCode == http.StatusOK
			if err == nil {
				_ = response.Body.Close()
			}
			c.mu.Lock()
			b := &c.balancer[i]
			switch {
			case good:
				b.miss = 0
				if !b.in {
					b.in = true
					c.record.log("router: balancer %d is in rotation", i+1)
				}
			default:
				b.miss++
				if b.miss >= 2 && b.in {
					b.in = false
					c.record.log("router: balancer %d is out of rotation", i+1)
				}
			}
			c.mu.Unlock()
		}
		select {
		case <-time.After(500 * time.Millisecond):
		case <-c.stopped:
			return
		}
	}
}

func (c *consumers) inRotation() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := 0
	for _, b := range c.balancer {
		if b.in {
			count++
		}
	}
	return count
}

// pick returns the node for a flow, by a hash over the nodes in rotation, or over all while fewer than half are.
func (c *consumers) pick(port uint16, route netip.AddrPort) *net.UDPAddr {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := 0
	for _, b := range c.balancer {
		if b.in {
			count++
		}
	}
	var best *net.UDPAddr
	var bestScore uint64
	for _, b := range c.balancer {
		if !b.in && 2*count >= len(c.balancer) {
			continue
		}
		h := fnv.New64a()
		fmt.Fprint(h, c.address, port, route, b.data)
		if score := h.Sum64(); best == nil || score > bestScore {
			best, bestScore = b.data, score
		}
	}
	return best
}

func (c *consumers) send(f *consumerFlow, p packet) {
	p.src, p.dst = netip.AddrPortFrom(c.address, f.port), f.route
	p.sum = p.checksum()
	if to := c.pick(f.port, f.route); to != nil {
		_, _ = c.conn.WriteToUDP(p.encode(), to)
	}
}

func (c *consumers) receive() {
	buffer := make([]byte, 2048)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		p, ok := decode(buffer[:n])
		if !ok {
			continue
		}
		c.mu.Lock()
		f := c.flows[p.dst.Port()]
		c.mu.Unlock()
		if f != nil {
			f.handle(p)
		}
	}
}

// openFlow opens a flow, with copies of the SYN after 200 and 600 ms.
func (c *consumers) openFlow(route netip.AddrPort) *consumerFlow {
	c.mu.Lock()
	c.nextPort++
	f := &consumerFlow{answers: make(chan string, 8), host: c, opened: make(chan struct{}), port: c.nextPort, reset: make(chan struct{}), route: route, seq: rand.Uint32()}
	c.flows[f.port] = f
	c.mu.Unlock()
	for i, pause := range []time.Duration{200 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond} {
		c.send(f, packet{flags: flagSyn, seq: f.seq, ack: uint32(i)})
		select {
		case <-f.opened:
			return f
		case <-f.reset:
			return nil
		case <-time.After(pause):
		}
	}
	return nil
}

func (f *consumerFlow) handle(p packet) {
	f.host.mu.Lock()
	defer f.host.mu.Unlock()
	switch {
	case p.flags&flagRst != 0:
		if f.open && p.seq-f.lastAck+76800 > 2*76800 {
			return // out of the window
		}
		f.resets++
		f.host.record.log("consumer port %d got a reset, open=%v own=%v", f.port, f.open, p.sum == 0)
		if f.resets == 1 {
			close(f.reset)
		}
	case p.flags&flagSyn != 0 && p.flags&flagAck != 0:
		if f.open {
			return
		}
		f.open = true
		f.seq++
		f.acked = f.seq
		f.ack = p.seq + 1
		f.lastAck = f.ack
		close(f.opened)
		go f.host.send(f, packet{flags: flagAck, seq: f.seq, ack: f.ack})
	default:
		if int32(p.ack-f.acked) > 0 {
			f.acked = p.ack
		}
		if len(p.data) == 0 {
			return
		}
		if p.seq == f.ack {
			f.ack += uint32(len(p.data))
			f.lastAck = f.ack
			f.received = append(f.received, p.data...)
			f.takeAnswer()
		}
		go f.host.send(f, packet{flags: flagAck, seq: f.acked, ack: f.ack})
	}
}

func (f *consumerFlow) takeAnswer() {
	head, body, found := bytes.Cut(f.received, []byte("\r\n\r\n"))
	if !found {
		return
	}
	length := 0
	for _, line := range strings.Split(string(head), "\r\n") {
		if value, ok := strings.CutPrefix(line, "Content-Length: "); ok {
			_, _ = fmt.Sscan(value, &length)
		}
	}
	if len(body) >= length {
		f.answers <- string(body[:length])
		f.received = append([]byte(nil), body[length:]...)
	}
}

// request sends a request with a body of the given size, with retransmissions, and returns how it ended: answered, reset or unanswered.
func (f *consumerFlow) request(id string, size int, limit time.Duration) string {
	text := fmt.Sprintf("POST /save HTTP/1.1\r\nX-Cyclamendock-Request-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, size, strings.Repeat("x", size))
	f.host.mu.Lock()
	start := f.seq
	f.seq += uint32(len(text))
	f.host.mu.Unlock()
	deadline := time.After(limit)
	pause := retransmitFirst
	for {
		f.host.mu.Lock()
		from, ack := int(int32(f.acked-start)), f.ack
		f.host.mu.Unlock()
		for at := max(from, 0); at < len(text); at += maxData {
			f.host.send(f, packet{flags: flagAck, seq: start + uint32(at), ack: ack, data: []byte(text[at:min(at+maxData, len(text))])})
		}
		select {
		case answer := <-f.answers:
			if answer != "answer to "+id {
				return "foreign"
			}
			return "answered"
		case <-f.reset:
			return "reset"
		case <-deadline:
			return "unanswered"
		case <-time.After(pause):
		}
		pause = min(2*pause, retransmitMax)
	}
}

func (c *consumers) stop() {
	close(c.stopped)
	_ = c.conn.Close()
}
