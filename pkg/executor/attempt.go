package executor

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/daisyhatch/daisyhatch/pkg/apierr"
	"github.com/daisyhatch/daisyhatch/pkg/dispatch"
	"github.com/daisyhatch/daisyhatch/pkg/engine"
)

// Timeouts of what surrounds an attempt.
const (
	probeTimeout  = 300 * time.Millisecond
	cancelTimeout = time.Second
	shareTimeout  = 2 * time.Second
)

// contentJSON is the content type of JSON bodies.
const contentJSON = "application/json"

var (
	droppedAnswers = metrics.NewCounter("daisyhatch_executor_dropped_answers_total")
	invalidSlots   = metrics.NewCounter("daisyhatch_executor_slots_expired_before_send_total")
	crashesSeen    = metrics.NewCounter("daisyhatch_executor_crashes_total")
	probesAlive    = metrics.NewCounter(`daisyhatch_executor_probes_total{result="alive"}`)
	probesDead     = metrics.NewCounter(`daisyhatch_executor_probes_total{result="dead"}`)
)

// errSlotExpired fails an attempt whose slot ran out before anything was sent.
var errSlotExpired = errors.New("executor: slot expired before sending")

// Soloist is implemented by quarantines that let a suspect run on one VM at a time only.
type Soloist interface {
	// Solo returns an *apierr.Error with NotRun while another VM runs the fingerprint. The release func is
	// called once, with true when the run crashed its server.
	Solo(ctx context.Context, fingerprint uint64, deadline time.Time) (release func(crashed bool), err error)
}

// try is one attempt in the making. It runs in a goroutine of its own.
type try struct {
	r    *run
	id   int
	spec attemptSpec
	body []byte
	prev gathered
	ctx  context.Context
}

// attempt starts an attempt.
func (r *run) attempt(id int, spec attemptSpec) {
	ctx, cancel := context.WithDeadline(r.base, spec.cut)
	r.cancels = append(r.cancels, cancel)
	t := &try{r: r, id: id, spec: spec, ctx: ctx}
	body, err := r.prepare(spec.stage)
	t.body = body
	t.prev = r.prior
	r.e.background.Add(1)
	r.open.Add(1)
	go func() {
		defer r.e.background.Done()
		defer r.open.Done()
		defer cancel()
		if err != nil {
			t.end(outcome{failure: &engine.Error{Kind: engine.Rejected, Err: err}}, 0)
			return
		}
		t.run()
	}()
}

// run acquires a slot, makes the call and tells the machine how it ended.
func (t *try) run() {
	if err := t.solo(); err != nil {
		t.end(outcome{slotErr: slotError(err)}, 0)
		return
	}
	slot, err := t.r.e.opts.Slots.Acquire(t.ctx, t.slotRequest())
	if err != nil {
		t.end(outcome{slotErr: slotError(err)}, 0)
		return
	}
	// A wait for a slot may be long, and others may have seen the request crash a server meanwhile.
	if o, ok := t.unsuspected(); !ok {
		slot.Done(dispatch.Report{Abandoned: true})
		t.end(o, 0)
		return
	}
	defer t.limit()()
	if p, ok := t.partner(slot); ok {
		t.handOver(p)
		return
	}
	target := slot.Target()
	t.r.post(func(now time.Time) []action { return t.r.m.acquired(now, t.id, target.Server) })
	if !slot.Valid() || t.ctx.Err() != nil {
		invalidSlots.Inc()
		failure := &engine.Error{Kind: engine.Refused, Server: target.Server, Err: errSlotExpired}
		// Nothing was sent, so this says nothing about the server.
		slot.Done(dispatch.Report{Abandoned: true})
		t.end(outcome{failure: failure}, 0)
		return
	}
	t.dispatch(slot, target)
}

// limit begins the stage's own timeout, which runs from the slot on: a wait for room says nothing about the server.
// The returned func ends it.
func (t *try) limit() (end func()) {
	timeout := t.r.req.Plan.Stages[t.spec.stage].Spec.Timeout
	by := time.Now().Add(timeout)
	if timeout <= 0 || !by.Before(t.spec.cut) {
		return func() {}
	}
	t.spec.cut = by
	t.ctx, end = context.WithDeadline(t.ctx, by)
	return end
}

// dispatch makes the call under a slot.
func (t *try) dispatch(slot dispatch.Slot, target engine.Target) {
	o, took := t.underSlot(slot, work{id: t.attemptID(), run: func() outcome { return t.call(target) }})
	if o.failure == nil {
		t.learn(o, took)
	}
	t.end(o, took)
}

// abandoned reports whether the attempt ended since its request gave it up.
func (t *try) abandoned(o outcome) bool {
	return o.failure != nil && o.failure.Kind == engine.Canceled
}

