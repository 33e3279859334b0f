package liveness

import (
	"context"
	"fmt"
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
	// answers is when each server last answered a call, as far as that happened while running was true.
	answers map[string]time.Time
}

// watchedCall is one call whose server is watched.
type watchedCall struct {
	server directory.Server
	runs   []*quarantine.Run
	seen   observation
}

func (w *watch) answered(server string, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.running {
		w.answers[server] = now
	}
}

func (w *watch) lastAnswer(server string) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.answers[server]
}

// startWatch watches the server of a call until the verdict is final.
func (c *Checker) startWatch(call *watchedCall) {
	w := &c.watch
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.calls) >= maxWatched {
		notWatched.Inc()
		settle(call.runs)
		return
	}
	w.calls = append(w.calls, call)
	if !w.running {
		w.running, w.answers = true, make(map[string]time.Time)
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
		left := c.updateAll(calls)
		w.mu.Lock()
		w.calls = append(left, w.calls...)
		if len(w.calls) == 0 {
			w.running, w.answers = false, nil
			w.mu.Unlock()
			return
		}
		w.mu.Unlock()
	}
}

// updateAll looks at what is known of the servers of calls, and returns the calls that are still watched.
func (c *Checker) updateAll(calls []*watchedCall) []*watchedCall {
	now := time.Now()
	for _, call := range calls {
		c.observe(call)
	}
	c.probeDue(calls, now)
	var left []*watchedCall
	for _, call := range calls {
		state, final := judge(call.seen, now)
		if final && state == Ended {
			reportCrashes(call.runs)
		}
		if call.seen.givenUp && (final || now.Sub(call.seen.endedAt) >= watchInterval) {
			settle(call.runs)
		}
		if !final {
			left = append(left, call)
			continue
		}
		metrics.GetOrCreateCounter(fmt.Sprintf(`daisyhatch_liveness_verdicts_total{server=%q,given_up="%t"}`, state, call.seen.givenUp)).Inc()
	}
	return left
}

// observe notes what is known of a call's server now.
func (c *Checker) observe(call *watchedCall) {
	o := &call.seen
	if next, ok := c.successor(call.server); ok {
		o.replaced, o.born = true, time.UnixMilli(next.Born)
	} else if current, ok := c.view.Server(call.server.ID); ok && current.Heard.After(o.aliveAt) {
		o.aliveAt = current.Heard
	}
	if at := c.watch.lastAnswer(call.server.ID); at.After(o.aliveAt) {
		o.aliveAt = at
	}
	o.leaving = c.isLeaving(call.server)
}

// incarnation names one incarnation of a server.
type incarnation struct {
	id   string
	born int64
}

// probeDue makes the connection attempts that are due, one for each server.
func (c *Checker) probeDue(calls []*watchedCall, now time.Time) {
	due := make(map[incarnation][]*watchedCall)
	for _, call := range calls {
		if _, final := judge(call.seen, now); !final && call.seen.needsProbe(now) {
			k := incarnation{call.server.ID, call.server.Born}
			due[k] = append(due[k], call)
		}
	}
	var wg sync.WaitGroup
	for _, list := range due {
		wg.Go(func() {
			state := c.probe(context.Background(), list[0].server)
			for _, call := range list {
				call.seen.probe = state
			}
		})
	}
	wg.Wait()
}
