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
	slots  *Slots
	pool   *pool
	target engine.Target
	// stage and organisation are those of the call that holds the slot.
	stage        string
	organisation string
	// cold is true while the server is ramping up; alone is true when the call needs a server to itself.
	cold      bool
	alone     bool
	ended     bool
	startedAt time.Time
}

// Target implements dispatch.Slot.
func (sl *slot) Target() engine.Target { return sl.target }

// Cold implements dispatch.Slot.
func (sl *slot) Cold() bool { return sl.cold }

// Valid implements dispatch.Slot.
func (sl *slot) Valid() bool {
	s := sl.slots
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holder.Valid(sl.target.Server, sl.target.Incarnation, time.Now())
}

// Done implements dispatch.Slot.
func (sl *slot) Done(r dispatch.Report) {
	s := sl.slots
	s.mu.Lock()
	defer s.mu.Unlock()
	if sl.ended {
		return
	}
	now := time.Now()
	if r.Err == nil && !r.Abandoned {
		held := now.Sub(sl.startedAt)
		sl.pool.holdTime.observe(held)
		sl.pool.stage(sl.stage).observe(held)
	}
	s.endSlot(sl, outcome(r), latency(r), now)
	s.assignSlots(sl.pool, now)
	if !sl.pool.busy() && sl.pool.peakDemand <= 1 && !sl.pool.releasing {
		sl.pool.releasing = true
		time.AfterFunc(idleRelease, func() { s.releaseIdleUnit(sl.pool) })
	}
}

// releaseIdleUnit triggers a request to the grantors once the pool has been idle for idleRelease, so that its unit is
// returned.
func (s *Slots) releaseIdleUnit(p *pool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p.releasing = false
	if p.busy() {
		return
	}
	if left := idleRelease - time.Since(p.idleSince); left > 0 {
		p.releasing = true
		time.AfterFunc(left, func() { s.releaseIdleUnit(p) })
		return
	}
	s.wake()
}

// latency returns the latency sample that a finished call contributes to its server; the zero value when the call
// contributes none. A call that was abandoned or fell silent gives a lower bound.
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

// outcome converts a call's report for the grant holder.
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

// returnUnused ends a slot whose call was never sent.
func (s *Slots) returnUnused(sl *slot) {
	now := time.Now()
	s.endSlot(sl, grant.Outcome{Neutral: true}, routing.Latency{}, now)
	s.assignSlots(sl.pool, now)
}

// endSlot releases the slot's unit and records the outcome and latency of its call. It does nothing for a slot that has
// ended.
func (s *Slots) endSlot(sl *slot, o grant.Outcome, l routing.Latency, now time.Time) {
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

// Noticed records what a server announced about itself in a response. A server that is leaving, or that wants no calls
// for a time, gets no calls from this VM meanwhile.
func (s *Slots) Noticed(t engine.Target, n holdoff.Notice) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.holder.RecordNotice(t.Server, t.Incarnation, n, time.Now()) {
		s.opts.Logger.Info("server wants no more calls", "server", t.Server, "incarnation", t.Incarnation, "leaving", n.Leaving,
			"wait_ms", n.Wait.Milliseconds())
	}
}
