package admission

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/go-logr/logr"

	"github.com/daisyhatch/daisyhatch/pkg/apierr"
	"github.com/daisyhatch/daisyhatch/pkg/returning"
)

const (
	// minRetryAfter and maxRetryAfter bound the retry delay in refusals.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 10 * time.Second
	// waitersPerUnit is the number of an organisation's requests that may wait per unit of concurrency, counting one unit
	// more than its limit.
	waitersPerUnit = 16
	// forecastShare is the fraction of the time to the deadline that the forecast duration of an admitted request may use.
	forecastShare = 0.9
)

// Request is a request to be admitted.
type Request struct {
	Organisation string
	Pipeline     string
	// Priority is 0 to 9; higher values are more urgent.
	Priority int
	// Deadline is when the caller needs the response.
	Deadline time.Time
}

// Options configure a Gate. Without Limits, no organisation is limited; without Forecast, no request is refused for its
// expected duration.
type Options struct {
	VM          string
	Incarnation string
	// Limits returns the limits of an organisation in the current configuration.
	Limits func(organisation string) Limits
	// Forecast returns the expected duration of a request that starts now, time in queues included; 0 while unknown.
	Forecast func(pipeline, organisation string) time.Duration
	// Grantors returns the address, IP:port, of the control VM that grants the limits of a shard; false when unknown.
	Grantors func(shard uint32) (address string, ok bool)
	// HTTP is the client for calls to control VMs.
	HTTP   connect.HTTPClient
	Logger logr.Logger
}

// Gate admits, queues or refuses requests. It is safe for concurrent use.
type Gate struct {
	opts Options

	mu         sync.Mutex
	controller *Controller
	queue      *Queue[*waiter]
	// drawing holds the addresses of the grantors with a draw in progress.
	drawing map[string]bool

	// drawNow triggers a draw before the regular interval is over.
	drawNow chan struct{}
	cancel  context.CancelFunc
	done    sync.WaitGroup
}

// waiter is a request that waits for its organisation's limits.
type waiter struct {
	// ready is closed once the request is admitted or refused.
	ready chan struct{}
	// err is the refusal; nil when the request was admitted.
	err *apierr.Error
	// done is true once ready is closed.
	done bool
}

// NewGate returns a Gate that is not started. Without options it admits every request whose deadline has not passed. Only
// the first Options value is used.
func NewGate(opts ...Options) *Gate {
	var o Options
	if len(opts) > 0 {
		o = opts[0]
	}
	return &Gate{
		opts:       o,
		controller: NewController(o.VM, o.Incarnation),
		queue:      NewQueue[*waiter](),
		drawing:    make(map[string]bool),
		drawNow:    make(chan struct{}, 1),
	}
}

// Enter waits until the request may start. The caller must call leave when the request has ended; further calls of leave
// do nothing. A request that can't meet its deadline, or exceeds its organisation's rate, is refused immediately. Errors
// are *apierr.Error with NotRun.
func (g *Gate) Enter(ctx context.Context, r Request) (leave func(), err error) {
	now := time.Now()
	if e := g.checkDeadline(r, now); e != nil {
		return nil, e
	}
	l := g.limits(r.Organisation)
	if !l.Limited() {
		return func() {}, nil
	}
	g.mu.Lock()
	v, retry := g.controller.Arrive(r.Organisation, l, now)
	waiting := g.queue.LenOf(r.Organisation)
	switch {
	case v == Refuse:
		g.mu.Unlock()
		return nil, rateLimited(r.Organisation, retry)
	case v == Admit && waiting == 0:
		g.mu.Unlock()
		return g.leave(r.Organisation), nil
	case v == Admit:
		g.controller.cancelAdmission(r.Organisation)
	}
	if waiting >= queueLimit(l) {
		g.mu.Unlock()
		return nil, rateLimited(r.Organisation, time.Second)
	}
	w := &waiter{ready: make(chan struct{})}
	it := g.queue.Push(r.Organisation, 1, r.Priority, w)
	g.controller.SetWaiting(r.Organisation, waiting+1)
	g.mu.Unlock()
	g.requestDraw()
	return g.wait(ctx, r, it)
}

