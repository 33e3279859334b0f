package executor

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/daisyhatch/daisyhatch/pkg/apierr"
	"github.com/daisyhatch/daisyhatch/pkg/dispatch"
	"github.com/daisyhatch/daisyhatch/pkg/engine"
)

// Timeouts of the calls made around an attempt: the probe of a failed server, the cancel call and the crash report.
const (
	probeTimeout       = 300 * time.Millisecond
	cancelTimeout      = time.Second
	crashReportTimeout = 2 * time.Second
)

const contentJSON = "application/json"

var (
	droppedAnswers = metrics.NewCounter("daisyhatch_executor_dropped_answers_total")
	expiredSlots   = metrics.NewCounter("daisyhatch_executor_slots_expired_before_send_total")
	crashesSeen    = metrics.NewCounter("daisyhatch_executor_crashes_total")
	probesAlive    = metrics.NewCounter(`daisyhatch_executor_probes_total{result="alive"}`)
	probesDead     = metrics.NewCounter(`daisyhatch_executor_probes_total{result="dead"}`)
)

// errSlotExpired fails an attempt whose slot expired before anything was sent.
var errSlotExpired = errors.New("executor: slot expired before sending")

// ExclusiveRunner is implemented by quarantines that let only one VM at a time run a suspect request.
type ExclusiveRunner interface {
	// AcquireExclusive acquires the exclusive right to run the fingerprint. It returns an *apierr.Error with NotRun
	// while another VM holds it. The caller calls release once, with crashed true when the request crashed its
	// server.
	AcquireExclusive(ctx context.Context, fingerprint uint64, deadline time.Time) (release func(crashed bool), err error)
}

// attemptRunner runs one attempt at a stage, in its own goroutine.
type attemptRunner struct {
	r    *runner
	id   int
	spec attemptSpec
	body []byte
	prev stageOutputs
	ctx  context.Context
}

// startAttempt starts an attempt in a new goroutine.
func (r *runner) startAttempt(id int, spec attemptSpec) {
	ctx, cancel := context.WithDeadline(r.attemptBase, spec.cutoff)
	r.cancels = append(r.cancels, cancel)
	t := &attemptRunner{r: r, id: id, spec: spec, ctx: ctx}
	body, err := r.prepareBody(spec.stage)
	t.body = body
	t.prev = r.prior
	r.e.background.Add(1)
	r.openAttempts.Add(1)
	go func() {
		defer r.e.background.Done()
		defer r.openAttempts.Done()
		defer cancel()
		if err != nil {
			t.finish(outcome{failure: &engine.Error{Kind: engine.Rejected, Err: err}}, 0)
			return
		}
		t.run()
	}()
}

// run acquires a slot, makes the call and reports the outcome to the machine.
func (t *attemptRunner) run() {
	if err := t.acquireExclusive(); err != nil {
		t.finish(outcome{slotErr: slotError(err)}, 0)
		return
	}
	slot, err := t.acquireSlot()
	if err != nil {
		t.finish(outcome{slotErr: slotError(err)}, 0)
		return
	}
	// The wait for the slot may have been long; another VM may have seen the request crash a server meanwhile.
	if o, ok := t.checkQuarantine(); !ok {
		slot.Done(dispatch.Report{Abandoned: true})
		t.finish(o, 0)
		return
	}
	defer t.applyStageTimeout()()
	if p, ok := t.acquirePartner(slot); ok {
		t.runHandover(p)
		return
	}
	target := slot.Target()
	t.r.post(func(now time.Time) []action { return t.r.m.onSlotAcquired(now, t.id, target) })
	if !slot.Valid() || t.ctx.Err() != nil {
		expiredSlots.Inc()
		failure := &engine.Error{Kind: engine.Refused, Server: target.Server, Err: errSlotExpired}
		// Nothing was sent, so the report must not count against the server.
		slot.Done(dispatch.Report{Abandoned: true})
		t.finish(outcome{failure: failure}, 0)
		return
	}
	t.callUnderSlot(slot, target)
}

// applyStageTimeout starts the stage's own timeout. It is called once the slot is held, because the wait for a slot
// says nothing about the server. The returned func releases the timer.
func (t *attemptRunner) applyStageTimeout() (end func()) {
	timeout := t.r.req.Plan.Stages[t.spec.stage].Spec.Timeout
	by := time.Now().Add(timeout)
	if timeout <= 0 || !by.Before(t.spec.cutoff) {
		return func() {}
	}
	t.spec.cutoff = by
	t.ctx, end = context.WithDeadline(t.ctx, by)
	return end
}

// callUnderSlot makes the call while holding a slot and reports the outcome.
func (t *attemptRunner) callUnderSlot(slot dispatch.Slot, target engine.Target) {
	o, took := t.runUnderSlot(slot, serverCall{id: t.attemptID(), run: func() outcome { return t.call(target) }})
	if o.failure == nil {
		t.recordLatency(o, took)
	}
	t.finish(o, took)
}

