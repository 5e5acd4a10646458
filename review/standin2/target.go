package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"
)

const (
	retransmitFirst = 200 * time.Millisecond
	retransmitMax   = 1600 * time.Millisecond
	maxRetransmits  = 8
)

// target is a target beside an agent. It answers each request at once.
type target struct {
	announce  string // address for liveness reports
	arrived   func(name string, at time.Time, p packet, own bool)
	conn      *net.UDPConn
	flows     map[netip.AddrPort]map[netip.AddrPort]*targetFlow // by consumer and route
	health    *http.Server
	id        string
	interval  time.Duration
	mu        sync.Mutex
	name      string
	outbound  *net.UDPAddr
	record    *record
	resets    int // resets that it has sent
	ran       map[string]int
	sequence  int
	service   string
	startedMS int64
	stopped   chan struct{}
}

type targetFlow struct {
	answer      packet // last response, until it is acknowledged
	answerAcked bool
	first       uint32 // its own first sequence number
	input       []byte
	next        uint32 // next sequence number expected of the consumer
	open        bool
	send        uint32 // next sequence number of its own
}

func newTarget(record *record, name, service, app, outbound, announce string, interval time.Duration) (*target, error) {
	appAddress, err := net.ResolveUDPAddr("udp4", app)
	if err != nil {
		return nil, err
	}
	out, err := net.ResolveUDPAddr("udp4", outbound)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp4", appAddress)
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp4", app)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	t := &target{
		announce: announce, arrived: func(string, time.Time, packet, bool) {}, conn: conn, flows: map[netip.AddrPort]map[netip.AddrPort]*targetFlow{},
		id: fmt.Sprintf("i-%08x", rand.Uint32()), interval: interval, name: name, outbound: out, ran: map[string]int{},
		record: record, service: service, startedMS: time.Now().UnixMilli(), stopped: make(chan struct{}),
	}
	t.health = &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
	go func() { _ = t.health.Serve(listener) }()
	go t.receive()
	go t.beat()
	return t, nil
}

func (t *target) beat() {
	client := &http.Client{Timeout: time.Second}
	for {
		t.sequence++
		body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":"zone-a","version":"v1","concurrency":7,"state":"ready","warmup_left_ms":0,"sequence":%d,"born":%d}`,
			t.service, t.conn.LocalAddr().String(), t.sequence, t.startedMS)
		request, _ := http.NewRequest(http.MethodPut, "http://"+t.announce+"/v1/instances/"+t.id, strings.NewReader(body))
		request.Header.Set("Content-Type", "application/json")
		if response, err := client.Do(request); err == nil {
			_ = response.Body.Close()
		}
		select {
		case <-time.After(t.interval):
		case <-t.stopped:
			return
		}
	}
}

func (t *target) receive() {
	buffer := make([]byte, 2048)
	for {
		n, _, err := t.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			select {
			case <-t.stopped:
				return
			default:
				continue // an ICMP error of the agent's closed port
			}
		}
		if p, ok := decode(buffer[:n]); ok {
			t.handle(p)
		}
	}
}

func (t *target) send(p packet) {
	if p.flags&flagBounced == 0 {
		p.sum = p.checksum()
	}
	_, _ = t.conn.WriteToUDP(p.encode(), t.outbound)
}

func (t *target) handle(p packet) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p.sum != p.checksum() {
		t.record.log("%s got a packet that its sender didn't write so: %v", t.name, p)
	}
	flow := t.flows[p.src][p.dst]
	if p.flags&flagSyn != 0 && p.flags&flagAck == 0 {
		if flow == nil {
			flow = &targetFlow{answerAcked: true, first: rand.Uint32(), next: p.seq + 1}
			flow.send = flow.first + 1
			if t.flows[p.src] == nil {
				t.flows[p.src] = map[netip.AddrPort]*targetFlow{}
			}
			t.flows[p.src][p.dst] = flow
		}
		t.send(packet{flags: flagSyn | flagAck, seq: flow.first, ack: flow.next, src: p.dst, dst: p.src})
		return
	}
	if flow == nil || !flow.open && p.ack != flow.first+1 {
		t.arrived(t.name, time.Now(), p, false)
		p.flags |= flagBounced
		t.send(p)
		return
	}
	t.arrived(t.name, time.Now(), p, true)
	if p.flags&flagRst != 0 {
		delete(t.flows[p.src], p.dst)
		return
	}
	flow.open = true
	if !flow.answerAcked && p.ack == flow.send {
		flow.answerAcked = true
	}
	if len(p.data) == 0 {
		return
	}
	if p.seq == flow.next {
		flow.next += uint32(len(p.data))
		flow.input = append(flow.input, p.data...)
	}
	if !t.answerRequest(flow, p) {
		t.send(packet{flags: flagAck, seq: flow.send, ack: flow.next, src: p.dst, dst: p.src})
	}
}

// answerRequest runs and answers the request in the flow's input once it is whole.
func (t *target) answerRequest(flow *targetFlow, p packet) bool {
	head, body, found := bytes.Cut(flow.input, []byte("\r\n\r\n"))
	if !found {
		return false
	}
	var length int
	var id string
	for _, line := range strings.Split(string(head), "\r\n") {
		if value, ok := strings.CutPrefix(line, "Content-Length: "); ok {
			_, _ = fmt.Sscan(value, &length)
		}
		if value, ok := strings.CutPrefix(line, "X-Cyclamendock-Request-Id: "); ok {
			id = value
		}
	}
	if len(body) < length {
		return false
	}
	flow.input = body[length:]
	t.ran[id]++
	t.record.log("%s ran request %s of %v", t.name, id, p.src)
	text := "answer to " + id
	data := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Cyclamendock-Server-Stamp: %s\r\nContent-Length: %d\r\n\r\n%s", t.id, len(text), text)
	flow.answer = packet{flags: flagAck, seq: flow.send, ack: flow.next, src: p.dst, dst: p.src, data: []byte(data)}
	flow.send += uint32(len(data))
	flow.answerAcked = false
	t.send(flow.answer)
	go t.retransmit(flow, flow.answer)
	return true
}

func (t *target) retransmit(flow *targetFlow, answer packet) {
	pause := retransmitFirst
	for range maxRetransmits {
		select {
		case <-time.After(pause):
		case <-t.stopped:
			return
		}
		t.mu.Lock()
		done := flow.answerAcked || flow.answer.seq != answer.seq
		if !done {
			t.send(answer)
		}
		t.mu.Unlock()
		if done {
			return
		}
		pause = min(2*pause, retransmitMax)
	}
}

func (t *target) stop() {
	close(t.stopped)
	_ = t.conn.Close()
	_ = t.health.Close()
}
