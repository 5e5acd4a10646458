package retry

import "time"

// Config holds the limits of a Budget.
type Config struct {
	Burst int // maximum number of retries that an idle budget accumulates
	Ratio int // retries per hundred requests
}

// Budget is a token bucket that each request fills and each retry drains.
type Budget struct {
	config Config
	tokens int // in hundredths of a retry
}

const tokensPerRetry = 100 // a request adds Config.Ratio tokens, which is a percentage

// NewBudget returns a full budget.
func NewBudget(config Config) *Budget {
	return &Budget{config: config, tokens: config.Burst * tokensPerRetry}
}

// RecordRequest records the first attempt of a request, which adds to the budget.
func (b *Budget) RecordRequest() {
	b.tokens = min(b.tokens+b.config.Ratio, b.config.Burst*tokensPerRetry)
}

// Allow reports whether the budget permits a retry and the needed time ends before the deadline; if so it deducts the
// retry from the budget.
func (b *Budget) Allow(now, deadline time.Time, needed time.Duration) bool {
	if now.Add(needed).After(deadline) || b.tokens < tokensPerRetry {
		return false
	}
	b.tokens -= tokensPerRetry
	return true
}
