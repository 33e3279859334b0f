package slots

import (
	"errors"
	"time"

	"github.com/daisyhatch/daisyhatch/pkg/dispatch"
	"github.com/daisyhatch/daisyhatch/pkg/engine"
	"github.com/daisyhatch/daisyhatch/pkg/grant"
	"github.com/daisyhatch/daisyhatch/pkg/holdoff"
	"github.com/daisyhatch/daisyhatch/pkg/routing"
)

// slot implements dispatch.Slot.
type slot struct {
	owner  *Slots
	pool   *pool
	target engine.Target
	// stage and organisation are those of the call.
	stage        string
	organisation string
	cold         bool
	alone        bool
	ended        bool
	since        time.Time
}

// Target implements dispatch.Slot.
func (sl *slot) Target() engine.Target { return sl.target }

// Cold implements dispatch.Slot.
func (sl *slot) Cold() bool { return sl.cold }

// Valid implements dispatch.Slot.
func (sl *slot) Valid() bool {
	s := sl.owner
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holder.Valid(sl.target.Server, sl.target.Incarnation, time.Now())
}

// Done implements dispatch.Slot.
func (sl *slot) Done(r dispatch.Report) {
	s := sl.owner
	s.mu.Lock()
	defer s.mu.Unlock()
	if sl.ended {
		return
	}
	now := time.Now()
	if r.Err == nil && !r.Abandoned {
		held := now.Sub(sl.since)
		sl.pool.hold.observe(held)
		sl.pool.stage(sl.stage).observe(held)
	}
	s.end(sl, outcome(r), latency(r), now)
	s.serve(sl.pool, now)
	if !sl.pool.busy() && sl.pool.peak <= 1 && !sl.pool.releasing {
		sl.pool.releasing = true
		time.AfterFunc(idleRelease, func() { s.release(sl.pool) })
	}
}

// release asks the grantors once a pool is idle, so that its unit is given back.
func (s *Slots) release(p *pool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p.releasing = false
	if p.busy() {
		return
	}
	if left := idleRelease - time.Since(p.idleSince); left > 0 {
		p.releasing = true
		time.AfterFunc(left, func() { s.release(p) })
		return
	}
	s.wake()
}

// latency returns what a call says about its server's speed.
func latency(r dispatch.Report) routing.Latency {
	var e *engine.Error
	switch {
	case r.Partial:
		return routing.Latency{}
	case r.FirstToken > 0:
		return routing.Latency{Time: r.FirstToken}
	case r.Abandoned, errors.As(r.Err, &e) && e.Kind == engine.Silent:
		return routing.Latency{Time: r.Total, AtLeast: true}
	case r.Err != nil:
		return routing.Latency{}
	}
	return routing.Latency{Time: r.Total}
}

// outcome classes a call's end for the grantor.
func outcome(r dispatch.Report) grant.Outcome {
	o := grant.Outcome{OK: r.Err == nil, FirstToken: r.FirstToken, Neutral: r.Abandoned}
	if r.Partial {
		o.FirstToken = 0
	}
	var e *engine.Error
	if errors.As(r.Err, &e) {
		o.Broken = !r.Abandoned && (e.Kind == engine.Crashed || e.Kind == engine.Refused)
		o.Neutral = o.Neutral || e.Kind == engine.Canceled || e.Kind == engine.Rejected
	}
	return o
}

// giveBack ends a slot that was not used.
func (s *Slots) giveBack(sl *slot) {
	now := time.Now()
	s.end(sl, grant.Outcome{Neutral: true}, routing.Latency{}, now)
	s.serve(sl.pool, now)
}

func (s *Slots) end(sl *slot, o grant.Outcome, l routing.Latency, now time.Time) {
	if sl.ended {
		return
	}
	sl.ended = true
	sl.pool.inFlight--
	sl.pool.stage(sl.stage).end(sl.organisation)
	sl.pool.idleSince = now
	if sl.alone {
		sl.pool.aloneInFlight--
	}
	sl.pool.picker.End(sl.target.Server, l, now)
	s.holder.Done(sl.target.Server, sl.target.Incarnation, o, now)
}

// Noticed takes over what a server said of itself in an answer: one that leaves, or wants no calls for a time, gets none
// from this VM.
func (s *Slots) Noticed(t engine.Target, n holdoff.Notice) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.holder.Noticed(t.Server, t.Incarnation, n, time.Now()) {
		s.opts.Logger.Info("server wants no more calls", "server", t.Server, "incarnation", t.Incarnation, "leaving", n.Leaving,
			"wait_ms", n.Wait.Milliseconds())
	}
}
