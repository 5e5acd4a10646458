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
	requestTimeout         = 20 * time.Second // of a document, or of a booking with all its attempts
	retryPause             = 100 * time.Millisecond
)

// Plan configures the load on one service.
type Plan struct {
	Address            netip.AddrPort
	BookingsPerSecond  float64
	DocumentChunks     int
	DocumentPause      time.Duration // after each chunk
	DocumentsPerSecond float64
	Feeds              int // number of feeds to keep open
	Name               string
	QueriesPerSecond   float64
}

// Config configures a Load.
type Config struct {
	Duration time.Duration
	Label    string // prefix of booking names, unique per load on the same backend servers
	Plans    []Plan
	Seed     uint64
	Servers  []netip.AddrPort // backend servers whose records are compared with the booking outcomes
}

// Load is a load generator that simulates callers and verifies the responses that they get.
type Load struct {
	bookings  *bookingLog
	config    Config
	latencies map[string]*hdrhistogram.Histogram // by operation, in microseconds
	mu        sync.Mutex
	openFeeds map[string]map[string]int // by service and backend server
	random    *rand.Rand
	report    Report
	runCtx    context.Context // ends with the load's duration
	workers   sync.WaitGroup
}

// NewLoad returns a load generator that has not started.
func NewLoad(config Config) *Load {
	return &Load{
		bookings:  newBookingLog(),
		config:    config,
		latencies: map[string]*hdrhistogram.Histogram{},
		openFeeds: map[string]map[string]int{},
		random:    rand.New(rand.NewPCG(config.Seed, 2)),
	}
}

// Run generates load for the configured duration, waits for the pending requests and returns the results.
func (l *Load) Run(ctx context.Context) Report {
	ctx, cancel := context.WithTimeout(ctx, l.config.Duration)
	defer cancel()
	l.runCtx = ctx
	for _, plan := range l.config.Plans {
		l.startPlan(plan)
	}
	<-ctx.Done()
	l.workers.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.report.Imbalance = computeImbalances(l.openFeeds)
	l.report.Latency = summarizeLatencies(l.latencies)
	l.report.Judgement = l.bookings.verify(l.config.Servers)
	l.report.sumBrokenFlows()
	return l.report
}

func (l *Load) startPlan(plan Plan) {
	for i := range plan.Feeds {
		l.workers.Add(1)
		delay := time.Duration(i) * time.Second / time.Duration(plan.Feeds)
		go l.runFeed(plan, delay)
	}
	l.startArrivals(plan.BookingsPerSecond, func(i int) { l.book(plan, i) })
	l.startArrivals(plan.DocumentsPerSecond, func(i int) { l.fetchDocument(plan, i) })
	if plan.QueriesPerSecond > 0 {
		l.startQueries(plan)
	}
}

// startQueries sends queries over a fixed set of long-lived flows.
func (l *Load) startQueries(plan Plan) {
	clients := make([]*Client, queryFlows)
	for i := range clients {
		clients[i] = NewClient(plan.Address)
	}
	l.startArrivals(plan.QueriesPerSecond, func(i int) { l.query(clients[i%len(clients)]) })
	l.workers.Add(1)
	go l.runCloseClients(clients)
}

// runCloseClients closes the clients at the end of the load.
func (l *Load) runCloseClients(clients []*Client) {
	defer l.workers.Done()
	<-l.runCtx.Done()
	for _, client := range clients {
		client.Close()
	}
}

func (l *Load) query(client *Client) {
	answer, err := client.Do(l.runCtx, http.MethodGet, "/slots", "", "")
	l.updateReport(func(r *Report) {
		r.QueriesAsked++
		if err == nil && answer.Status == http.StatusOK {
			r.QueriesServed++
		}
	})
}

func (l *Load) startArrivals(perSecond float64, job func(int)) {
	if perSecond <= 0 {
		return
	}
	l.workers.Add(1)
	go l.runArrivals(perSecond, job)
}

// runArrivals starts jobs as a Poisson process with the given mean rate.
func (l *Load) runArrivals(perSecond float64, job func(int)) {
	defer l.workers.Done()
	for i := 0; ; i++ {
		l.mu.Lock()
		interval := time.Duration(l.random.ExpFloat64() / perSecond * float64(time.Second))
		l.mu.Unlock()
		select {
		case <-time.After(interval):
		case <-l.runCtx.Done():
			return
		}
		l.workers.Add(1)
		go l.runJob(i, job)
	}
}

