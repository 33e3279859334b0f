package executor

import (
	"sync/atomic"
	"time"

	"github.com/daisyhatch/daisyhatch/pkg/deadline"
)

// Quantiles and intervals behind deadline checks and hedging.
const (
	typicalQuantile = 0.5
	highQuantile    = 0.95
	hedgeQuantile   = 0.95
	// hedgeFactor is the multiple of the quantile that a call must exceed before it is hedged.
	hedgeFactor = 1.1
	// minHedgeDelay is the shortest delay before a hedge.
	minHedgeDelay = 5 * time.Millisecond
	// hedgeRetryDelay is the delay before a hedge that got no slot is retried.
	hedgeRetryDelay = 50 * time.Millisecond
	// probeInterval is the minimum time between admitted requests whose deadline seems unmeetable.
	probeInterval = time.Second
)

// learnedPolicy implements policy with the executor's learned latencies and retry budget.
type learnedPolicy struct {
	e    *Executor
	plan *Plan
}

var _ policy = learnedPolicy{}

func (p learnedPolicy) need(now time.Time, stage int) deadline.Need {
	spec := p.plan.Stages[stage].Spec
	n := deadline.Need{Minimum: spec.Minimum}
	n.Typical, _ = p.e.opts.Latency.Quantile(now, spec.Name, typicalQuantile)
	n.High, _ = p.e.opts.Latency.Quantile(now, spec.Name, highQuantile)
	return n
}

func (p learnedPolicy) hedgeAfter(now time.Time, stage int) (time.Duration, bool) {
	spec := p.plan.Stages[stage].Spec
	q, ok := p.e.opts.Latency.Quantile(now, hedgeKey(spec.Name), hedgeQuantile)
	if !ok {
		return 0, false
	}
	return max(minHedgeDelay, time.Duration(float64(q)*hedgeFactor)), true
}

func (p learnedPolicy) recordFirstAttempt(now time.Time) { p.e.opts.Retries.Attempt(now) }
func (p learnedPolicy) takeRetry(now time.Time) bool     { return p.e.opts.Retries.Allow(now) }
func (p learnedPolicy) returnRetry()                     { p.e.opts.Retries.Return() }

func (p learnedPolicy) allowProbe(now time.Time) bool {
	return p.e.lastProbe.allow(now)
}

// hedgeKey returns the latency key used for hedging a stage: the time to the first token for streams, else to the
// complete answer.
func hedgeKey(stage string) string {
	return stage + "/first"
}

// probeLimiter allows one event per probeInterval.
type probeLimiter struct {
	// last is the Unix time in nanoseconds of the last allowed event.
	last atomic.Int64
}

func (s *probeLimiter) allow(now time.Time) bool {
	last := s.last.Load()
	at := now.UnixNano()
	if last != 0 && at-last < int64(probeInterval) {
		return false
	}
	return s.last.CompareAndSwap(last, at)
}