// wasCancelled reports whether the attempt ended because its request cancelled it.
func (t *attemptRunner) wasCancelled(o outcome) bool {
	return o.failure != nil && o.failure.Kind == engine.Canceled
}

// call makes the call and checks that the answer is complete and carries this attempt's ID.
func (t *attemptRunner) call(target engine.Target) outcome {
	call := t.engineCall()
	if t.spec.streamed {
		return t.stream(target, call)
	}
	answer, err := t.r.e.opts.Engine.Call(t.ctx, target, call)
	if err != nil {
		return outcome{failure: t.failure(target, err)}
	}
	if answer.AttemptID != call.AttemptID {
		droppedAnswers.Inc()
		return outcome{failure: &engine.Error{Kind: engine.WrongAttempt, Server: target.Server, Sent: true, Err: errBadAnswer}}
	}
	if err := checkAnswer(call.Operation, t.prev, answer.Body); err != nil {
		return outcome{failure: &engine.Error{Kind: engine.Failed, Server: target.Server, Sent: true, Err: err}}
	}
	return outcome{answer: answer}
}

// stream makes a streaming call and passes each token to the machine.
func (t *attemptRunner) stream(target engine.Target, call engine.Call) outcome {
	began := time.Now()
	s, err := t.r.e.opts.Engine.Stream(t.ctx, target, call)
	if err != nil {
		return outcome{failure: t.failure(target, err)}
	}
	defer func() { _ = s.Close() }()
	var first time.Duration
	for {
		ev, err := s.Next(t.ctx)
		if err != nil {
			return outcome{answer: engine.Answer{FirstByte: first}, failure: t.failure(target, err)}
		}
		if ev.AttemptID != call.AttemptID {
			droppedAnswers.Inc()
			failure := &engine.Error{Kind: engine.WrongAttempt, Server: target.Server, Sent: true, Err: errBadAnswer}
			return outcome{answer: engine.Answer{FirstByte: first}, failure: failure}
		}
		if ev.End {
			return outcome{answer: engine.Answer{AttemptID: call.AttemptID, Status: http.StatusOK, FirstByte: first}, tokens: ev.Index}
		}
		if first == 0 {
			first = time.Since(began)
		}
		if !t.r.post(func(now time.Time) []action { return t.r.m.onToken(now, t.id, ev) }) {
			return outcome{failure: &engine.Error{Kind: engine.Canceled, Server: target.Server, Sent: true, Err: context.Canceled}}
		}
	}
}

// attemptID returns the ID that identifies the attempt at the server.
func (t *attemptRunner) attemptID() string { return t.r.req.ID + "-" + strconv.Itoa(t.id) }

// engineCall builds the call to the backend server.
func (t *attemptRunner) engineCall() engine.Call {
	req := t.r.req
	spec := req.Plan.Stages[t.spec.stage].Spec
	call := engine.Call{
		AttemptID:       t.attemptID(),
		Operation:       engine.Operation(spec.Operation),
		Model:           spec.Model,
		Adapter:         spec.Adapter,
		ContentType:     contentJSON,
		Body:            t.body,
		Remaining:       time.Until(t.spec.cutoff),
		Priority:        req.Priority,
		ResumeFrom:      t.spec.resumeFrom,
		ResumeText:      t.spec.resumeText,
		ProgressTimeout: spec.ProgressTimeout,
		MaxAnswer:       spec.MaxAnswer,
		NewConnection:   !t.r.m.repeatable[t.spec.stage],
	}
	if call.Operation == engine.HTTP {
		call.Method = req.Method
		call.Path = req.Path
		call.ContentType = req.ContentType
		if call.Path == "" {
			call.Path = spec.Path
		}
	}
	return call
}

// acquireSlot acquires a slot. An attempt that continues a stream gets one on a server of the software version that began it,
// or none.
func (t *attemptRunner) acquireSlot() (dispatch.Slot, error) {
	r := t.slotRequest()
	for passed := 0; ; passed++ {
		slot, err := t.r.e.opts.Slots.Acquire(t.ctx, r)
		switch {
		case err != nil && passed > 0:
			return nil, errNoVersion().Wrap(err)
		case err != nil || t.spec.resumeFrom == 0 || slot.Target().Version == t.spec.version:
			return slot, err
		}
		other := slot.Target().Server
		slot.Done(dispatch.Report{Abandoned: true})
		if slices.Contains(r.Avoid, other) {
			return nil, errNoVersion()
		}
		r.Avoid = append(slices.Clone(r.Avoid), other)
	}
}

func errNoVersion() *apierr.Error {
	return apierr.New(http.StatusBadGateway, apierr.StreamBroken, "the stream broke, and no server of the software version that began it has a free slot")
}

// slotRequest builds the request for a slot.
func (t *attemptRunner) slotRequest() dispatch.SlotRequest {
	req := t.r.req
	spec := req.Plan.Stages[t.spec.stage].Spec
	return dispatch.SlotRequest{
		Pool:         spec.Pool,
		Organisation: req.Organisation,
		Pipeline:     req.Plan.Name,
		Stage:        spec.Name,
		Priority:     req.Priority,
		Model:        spec.Model,
		Adapter:      spec.Adapter,
		Prefix:       t.prefix(),
		Avoid:        t.spec.avoid,
		Alone:        t.spec.alone,
		SpareOnly:    t.spec.hedge,
		Deadline:     t.spec.cutoff,
	}
}

