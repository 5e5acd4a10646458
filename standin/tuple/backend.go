package tuple

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
	announceInterval = 300 * time.Millisecond
	announceTimeout  = time.Second
	chunk            = 1000 // bytes of a response in one packet
	resendPause      = 200 * time.Millisecond
	window           = 16 // packets in flight
)

// A BackendConfig holds what a Backend needs.
type BackendConfig struct {
	Announce string         // host and port of its agent
	Inlet    netip.AddrPort // where it receives packets
	Name     string
	Outlet   netip.AddrPort // where its agent receives its packets
	Service  string
	Slots    int
}

// A Backend is a backend server that answers "GET <id> <size>" with a body that both ends can work out.
type Backend struct {
	born     int64
	config   BackendConfig
	conn     *net.UDPConn
	flows    map[flowKey]*served
	health   *net.TCPListener // at the same address, as long as the backend server runs
	mu       sync.Mutex
	once     sync.Once      // ends it
	Runs     map[string]int // requests begun, by ID
	sequence int
	state    string
	Wrong    int // packets that differ from what their sender wrote
	stop     chan struct{}
}

type flowKey struct {
	caller, route netip.AddrPort
}

// served is one flow at its backend server.
type served struct {
	acked    uint32 // by the caller
	first    uint32 // sequence number of the response's first byte
	open     bool
	received uint32 // next byte expected of the caller
	response []byte
	sent     time.Time
}

// NewBackend starts a backend server.
func NewBackend(config BackendConfig) (*Backend, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(config.Inlet))
	if err != nil {
		return nil, err
	}
	health, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(config.Inlet))
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	b := &Backend{
		health: health,
		born:   time.Now().UnixMilli(),
		config: config,
		conn:   conn,
		flows:  map[flowKey]*served{},
		Runs:   map[string]int{},
		state:  "ready",
		stop:   make(chan struct{}),
	}
	go b.run()
	go b.runAnnouncements()
	return b, nil
}

// Drain announces that the backend server leaves.
func (b *Backend) Drain() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state = "draining"
}

// Crash ends the backend server without a word.
func (b *Backend) Crash() {
	b.once.Do(func() { close(b.stop) })
	_ = b.conn.Close()
	_ = b.health.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.flows = map[flowKey]*served{}
}

// Totals returns how many requests were begun, and how many packets were not what their senders wrote.
func (b *Backend) Totals() (runs, wrong int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.Runs), b.Wrong
}

// Holds reports whether the backend server holds an open flow of a caller.
func (b *Backend) Holds(caller netip.AddrPort) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for key, flow := range b.flows {
		if key.caller == caller && flow.open {
			return true
		}
	}
	return false
}

// Repeated returns the requests that were begun more than once.
func (b *Backend) Repeated() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var repeated []string
	for id, runs := range b.Runs {
		if runs > 1 {
			repeated = append(repeated, id)
		}
	}
	return repeated
}

// Flows returns the number of open flows.
func (b *Backend) Flows() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.flows)
}

func (b *Backend) run() {
	buffer := make([]byte, 2048)
	for {
		_ = b.conn.SetReadDeadline(time.Now().Add(resendPause))
		count, err := b.conn.Read(buffer)
		select {
		case <-b.stop:
			return
		default:
		}
		b.mu.Lock()
		if err == nil {
			b.receive(append([]byte(nil), buffer[:count]...))
		}
		b.resend(time.Now())
		b.mu.Unlock()
	}
}

func (b *Backend) receive(datagram []byte) {
	packet, ok := Decode(datagram)
	if !ok || packet.Flags&Bounced != 0 {
		b.Wrong++
		return
	}
	key := flowKey{caller: packet.From, route: packet.To}
	flow := b.flows[key]
	switch {
	case packet.Flags&Syn != 0:
		b.accept(key, packet)
	case flow == nil || !flow.open && packet.Ack != flow.first:
		datagram[0] |= Bounced
		b.send(datagram)
	case packet.Flags&Reset != 0, packet.Flags&Fin != 0:
		delete(b.flows, key)
	default:
		b.carry(key, flow, packet)
	}
}

func (b *Backend) accept(key flowKey, packet Packet) {
	if b.flows[key] == nil {
		b.flows[key] = &served{first: rand.Uint32(), received: packet.Seq + 1}
		b.flows[key].acked = b.flows[key].first
	}
	flow := b.flows[key]
	b.reply(key, flow, Syn|Ack, flow.first-1, nil)
}

// carry takes the caller's data and acknowledgement.
func (b *Backend) carry(key flowKey, flow *served, packet Packet) {
	flow.open = true
	if acked := packet.Ack - flow.first; acked <= uint32(len(flow.response)) {
		flow.acked = packet.Ack
	}
	if len(packet.Data) > 0 && packet.Seq == flow.received {
		flow.received += uint32(len(packet.Data))
		flow.response = append(flow.response, b.answer(packet.Data)...)
		flow.sent = time.Time{}
	}
	if len(packet.Data) > 0 {
		b.reply(key, flow, Ack, flow.first, nil)
	}
	if int(flow.acked-flow.first) < len(flow.response) {
		b.push(key, flow)
	}
}

// answer runs one request.
func (b *Backend) answer(request []byte) []byte {
	var id string
	var size int
	if _, err := fmt.Sscanf(string(request), "GET %s %d", &id, &size); err != nil {
		b.Wrong++
		return nil
	}
	b.Runs[id]++
	return Body(id, size)
}

// Body returns the response to a request.
func Body(id string, size int) []byte {
	return bytes.Repeat([]byte(id+" "), size/(len(id)+1)+1)[:size]
}

// push sends what fits the window behind what the caller has acknowledged.
func (b *Backend) push(key flowKey, flow *served) {
	flow.sent = time.Now()
	from := int(flow.acked - flow.first)
	for i := 0; i < window && from < len(flow.response); i++ {
		to := min(from+chunk, len(flow.response))
		b.reply(key, flow, Ack, flow.first+uint32(from), flow.response[from:to])
		from = to
	}
}

func (b *Backend) resend(now time.Time) {
	for key, flow := range b.flows {
		if int(flow.acked-flow.first) < len(flow.response) && now.Sub(flow.sent) > resendPause {
			b.push(key, flow)
		}
	}
}

func (b *Backend) reply(key flowKey, flow *served, flags byte, seq uint32, data []byte) {
	b.send(Packet{Ack: flow.received, Data: data, Flags: flags, From: key.route, Seq: seq, To: key.caller}.Encode())
}

func (b *Backend) send(datagram []byte) {
	_, _ = b.conn.WriteToUDPAddrPort(datagram, b.config.Outlet) // a closed port is one more loss
}

// runAnnouncements tells the agent of this backend server until it ends.
func (b *Backend) runAnnouncements() {
	client := http.Client{Timeout: announceTimeout}
	for {
		b.mu.Lock()
		b.sequence++
		body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":"z","version":"v1","concurrency":%d,"state":%q,"warmup_left_ms":0,"sequence":%d,"born":%d}`,
			b.config.Service, b.config.Inlet, b.config.Slots, b.state, b.sequence, b.born)
		b.mu.Unlock()
		url := "http://" + b.config.Announce + "/v1/instances/" + b.config.Name
		if request, err := http.NewRequest(http.MethodPut, url, strings.NewReader(body)); err == nil {
			if response, err := client.Do(request); err == nil {
				_ = response.Body.Close()
			}
		}
		select {
		case <-time.After(announceInterval):
		case <-b.stop:
			return
		}
	}
}
