// Package slots manages permission to run calls on backend servers. It holds the grants of an entry VM, requests more
// from the grantors on the control VMs, queues calls fairly while no grant is free, and routes each call to one server.
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
	"github.com/daisyhatch/daisyhatch/pkg/returning"
	"github.com/daisyhatch/daisyhatch/pkg/routing"
)

// Bounds of the Retry-After value sent to refused callers.
const (
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 10 * time.Second
)

// Options configures Slots.
type Options struct {
	VM            string
	Incarnation   string
	FailureDomain string
	// Grantors returns the address (IP:port) of the control VM that grants a shard; ok is false when none is known.
	Grantors func(shard uint32) (address string, ok bool)
	// HTTP is the client for calls to control VMs; nil means http.DefaultClient.
	HTTP connect.HTTPClient
	// Weight returns an organisation's weight in the fair queue; nil means 1 for every organisation.
	Weight func(organisation string) int
	// Invariants records violated invariants; it may be nil.
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
	// pending holds the addresses of the grantors that have not answered the latest request yet.
	pending map[string]bool
	stopped bool
	// contendedUntil is the time until which grantors are asked at the shorter interval, because the holders together
	// want more units than there are.
	contendedUntil time.Time

	// wakeup makes run ask the grantors before the next regular interval.
	wakeup chan struct{}
	cancel context.CancelFunc
	done   sync.WaitGroup
}

var _ dispatch.Slots = (*Slots)(nil)

// waiter is a call in the queue.
type waiter struct {
	request dispatch.SlotRequest
	ready   chan struct{}
	// slot or err is set before ready is closed.
	slot *slot
	err  *apierr.Error
}

// New returns Slots that request no grants until Start is called.
func New(o Options) *Slots {
	id := grant.Identity{VM: o.VM, Incarnation: o.Incarnation, FailureDomain: o.FailureDomain}
	if o.HTTP == nil {
		o.HTTP = http.DefaultClient
	}
	return &Slots{
		opts:    o,
		holder:  grant.NewHolder(id, o.Invariants),
		pools:   make(map[string]*pool),
		rng:     rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		pending: make(map[string]bool),
		wakeup:  make(chan struct{}, 1),
	}
}

// Acquire implements dispatch.Slots. It refuses a call at once when its predicted wait exceeds its deadline, and a
// spare call (SlotRequest.SpareOnly) when it would have to wait. A queued call that will probably miss its deadline
// is refused when other calls wait behind it.
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
		if sl := s.startCall(p, &r, now); sl != nil {
			s.mu.Unlock()
			return sl, nil
		}
	}
	if r.SpareOnly {
		s.mu.Unlock()
		return nil, refusal(r.Pool, "has no free slot for a spare call", 0, r.Deadline.Sub(now))
	}
	weight := s.weight(r.Organisation)
	wait, known := p.predictWait(s.holder, r.Organisation, weight, upcoming{}, now)
	if known && !r.Alone && now.Add(wait).After(r.Deadline) {
		s.mu.Unlock()
		return nil, refusal(r.Pool, "is too long for the deadline", wait, r.Deadline.Sub(now))
	}
	w := &waiter{request: r, ready: make(chan struct{})}
	it := q.Push(r.Organisation, weight, r.Priority, w)
	p.stage(r.Stage).begin(r.Organisation)
	s.mu.Unlock()
	s.wake()
	return s.awaitSlot(ctx, p, q, it)
}

// refusal returns the error for a call that gets no slot. There is taken to be room after half the predicted wait, within
// minRetryAfter and maxRetryAfter.
func refusal(pool, why string, wait, left time.Duration) *apierr.Error {
	return apierr.New(http.StatusServiceUnavailable, apierr.NoCapacity, "the queue for pool %s %s", pool, why).
		Told(returning.Room{After: min(wait/2, maxRetryAfter), Least: minRetryAfter}.Tell(left, rand.Float64()))
}

