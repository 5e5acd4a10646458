package tuple

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/cyclamendock/cyclamendock/lib/flows"
)

func TestSnapshotsAreStoredByWhatTheirLossCosts(t *testing.T) {
	const interval = 2 * time.Second
	tests := map[string]struct {
		staleness flows.Staleness
		age       time.Duration
		stored    bool
	}{
		"nothing missing":                     {flows.StalenessNone, time.Hour, false},
		"requests could be lost":              {flows.StalenessUrgent, interval, true},
		"callers would repeat, stored lately": {flows.StalenessTolerable, tolerableIntervals*interval - 1, false},
		"callers would repeat, stored before": {flows.StalenessTolerable, tolerableIntervals * interval, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			gomega.NewWithT(t).Expect(mustStore(test.staleness, test.age, interval)).To(gomega.Equal(test.stored))
		})
	}
}
