package lease

import (
	"time"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
)

// TakeoverMargin is added to a lease's TTL before the lease may be taken over. It allows for monotonic clocks that run
// at different rates: 0.1% of 60 s, the longest TTL.
const TakeoverMargin = 60 * time.Millisecond

// Observer tracks how long the leases of other processes have been unchanged, for a process that wants to take them
// over. It reads no clock: times are readings of one monotonic clock. It isn't safe for concurrent use.
type Observer struct {
	seen map[string]observation
}

type observation struct {
	renewal uint64
	since   time.Time
}

// NewObserver returns an Observer without observations.
func NewObserver() *Observer {
	return &Observer{seen: make(map[string]observation)}
}

// Observe records a lease as it stands in the replicated state. It returns the renewal number with which the caller may
// take the lease over, or 0 while the holder may still rely on it. now must be read after the lease was.
func (o *Observer) Observe(l *daisyhatchv1.Lease, now time.Time) uint64 {
	s, ok := o.seen[l.GetName()]
	if !ok || s.renewal != l.GetRenewal() {
		o.seen[l.GetName()] = observation{renewal: l.GetRenewal(), since: now}
		return 0
	}
	ttl := time.Duration(l.GetTtlMs()) * time.Millisecond
	if now.Sub(s.since) <= ttl+TakeoverMargin {
		return 0
	}
	return l.GetRenewal()
}
