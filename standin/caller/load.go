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
	attempts     = 4
	attemptLimit = 20 * time.Second
	attemptPause = 100 * time.Millisecond
	queryFlows   = 70
	maxLatency   = int64(60 * time.Second / time.Microsecond)
)

// A Plan is the load on one service.
type Plan struct {
	Address            netip.AddrPort
	BookingsPerSecond  float64
	DocumentChunks     int
	DocumentPause      time.Duration
	DocumentsPerSecond float64
	Feeds              int
	Name               string
	QueriesPerSecond   float64
}

// A Config holds what a Load needs.
type Config struct {
	Duration time.Duration
	Label    string // that tells the bookings of several loads apart
	Plans    []Plan
	Seed     uint64
	Servers  []netip.AddrPort // whose records judge the bookings
}

// A Load makes callers and judges what they were told.
type Load struct {
	config   Config
	ledger   *ledger
	mu       sync.Mutex
	random   *rand.Rand
	report   Report
	samples  map[string]*hdrhistogram.Histogram
	shares   map[string]map[string]int // open feeds by service and backend server
	wait     sync.WaitGroup
	finished context.Context
}

// NewLoad returns a load that has not started.
func NewLoad(config Config) *Load {
	return &Load{
		config:  config,
		ledger:  newLedger(),
		random:  rand.New(rand.NewPCG(config.Seed, 2)),
		samples: map[string]*hdrhistogram.Histogram{},
		shares:  map[string]map[string]int{},
	}
}

// Run makes callers for the configured time and returns what became of them.
func (l *Load) Run(ctx context.Context) Report {
	ctx, cancel := context.WithTimeout(ctx, l.config.Duration)
	defer cancel()
	l.finished = ctx
	for _, plan := range l.config.Plans {
		l.start(plan)
	}
	<-ctx.Done()
	l.wait.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.report.Imbalance = imbalances(l.shares)
	l.report.Latency = latencies(l.samples)
	l.report.Judgement = l.ledger.judge(l.config.Servers)
	l.report.total()
	return l.report
}

func (l *Load) start(plan Plan) {
	for i := range plan.Feeds {
		l.wait.Add(1)
		delay := time.Duration(i) * time.Second / time.Duration(plan.Feeds)
		go l.runFeed(plan, delay)
	}
	l.startRate(plan.BookingsPerSecond, func(i int) { l.book(plan, i) })
	l.startRate(plan.DocumentsPerSecond, func(i int) { l.fetch(plan, i) })
	if plan.QueriesPerSecond > 0 {
		l.startQueries(plan)
	}
}

// startQueries sends queries over a few flows that stay open.
func (l *Load) startQueries(plan Plan) {
	clients := make([]*Client, queryFlows)
	for i := range clients {
		clients[i] = NewClient(plan.Address)
	}
	l.startRate(plan.QueriesPerSecond, func(i int) { l.query(clients[i%len(clients)]) })
	l.wait.Add(1)
	go l.runQueryEnd(clients)
}

// runQueryEnd closes the flows of queries when the load is over.
func (l *Load) runQueryEnd(clients []*Client) {
	defer l.wait.Done()
	<-l.finished.Done()
	for _, client := range clients {
		client.Close()
	}
}

func (l *Load) query(client *Client) {
	answer, err := client.Do(l.finished, http.MethodGet, "/slots", "", "")
	l.add(func(r *Report) {
		r.QueriesAsked++
		if err == nil && answer.Status == http.StatusOK {
			r.QueriesServed++
		}
	})
}

func (l *Load) startRate(perSecond float64, work func(int)) {
	if perSecond <= 0 {
		return
	}
	l.wait.Add(1)
	go l.runRate(perSecond, work)
}

// runRate starts work at random intervals with a mean rate.
func (l *Load) runRate(perSecond float64, work func(int)) {
	defer l.wait.Done()
	for i := 0; ; i++ {
		l.mu.Lock()
		gap := time.Duration(l.random.ExpFloat64() / perSecond * float64(time.Second))
		l.mu.Unlock()
		select {
		case <-time.After(gap):
		case <-l.finished.Done():
			return
		}
		l.wait.Add(1)
		go l.runWork(i, work)
	}
}

func (l *Load) runWork(i int, work func(int)) {
	defer l.wait.Done()
	work(i)
}

