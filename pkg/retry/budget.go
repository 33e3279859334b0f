// Package retry limits retries and hedged calls to a fraction of recent traffic, so that they can't multiply the load
// when many servers fail at once.
package retry

import (
	"sync"
	"time"
)

// Default parameters of a Budget, and the bounds on unused allowance.
const (
	// DefaultShare is the number of retries allowed per first attempt.
	DefaultShare = 0.1
	// DefaultReserve is the number of retries per second allowed regardless of traffic.
	DefaultReserve = 1.0
	// window is the period over which first attempts count as recent traffic; unused allowance is capped at the share of
	// that traffic.
	window = 10 * time.Second
	// minCap is the minimum cap on unused retries, so that a VM with little traffic can still retry a few times.
	minCap = 10.0
)

// Budget is a token bucket of allowed retries. It is safe for concurrent use.
type Budget struct {
	share   float64
	reserve float64

	mu     sync.Mutex
	tokens float64
	// recentAttempts is the decayed number of first attempts within the window.
	recentAttempts float64
	// last is when tokens and recentAttempts were last brought up to date.
	last    time.Time
	refused uint64
}

// NewBudget returns a Budget that allows share retries per first attempt plus reserve retries per second.
func NewBudget(share, reserve float64) *Budget {
	return &Budget{share: share, reserve: reserve, tokens: minCap}
}

// Attempt records a first attempt at time now, which adds to the budget.
func (b *Budget) Attempt(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.recentAttempts++
	b.tokens = min(b.tokens+b.share, b.maxTokens())
}

// Allow takes one retry from the budget. It returns false when the budget is used up.
func (b *Budget) Allow(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	if b.tokens < 1 {
		b.refused++
		return false
	}
	b.tokens--
	return true
}

// Return puts back a retry that was allowed but not made.
func (b *Budget) Return() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+1, b.maxTokens())
}

// Refused returns how many calls of Allow have returned false.
func (b *Budget) Refused() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.refused
}

// advance adds the reserve for the time since the last call and decays the count of recent attempts. It ignores a clock
// that goes backwards.
func (b *Budget) advance(now time.Time) {
	if b.last.IsZero() {
		b.last = now
		return
	}
	d := now.Sub(b.last)
	if d <= 0 {
		return
	}
	b.last = now
	b.recentAttempts *= decay(d)
	b.tokens = min(b.tokens+b.reserve*d.Seconds(), b.maxTokens())
}

// maxTokens returns the cap on unused retries.
func (b *Budget) maxTokens() float64 {
	return max(minCap, b.recentAttempts*b.share)
}

// decay returns the factor by which the attempt count shrinks after d: linear from 1 to 0 over the window.
func decay(d time.Duration) float64 {
	return max(0, 1-d.Seconds()/window.Seconds())
}
