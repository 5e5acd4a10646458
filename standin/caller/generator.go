package caller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cyclamendock/cyclamendock/lib/fault"
	"github.com/cyclamendock/cyclamendock/lib/ticket"
)

const (
	maxAttempts            = 4
	maxLatencyMicroseconds = int64(60 * time.Second / time.Microsecond)
	queryFlows             = 70               // flows over which queries are distributed
	requestTimeout         = 20 * time.Second // timeout of a document request, or of a booking with all its attempts
	retryPause             = 100 * time.Millisecond
)

// ServiceLoad configures the load on one service.
type ServiceLoad struct {
	Address            netip.AddrPort
	BookingsPerSecond  float64
	DocumentChunks     int
	DocumentPause      time.Duration // after each chunk
	DocumentsPerSecond float64
	Feeds              int // number of feeds to keep open
	Name               string
	QueriesPerSecond   float64
}

// Config configures a Generator.
type Config struct {
	Duration time.Duration
	Label    string // prefix of booking names, unique per load on the same backend servers
	Seed     uint64
	Servers  []netip.AddrPort // backend servers whose records are compared with the booking outcomes
	Services []ServiceLoad
}

// Generator is a load generator that simulates callers and verifies the responses that they get.
type Generator struct {
	bookings  *bookingLog
	config    Config
	latencies map[string]*hdrhistogram.Histogram // by operation, in microseconds
	mu        sync.Mutex
	openFeeds map[string]map[string]int // by service and backend server
	random    *rand.Rand
	report    Report
	runCtx    context.Context // ends when the configured duration is over
	workers   sync.WaitGroup
}

// NewGenerator returns a load generator that has not started.
func NewGenerator(config Config) *Generator {
	return &Generator{
		bookings:  newBookingLog(),
		config:    config,
		latencies: map[string]*hdrhistogram.Histogram{},
		openFeeds: map[string]map[string]int{},
		random:    rand.New(rand.NewPCG(config.Seed, 2)),
	}
}

// Run generates load for the configured duration, waits for the pending requests and returns the results.
func (g *Generator) Run(ctx context.Context) Report {
	ctx, cancel := context.WithTimeout(ctx, g.config.Duration)
	defer cancel()
	g.runCtx = ctx
	for _, load := range g.config.Services {
		g.startServiceLoad(load)
	}
	<-ctx.Done()
	g.workers.Wait()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.report.Imbalance = computeImbalances(g.openFeeds)
	g.report.Latency = summarizeLatencies(g.latencies)
	g.report.Verification = g.bookings.verify(g.config.Servers)
	g.report.sumBrokenFlows()
	return g.report
}

func (g *Generator) startServiceLoad(load ServiceLoad) {
	for i := range load.Feeds {
		g.workers.Add(1)
		delay := time.Duration(i) * time.Second / time.Duration(load.Feeds)
		go g.runFeed(load, delay)
	}
	g.startArrivals(load.BookingsPerSecond, func(i int) { g.book(load, i) })
	g.startArrivals(load.DocumentsPerSecond, func(i int) { g.fetchDocument(load, i) })
	if load.QueriesPerSecond > 0 {
		g.startQueries(load)
	}
}

// startQueries sends queries over a fixed set of long-lived flows.
func (g *Generator) startQueries(load ServiceLoad) {
	clients := make([]*Client, queryFlows)
	for i := range clients {
		clients[i] = NewClient(load.Address)
	}
	g.startArrivals(load.QueriesPerSecond, func(i int) { g.query(clients[i%len(clients)]) })
	g.workers.Add(1)
	go g.runCloseClients(clients)
}

// runCloseClients closes the clients at the end of the load.
func (g *Generator) runCloseClients(clients []*Client) {
	defer g.workers.Done()
	<-g.runCtx.Done()
	for _, client := range clients {
		client.Close()
	}
}

func (g *Generator) query(client *Client) {
	answer, err := client.Do(g.runCtx, http.MethodGet, "/slots", "", "")
	g.updateReport(func(r *Report) {
		r.QueriesSent++
		if err == nil && answer.Status == http.StatusOK {
			r.QueriesServed++
		}
	})
}

func (g *Generator) startArrivals(perSecond float64, job func(int)) {
	if perSecond <= 0 {
		return
	}
	g.workers.Add(1)
	go g.runArrivals(perSecond, job)
}

// runArrivals starts jobs as a Poisson process with the given mean rate.
func (g *Generator) runArrivals(perSecond float64, job func(int)) {
	defer g.workers.Done()
	for i := 0; ; i++ {
		g.mu.Lock()
		interval := time.Duration(g.random.ExpFloat64() / perSecond * float64(time.Second))
		g.mu.Unlock()
		select {
		case <-time.After(interval):
		case <-g.runCtx.Done():
			return
		}
		g.workers.Add(1)
		go g.runJob(i, job)
	}
}

