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
	announceInterval   = 300 * time.Millisecond
	announceTimeout    = time.Second
	maxPayload         = 1000 // response bytes in one packet
	retransmitInterval = 200 * time.Millisecond
	sendWindow         = 16 // unacknowledged packets of one response
)

// BackendConfig configures a Backend.
type BackendConfig struct {
	Announce string         // host and port at which the agent accepts announcements
	Inlet    netip.AddrPort // address at which the backend server receives packets
	Name     string
	Outlet   netip.AddrPort // address at which the agent receives the backend server's packets
	Service  string
	Slots    int // requests that the backend server can run at once
}

// Backend is a simulated backend server that answers "GET <id> <size>" with a body that the caller can compute too.
type Backend struct {
	accepted       bool // the agent has accepted an announcement
	config         BackendConfig
	conn           *net.UDPConn
	CorruptPackets int // received packets that differ from what their sender wrote
	flows          map[flowKey]*serverFlow
	healthListener *net.TCPListener // accepts TCP health checks on the inlet's address while the backend server runs
	mu             sync.Mutex
	Runs           map[string]int // number of times each request was started, by request ID
	sequence       int            // number of the last announcement
	startedMS      int64          // start time in Unix milliseconds
	silent         bool           // it announces itself no more
	state          string         // announced state
	stop           chan struct{}
	stopOnce       sync.Once // guards the closing of stop
}

type flowKey struct {
	caller, route netip.AddrPort
}

// serverFlow is the backend server's end of one flow.
type serverFlow struct {
	acked       uint32 // sequence number up to which the caller has acknowledged the responses
	established bool   // the caller has completed the handshake
	firstSeq    uint32 // sequence number of the first response byte
	lastSent    time.Time
	nextSeq     uint32 // sequence number of the next byte expected from the caller
	response    []byte // all responses on this flow so far
}

// NewBackend starts a backend server, or returns an error when its address can't be bound.
func NewBackend(config BackendConfig) (*Backend, error) {
	conn, err := listenWhenFree(func() (*net.UDPConn, error) {
		return net.ListenUDP("udp4", net.UDPAddrFromAddrPort(config.Inlet))
	})
	if err != nil {
		return nil, err
	}
	healthListener, err := listenWhenFree(func() (*net.TCPListener, error) {
		return net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(config.Inlet))
	})
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	b := &Backend{
		config:         config,
		conn:           conn,
		flows:          map[flowKey]*serverFlow{},
		healthListener: healthListener,
		Runs:           map[string]int{},
		startedMS:      time.Now().UnixMilli(),
		state:          "ready",
		stop:           make(chan struct{}),
	}
	go b.run()
	go b.runAnnouncements()
	return b, nil
}

// Drain makes the backend server announce the draining state from now on; open flows go on.
func (b *Backend) Drain() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state = "draining"
}

// StopAnnouncing makes the backend server announce itself no more while it goes on serving.
func (b *Backend) StopAnnouncing() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.silent = true
}

// Crash stops the backend server without an announcement and without a packet that ends its flows.
func (b *Backend) Crash() {
	b.stopOnce.Do(func() { close(b.stop) })
	_ = b.conn.Close()
	_ = b.healthListener.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.flows = map[flowKey]*serverFlow{}
}

// Leave tells the agent that the backend server has ended as planned, or returns an error when the agent can't be told.
func (b *Backend) Leave() error {
	request, err := http.NewRequest(http.MethodDelete, b.announceURL(), nil)
	if err != nil {
		return err
	}
	client := http.Client{Timeout: announceTimeout}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// announceURL returns the URL of the backend server at its agent.
func (b *Backend) announceURL() string {
	return "http://" + b.config.Announce + "/v1/instances/" + b.config.Name
}

// recordResponse records the agent's response to an announcement.
func (b *Backend) recordResponse(status int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.accepted = b.accepted || status == http.StatusOK
}

// Accepted reports whether the agent has accepted an announcement of the backend server.
func (b *Backend) Accepted() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.accepted
}

// Totals returns the number of distinct requests that have been started and the number of corrupt packets received.
func (b *Backend) Totals() (requests, corruptPackets int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.Runs), b.CorruptPackets
}

// HasOpenFlow reports whether the backend server holds an established flow of the caller.
func (b *Backend) HasOpenFlow(caller netip.AddrPort) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for key, flow := range b.flows {
		if key.caller == caller && flow.established {
			return true
		}
	}
	return false
}

// RepeatedRequests returns the IDs of the requests that were started more than once.
func (b *Backend) RepeatedRequests() []string {
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

// FlowCount returns the number of flows held, including those whose handshake is incomplete.
func (b *Backend) FlowCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.flows)
}

