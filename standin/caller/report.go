package caller

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cyclamendock/cyclamendock/lib/ticket"
)

const maxNotes = 20

// Percentiles are latencies in milliseconds.
type Percentiles struct {
	Count int64
	Max   float64
	P50   float64
	P99   float64
}

// A Judgement compares what callers were told with what the backend servers ran.
type Judgement struct {
	DeniedButRan int // told notRun and nothing else, yet run
	DoubleRun    int
	LostRun      int // told ran, yet not run
	ServersAway  int // backend servers whose records can't be read
}

// A Report is what became of a load.
type Report struct {
	BookingsAsked    int
	BookingsNotRun   int
	BookingsRan      int
	BookingsUnknown  int
	BookingsWrong    int // answers to another request
	BrokenFlows      int
	DocumentsAsked   int
	DocumentsBroken  int
	DocumentsRefused int
	DocumentsWhole   int
	DocumentsWrong   int
	FeedEvents       int
	FeedsBroken      int
	FeedsOpened      int
	FeedsRefused     int
	Imbalance        map[string]float64
	Judgement        Judgement
	Latency          map[string]Percentiles
	Notes            []string
	QueriesAsked     int
	QueriesServed    int
}

// Failures returns how many promises were broken.
func (r *Report) Failures() int {
	j := r.Judgement
	return r.BrokenFlows + r.BookingsWrong + r.DocumentsWrong + j.DeniedButRan + j.DoubleRun + j.LostRun
}

func (r *Report) total() { r.BrokenFlows = r.FeedsBroken + r.DocumentsBroken }

func (r *Report) note(text string) {
	if len(r.Notes) < maxNotes {
		r.Notes = append(r.Notes, text)
	}
}

func (r *Report) countBooking(outcome string) {
	switch outcome {
	case ticket.Ran.String():
		r.BookingsRan++
	case ticket.NotRun.String():
		r.BookingsNotRun++
	default:
		r.BookingsUnknown++
	}
}

func latencies(samples map[string]*hdrhistogram.Histogram) map[string]Percentiles {
	const perMilli = 1000
	found := map[string]Percentiles{}
	for what, h := range samples {
		found[what] = Percentiles{
			Count: h.TotalCount(),
			P50:   float64(h.ValueAtQuantile(50)) / perMilli,
			P99:   float64(h.ValueAtQuantile(99)) / perMilli,
			Max:   float64(h.Max()) / perMilli,
		}
	}
	return found
}

// imbalances returns for each service the greatest share of open feeds over the mean share.
func imbalances(shares map[string]map[string]int) map[string]float64 {
	found := map[string]float64{}
	for service, counts := range shares {
		sum, greatest := 0, 0
		for _, count := range counts {
			sum += count
			greatest = max(greatest, count)
		}
		if sum > 0 {
			found[service] = float64(greatest) * float64(len(counts)) / float64(sum)
		}
	}
	return found
}
