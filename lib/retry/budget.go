package retry

import "time"

// A Config holds the limits of a Budget.
type Config struct {
	Burst int // retries that may be saved up
	Ratio int // retries per hundred requests
}

// A Budget allows a bounded number of retries per request.
type Budget struct {
	config Config
	tokens int // hundredths of a retry
}

const tokensPerRetry = 100

// NewBudget returns a full budget.
func NewBudget(config Config) *Budget {
	return &Budget{config: config, tokens: config.Burst * tokensPerRetry}
}

// Request records a first attempt.
func (b *Budget) Request() {
	b.tokens = min(b.tokens+b.config.Ratio, b.config.Burst*tokensPerRetry)
}

// Allow takes one retry that would need the given time and reports whether budget and deadline permit it.
func (b *Budget) Allow(now, deadline time.Time, needed time.Duration) bool {
	if now.Add(needed).After(deadline) || b.tokens < tokensPerRetry {
		return false
	}
	b.tokens -= tokensPerRetry
	return true
}
