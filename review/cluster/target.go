package main

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"
)

const (
	firstRetransmit = 200 * time.Millisecond
	maxRetransmit   = 1600 * time.Millisecond
	maxRetransmits  = 8
)

type flowKey struct{ consumer, route netip.AddrPort }

// serverFlow is a target's end of one flow.
type serverFlow struct {
	acked      uint32    // what the consumer has acknowledged
	due        time.Time // of the next retransmission; zero when nothing is unacknowledged
	open       bool
	pause      time.Duration
	received   uint32 // next byte expected from the consumer
	response   []byte // unacknowledged bytes, from acked on
	retransmit int
}

// target is an application target on a side machine.
type target struct {
	announce    string // address of the agent's control_plane
	app         netip.AddrPort
	born        int64
	conn        *net.UDPConn
	draining    bool
	ended       chan struct{}
	flows       map[flowKey]*serverFlow
	health      net.Listener
	id          string
	interval    time.Duration
	mu          sync.Mutex
	outbound    netip.AddrPort
	record      *record
	resetsSent  map[flowKey]bool
	runs        map[string]int // by request id
	sequence    int
	service     string
	wrongServed int
}

// startTarget starts a target that listens and announces itself at once.
func startTarget(t *target) (*target, error) {
	var err error
	if t.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(t.app)); err != nil {
		return nil, err
	}
	if t.health, err = net.Listen("tcp4", t.app.String()); err != nil {
		_ = t.conn.Close()
		return nil, err
	}
	t.born = time.Now().UnixMilli()
	t.ended = make(chan struct{})
	t.flows = map[flowKey]*serverFlow{}
	t.resetsSent = map[flowKey]bool{}
	t.runs = map[string]int{}
	go t.runPackets()
	go t.runTimers()
	go t.runReports()
	go func() {
		_ = http.Serve(t.health, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }))
	}()
	t.record.note(t.id, "started at %s, born %d", t.app, t.born)
	return t, nil
}

// drainAndEnd leaves as planned: it reports draining, serves for drain_ms and a little longer, says goodbye and exits.
func (t *target) drainAndEnd(drain time.Duration) {
	t.mu.Lock()
	t.draining = true
	t.mu.Unlock()
	status := t.report()
	t.record.note(t.id, "reports draining: %d", status)
	time.Sleep(drain + 500*time.Millisecond)
	request, _ := http.NewRequest(http.MethodDelete, "http://"+t.announce+"/v1/instances/"+t.id, nil)
	response, err := (&http.Client{Timeout: time.Second}).Do(request)
	if err == nil {
		_ = response.Body.Close()
		t.record.note(t.id, "says that it leaves: %d", response.StatusCode)
	}
	t.end()
}

// end closes all sockets of the target.
func (t *target) end() {
	close(t.ended)
	_ = t.conn.Close()
	_ = t.health.Close()
	t.record.note(t.id, "has ended")
}

func (t *target) holds(key flowKey) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := t.flows[key]
	return f != nil && f.open
}

func (t *target) sentReset(key flowKey) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.resetsSent[key]
}

func (t *target) runReports() {
	for {
		t.report()
		select {
		case <-time.After(t.interval):
		case <-t.ended:
			return
		}
	}
}

// report sends one liveness report and returns the status of its response.
func (t *target) report() int {
	t.mu.Lock()
	t.sequence++
	state := "ready"
	if t.draining {
		state = "draining"
	}
	body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":"z","version":"v1","concurrency":2,"state":%q,"warmup_left_ms":0,"sequence":%d,"born":%d}`,
		t.service, t.app, state, t.sequence, t.born)
	t.mu.Unlock()
	request, _ := http.NewRequest(http.MethodPut, "http://"+t.announce+"/v1/instances/"+t.id, strings.NewReader(body))
	request.Header.Set("Content-Type", "application/json")
	response, err := (&http.Client{Timeout: time.Second}).Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