func (l *Load) runJob(i int, job func(int)) {
	defer l.workers.Done()
	job(i)
}

// runFeed opens one feed after the delay and reports it when it is refused or breaks before the end of the load.
func (l *Load) runFeed(plan Plan, delay time.Duration) {
	defer l.workers.Done()
	select {
	case <-time.After(delay):
	case <-l.runCtx.Done():
		return
	}
	client := NewClient(plan.Address)
	defer client.Close()
	startedAt := time.Now()
	backend, opened := "", false
	err := client.Feed(l.runCtx, func(name string) {
		backend, opened = name, true
		l.recordLatency("feedOpening", time.Since(startedAt))
		l.adjustOpenFeeds(plan.Name, name, 1)
		l.updateReport(func(r *Report) { r.FeedsOpened++ })
	}, func() { l.updateReport(func(r *Report) { r.FeedEvents++ }) })
	if l.runCtx.Err() != nil {
		return
	}
	if !opened {
		l.updateReport(func(r *Report) {
			r.FeedsRefused++
			r.addNote(fmt.Sprintf("feed of %s refused: %v", plan.Name, err))
		})
		return
	}
	l.adjustOpenFeeds(plan.Name, backend, -1)
	l.updateReport(func(r *Report) {
		r.FeedsBroken++
		r.addNote(fmt.Sprintf("feed of %s on %s broke: %v", plan.Name, backend, err))
	})
}

// fetchDocument fetches one document over a new flow.
func (l *Load) fetchDocument(plan Plan, i int) {
	client := NewClient(plan.Address)
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	startedAt := time.Now()
	name := fmt.Sprintf("%s-%d", plan.Name, i)
	answer, err := client.Document(ctx, name, max(plan.DocumentChunks, 1), plan.DocumentPause)
	l.updateReport(func(r *Report) {
		r.DocumentsAsked++
		switch {
		case fault.Is(err, fault.Invalid):
			r.DocumentsWrong++
		case err != nil:
			r.DocumentsBroken++
			r.addNote(fmt.Sprintf("document of %s broke: %v", plan.Name, err))
		case answer.Status == http.StatusOK:
			r.DocumentsWhole++
		default:
			r.DocumentsRefused++
			r.addNote(fmt.Sprintf("document of %s refused: %s", plan.Name, answer.Reason))
		}
	})
	if err == nil && answer.Status == http.StatusOK {
		l.recordLatency("document", time.Since(startedAt))
	}
}

// book makes one booking with retries: a retry reuses the ticket, which prevents a second run, unless the previous
// attempt certainly did not run.
func (l *Load) book(plan Plan, i int) {
	booking := fmt.Sprintf("%s%s/%d", l.config.Label, plan.Name, i)
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	startedAt := time.Now()
	l.updateReport(func(r *Report) { r.BookingsAsked++ })
	ticketText, outcome := "", ""
	for range maxAttempts {
		ticketText, outcome = l.attemptBooking(ctx, plan, booking, ticketText)
		if outcome == ticket.Ran.String() {
			l.recordLatency("booking", time.Since(startedAt))
			break
		}
		if outcome == ticket.NotRun.String() {
			ticketText = ""
		}
		time.Sleep(retryPause)
	}
	l.bookings.record(booking, outcome)
	l.updateReport(func(r *Report) { r.countBooking(outcome) })
}

// attemptBooking sends the booking once over a new flow and returns its ticket and outcome.
func (l *Load) attemptBooking(ctx context.Context, plan Plan, booking, ticketText string) (string, string) {
	client := NewClient(plan.Address)
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
		l.updateReport(func(r *Report) { r.BookingsWrong++ })
	}
	return ticketText, answer.Outcome
}

func (l *Load) recordLatency(operation string, latency time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.latencies[operation] == nil {
		l.latencies[operation] = hdrhistogram.New(1, maxLatencyMicroseconds, 3)
	}
	_ = l.latencies[operation].RecordValue(latency.Microseconds())
}

// adjustOpenFeeds adds change to the number of a service's feeds that are open on a backend server.
func (l *Load) adjustOpenFeeds(service, backend string, change int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.openFeeds[service] == nil {
		l.openFeeds[service] = map[string]int{}
	}
	l.openFeeds[service][backend] += change
}

func (l *Load) updateReport(update func(*Report)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	update(&l.report)
}
