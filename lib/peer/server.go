package peer

import (
	"net"
	"net/netip"
	"net/rpc"
	"sync"

	"github.com/cyclamendock/cyclamendock/lib/fault"
	"github.com/cyclamendock/cyclamendock/lib/trust"
)

// ServerConfig configures a Server.
type ServerConfig struct {
	Address  netip.AddrPort
	Services map[string]any // net/rpc receivers by service name
	Trust    *trust.Allowlist
}

// Server answers calls from trusted addresses.
type Server struct {
	config      ServerConfig
	connections map[net.Conn]bool
	listener    net.Listener
	mu          sync.Mutex
	rpc         *rpc.Server
}

// NewServer listens on the address, or returns an Unavailable fault when it can't be used.
func NewServer(config ServerConfig) (*Server, error) {
	s := &Server{config: config, connections: map[net.Conn]bool{}, rpc: rpc.NewServer()}
	for name, receiver := range config.Services {
		if err := s.rpc.RegisterName(name, receiver); err != nil {
			return nil, fault.Wrap(err, fault.Internal, "the RPC service "+name+" can't be registered", "report this")
		}
	}
	listener, err := net.Listen("tcp4", config.Address.String())
	if err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, "the address "+config.Address.String()+" can't be used", "choose a free address of this host")
	}
	s.listener = listener
	return s, nil
}

// Start accepts connections in the background until Close.
func (s *Server) Start() { go s.run() }

// Close stops the server and closes its connections.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for connection := range s.connections {
		_ = connection.Close()
	}
}

func (s *Server) run() {
	for {
		connection, err := s.listener.Accept()
		if err != nil {
			return
		}
		from := connection.RemoteAddr().(*net.TCPAddr).AddrPort().Addr().Unmap()
		if !s.config.Trust.Allows(from) {
			_ = connection.Close()
			continue
		}
		go s.runConnection(connection)
	}
}

func (s *Server) runConnection(connection net.Conn) {
	s.mu.Lock()
	s.connections[connection] = true
	s.mu.Unlock()
	s.rpc.ServeConn(connection)
	s.mu.Lock()
	delete(s.connections, connection)
	s.mu.Unlock()
}
