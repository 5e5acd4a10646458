package caller

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cyclamendock/cyclamendock/lib/ticket"
	"github.com/cyclamendock/cyclamendock/standin/server"
)

const judgeTimeout = 3 * time.Second

// A ledger remembers what callers were told about their bookings.
type ledger struct {
	mu       sync.Mutex
	outcomes map[string]string
}

func newLedger() *ledger {
	return &ledger{outcomes: map[string]string{}}
}

func (l *ledger) conclude(booking, outcome string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes[booking] = outcome
}

// judge compares the answers with the records of the backend servers.
func (l *ledger) judge(servers []netip.AddrPort) Judgement {
	l.mu.Lock()
	defer l.mu.Unlock()
	var j Judgement
	runs := map[string]int{}
	for _, address := range servers {
		listed, err := readRuns(address)
		if err != nil {
			j.ServersAway++
		}
		for _, run := range listed {
			runs[run.Booking]++
		}
	}
	for booking, outcome := range l.outcomes {
		count := runs[booking]
		switch {
		case count > 1:
			j.DoubleRun++
		case count == 0 && outcome == ticket.Ran.String() && j.ServersAway == 0:
			j.LostRun++
		case count > 0 && outcome == ticket.NotRun.String():
			j.DeniedButRan++
		}
	}
	return j
}

func readRuns(address netip.AddrPort) ([]server.Run, error) {
	client := &http.Client{Timeout: judgeTimeout}
	response, err := client.Get("http://" + address.String() + "/runs")
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	var runs []server.Run
	return runs, json.NewDecoder(response.Body).Decode(&runs)
}

// CountRuns returns how often a backend server has run a booking, or minus one when it does not answer.
func CountRuns(address netip.AddrPort, booking string) int {
	runs, err := readRuns(address)
	if err != nil {
		return -1
	}
	count := 0
	for _, run := range runs {
		if run.Booking == booking {
			count++
		}
	}
	return count
}
