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
	mu sync.Mutex
	// calls are the watched calls by the id of their server, count is how many there are.
	calls map[string][]*watchedCall
	count int
}

// watchedCall is one call whose server is watched. The watch's lock guards seen.
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
	if w.count >= maxWatched {
		notWatched.Inc()
		settle(call.runs)
		for _, r := range call.runs {
			r.Undecided()
		}
		return
	}
	if w.count == 0 {
		w.calls = make(map[string][]*watchedCall)
		go c.runWatch()
	}
	w.calls[call.server.ID] = append(w.calls[call.server.ID], call)
	w.count++
}

// Answered records that a server has answered a call, on a connection made at the time since.
func (c *Checker) Answered(v directory.Server, since time.Time) {
	now := time.Now()
	c.watch.mu.Lock()
	defer c.watch.mu.Unlock()
	for _, call := range c.watch.calls[v.ID] {
		call.seen.answered(since, now)
	}
}

// runWatch looks at the watched servers until none is left.
func (c *Checker) runWatch() {
	for left := true; left; {
		time.Sleep(watchInterval)
		c.observe()
		c.probeDue()
		left = c.conclude()
	}
}

// observe notes what is announced of the watched servers now.
func (c *Checker) observe() {
	c.watch.mu.Lock()
	defer c.watch.mu.Unlock()
	for _, list := range c.watch.calls {
		for _, call := range list {
			c.observeCall(call)
		}
	}
}

func (c *Checker) observeCall(call *watchedCall) {
	o := &call.seen
	if next, ok := c.successor(call.server); ok {
		o.replaced, o.born = true, time.UnixMilli(next.Born)
	} else if current, ok := c.view.Server(call.server.ID); ok && current.Heard.After(o.aliveAt) {
		o.aliveAt = current.Heard
	}
	o.leaving = c.isLeaving(call.server)
}

// incarnation names one incarnation of a server.
type incarnation struct {
	id   string
	born int64
}

// probeDue makes the connection attempts that are due, one for each server, which count for all of its calls.
func (c *Checker) probeDue() {
	w, now := &c.watch, time.Now()
	open, due := make(map[incarnation][]*watchedCall), make(map[incarnation]bool)
	w.mu.Lock()
	for _, list := range w.calls {
		for _, call := range list {
			k := incarnation{call.server.ID, call.server.Born}
			if call.seen.open(now) {
				open[k] = append(open[k], call)
			}
			due[k] = due[k] || call.seen.needsProbe(now)
		}
	}
	w.mu.Unlock()
	var wg sync.WaitGroup
	for k, list := range open {
		if !due[k] {
			continue
		}
		wg.Go(func() {
			state := c.probe(context.Background(), list[0].server)
			w.mu.Lock()
			defer w.mu.Unlock()
			for _, call := range list {
				call.seen.probed(state, time.Now())
			}
		})
	}
	wg.Wait()
}

// conclude ends the watch of the calls whose verdict is final, and reports whether calls are left.
func (c *Checker) conclude() bool {
	w, now := &c.watch, time.Now()
	var over, ended, survived, undecided []*quarantine.Run
	w.mu.Lock()
	for id, list := range w.calls {
		var left []*watchedCall
		for _, call := range list {
			state, final := judge(call.seen, now)
			if call.seen.givenUp && (final || now.Sub(call.seen.endedAt) >= watchInterval) {
				over = append(over, call.runs...)
			}
			if !final {
				left = append(left, call)
				continue
			}
			metrics.GetOrCreateCounter(fmt.Sprintf(`daisyhatch_liveness_verdicts_total{server=%q,given_up="%t"}`, state, call.seen.givenUp)).Inc()
			switch {
			case state == Ended:
				ended = append(ended, call.runs...)
			case state == Reachable && call.seen.givenUp && call.seen.alive():
				survived = append(survived, call.runs...)
			default:
				undecided = append(undecided, call.runs...)
			}
		}
		w.count -= len(list) - len(left)
		if w.calls[id] = left; len(left) == 0 {
			delete(w.calls, id)
		}
	}
	left := w.count > 0
	w.mu.Unlock()
	for _, r := range survived {
		r.Survived()
	}
	for _, r := range undecided {
		r.Undecided()
	}
	reportCrashes(ended)
	settle(over)
	return left
}
