package arrival

import (
	"context"
	"sync"
	"time"
)

const (
	// watchInterval is the time between two looks at the clock.
	watchInterval = 50 * time.Millisecond
	// shortestStandstill is the shortest standstill that is noted. Callers wait through shorter ones.
	shortestStandstill = time.Second
)

// watch notes when the process stood still. Whoever looks at the clock first after a standstill notes it.
type watch struct {
	mu   sync.Mutex
	seen time.Time
	// from and until are the begin and the end of the latest standstill; zero if there was none.
	from, until time.Time
}

// saw notes that the process runs at a time.
func (w *watch) saw(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.seen.IsZero() && now.Sub(w.seen) >= shortestStandstill {
		// What arrived during the one before may still be unread if the process ran only briefly in between.
		if w.from.IsZero() || w.seen.Sub(w.until) > catchUpTime {
			w.from = w.seen
		}
		w.until = now
	}
	if now.After(w.seen) {
		w.seen = now
	}
}

// latest returns the begin and the end of the latest standstill; zero if there was none.
func (w *watch) latest() (from, until time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.from, w.until
}

// run looks at the clock until ctx ends.
func (w *watch) run(ctx context.Context) {
	t := time.NewTicker(watchInterval)
	defer t.Stop()
	for {
		w.saw(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}
