package control

import (
	"context"
	"sync"
	"time"
)

// Times of freshness.
const (
	// freshFor is how long one confirmation by the leader counts for a watch.
	freshFor = 400 * time.Millisecond
	// freshTimeout is how long a confirmation is waited for.
	freshTimeout = 700 * time.Millisecond
)

// freshness tells whether this VM still hears of what the quorum accepts. One confirmation serves all who ask.
type freshness struct {
	barrier func(context.Context) error
	clock   func() time.Time

	mu sync.Mutex
	// at is when the last confirmation was asked for, and ok whether it came.
	at time.Time
	ok bool
	// asking is closed once the confirmation under way has ended; nil while there is none.
	asking chan struct{}
}

// current reports whether the leader confirmed this VM's state within freshFor.
func (f *freshness) current(ctx context.Context) bool {
	return f.within(ctx, freshFor)
}

// within reports whether the leader confirmed that this VM's state holds all that was committed at some time since age
// before the call, asking it when need be. It is false when ctx ends first.
func (f *freshness) within(ctx context.Context, age time.Duration) bool {
	since := f.clock().Add(-age)
	for {
		ok, asking := f.since(since)
		if asking == nil {
			return ok
		}
		select {
		case <-asking:
		case <-ctx.Done():
			return false
		}
	}
}

// since returns the last confirmation when it was asked for since a time, or what closes when the next one has ended.
func (f *freshness) since(t time.Time) (ok bool, asking chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.at.IsZero() && !f.at.Before(t) {
		return f.ok, nil
	}
	if f.asking == nil {
		f.asking = make(chan struct{})
		go f.ask(f.asking)
	}
	return false, f.asking
}

// ask asks the leader once and tells those who wait. No lock is held meanwhile.
func (f *freshness) ask(done chan struct{}) {
	at := f.clock()
	ctx, cancel := context.WithTimeout(context.Background(), freshTimeout)
	defer cancel()
	ok := f.barrier(ctx) == nil
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ok = ok
	f.at = at
	f.asking = nil
	close(done)
}