// awaitSlot blocks until the queued call has a slot, is refused, its deadline passes or ctx ends.
func (s *Slots) awaitSlot(ctx context.Context, p *pool, q *admission.Queue[*waiter], it *admission.Item[*waiter]) (dispatch.Slot, error) {
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
		s.returnUnused(w.slot)
	default:
		s.removeWaiter(p, q, it)
	}
	wait, _ := p.predictWait(s.holder, w.request.Organisation, s.weight(w.request.Organisation), upcoming{}, time.Now())
	return nil, refusal(p.name, "gave no slot in time", wait, time.Until(w.request.Deadline)).Wrap(ctx.Err())
}

// removeWaiter takes a call out of the queue.
func (s *Slots) removeWaiter(p *pool, q *admission.Queue[*waiter], it *admission.Item[*waiter]) {
	q.Remove(it)
	p.stage(it.Value.request.Stage).end(it.Value.request.Organisation)
}

// weight returns an organisation's weight in the fair queue.
func (s *Slots) weight(organisation string) int {
	if s.opts.Weight == nil {
		return 1
	}
	return s.opts.Weight(organisation)
}

// pool returns the pool of the given name and creates it if needed.
func (s *Slots) pool(name string) *pool {
	p := s.pools[name]
	if p == nil {
		p = newPool(name)
		s.pools[name] = p
	}
	return p
}

// startCall picks a server for a call and counts the call as started there. It returns nil when no server has a free
// unit.
func (s *Slots) startCall(p *pool, r *dispatch.SlotRequest, now time.Time) *slot {
	p.collectCandidates(s.holder, r, now, s.rng)
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
		slots: s, pool: p, target: target(g.Server), stage: r.Stage, organisation: r.Organisation, cold: g.Cold, alone: r.Alone, startedAt: now,
	}
}

// assignSlots gives slots to queued calls until no more of them can start.
func (s *Slots) assignSlots(p *pool, now time.Time) {
	for s.assignNext(p, p.queue, now) {
	}
	for s.assignNext(p, p.aloneQueue, now) {
	}
}

// assignNext gives a slot to the first call in the queue or, when no server can run that one, to the first call of
// another organisation that some server can run. It reports whether it changed the queue; the caller repeats it until
// it returns false.
func (s *Slots) assignNext(p *pool, q *admission.Queue[*waiter], now time.Time) bool {
	first := q.Peek()
	if first == nil {
		return false
	}
	if q == p.queue && q.Len() > 1 && p.likelyLate(&first.Value.request, now) {
		s.refuseLate(p, q, first, now)
		return true
	}
	if s.assign(p, q, first, now) {
		return true
	}
	hasRoom := false
	s.holder.Usable(p.name, first.Value.request.Alone, now, func(*grant.HeldGrant) { hasRoom = true })
	if !hasRoom {
		return false
	}
	served, tries := false, 0
	q.Each(func(it *admission.Item[*waiter]) bool {
		tries++
		served = s.assign(p, q, it, now)
		return !served && tries < maxOrganisationsTried
	})
	return served
}

// refuseLate refuses a queued call that will probably miss its deadline, in favour of the calls behind it.
func (s *Slots) refuseLate(p *pool, q *admission.Queue[*waiter], it *admission.Item[*waiter], now time.Time) {
	s.removeWaiter(p, q, it)
	w := it.Value
	wait, _ := p.predictWait(s.holder, w.request.Organisation, s.weight(w.request.Organisation), upcoming{}, now)
	w.err = refusal(p.name, "left too little time before the deadline", wait, w.request.Deadline.Sub(now))
	close(w.ready)
}

// assign starts a queued call and takes it out of the queue. It returns false when no server can run it now.
func (s *Slots) assign(p *pool, q *admission.Queue[*waiter], it *admission.Item[*waiter], now time.Time) bool {
	sl := s.startCall(p, &it.Value.request, now)
	if sl == nil {
		return false
	}
	q.Serve(it)
	p.stage(it.Value.request.Stage).end(it.Value.request.Organisation)
	it.Value.slot = sl
	close(it.Value.ready)
	return true
}