func (g *Generator) runJob(i int, job func(int)) {
	defer g.workers.Done()
	job(i)
}

// runFeed opens one feed after the delay and reports it when it is refused or breaks before the end of the load.
func (g *Generator) runFeed(load ServiceLoad, delay time.Duration) {
	defer g.workers.Done()
	select {
	case <-time.After(delay):
	case <-g.runCtx.Done():
		return
	}
	client := NewClient(load.Address)
	defer client.Close()
	startedAt := time.Now()
	backend, opened := "", false
	err := client.Feed(g.runCtx, func(name string) {
		backend, opened = name, true
		g.recordLatency("feedOpening", time.Since(startedAt))
		g.adjustOpenFeeds(load.Name, name, 1)
		g.updateReport(func(r *Report) { r.FeedsOpened++ })
	}, func() { g.updateReport(func(r *Report) { r.FeedEvents++ }) })
	if g.runCtx.Err() != nil {
		return
	}
	if !opened {
		g.updateReport(func(r *Report) {
			r.FeedsRefused++
			r.addFailure(fmt.Sprintf("feed of %s refused: %v", load.Name, err))
		})
		return
	}
	g.adjustOpenFeeds(load.Name, backend, -1)
	g.updateReport(func(r *Report) {
		r.FeedsBroken++
		r.addFailure(fmt.Sprintf("feed of %s on %s broke: %v", load.Name, backend, err))
	})
}

// fetchDocument fetches one document over a new flow.
func (g *Generator) fetchDocument(load ServiceLoad, i int) {
	client := NewClient(load.Address)
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	startedAt := time.Now()
	name := fmt.Sprintf("%s-%d", load.Name, i)
	answer, err := client.Document(ctx, name, max(load.DocumentChunks, 1), load.DocumentPause)
	g.updateReport(func(r *Report) {
		r.DocumentsRequested++
		switch {
		case fault.Is(err, fault.Invalid):
			r.DocumentsWrong++
		case err != nil:
			r.DocumentsBroken++
			r.addFailure(fmt.Sprintf("document of %s broke: %v", load.Name, err))
		case answer.Status == http.StatusOK:
			r.DocumentsComplete++
		default:
			r.DocumentsRefused++
			r.addFailure(fmt.Sprintf("document of %s refused: %s", load.Name, answer.Reason))
		}
	})
	if err == nil && answer.Status == http.StatusOK {
		g.recordLatency("document", time.Since(startedAt))
	}
}

// book makes one booking with retries: a retry reuses the ticket, which prevents a second run, unless the previous
// attempt certainly did not run.
func (g *Generator) book(load ServiceLoad, i int) {
	booking := fmt.Sprintf("%s%s/%d", g.config.Label, load.Name, i)
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	startedAt := time.Now()
	g.updateReport(func(r *Report) { r.BookingsRequested++ })
	ticketText, outcome := "", ""
	for range maxAttempts {
		ticketText, outcome = g.attemptBooking(ctx, load, booking, ticketText)
		if outcome == ticket.Ran.String() {
			g.recordLatency("booking", time.Since(startedAt))
			break
		}
		if outcome == ticket.NotRun.String() {
			ticketText = ""
		}
		time.Sleep(retryPause)
	}
	g.bookings.record(booking, outcome)
	g.updateReport(func(r *Report) { r.countBooking(outcome) })
}

// attemptBooking sends the booking once over a new flow and returns its ticket and outcome.
func (g *Generator) attemptBooking(ctx context.Context, load ServiceLoad, booking, ticketText string) (string, string) {
	client := NewClient(load.Address)
	defer client.Close()
	if ticketText == "" {
		newTicket, err := client.Ticket(ctx)
		if err != nil {
			return "", ticket.NotRun.String()
		}
		ticketText = newTicket
	}
	answer, err := client.Do(ctx, http.MethodPost, "/bookings", ticketText, booking)
	if err != nil || answer.Outcome == "" {
		return ticketText, ticket.Unknown.String()
	}
	if answer.Outcome == ticket.Ran.String() && answer.Body != "booked "+booking+"\n" {
		g.updateReport(func(r *Report) { r.BookingsWrong++ })
	}
	return ticketText, answer.Outcome
}

func (g *Generator) recordLatency(operation string, latency time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.latencies[operation] == nil {
		g.latencies[operation] = hdrhistogram.New(1, maxLatencyMicroseconds, 3)
	}
	_ = g.latencies[operation].RecordValue(latency.Microseconds())
}

// adjustOpenFeeds adds change to the number of a service's feeds that are open on a backend server.
func (g *Generator) adjustOpenFeeds(service, backend string, change int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.openFeeds[service] == nil {
		g.openFeeds[service] = map[string]int{}
	}
	g.openFeeds[service][backend] += change
}

func (g *Generator) updateReport(update func(*Report)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	update(&g.report)
}
