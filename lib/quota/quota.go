package quota

// Quota allows a number of attempts that is a fixed share of the successes recorded, and a limited number at once.
type Quota struct {
	attempts float64 // attempts allowed now
	burst    float64 // most attempts that may be saved up
	share    float64 // attempts allowed for each success
}

// New returns a quota of share attempts for each success, of which up to burst are saved up. It is full.
func New(share, burst float64) *Quota {
	return &Quota{attempts: burst, burst: burst, share: share}
}

// Earn records a success.
func (q *Quota) Earn() { q.attempts = min(q.attempts+q.share, q.burst) }

// Allows reports whether an attempt is allowed now.
func (q *Quota) Allows() bool { return q.attempts >= 1 }

// Take uses one attempt and reports false when none is allowed.
func (q *Quota) Take() bool {
	if q.attempts < 1 {
		return false
	}
	q.attempts--
	return true
}
