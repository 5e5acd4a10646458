package caller

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cyclamendock/cyclamendock/lib/ticket"
)

const maxFirstFailures = 20 // per report

// LatencySummary summarizes the latencies of one operation in milliseconds.
type LatencySummary struct {
	Count int64 // number of samples
	Max   float64
	P50   float64
	P99   float64
}

// Verification counts bookings whose reported outcome contradicts the records of the backend servers.
type Verification struct {
	DuplicateRuns      int // the booking ran more than once
	MissingRuns        int // outcome ran, but the booking did not run; not counted while ServersUnreachable is above zero
	RanDespiteNotRun   int // final outcome notRun, but the booking ran
	ServersUnreachable int // backend servers whose records can't be read
}

// Report holds the results of a load.
type Report struct {
	BookingsNotRun     int
	BookingsRan        int
	BookingsRequested  int
	BookingsUnknown    int
	BookingsWrong      int // the response belongs to another request
	BrokenFlows        int // FeedsBroken plus DocumentsBroken
	DocumentsBroken    int
	DocumentsComplete  int
	DocumentsRefused   int
	DocumentsRequested int
	DocumentsWrong     int // checksum or name is wrong
	FeedEvents         int
	FeedsBroken        int
	FeedsOpened        int
	FeedsRefused       int
	FirstFailures      []string                  // descriptions of the first failures
	Imbalance          map[string]float64        // by service: largest over mean number of open feeds per backend server
	Latency            map[string]LatencySummary // by operation
	QueriesSent        int
	QueriesServed      int
	Verification       Verification
}

// Failures returns the number of broken flows, wrong responses and wrong booking outcomes.
func (r *Report) Failures() int {
	v := r.Verification
	return r.BrokenFlows + r.BookingsWrong + r.DocumentsWrong + v.RanDespiteNotRun + v.DuplicateRuns + v.MissingRuns
}

func (r *Report) sumBrokenFlows() { r.BrokenFlows = r.FeedsBroken + r.DocumentsBroken }

func (r *Report) addFailure(text string) {
	if len(r.FirstFailures) < maxFirstFailures {
		r.FirstFailures = append(r.FirstFailures, text)
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

func summarizeLatencies(histograms map[string]*hdrhistogram.Histogram) map[string]LatencySummary {
	const microsecondsPerMillisecond = 1000
	summaries := map[string]LatencySummary{}
	for operation, h := range histograms {
		summaries[operation] = LatencySummary{
			Count: h.TotalCount(),
			P50:   float64(h.ValueAtQuantile(50)) / microsecondsPerMillisecond,
			P99:   float64(h.ValueAtQuantile(99)) / microsecondsPerMillisecond,
			Max:   float64(h.Max()) / microsecondsPerMillisecond,
		}
	}
	return summaries
}

// computeImbalances returns, by service, the largest number of open feeds on one backend server divided by the mean.
func computeImbalances(openFeeds map[string]map[string]int) map[string]float64 {
	imbalances := map[string]float64{}
	for service, counts := range openFeeds {
		total, largest := 0, 0
		for _, count := range counts {
			total += count
			largest = max(largest, count)
		}
		if total > 0 {
			imbalances[service] = float64(largest) * float64(len(counts)) / float64(total)
		}
	}
	return imbalances
}