func (t *target) runPackets() {
	buffer := make([]byte, 2048)
	for {
		n, err := t.conn.Read(buffer)
		if err != nil {
			select {
			case <-t.ended:
				return
			default:
				continue
			}
		}
		t.mu.Lock()
		t.handle(bytes.Clone(buffer[:n]))
		t.mu.Unlock()
	}
}

func (t *target) handle(datagram []byte) {
	p, sumOK, ok := decode(datagram)
	if !ok || !sumOK {
		t.wrongServed++
		t.record.note(t.id, "got a packet that its sender did not write so")
		return
	}
	key := flowKey{consumer: p.src, route: p.dst}
	f := t.flows[key]
	if p.flags&flagSyn != 0 {
		if f == nil {
			f = &serverFlow{acked: rand.Uint32(), received: p.seq + 1}
			t.flows[key] = f
		}
		if !f.open {
			t.send(key, packet{flags: flagSyn | flagAck, seq: f.acked - 1, ack: f.received})
		}
		return
	}
	if f == nil || !f.open && p.ack != f.acked {
		datagram[0] |= flagBounced
		_, _ = t.conn.WriteToUDPAddrPort(datagram, t.outbound)
		return
	}
	if !f.open {
		t.record.note(t.id, "has the end of the handshake of %s", key.consumer)
	}
	f.open = true
	t.acknowledge(f, p.ack)
	switch {
	case p.flags&(flagFin|flagReset) != 0:
		delete(t.flows, key)
		t.send(key, packet{flags: flagAck, seq: f.acked, ack: p.seq + 1})
	case len(p.data) > 0 && p.seq == f.received:
		f.received += uint32(len(p.data))
		f.response = append(f.response, t.run(key, p.data)...)
		t.sendResponse(key, f)
	case len(p.data) > 0:
		t.send(key, packet{flags: flagAck, seq: f.acked, ack: f.received})
	}
}

func (t *target) acknowledge(f *serverFlow, ack uint32) {
	if n := ack - f.acked; n > 0 && n <= uint32(len(f.response)) {
		f.acked = ack
		f.response = f.response[n:]
		f.retransmit, f.pause, f.due = 0, 0, time.Time{}
	}
}

// run works on one request and returns its response.
func (t *target) run(key flowKey, request []byte) []byte {
	id := headerOf(request, "X-Cyclamendock-Request-Id")
	t.runs[id]++
	t.record.note(t.id, "runs request %s of %s (run %d)", id, key.consumer, t.runs[id])
	body := "done " + id
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\nX-Cyclamendock-Server-Stamp: %s\r\nX-Cyclamendock-Request-Id: %s\r\n\r\n%s", len(body), t.id, id, body)
}

func (t *target) sendResponse(key flowKey, f *serverFlow) {
	t.send(key, packet{flags: flagAck, seq: f.acked, ack: f.received, data: f.response})
	f.pause = min(max(2*f.pause, firstRetransmit), maxRetransmit)
	f.due = time.Now().Add(f.pause)
}

func (t *target) runTimers() {
	for {
		select {
		case <-time.After(20 * time.Millisecond):
		case <-t.ended:
			return
		}
		t.mu.Lock()
		for key, f := range t.flows {
			if len(f.response) == 0 || time.Now().Before(f.due) {
				continue
			}
			if f.retransmit++; f.retransmit > maxRetransmits {
				delete(t.flows, key)
				t.record.note(t.id, "gives up the flow of %s", key.consumer)
				continue
			}
			t.sendResponse(key, f)
		}
		t.mu.Unlock()
	}
}

func (t *target) send(key flowKey, p packet) {
	p.src, p.dst = key.route, key.consumer
	_, _ = t.conn.WriteToUDPAddrPort(p.encode(), t.outbound)
}

// headerOf returns the value of a header line.
func headerOf(message []byte, name string) string {
	for line := range strings.SplitSeq(string(message), "\r\n") {
		if value, found := strings.CutPrefix(line, name+": "); found {
			return value
		}
	}
	return ""
}
