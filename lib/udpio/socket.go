package udpio

import (
	"net"
	"net/netip"

	"golang.org/x/net/ipv4"

	"github.com/cyclamendock/cyclamendock/lib/fault"
)

const (
	// BatchSize is the default number of datagrams per system call.
	BatchSize = 64
	// MaxDatagram is the maximum datagram size in bytes; longer datagrams are truncated when read.
	MaxDatagram = 2048

	socketBufferSize = 4 << 20
)

// Socket is a UDP socket for IPv4.
type Socket struct {
	address   netip.AddrPort
	batchConn *ipv4.PacketConn
	conn      *net.UDPConn
	filter    Filter
}

// Filter reports whether a datagram to an address is sent; the others are dropped. It is called by several goroutines at once.
type Filter func(to netip.AddrPort) bool

// Listen opens a socket, or returns an Unavailable fault when the address can't be used.
func Listen(address netip.AddrPort) (*Socket, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, "the address "+address.String()+" can't be used", "choose a free address of this host")
	}
	_ = conn.SetReadBuffer(socketBufferSize)
	_ = conn.SetWriteBuffer(socketBufferSize)
	local := conn.LocalAddr().(*net.UDPAddr).AddrPort()
	return &Socket{address: local, batchConn: ipv4.NewPacketConn(conn), conn: conn}, nil
}

// Address returns the local address of the socket.
func (s *Socket) Address() netip.AddrPort { return s.address }

// SetFilter sets the filter of the datagrams to be sent; nil, the default, passes all. It must be called before the first one is sent.
func (s *Socket) SetFilter(filter Filter) { s.filter = filter }

func (s *Socket) passes(to netip.AddrPort) bool { return s.filter == nil || s.filter(to) }

// Send writes one datagram and ignores errors, since datagrams may be lost anyway.
func (s *Socket) Send(datagram []byte, to netip.AddrPort) {
	if !s.passes(to) {
		return
	}
	_, _ = s.conn.WriteToUDPAddrPort(datagram, to)
}

// Receive reads one datagram, or returns the error of a closed socket.
func (s *Socket) Receive(buffer []byte) (int, netip.AddrPort, error) {
	n, from, err := s.conn.ReadFromUDPAddrPort(buffer)
	return n, netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), err
}

// Close closes the socket, which makes its readers return an error.
func (s *Socket) Close() { _ = s.conn.Close() }

// Reader reads batches of datagrams from a socket into its own buffers.
type Reader struct {
	messages []ipv4.Message
	socket   *Socket
}

// NewReader returns a reader for BatchSize datagrams, for use by one goroutine.
func NewReader(socket *Socket) *Reader { return NewReaderSize(socket, BatchSize) }

// NewReaderSize returns a reader that reads up to batch datagrams at once.
func NewReaderSize(socket *Socket, batch int) *Reader {
	r := &Reader{messages: make([]ipv4.Message, batch), socket: socket}
	for i := range r.messages {
		r.messages[i].Buffers = [][]byte{make([]byte, MaxDatagram)}
	}
	return r
}

// Read waits for datagrams and returns how many were read, or the error of the socket.
func (r *Reader) Read() (int, error) { return r.socket.batchConn.ReadBatch(r.messages, 0) }

// Datagram returns the i-th datagram of the last batch, valid until the next Read.
func (r *Reader) Datagram(i int) []byte { return r.messages[i].Buffers[0][:r.messages[i].N] }

// From returns the sender of the i-th datagram of the last batch.
func (r *Reader) From(i int) netip.AddrPort {
	udp, ok := r.messages[i].Addr.(*net.UDPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	ip, ok := netip.AddrFromSlice(udp.IP)
	if !ok {
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(ip.Unmap(), uint16(udp.Port))
}

// Writer collects datagrams and writes them in batches.
type Writer struct {
	addresses []net.UDPAddr
	count     int
	ips       [][4]byte
	messages  []ipv4.Message
	socket    *Socket
}

// NewWriter returns a writer for BatchSize datagrams, for use by one goroutine.
func NewWriter(socket *Socket) *Writer { return NewWriterSize(socket, BatchSize) }

// NewWriterSize returns a writer that queues up to batch datagrams.
func NewWriterSize(socket *Socket, batch int) *Writer {
	w := &Writer{
		addresses: make([]net.UDPAddr, batch),
		ips:       make([][4]byte, batch),
		messages:  make([]ipv4.Message, batch),
		socket:    socket,
	}
	for i := range w.messages {
		w.addresses[i].IP = w.ips[i][:]
		w.messages[i].Addr = &w.addresses[i]
		w.messages[i].Buffers = [][]byte{make([]byte, 0, MaxDatagram)}
	}
	return w
}

// Buffer returns an empty buffer for the next datagram.
func (w *Writer) Buffer() []byte { return w.messages[w.count].Buffers[0][:0] }

// Add queues a datagram that was appended to Buffer, and writes the batch when it is full.
func (w *Writer) Add(datagram []byte, to netip.AddrPort) {
	if !w.socket.passes(to) {
		return
	}
	w.messages[w.count].Buffers[0] = datagram
	w.ips[w.count] = to.Addr().As4()
	w.addresses[w.count].Port = int(to.Port())
	w.count++
	if w.count == len(w.messages) {
		w.Flush()
	}
}

// Flush writes the queued datagrams and skips those that can't be sent.
func (w *Writer) Flush() {
	for sent := 0; sent < w.count; {
		n, err := w.socket.batchConn.WriteBatch(w.messages[sent:w.count], 0)
		if err != nil || n <= 0 {
			n = 1 // skip the datagram that failed
		}
		sent += n
	}
	w.count = 0
}
