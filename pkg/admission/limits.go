package admission

import "time"

// Limits are the limits of one organisation across all entry VMs.
type Limits struct {
	// Rate is the maximum number of requests per second; 0 means no limit.
	Rate float64
	// Burst is the capacity of the token bucket for the rate, in requests; values below 1 count as 1.
	Burst int
	// Concurrency is the maximum number of requests in flight; 0 means no limit.
	Concurrency int
}

// Limited reports whether there is any limit.
func (l Limits) Limited() bool { return l.Rate > 0 || l.Concurrency > 0 }

// burst returns the capacity of the organisation's token bucket.
func (l Limits) burst() float64 { return max(1, float64(l.Burst)) }

// Intervals and lifetimes of quotas.
const (
	// drawInterval is the interval between an entry VM's draws.
	drawInterval = 500 * time.Millisecond
	// unitsTTL is how long units remain valid, counted from the draw request.
	unitsTTL = 1500 * time.Millisecond
	// maxUnserved is the maximum time without a grantor for which tokens are added: the lifetime of the former grantor's
	// lease.
	maxUnserved = 1500 * time.Millisecond
	// silentHolderTTL is how long the units lent to a holder count as in use after its last draw.
	silentHolderTTL = 7 * time.Second
	// idleTTL is how long an organisation is kept after its last request.
	idleTTL = 5 * time.Second
)
