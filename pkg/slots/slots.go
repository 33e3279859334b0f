// Package slots hands out permission to run calls on backend servers. It holds the grants of an entry VM, asks the
// grantors of control VMs for more, lets calls wait in a fair queue, and routes each call to one server.
package slots

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/go-logr/logr"

	"github.com/daisyhatch/daisyhatch/pkg/admission"
	"github.com/daisyhatch/daisyhatch/pkg/apierr"
	"github.com/daisyhatch/daisyhatch/pkg/dispatch"
	"github.com/daisyhatch/daisyhatch/pkg/grant"
	"github.com/daisyhatch/daisyhatch/pkg/invariant"
	"github.com/daisyhatch/daisyhatch/pkg/routing"
)

// Bounds of the time told to callers that are refused.
const (
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 10 * time.Second
)

// Options are what Slots needs.
type Options struct {
	VM            string
	Incarnation   string
	FailureDomain string
	// Grantors returns the address, IP:port, of the control VM that grants a shard; false when none is known.
	Grantors func(shard uint32) (address string, ok bool)
	// HTTP is the client for calls to control VMs.
	HTTP connect.HTTPClient
	// Weight returns an organisation's weight under contention; nil means 1 for all.
	Weight func(organisation string) int
	// Invariants may be nil.
	Invariants *invariant.Recorder
	Logger     logr.Logger
}

// Slots implements dispatch.Slots. It is safe for concurrent use.
type Slots struct {
	opts Options

	mu     sync.Mutex
	holder *grant.Holder
	pools  map[string]*pool
	rng    *rand.Rand
	// asking holds the grantors that have not answered yet.
	asking  map[string]bool
	stopped bool
	// contendedUntil is until when grantors are asked more often, since holders want more than there is.
	contendedUntil time.Time

	kick   chan struct{}
	cancel context.CancelFunc
	done   sync.WaitGroup
}

var _ dispatch.Slots = (*Slots)(nil)

// waiter is a call that waits for a slot.
type waiter struct {
	request dispatch.SlotRequest
	ready   chan struct{}
	// slot or err is set when ready is closed.
	slot *slot
	err  *apierr.Error
}

// New returns Slots that are not started.
func New(o Options) *Slots {
	id := grant.Identity{VM: o.VM, Incarnation: o.Incarnation, FailureDomain: o.FailureDomain}
	if o.HTTP == nil {
		o.HTTP = http.DefaultClient
	}
	return &Slots{
		opts:   o,
		holder: grant.NewHolder(id, o.Invariants),
		pools:  make(map[string]*pool),
		rng:    rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		asking: make(map[string]bool),
		kick:   make(chan struct{}, 1),
	}
}

// Acquire implements dispatch.Slots. A call whose predicted wait ends after its deadline is refused at once, and a spare
// one that would have to wait. One that has waited so long that it is late in all likelihood is refused when others wait
// behind it.
func (s *Slots) Acquire(ctx context.Context, r dispatch.SlotRequest) (dispatch.Slot, error) {
	s.mu.Lock()
	if s.stopped {
		s.mu.Unlock()
		return nil, apierr.New(http.StatusServiceUnavailable, apierr.ShuttingDown, "this VM is shutting down").After(minRetryAfter)
	}
	p := s.pool(r.Pool)
	q := p.queueFor(&r)
	now := time.Now()
	if q.Len() == 0 {
		if sl := s.take(p, &r, now); sl != nil {
			s.mu.Unlock()
			return sl, nil
		}
	}
	if r.SpareOnly {
		s.mu.Unlock()
		return nil, refusal(r.Pool, "has no room to spare", 0)
	}
	weight := s.weight(r.Organisation)
	wait, known := p.predict(s.holder, r.Organisation, weight, coming{}, now)
	if known && !r.Alone && now.Add(wait).After(r.Deadline) {
		s.mu.Unlock()
		return nil, refusal(r.Pool, "is too long", wait)
	}
	w := &waiter{request: r, ready: make(chan struct{})}
	it := q.Push(r.Organisation, weight, r.Priority, w)
	p.stage(r.Stage).begin(r.Organisation)
	s.mu.Unlock()
	s.wake()
	return s.wait(ctx, p, q, it)
}

