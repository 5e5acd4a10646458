package caller

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"hash/crc32"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"github.com/cyclamendock/cyclamendock/lib/fault"
	"github.com/cyclamendock/cyclamendock/lib/ticket"
	"github.com/cyclamendock/cyclamendock/standin/server"
)

const (
	handshakeTimeout = 8 * time.Second
	idleTimeout      = 30 * time.Second
)

// Client is an HTTP/3 client that sends all its requests over one flow.
type Client struct {
	base      string
	http      *http.Client
	transport *http3.Transport
}

// NewClient returns a client of the service at the address; the flow opens with the first request.
func NewClient(service netip.AddrPort) *Client {
	transport := &http3.Transport{
		QUICConfig: &quic.Config{
			HandshakeIdleTimeout: handshakeTimeout,
			KeepAlivePeriod:      idleTimeout / 4,
			MaxIdleTimeout:       idleTimeout,
		},
		TLSClientConfig: &tls.Config{InsecureSkipVerify: true},
	}
	return &Client{
		base:      "https://" + service.String(),
		http:      &http.Client{Transport: transport},
		transport: transport,
	}
}

// Close closes the flow.
func (c *Client) Close() { _ = c.transport.Close() }

// Answer holds the parts of a response that callers evaluate.
type Answer struct {
	Backend string // name of the backend server
	Body    string
	Outcome string
	Reason  string
	Status  int
}

// Do sends one request and reads the complete response.
func (c *Client) Do(ctx context.Context, method, path, ticketText, body string) (Answer, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, strings.NewReader(body))
	if err != nil {
		return Answer{}, err
	}
	if ticketText != "" {
		request.Header.Set(ticket.TicketHeader, ticketText)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return Answer{}, err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return Answer{}, err
	}
	return Answer{
		Backend: response.Header.Get(server.NameHeader),
		Body:    string(content),
		Outcome: response.Header.Get(ticket.OutcomeHeader),
		Reason:  response.Header.Get(ticket.ReasonHeader),
		Status:  response.StatusCode,
	}, nil
}

// Ticket requests an idempotency ticket, or returns an Unavailable fault when none is issued.
func (c *Client) Ticket(ctx context.Context) (string, error) {
	answer, err := c.Do(ctx, http.MethodGet, ticket.IssuePath, "", "")
	if err != nil {
		return "", err
	}
	if answer.Status != http.StatusOK {
		return "", fault.New(fault.Unavailable, "no ticket was issued: "+answer.Reason, "try again")
	}
	return strings.TrimSpace(answer.Body), nil
}

// Feed opens a feed, calls opened with the backend server's name and then event for each line until the context or the
// feed ends. It returns an Unavailable fault when the feed is refused and an Invalid fault when a line is out of sequence.
func (c *Client) Feed(ctx context.Context, opened func(backend string), event func()) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/feed", nil)
	if err != nil {
		return err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fault.New(fault.Unavailable, "the feed was refused: "+response.Header.Get(ticket.ReasonHeader), "try again")
	}
	opened(response.Header.Get(server.NameHeader))
	lines := bufio.NewScanner(response.Body)
	for number := 0; lines.Scan(); number++ {
		if lines.Text() != fmt.Sprintf("event %d", number) {
			return fault.New(fault.Invalid, "the feed sent an unexpected line: "+lines.Text(), "report this")
		}
		event()
	}
	if lines.Err() != nil {
		return lines.Err()
	}
	return io.ErrUnexpectedEOF
}

// Document fetches a document in chunks with a pause after each, and returns an Invalid fault when its checksum or
// its name is wrong.
func (c *Client) Document(ctx context.Context, name string, chunks int, pause time.Duration) (Answer, error) {
	path := fmt.Sprintf("/documents/%s?chunks=%d&pause=%s", name, chunks, pause)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, nil)
	if err != nil {
		return Answer{}, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return Answer{}, err
	}
	defer response.Body.Close()
	answer := Answer{
		Backend: response.Header.Get(server.NameHeader),
		Outcome: response.Header.Get(ticket.OutcomeHeader),
		Reason:  response.Header.Get(ticket.ReasonHeader),
		Status:  response.StatusCode,
	}
	content, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK {
		return answer, err
	}
	sum := strconv.FormatUint(uint64(crc32.ChecksumIEEE(content)), 16)
	if sum != response.Header.Get("Content-Checksum") || !strings.HasPrefix(string(content), name+" ") {
		return answer, fault.New(fault.Invalid, "document "+name+" has a wrong checksum or another document's content", "report this")
	}
	return answer, nil
}