// queueLimit returns how many requests of an organisation may wait. It leaves room for all requests below the rate that
// arrive within outageThreshold without a grantor.
func queueLimit(l Limits) int {
	return waitersPerUnit*(1+l.Concurrency) + int(l.Rate*outageThreshold.Seconds())
}

// checkDeadline returns an error if the deadline has passed or the forecast exceeds forecastShare of the time left.
func (g *Gate) checkDeadline(r Request, now time.Time) error {
	left := r.Deadline.Sub(now)
	if left <= 0 {
		return apierr.New(http.StatusGatewayTimeout, apierr.DeadlineExceeded, "the deadline has passed")
	}
	if g.opts.Forecast == nil {
		return nil
	}
	expected := g.opts.Forecast(r.Pipeline, r.Organisation)
	if float64(expected) <= forecastShare*float64(left) {
		return nil
	}
	return apierr.New(http.StatusServiceUnavailable, apierr.Overloaded, "%s is expected to take longer than the deadline allows", r.Pipeline).
		Told(returning.Room{After: min(expected-left, maxRetryAfter), Least: minRetryAfter}.Tell(left, rand.Float64()))
}

func clampRetryAfter(d time.Duration) time.Duration { return min(max(d, minRetryAfter), maxRetryAfter) }

// rateLimited returns the error for a request beyond its organisation's limit. The time after which the limit allows another one holds
// for any request of the organisation, whatever time this one has left.
func rateLimited(organisation string, retry time.Duration) *apierr.Error {
	return apierr.New(http.StatusTooManyRequests, apierr.RateLimited, "organisation %s is at its limit", organisation).
		Told(returning.Tell(clampRetryAfter(retry), 0, rand.Float64()))
}

func (g *Gate) limits(organisation string) Limits {
	if g.opts.Limits == nil {
		return Limits{}
	}
	return g.opts.Limits(organisation)
}

// wait waits until a queued request is admitted or refused, its deadline passes or ctx is cancelled.
func (g *Gate) wait(ctx context.Context, r Request, it *Item[*waiter]) (func(), error) {
	w := it.Value
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	select {
	case <-w.ready:
	case <-ctx.Done():
		g.cancelWait(r, it)
		<-w.ready
	}
	if w.err != nil {
		return nil, w.err
	}
	return g.leave(r.Organisation), nil
}

// cancelWait removes a request from the queue and refuses it, unless it has been decided on meanwhile.
func (g *Gate) cancelWait(r Request, it *Item[*waiter]) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if it.Value.done {
		return
	}
	g.queue.Remove(it)
	g.controller.SetWaiting(r.Organisation, g.queue.LenOf(r.Organisation))
	it.Value.end(rateLimited(r.Organisation, time.Second))
}

// end wakes the waiting request: admitted if err is nil, refused otherwise.
func (w *waiter) end(err *apierr.Error) {
	w.done = true
	w.err = err
	close(w.ready)
}

// leave returns the function to be called when an admitted request has ended.
func (g *Gate) leave(organisation string) func() {
	var once sync.Once
	return func() {
		once.Do(func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			now := time.Now()
			g.controller.Leave(organisation, now)
			g.releaseWaiting(organisation, now)
		})
	}
}

// releaseWaiting admits or refuses an organisation's waiting requests in order, until one has to keep waiting.
func (g *Gate) releaseWaiting(organisation string, now time.Time) {
	for it := g.queue.Head(organisation); it != nil; it = g.queue.Head(organisation) {
		v, retry := g.controller.Recheck(organisation, now)
		if v == Wait {
			break
		}
		g.queue.Remove(it)
		if v == Refuse {
			it.Value.end(rateLimited(organisation, retry))
		} else {
			it.Value.end(nil)
		}
	}
	g.controller.SetWaiting(organisation, g.queue.LenOf(organisation))
}