func refusal(pool, why string, wait time.Duration) *apierr.Error {
	return apierr.New(http.StatusServiceUnavailable, apierr.NoCapacity, "the queue for pool %s %s", pool, why).
		After(min(max(wait/2, minRetryAfter), maxRetryAfter))
}

func (s *Slots) wait(ctx context.Context, p *pool, q *admission.Queue[*waiter], it *admission.Item[*waiter]) (dispatch.Slot, error) {
	w := it.Value
	ctx, cancel := context.WithDeadline(ctx, w.request.Deadline)
	defer cancel()
	select {
	case <-w.ready:
		if w.err != nil {
			return nil, w.err
		}
		return w.slot, nil
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case w.err != nil:
		return nil, w.err
	case w.slot != nil:
		s.giveBack(w.slot)
	default:
		s.drop(p, q, it)
	}
	wait, _ := p.predict(s.holder, w.request.Organisation, s.weight(w.request.Organisation), coming{}, time.Now())
	return nil, refusal(p.name, "did not move in time", wait).Wrap(ctx.Err())
}

// drop takes a call out of the queue.
func (s *Slots) drop(p *pool, q *admission.Queue[*waiter], it *admission.Item[*waiter]) {
	q.Remove(it)
	p.stage(it.Value.request.Stage).end(it.Value.request.Organisation)
}

func (s *Slots) weight(organisation string) int {
	if s.opts.Weight == nil {
		return 1
	}
	return s.opts.Weight(organisation)
}

func (s *Slots) pool(name string) *pool {
	p := s.pools[name]
	if p == nil {
		p = newPool(name)
		s.pools[name] = p
	}
	return p
}

// take picks a server for a call and starts it there; nil when none has room.
func (s *Slots) take(p *pool, r *dispatch.SlotRequest, now time.Time) *slot {
	p.draw(s.holder, r, now, s.rng)
	call := routing.Call{FailureDomain: s.opts.FailureDomain, Prefix: r.Prefix}
	i := p.picker.Best(call, p.candidates, now)
	if i < 0 || !s.holder.Start(p.held[i].Server.Server, now) {
		return nil
	}
	g := p.held[i]
	p.picker.Start(g.Server.Server, r.Prefix, now)
	p.inFlight++
	p.stage(r.Stage).begin(r.Organisation)
	if r.Alone {
		p.aloneInFlight++
	}
	return &slot{
		owner: s, pool: p, target: target(g.Server), stage: r.Stage, organisation: r.Organisation, cold: g.Cold, alone: r.Alone, since: now,
	}
}

// serve hands slots to waiting calls while there are any.
func (s *Slots) serve(p *pool, now time.Time) {
	for s.serveOne(p, p.queue, now) {
	}
	for s.serveOne(p, p.alone, now) {
	}
}

// serveOne serves the first call in turn, or else one of another organisation that some server can run.
func (s *Slots) serveOne(p *pool, q *admission.Queue[*waiter], now time.Time) bool {
	first := q.Peek()
	if first == nil {
		return false
	}
	if q == p.queue && q.Len() > 1 && p.late(&first.Value.request, now) {
		s.refuseLate(p, q, first, now)
		return true
	}
	if s.give(p, q, first, now) {
		return true
	}
	room := false
	s.holder.Usable(p.name, first.Value.request.Alone, now, func(*grant.Held) { room = true })
	if !room {
		return false
	}
	served, tries := false, 0
	q.Each(func(it *admission.Item[*waiter]) bool {
		tries++
		served = s.give(p, q, it, now)
		return !served && tries < maxTries
	})
	return served
}

// refuseLate ends the wait of a call that is late in all likelihood, in favour of those behind it.
func (s *Slots) refuseLate(p *pool, q *admission.Queue[*waiter], it *admission.Item[*waiter], now time.Time) {
	s.drop(p, q, it)
	w := it.Value
	wait, _ := p.predict(s.holder, w.request.Organisation, s.weight(w.request.Organisation), coming{}, now)
	w.err = refusal(p.name, "left too little time", wait)
	close(w.ready)
}

func (s *Slots) give(p *pool, q *admission.Queue[*waiter], it *admission.Item[*waiter], now time.Time) bool {
	sl := s.take(p, &it.Value.request, now)
	if sl == nil {
		return false
	}
	q.Serve(it)
	p.stage(it.Value.request.Stage).end(it.Value.request.Organisation)
	it.Value.slot = sl
	close(it.Value.ready)
	return true
}
