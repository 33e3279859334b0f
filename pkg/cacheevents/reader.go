// Package cacheevents reads the events of backend servers' prompt caches, so that calls are routed to where their prefix
// is cached. It reads from the servers that this VM uses, one after another, within a rate of bytes; a server whose
// events come faster than they can be read is left alone for a while.
package cacheevents

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"

	"github.com/daisyhatch/daisyhatch/pkg/engine"
)

// DefaultBytesPerSecond is the rate of bytes that reads take when Options don't set it.
const DefaultBytesPerSecond = 2048

// readTimeout bounds one read.
const readTimeout = time.Second

var (
	eventsRead  = metrics.NewCounter("daisyhatch_cache_events_read_total")
	bytesRead   = metrics.NewCounter("daisyhatch_cache_event_bytes_total")
	gapsSeen    = metrics.NewCounter("daisyhatch_cache_event_gaps_total")
	readsFailed = metrics.NewCounter("daisyhatch_cache_event_reads_failed_total")
)

// Source reads events from one server.
type Source interface {
	// CacheEvents reads as engine.Client does.
	CacheEvents(ctx context.Context, t engine.Target, after uint64, limit int) (engine.CachePage, error)
}

// Index takes events over. It is implemented by slots.Slots.
type Index interface {
	// CacheServers returns the servers whose events are wanted.
	CacheServers() []engine.Target
	// CacheEvents takes over events; it returns false when they show a gap.
	CacheEvents(t engine.Target, events []engine.CacheEvent) bool
	// CacheUnfollowed notes that a server's events are not read for a while.
	CacheUnfollowed(t engine.Target)
}

// Options are what a Reader needs.
type Options struct {
	Source Source
	Index  Index
	// BytesPerSecond bounds what all reads take on average; 0 takes the default.
	BytesPerSecond int
	// Rand may be nil.
	Rand   *rand.Rand
	Logger logr.Logger
}

// Reader reads cache events in one goroutine. A read that is under way keeps the others waiting.
type Reader struct {
	opts     Options
	schedule *schedule
	cancel   context.CancelFunc
	done     sync.WaitGroup
}

// New returns a Reader that is not started.
func New(o Options) *Reader {
	if o.BytesPerSecond <= 0 {
		o.BytesPerSecond = DefaultBytesPerSecond
	}
	if o.Rand == nil {
		o.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return &Reader{opts: o, schedule: newSchedule(o.BytesPerSecond, o.Rand)}
}

// Start begins to read.
func (r *Reader) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	r.done.Go(func() { r.run(ctx) })
}

// Stop ends the reading and returns when no read is under way.
func (r *Reader) Stop() {
	if r.cancel != nil {
		r.cancel()
		r.done.Wait()
	}
}

func (r *Reader) run(ctx context.Context) {
	for {
		wait := r.step(ctx)
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}

// step reads one server if one is due, and returns the time until the next step.
func (r *Reader) step(ctx context.Context) time.Duration {
	r.schedule.retain(r.opts.Index.CacheServers(), time.Now())
	f, wait := r.schedule.due(time.Now())
	if f != nil {
		r.read(ctx, f)
	}
	return wait
}

func (r *Reader) read(ctx context.Context, f *feed) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	page, err := r.opts.Source.CacheEvents(ctx, f.target, f.after, pageEvents)
	o, bytes := r.take(f, page, err)
	bytesRead.Add(bytes + overhead)
	if r.schedule.done(f, o, bytes, time.Now()) {
		r.opts.Index.CacheUnfollowed(f.target)
	}
}

// take hands a page to the index and returns how the read ended and how long its answer was.
func (r *Reader) take(f *feed, page engine.CachePage, err error) (o outcome, bytes int) {
	if err != nil {
		readsFailed.Inc()
		r.opts.Logger.V(1).Info("cache events not read", "server", f.target.Server, "error", err.Error())
		return failed, failedBytes(err)
	}
	if blocks(page) > pageBlocks {
		readsFailed.Inc()
		return failed, page.Bytes
	}
	eventsRead.Add(len(page.Events))
	whole := r.opts.Index.CacheEvents(f.target, page.Events)
	for _, e := range page.Events {
		f.after = max(f.after, e.Sequence)
	}
	if !whole {
		gapsSeen.Inc()
		return gapped, page.Bytes
	}
	return followed, page.Bytes
}

// blocks counts the blocks that a page names.
func blocks(p engine.CachePage) int {
	n := 0
	for _, e := range p.Events {
		n += len(e.Stored) + len(e.Removed)
	}
	return n
}

// failedBytes returns the most that a failed read took in.
func failedBytes(err error) int {
	var e *engine.Error
	if errors.As(err, &e) && !e.Sent {
		return 0
	}
	return engine.MaxCachePage
}
