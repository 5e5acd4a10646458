package retry

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func TestRetriesStayWithinBudgetAndDeadline(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := Config{Burst: rapid.IntRange(1, 10).Draw(t, "burst"), Ratio: rapid.IntRange(0, 50).Draw(t, "ratio")}
		budget := NewBudget(config)
		now := time.Unix(0, 0)
		requests, retries := 0, 0
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "request") {
				budget.RecordRequest()
				requests++
				continue
			}
			remaining := time.Duration(rapid.IntRange(0, 100).Draw(t, "remaining")) * time.Millisecond
			needed := time.Duration(rapid.IntRange(0, 100).Draw(t, "needed")) * time.Millisecond
			if budget.Allow(now, now.Add(remaining), needed) {
				retries++
				if needed > remaining {
					t.Fatal("a retry that can't meet its deadline was allowed")
				}
			}
			if retries*tokensPerRetry > config.Burst*tokensPerRetry+requests*config.Ratio {
				t.Fatalf("%d retries were allowed for %d requests", retries, requests)
			}
		}
	})
}

func TestEmptyBudgetRefills(t *testing.T) {
	g := gomega.NewWithT(t)
	budget := NewBudget(Config{Burst: 1, Ratio: 50})
	now := time.Unix(0, 0)
	g.Expect(budget.Allow(now, now.Add(time.Second), 0)).To(gomega.BeTrue())
	g.Expect(budget.Allow(now, now.Add(time.Second), 0)).To(gomega.BeFalse())
	budget.RecordRequest()
	budget.RecordRequest()
	g.Expect(budget.Allow(now, now.Add(time.Second), 0)).To(gomega.BeTrue())
}
