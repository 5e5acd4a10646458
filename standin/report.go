package main

import (
	"encoding/json"
	"os"

	"github.com/cyclamendock/cyclamendock/standin/caller"
)

type percentilesJSON struct {
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
	Latency map[string]percentilesJSON `json:"latency"`
	Notes   []string                   `json:"notes,omitempty"`
}

// printReport prints the report as JSON and fails when a promise was broken.
func printReport(report caller.Report) error {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(reportToJSON(report)); err != nil {
		return err
	}
	return verdict(report)
}

func reportToJSON(r caller.Report) reportJSON {
	var wire reportJSON
	wire.Bookings.Asked = r.BookingsAsked
	wire.Bookings.NotRun = r.BookingsNotRun
	wire.Bookings.Ran = r.BookingsRan
	wire.Bookings.Unknown = r.BookingsUnknown
	wire.Bookings.Wrong = r.BookingsWrong
	wire.BrokenFlows = r.BrokenFlows
	wire.Documents.Asked = r.DocumentsAsked
	wire.Documents.Broken = r.DocumentsBroken
	wire.Documents.Refused = r.DocumentsRefused
	wire.Documents.Whole = r.DocumentsWhole
	wire.Documents.Wrong = r.DocumentsWrong
	wire.Feeds.Broken = r.FeedsBroken
	wire.Feeds.Events = r.FeedEvents
	wire.Feeds.Opened = r.FeedsOpened
	wire.Feeds.Refused = r.FeedsRefused
	wire.Imbalance = r.Imbalance
	wire.Judgement.DeniedButRan = r.Judgement.DeniedButRan
	wire.Judgement.DoubleRun = r.Judgement.DoubleRun
	wire.Judgement.LostRun = r.Judgement.LostRun
	wire.Judgement.ServersAway = r.Judgement.ServersAway
	wire.Latency = map[string]percentilesJSON{}
	for what, p := range r.Latency {
		wire.Latency[what] = percentilesJSON(p)
	}
	wire.Notes = r.Notes
	return wire
}
