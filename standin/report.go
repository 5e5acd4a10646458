package main

import (
	"encoding/json"
	"os"

	"github.com/cyclamendock/cyclamendock/standin/caller"
)

type latencySummaryJSON struct {
	Count int64   `json:"count"`
	Max   float64 `json:"maxMs"`
	P50   float64 `json:"p50Ms"`
	P99   float64 `json:"p99Ms"`
}

type reportJSON struct {
	Bookings struct {
		Asked   int `json:"asked"`
		NotRun  int `json:"notRun"`
		Ran     int `json:"ran"`
		Unknown int `json:"unknown"`
		Wrong   int `json:"wrong"`
	} `json:"bookings"`
	BrokenFlows int `json:"brokenFlows"`
	Documents   struct {
		Asked   int `json:"asked"`
		Broken  int `json:"broken"`
		Refused int `json:"refused"`
		Whole   int `json:"whole"`
		Wrong   int `json:"wrong"`
	} `json:"documents"`
	Feeds struct {
		Broken  int `json:"broken"`
		Events  int `json:"events"`
		Opened  int `json:"opened"`
		Refused int `json:"refused"`
	} `json:"feeds"`
	Imbalance map[string]float64 `json:"imbalance"`
	Judgement struct {
		DeniedButRan int `json:"deniedButRan"`
		DoubleRun    int `json:"doubleRun"`
		LostRun      int `json:"lostRun"`
		ServersAway  int `json:"serversAway"`
	} `json:"judgement"`
	Latency map[string]latencySummaryJSON `json:"latency"`
	Notes   []string                      `json:"notes,omitempty"`
}

// printReport prints the report as JSON, and returns an error when an invariant was violated.
func printReport(report caller.Report) error {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(reportToJSON(report)); err != nil {
		return err
	}
	return checkReport(report)
}

func reportToJSON(r caller.Report) reportJSON {
	var encoded reportJSON
	encoded.Bookings.Asked = r.BookingsRequested
	encoded.Bookings.NotRun = r.BookingsNotRun
	encoded.Bookings.Ran = r.BookingsRan
	encoded.Bookings.Unknown = r.BookingsUnknown
	encoded.Bookings.Wrong = r.BookingsWrong
	encoded.BrokenFlows = r.BrokenFlows
	encoded.Documents.Asked = r.DocumentsRequested
	encoded.Documents.Broken = r.DocumentsBroken
	encoded.Documents.Refused = r.DocumentsRefused
	encoded.Documents.Whole = r.DocumentsComplete
	encoded.Documents.Wrong = r.DocumentsWrong
	encoded.Feeds.Broken = r.FeedsBroken
	encoded.Feeds.Events = r.FeedEvents
	encoded.Feeds.Opened = r.FeedsOpened
	encoded.Feeds.Refused = r.FeedsRefused
	encoded.Imbalance = r.Imbalance
	encoded.Judgement.DeniedButRan = r.Verification.RanDespiteNotRun
	encoded.Judgement.DoubleRun = r.Verification.DuplicateRuns
	encoded.Judgement.LostRun = r.Verification.MissingRuns
	encoded.Judgement.ServersAway = r.Verification.ServersUnreachable
	encoded.Latency = map[string]latencySummaryJSON{}
	for name, summary := range r.Latency {
		encoded.Latency[name] = latencySummaryJSON(summary)
	}
	encoded.Notes = r.FirstFailures
	return encoded
}
