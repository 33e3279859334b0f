// Package logsink carries log lines to standard output without ever holding up who writes them: lines wait in a bounded
// queue, and what doesn't fit is left out and counted. A Budget bounds the lines about what went well.
package logsink

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// MaxQueued is the most bytes that wait for a slow reader: some seconds of a VM's log at its highest rate.
	MaxQueued = 1 << 20
	// AnsweredPerSecond is how many lines a second tell of requests that went well: five times what one VM serves on a
	// usual day.
	AnsweredPerSecond = 50
)

var leftOut = metrics.GetOrCreateCounter("daisyhatch_log_lines_left_out_total")

// Sink is an io.Writer of whole lines. It is safe for concurrent use.
type Sink struct {
	out io.Writer

	mu      sync.Mutex
	lines   [][]byte
	queued  int
	dropped uint64
	closed  bool
	wake    chan struct{}
	done    chan struct{}
}

// New returns a Sink that writes to out from a goroutine of its own until Close.
func New(out io.Writer) *Sink {
	s := &Sink{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go s.run()
	return s
}

// Write queues a line; it never blocks and never fails.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.queued+len(line) > MaxQueued {
		s.dropped++
		leftOut.Inc()
		return len(line), nil
	}
	s.lines = append(s.lines, append([]byte(nil), line...))
	s.queued += len(line)
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

func (s *Sink) run() {
	defer close(s.done)
	for range s.wake {
		lines, dropped := s.take()
		if dropped > 0 {
			lines = append(lines, fmt.Appendf(nil, "{\"time\":%q,\"level\":\"INFO\",\"msg\":\"log lines left out\",\"count\":%d}\n",
				time.Now().Format(time.RFC3339Nano), dropped))
		}
		size := 0
		for _, l := range lines {
			size += len(l)
		}
		joined := make([]byte, 0, size)
		for _, l := range lines {
			joined = append(joined, l...)
		}
		// There is nowhere to report a failure of standard output.
		_, _ = s.out.Write(joined)
	}
}

func (s *Sink) take() (lines [][]byte, dropped uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lines, dropped = s.lines, s.dropped
	s.lines, s.queued, s.dropped = nil, 0, 0
	return lines, dropped
}

// closeWait is how long Close waits for a slow reader.
const closeWait = 500 * time.Millisecond

// Close writes what is queued and ends the sink; it waits a short while for a slow reader.
func (s *Sink) Close() {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return
	}
	s.closed = true
	close(s.wake)
	s.mu.Unlock()
	select {
	case <-s.done:
	case <-time.After(closeWait):
	}
}

// Budget allows a number of lines in each second. It is safe for concurrent use.
type Budget struct {
	perSecond int

	mu     sync.Mutex
	second time.Time
	used   int
	over   uint64
}

// NewBudget returns a Budget.
func NewBudget(perSecond int) *Budget { return &Budget{perSecond: perSecond} }

// Allow takes one line; with the first one of a new second it also returns how many were not allowed before.
func (b *Budget) Allow(now time.Time) (ok bool, leftOutBefore uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Sub(b.second) >= time.Second || now.Before(b.second) {
		b.second, b.used = now, 0
		leftOutBefore, b.over = b.over, 0
	}
	if b.used >= b.perSecond {
		b.over++
		leftOut.Inc()
		return false, 0
	}
	b.used++
	return true, leftOutBefore
}
