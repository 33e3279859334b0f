package executor

import (
	"time"

	"github.com/daisyhatch/daisyhatch/pkg/dispatch"
	"github.com/daisyhatch/daisyhatch/pkg/engine"
)

// work is what an attempt does on one server.
type work struct {
	// id is the attempt ID that the server knows.
	id string
	// part is true when the rest of the attempt runs elsewhere.
	part bool
	run  func() outcome
}

// underSlot does work under a slot, which ends with it, and accounts for it at the quarantine and the server.
func (t *try) underSlot(slot dispatch.Slot, w work) (o outcome, took time.Duration) {
	target := slot.Target()
	finish := func() {}
	if q := t.r.e.opts.Quarantine; q != nil {
		finish = q.Begin(target, t.r.print, t.spec.alone)
	}
	began := time.Now()
	o = w.run()
	took = time.Since(began)
	if o.failure != nil {
		t.r.post(func(time.Time) []action { return t.r.m.faltered(t.id) })
		t.diagnose(target, o.failure)
	}
	crashed := o.failure != nil && o.failure.Kind == engine.Crashed && o.failure.Sent
	if !crashed {
		// Before the slot goes to the next request, which must not be taken for a neighbour.
		finish()
	}
	report := dispatch.Report{FirstToken: o.answer.FirstByte, Total: took, Abandoned: t.abandoned(o), Partial: w.part}
	if o.failure != nil {
		report.Err = o.failure
	}
	slot.Done(report)
	if crashed {
		t.shareCrash(target, &o)
		finish()
	}
	if o.failure != nil && o.failure.Sent && stillRuns(o.failure.Kind) {
		t.cancelAtEngine(target, w.id)
	}
	return o, took
}

// learn records how long a good attempt took.
func (t *try) learn(o outcome, took time.Duration) {
	now := time.Now()
	name := t.r.req.Plan.Stages[t.spec.stage].Spec.Name
	t.r.e.opts.Latency.Record(now, name, took)
	first := took
	if t.spec.streamed && o.answer.FirstByte > 0 {
		first = o.answer.FirstByte
	}
	t.r.e.opts.Latency.Record(now, hedgeKey(name), first)
}

// end tells the machine how the attempt ended, and books its cost.
func (t *try) end(o outcome, took time.Duration) {
	known := t.r.post(func(now time.Time) []action {
		out := t.r.m.ended(now, t.id, o)
		t.r.bookEnded(t.id, t.spec.stage, took)
		return out
	})
	if known {
		return
	}
	if o.failure == nil && o.slotErr == nil {
		droppedAnswers.Inc()
	}
	t.late(took)
}

// late books what was wasted on a request that was answered before.
func (t *try) late(took time.Duration) {
	if took == 0 {
		return
	}
	amount := t.r.book(t.spec.stage, took, true)
	if f := t.r.e.opts.OnLateCost; f != nil {
		f(t.r.account(t.spec.stage), amount)
	}
}

// waste books a part of the attempt that was of no use.
func (t *try) waste(took time.Duration) {
	if took == 0 {
		return
	}
	known := t.r.post(func(time.Time) []action {
		amount := t.r.book(t.spec.stage, took, true)
		t.r.costs[t.spec.stage].Cost += amount
		t.r.costs[t.spec.stage].Wasted += amount
		return nil
	})
	if !known {
		t.late(took)
	}
}

// bookEnded books an attempt that the machine knows to be ended.
func (r *run) bookEnded(id, stage int, took time.Duration) {
	if took == 0 {
		return
	}
	wasted := !r.m.attempts[id].used
	amount := r.book(stage, took, wasted)
	r.costs[stage].Cost += amount
	if wasted {
		r.costs[stage].Wasted += amount
	}
}
