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

const readRunsTimeout = 3 * time.Second

// bookingLog records the final outcome that callers received for each booking.
type bookingLog struct {
	mu       sync.Mutex
	outcomes map[string]string // outcome by booking
}

func newBookingLog() *bookingLog {
	return &bookingLog{outcomes: map[string]string{}}
}

func (b *bookingLog) record(booking, outcome string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.outcomes[booking] = outcome
}

// verify compares the recorded outcomes with the bookings that the backend servers have run.
func (b *bookingLog) verify(servers []netip.AddrPort) Verification {
	b.mu.Lock()
	defer b.mu.Unlock()
	var result Verification
	runs := map[string]int{}
	for _, address := range servers {
		bookingRuns, err := readRuns(address)
		if err != nil {
			result.ServersUnreachable++
		}
		for _, run := range bookingRuns {
			runs[run.Booking]++
		}
	}
	for booking, outcome := range b.outcomes {
		count := runs[booking]
		switch {
		case count > 1:
			result.DuplicateRuns++
		case count == 0 && outcome == ticket.Ran.String() && result.ServersUnreachable == 0:
			result.MissingRuns++
		case count > 0 && outcome == ticket.NotRun.String():
			result.RanDespiteNotRun++
		}
	}
	return result
}

func readRuns(address netip.AddrPort) ([]server.BookingRun, error) {
	client := &http.Client{Timeout: readRunsTimeout}
	response, err := client.Get("http://" + address.String() + "/runs")
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	var runs []server.BookingRun
	return runs, json.NewDecoder(response.Body).Decode(&runs)
}

// CountRuns returns how often a backend server has run a booking, or -1 when the backend server does not answer.
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