// runFeed keeps one feed open and opens it again only when it was refused.
func (l *Load) runFeed(plan Plan, delay time.Duration) {
	defer l.wait.Done()
	select {
	case <-time.After(delay):
	case <-l.finished.Done():
		return
	}
	client := NewClient(plan.Address)
	defer client.Close()
	started := time.Now()
	backend, opened := "", false
	err := client.Feed(l.finished, func(name string) {
		backend, opened = name, true
		l.observe("feedOpening", time.Since(started))
		l.share(plan.Name, name, 1)
		l.add(func(r *Report) { r.FeedsOpened++ })
	}, func() { l.add(func(r *Report) { r.FeedEvents++ }) })
	if l.finished.Err() != nil {
		return
	}
	if !opened {
		l.add(func(r *Report) {
			r.FeedsRefused++
			r.note(fmt.Sprintf("feed of %s refused: %v", plan.Name, err))
		})
		return
	}
	l.share(plan.Name, backend, -1)
	l.add(func(r *Report) {
		r.FeedsBroken++
		r.note(fmt.Sprintf("feed of %s on %s broke: %v", plan.Name, backend, err))
	})
}

// fetch gets one document over a flow of its own.
func (l *Load) fetch(plan Plan, i int) {
	client := NewClient(plan.Address)
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), attemptLimit)
	defer cancel()
	started := time.Now()
	name := fmt.Sprintf("%s-%d", plan.Name, i)
	answer, err := client.Document(ctx, name, max(plan.DocumentChunks, 1), plan.DocumentPause)
	l.add(func(r *Report) {
		r.DocumentsAsked++
		switch {
		case fault.Is(err, fault.Invalid):
			r.DocumentsWrong++
		case err != nil:
			r.DocumentsBroken++
			r.note(fmt.Sprintf("document of %s broke: %v", plan.Name, err))
		case answer.Status == http.StatusOK:
			r.DocumentsWhole++
		default:
			r.DocumentsRefused++
			r.note(fmt.Sprintf("document of %s refused: %s", plan.Name, answer.Reason))
		}
	})
	if err == nil && answer.Status == http.StatusOK {
		l.observe("document", time.Since(started))
	}
}

// book makes one booking as a careful caller does: a repeat keeps its ticket unless the answer was notRun.
func (l *Load) book(plan Plan, i int) {
	booking := fmt.Sprintf("%s%s/%d", l.config.Label, plan.Name, i)
	ctx, cancel := context.WithTimeout(context.Background(), attemptLimit)
	defer cancel()
	started := time.Now()
	l.add(func(r *Report) { r.BookingsAsked++ })
	text, outcome := "", ""
	for range attempts {
		text, outcome = l.attempt(ctx, plan, booking, text)
		if outcome == ticket.Ran.String() {
			l.observe("booking", time.Since(started))
			break
		}
		if outcome == ticket.NotRun.String() {
			text = ""
		}
		time.Sleep(attemptPause)
	}
	l.ledger.conclude(booking, outcome)
	l.add(func(r *Report) { r.countBooking(outcome) })
}

// attempt sends the booking once over a flow of its own and returns its ticket and outcome.
func (l *Load) attempt(ctx context.Context, plan Plan, booking, text string) (string, string) {
	client := NewClient(plan.Address)
	defer client.Close()
	if text == "" {
		fresh, err := client.Ticket(ctx)
		if err != nil {
			return "", ticket.NotRun.String()
		}
		text = fresh
	}
	answer, err := client.Do(ctx, http.MethodPost, "/bookings", text, booking)
	if err != nil || answer.Outcome == "" {
		return text, ticket.Unknown.String()
	}
	if answer.Outcome == ticket.Ran.String() && answer.Body != "booked "+booking+"\n" {
		l.add(func(r *Report) { r.BookingsWrong++ })
	}
	return text, answer.Outcome
}

func (l *Load) observe(what string, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.samples[what] == nil {
		l.samples[what] = hdrhistogram.New(1, maxLatency, 3)
	}
	_ = l.samples[what].RecordValue(took.Microseconds())
}

func (l *Load) share(service, backend string, change int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.shares[service] == nil {
		l.shares[service] = map[string]int{}
	}
	l.shares[service][backend] += change
}

func (l *Load) add(change func(*Report)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(&l.report)
}
