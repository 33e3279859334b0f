package liveness

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/daisyhatch/daisyhatch/pkg/directory"
	"github.com/daisyhatch/daisyhatch/pkg/quarantine"
)

const (
	// watchInterval is the time between two looks at what is known of the watched servers.
	watchInterval = 250 * time.Millisecond
	// maxWatched bounds the calls whose servers are watched; further ones are not.
	maxWatched = 2048
)

var notWatched = metrics.NewCounter("daisyhatch_liveness_calls_not_watched_total")

// watch holds the calls that ended without an answer, until it is known what became of their servers.
type watch struct {
	mu    sync.Mutex
	calls []*watchedCall
	// running is true while a goroutine looks at calls.
	running bool
}

// watchedCall is one call whose server is watched.
type watchedCall struct {
	server directory.Server
	runs   []*quarantine.Run
	seen   observation
}

// startWatch watches the server of a call until the verdict is final.
func (c *Checker) startWatch(call *watchedCall) {
	w := &c.watch
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.calls) >= maxWatched {
		notWatched.Inc()
		return
	}
	w.calls = append(w.calls, call)
	if !w.running {
		w.running = true
		go c.runWatch()
	}
}

// runWatch looks at the watched servers until none is left.
func (c *Checker) runWatch() {
	for {
		time.Sleep(watchInterval)
		w := &c.watch
		w.mu.Lock()
		calls := w.calls
		w.calls = nil
		w.mu.Unlock()
		var left []*watchedCall
		for _, call := range calls {
			if !c.update(call, time.Now()) {
				left = append(left, call)
			}
		}
		w.mu.Lock()
		w.calls = append(left, w.calls...)
		if len(w.calls) == 0 {
			w.running = false
			w.mu.Unlock()
			return
		}
		w.mu.Unlock()
	}
}

// update looks at what is known of a call's server, counts a crash if it has ended, and reports whether the watch is over.
func (c *Checker) update(call *watchedCall, now time.Time) bool {
	if next, ok := c.successor(call.server); ok {
		call.seen.replaced, call.seen.born = true, time.UnixMilli(next.Born)
	}
	call.seen.leaving = c.isLeaving(call.server)
	state, final := judge(call.seen, now)
	if state == Ended {
		reportCrashes(call.runs)
	}
	return final
}
