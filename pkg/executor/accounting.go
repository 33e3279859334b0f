package executor

import (
	"time"

	"github.com/daisyhatch/daisyhatch/pkg/dispatch"
	"github.com/daisyhatch/daisyhatch/pkg/engine"
)

// serverCall is the part of an attempt that runs on one server.
type serverCall struct {
	// id is the attempt ID sent to the server.
	id string
	// partial is true when another part of the attempt runs on another server.
	partial bool
	run     func() outcome
}

// runUnderSlot makes a call while holding a slot, releases the slot, and reports the call to the quarantine and the
// slot's owner.
func (t *attemptRunner) runUnderSlot(slot dispatch.Slot, c serverCall) (o outcome, took time.Duration) {
	target := slot.Target()
	finish := func() {}
	if q := t.r.e.opts.Quarantine; q != nil {
		finish = q.Begin(target, t.r.fingerprint, t.spec.alone)
	}
	began := time.Now()
	o = c.run()
	took = time.Since(began)
	if o.failure != nil {
		t.r.post(func(time.Time) []action { return t.r.m.onDiagnosisStart(t.id) })
		t.diagnose(target, o.failure)
	}
	crashed := o.failure != nil && o.failure.Kind == engine.Crashed && o.failure.Sent
	if !crashed {
		// End the call at the quarantine before releasing the slot; otherwise the server's next request would be
		// counted as running beside this one.
		finish()
	}
	report := dispatch.Report{FirstToken: o.answer.FirstByte, Total: took, Abandoned: t.wasCancelled(o), Partial: c.partial}
	if o.failure != nil {
		report.Err = o.failure
	}
	slot.Done(report)
	if crashed {
		t.reportCrash(target, &o)
		finish()
	}
	if o.failure != nil && o.failure.Sent && mayStillRun(o.failure.Kind) {
		t.cancelAtEngine(target, c.id)
	}
	return o, took
}

// recordLatency records the duration of a successful attempt.
func (t *attemptRunner) recordLatency(o outcome, took time.Duration) {
	now := time.Now()
	name := t.r.req.Plan.Stages[t.spec.stage].Spec.Name
	t.r.e.opts.Latency.Record(now, name, took)
	first := took
	if t.spec.streamed && o.answer.FirstByte > 0 {
		first = o.answer.FirstByte
	}
	t.r.e.opts.Latency.Record(now, hedgeKey(name), first)
}

// finish reports the outcome to the machine and books the attempt's cost.
func (t *attemptRunner) finish(o outcome, took time.Duration) {
	known := t.r.post(func(now time.Time) []action {
		out := t.r.m.onAttemptEnd(now, t.id, o)
		t.r.bookEnded(t.id, t.spec.stage, took)
		return out
	})
	if known {
		return
	}
	if o.failure == nil && o.slotErr == nil {
		droppedAnswers.Inc()
	}
	t.bookLateWaste(took)
}

// bookLateWaste books, as waste, the cost of an attempt that ended after its request finished.
func (t *attemptRunner) bookLateWaste(took time.Duration) {
	if took == 0 {
		return
	}
	amount := t.r.book(t.spec.stage, took, true)
	if f := t.r.e.opts.OnLateCost; f != nil {
		f(t.r.account(t.spec.stage), amount)
	}
}

// bookWaste books the cost of a part of the attempt whose result was not used.
func (t *attemptRunner) bookWaste(took time.Duration) {
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
		t.bookLateWaste(took)
	}
}

// bookEnded books the cost of an attempt after the machine has handled its outcome.
func (r *runner) bookEnded(id, stage int, took time.Duration) {
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