// prefix returns the hashes of the prompt's prefix blocks, used for cache affinity; nil for other operations than
// chat.
func (t *attemptRunner) prefix() []uint64 {
	if t.r.req.Plan.operation(t.spec.stage) != engine.Chat {
		return nil
	}
	return engine.PrefixBlocks(t.body)
}

// acquireExclusive acquires the right to run a suspect request, which only one VM holds at a time. All attempts of
// the request share it.
func (t *attemptRunner) acquireExclusive() error {
	s, ok := t.r.e.opts.Quarantine.(ExclusiveRunner)
	if !t.spec.alone || !ok {
		return nil
	}
	t.r.exclusiveMu.Lock()
	defer t.r.exclusiveMu.Unlock()
	if t.r.exclusiveRelease != nil {
		return nil
	}
	release, err := s.AcquireExclusive(t.ctx, t.r.fingerprint, t.r.req.Deadline)
	t.r.exclusiveRelease = release
	return err
}

// releaseExclusive gives back the right to run a suspect request. It is called when no attempt is left.
func (r *runner) releaseExclusive() {
	r.exclusiveMu.Lock()
	defer r.exclusiveMu.Unlock()
	if r.exclusiveRelease != nil {
		r.exclusiveRelease(r.crashedAlone.Load())
	}
}

// failure converts an error of the engine client into an *engine.Error. An attempt that hit its own timeout is
// reported as Silent, because the server did not answer in time.
func (t *attemptRunner) failure(target engine.Target, err error) *engine.Error {
	var e *engine.Error
	if !errors.As(err, &e) {
		e = &engine.Error{Kind: engine.Failed, Server: target.Server, Sent: true, Err: err}
	}
	if errors.Is(err, io.EOF) && e.Err == nil {
		e.Kind = engine.Truncated
	}
	if e.Kind == engine.Canceled && errors.Is(t.ctx.Err(), context.DeadlineExceeded) {
		c := *e
		c.Kind = engine.Silent
		c.Err = fmt.Errorf("no answer before the attempt's deadline: %w", e.Err)
		e = &c
	}
	return e
}

// diagnose probes the server on a new connection after a broken or silent call, to find out whether the server
// crashed.
func (t *attemptRunner) diagnose(target engine.Target, f *engine.Error) {
	switch f.Kind {
	case engine.Crashed, engine.Truncated, engine.Silent:
	default:
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(t.ctx), probeTimeout)
	defer cancel()
	err := t.r.e.opts.Engine.Probe(ctx, target)
	var e *engine.Error
	switch {
	case err == nil:
		probesAlive.Inc()
		f.Alive = true
		if f.Kind == engine.Crashed {
			f.Kind = engine.Truncated
		}
	case errors.As(err, &e) && (e.Kind == engine.Refused || e.Kind == engine.Crashed):
		probesDead.Inc()
		f.Kind = engine.Crashed
	default:
		probesDead.Inc()
		if f.Kind == engine.Crashed {
			f.Kind = engine.Silent
		}
	}
}

// reportCrash reports a crash to the control VMs before the machine may retry the request.
func (t *attemptRunner) reportCrash(target engine.Target, o *outcome) {
	crashesSeen.Inc()
	if t.spec.alone {
		t.r.crashedAlone.Store(true)
	}
	q := t.r.e.opts.Quarantine
	if q == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(t.ctx), crashReportTimeout)
	defer cancel()
	o.verdict, o.reportErr = q.Crashed(ctx, target, t.r.fingerprint)
	if o.reportErr != nil {
		t.r.e.opts.Log.Error(o.reportErr, "crash not reported; the request is not retried", "server", target.Server, "request", t.r.req.ID)
	}
}

// mayStillRun reports whether the server may still be working on a call that failed in this way.
func mayStillRun(k engine.Kind) bool {
	return k == engine.Canceled || k == engine.Silent || k == engine.Truncated || k == engine.WrongAttempt
}

// cancelAtEngine cancels the attempt at the server, in the background.
func (t *attemptRunner) cancelAtEngine(target engine.Target, id string) {
	t.r.e.background.Add(1)
	go func() {
		defer t.r.e.background.Done()
		ctx, cancel := context.WithTimeout(context.WithoutCancel(t.ctx), cancelTimeout)
		defer cancel()
		if err := t.r.e.opts.Engine.Cancel(ctx, target, id); err != nil {
			t.r.e.opts.Log.V(1).Info("cancel failed", "server", target.Server, "attempt", id, "error", err.Error())
		}
	}()
}

// slotError converts an error from Slots or the quarantine into the caller's error; nothing was sent.
func slotError(err error) *apierr.Error {
	return apierr.From(err).WithRun(apierr.NotRun)
}