func (b *Backend) run() {
	buffer := make([]byte, 2048)
	for {
		_ = b.conn.SetReadDeadline(time.Now().Add(retransmitInterval))
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
		b.retransmit(time.Now())
		b.mu.Unlock()
	}
}

func (b *Backend) receive(datagram []byte) {
	packet, ok := Decode(datagram)
	if !ok || packet.Flags&Bounced != 0 {
		b.CorruptPackets++
		return
	}
	key := flowKey{caller: packet.From, route: packet.To}
	flow := b.flows[key]
	switch {
	case packet.Flags&Syn != 0:
		b.accept(key, packet)
	case flow == nil || !flow.established && packet.Ack != flow.firstSeq:
		datagram[0] |= Bounced
		b.send(datagram)
	case packet.Flags&Reset != 0, packet.Flags&Fin != 0:
		delete(b.flows, key)
	default:
		b.receiveData(key, flow, packet)
	}
}

func (b *Backend) accept(key flowKey, packet Packet) {
	if b.flows[key] == nil {
		b.flows[key] = &serverFlow{firstSeq: rand.Uint32(), nextSeq: packet.Seq + 1}
		b.flows[key].acked = b.flows[key].firstSeq
	}
	flow := b.flows[key]
	b.reply(key, flow, Syn|Ack, flow.firstSeq-1, nil)
}

// receiveData processes the data and acknowledgement of a caller's packet.
func (b *Backend) receiveData(key flowKey, flow *serverFlow, packet Packet) {
	flow.established = true
	if acked := packet.Ack - flow.firstSeq; acked <= uint32(len(flow.response)) {
		flow.acked = packet.Ack
	}
	if len(packet.Data) > 0 && packet.Seq == flow.nextSeq {
		flow.nextSeq += uint32(len(packet.Data))
		flow.response = append(flow.response, b.execute(packet.Data)...)
		flow.lastSent = time.Time{}
	}
	if len(packet.Data) > 0 {
		b.reply(key, flow, Ack, flow.firstSeq, nil)
	}
	if int(flow.acked-flow.firstSeq) < len(flow.response) {
		b.sendResponse(key, flow)
	}
}

// execute runs one request and returns its response.
func (b *Backend) execute(request []byte) []byte {
	var id string
	var size int
	if _, err := fmt.Sscanf(string(request), "GET %s %d", &id, &size); err != nil {
		b.CorruptPackets++
		return nil
	}
	b.Runs[id]++
	return Body(id, size)
}

// Body returns the response of size bytes to the request with the given ID.
func Body(id string, size int) []byte {
	return bytes.Repeat([]byte(id+" "), size/(len(id)+1)+1)[:size]
}

// sendResponse sends up to one window of unacknowledged response bytes.
func (b *Backend) sendResponse(key flowKey, flow *serverFlow) {
	flow.lastSent = time.Now()
	offset := int(flow.acked - flow.firstSeq)
	for i := 0; i < sendWindow && offset < len(flow.response); i++ {
		end := min(offset+maxPayload, len(flow.response))
		b.reply(key, flow, Ack, flow.firstSeq+uint32(offset), flow.response[offset:end])
		offset = end
	}
}

func (b *Backend) retransmit(now time.Time) {
	for key, flow := range b.flows {
		if int(flow.acked-flow.firstSeq) < len(flow.response) && now.Sub(flow.lastSent) > retransmitInterval {
			b.sendResponse(key, flow)
		}
	}
}

func (b *Backend) reply(key flowKey, flow *serverFlow, flags byte, seq uint32, data []byte) {
	b.send(Packet{Ack: flow.nextSeq, Data: data, Flags: flags, From: key.route, Seq: seq, To: key.caller}.Encode())
}

func (b *Backend) send(datagram []byte) {
	_, _ = b.conn.WriteToUDPAddrPort(datagram, b.config.Outlet) // an error counts as a lost packet
}

// runAnnouncements announces the backend server to its agent at regular intervals until it stops.
func (b *Backend) runAnnouncements() {
	client := http.Client{Timeout: announceTimeout}
	for {
		b.mu.Lock()
		if b.silent {
			b.mu.Unlock()
			return
		}
		b.sequence++
		body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":"z","version":"v1","concurrency":%d,"state":%q,"warmup_left_ms":0,"sequence":%d,"born":%d}`,
			b.config.Service, b.config.Inlet, b.config.Slots, b.state, b.sequence, b.startedMS)
		b.mu.Unlock()
		url := b.announceURL()
		if request, err := http.NewRequest(http.MethodPut, url, strings.NewReader(body)); err == nil {
			if response, err := client.Do(request); err == nil {
				_ = response.Body.Close()
				b.recordResponse(response.StatusCode)
			}
		}
		select {
		case <-time.After(announceInterval):
		case <-b.stop:
			return
		}
	}
}
