package stats

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/cyclamendock/cyclamendock/lib/fault"
)

const readTimeout = 5 * time.Second

// Config configures a Server.
type Config struct {
	Address netip.AddrPort
	Healthy func() error // returns why /healthz should report a failure; nil means always healthy
}

// Server holds the metrics of a process and serves /metrics and /healthz.
type Server struct {
	config   Config
	http     *http.Server
	registry *metrics.Set
}

// NewServer returns a server that does not listen yet.
func NewServer(config Config) *Server {
	s := &Server{config: config, registry: metrics.NewSet()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", s.writeMetrics)
	mux.HandleFunc("GET /healthz", s.writeHealth)
	s.http = &http.Server{Handler: mux, ReadHeaderTimeout: readTimeout}
	return s
}

// Counter returns the counter with the given name and labels, which are alternating names and values.
func (s *Server) Counter(name string, labels ...string) *metrics.Counter {
	return s.registry.GetOrCreateCounter(metricName(name, labels))
}

// Gauge registers a value that is read whenever metrics are served.
func (s *Server) Gauge(name string, read func() float64, labels ...string) {
	s.registry.GetOrCreateGauge(metricName(name, labels), read)
}

// Histogram returns the histogram with the given name and labels, which are alternating names and values.
func (s *Server) Histogram(name string, labels ...string) *metrics.Histogram {
	return s.registry.GetOrCreateHistogram(metricName(name, labels))
}

// Start listens and serves in the background, or returns an Unavailable fault when the address can't be used.
func (s *Server) Start() error {
	listener, err := net.Listen("tcp4", s.config.Address.String())
	if err != nil {
		return fault.Wrap(err, fault.Unavailable, "the metrics address can't be used", "choose a free metricsAddress")
	}
	go s.run(listener)
	return nil
}

// Close stops listening.
func (s *Server) Close() { _ = s.http.Close() }

func (s *Server) run(listener net.Listener) { _ = s.http.Serve(listener) }

func (s *Server) writeMetrics(w http.ResponseWriter, _ *http.Request) {
	s.registry.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

func (s *Server) writeHealth(w http.ResponseWriter, _ *http.Request) {
	if s.config.Healthy != nil {
		if err := s.config.Healthy(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
	}
	_, _ = fmt.Fprintln(w, "ok")
}

func metricName(name string, labels []string) string {
	if len(labels) == 0 {
		return name
	}
	text := name + "{"
	for i := 0; i+1 < len(labels); i += 2 {
		if i > 0 {
			text += ","
		}
		text += fmt.Sprintf("%s=%q", labels[i], labels[i+1])
	}
	return text + "}"
}