// call makes the call and checks that its answer is whole and its own.
func (t *try) call(target engine.Target) outcome {
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
		return outcome{failure: &engine.Error{Kind: engine.WrongAttempt, Server: target.Server, Sent: true, Err: errAnswer}}
	}
	if err := checkAnswer(call.Operation, t.prev, answer.Body); err != nil {
		return outcome{failure: &engine.Error{Kind: engine.Failed, Server: target.Server, Sent: true, Err: err}}
	}
	return outcome{answer: answer}
}

// stream makes a streaming call and hands its tokens on.
func (t *try) stream(target engine.Target, call engine.Call) outcome {
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
			failure := &engine.Error{Kind: engine.WrongAttempt, Server: target.Server, Sent: true, Err: errAnswer}
			return outcome{answer: engine.Answer{FirstByte: first}, failure: failure}
		}
		if ev.End {
			return outcome{answer: engine.Answer{AttemptID: call.AttemptID, Status: http.StatusOK, FirstByte: first}, tokens: ev.Index}
		}
		if first == 0 {
			first = time.Since(began)
		}
		if !t.r.post(func(now time.Time) []action { return t.r.m.token(now, t.id, ev) }) {
			return outcome{failure: &engine.Error{Kind: engine.Canceled, Server: target.Server, Sent: true, Err: context.Canceled}}
		}
	}
}

// attemptID is the correlation ID of the attempt.
func (t *try) attemptID() string { return t.r.req.ID + "-" + strconv.Itoa(t.id) }

func (t *try) engineCall() engine.Call {
	req := t.r.req
	spec := req.Plan.Stages[t.spec.stage].Spec
	call := engine.Call{
		AttemptID:       t.attemptID(),
		Operation:       engine.Operation(spec.Operation),
		Model:           spec.Model,
		Adapter:         spec.Adapter,
		ContentType:     contentJSON,
		Body:            t.body,
		Remaining:       time.Until(t.spec.cut),
		Priority:        req.Priority,
		ResumeFrom:      t.spec.resumeFrom,
		ResumeText:      t.spec.resumeText,
		ProgressTimeout: spec.ProgressTimeout,
		MaxAnswer:       spec.MaxAnswer,
		NewConnection:   !t.r.m.repeat[t.spec.stage],
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

func (t *try) slotRequest() dispatch.SlotRequest {
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
		Deadline:     t.spec.cut,
	}
}

// prefix names the prompt's prefix blocks for cache affinity.
func (t *try) prefix() []uint64 {
	if t.r.req.Plan.operation(t.spec.stage) != engine.Chat {
		return nil
	}
	return engine.PrefixBlocks(t.body)
}

// solo takes the right to run a suspect, which one VM has at a time. All attempts of the request share it.
func (t *try) solo() error {
	s, ok := t.r.e.opts.Quarantine.(Soloist)
	if !t.spec.alone || !ok {
		return nil
	}
	t.r.soloMu.Lock()
	defer t.r.soloMu.Unlock()
	if t.r.soloRelease != nil {
		return nil
	}
	release, err := s.Solo(t.ctx, t.r.print, t.r.req.Deadline)
	t.r.soloRelease = release
	return err
}

// releaseSolo gives the right to run a suspect back once no attempt is left.
func (r *run) releaseSolo() {
	r.soloMu.Lock()
	defer r.soloMu.Unlock()
	if r.soloRelease != nil {
		r.soloRelease(r.crashedAlone.Load())
	}
}

// failure turns an error of the engine client into its *engine.Error. An attempt that ran into its own timeout
// found the server silent.
func (t *try) failure(target engine.Target, err error) *engine.Error {
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
		c.Err = fmt.Errorf("no answer in time: %w", e.Err)
		e = &c
	}
	return e
}

// diagnose finds out on a new connection whether a broken or silent connection means that the server is gone.
func (t *try) diagnose(target engine.Target, f *engine.Error) {
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

// shareCrash tells the other VMs of the crash before the machine may retry.
func (t *try) shareCrash(target engine.Target, o *outcome) {
	crashesSeen.Inc()
	if t.spec.alone {
		t.r.crashedAlone.Store(true)
	}
	q := t.r.e.opts.Quarantine
	if q == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(t.ctx), shareTimeout)
	defer cancel()
	o.verdict, o.shareErr = q.Crashed(ctx, target, t.r.print)
	if o.shareErr != nil {
		t.r.e.opts.Log.Error(o.shareErr, "crash not shared; no retry", "server", target.Server, "request", t.r.req.ID)
	}
}

// stillRuns reports whether the server may go on with a call that failed in this way.
func stillRuns(k engine.Kind) bool {
	return k == engine.Canceled || k == engine.Silent || k == engine.Truncated || k == engine.WrongAttempt
}

// cancelAtEngine stops the attempt at the server, in the background.
func (t *try) cancelAtEngine(target engine.Target, id string) {
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

// slotError turns an error of Slots into what the caller sees: nothing was sent.
func slotError(err error) *apierr.Error {
	return apierr.From(err).WithRun(apierr.NotRun)
}
