package executor

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/daisyhatch/daisyhatch/pkg/apierr"
	"github.com/daisyhatch/daisyhatch/pkg/cost"
	"github.com/daisyhatch/daisyhatch/pkg/dispatch"
	"github.com/daisyhatch/daisyhatch/pkg/engine"
	"github.com/daisyhatch/daisyhatch/pkg/quantile"
	"github.com/daisyhatch/daisyhatch/pkg/retry"
	"github.com/daisyhatch/daisyhatch/pkg/suspect"
)

// Executor runs requests. It is safe for concurrent use.
type Executor struct {
	opts      Options
	lastProbe probeLimiter
	// background counts goroutines that may outlive their request: attempts, with their crash reports, cancel calls and
	// settlements.
	background sync.WaitGroup
}

// New returns an Executor. It fills in defaults for a nil Retries and Latency.
func New(o Options) *Executor {
	if o.Retries == nil {
		o.Retries = retry.NewBudget(retry.DefaultShare, retry.DefaultReserve)
	}
	if o.Latency == nil {
		o.Latency = quantile.NewSet()
	}
	return &Executor{opts: o}
}

// Wait waits until all background work has ended, or returns the cause when ctx ends first. Call it after the last
// Run has returned.
func (e *Executor) Wait(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		e.background.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// Run runs one request and returns its answer. sink is needed for streams only and is called from the calling
// goroutine. Errors are of type *apierr.Error. The end of ctx means that the caller has disconnected.
func (e *Executor) Run(ctx context.Context, req Request, sink Sink) (Result, error) {
	if err := checkRequest(req, sink); err != nil {
		return Result{}, err
	}
	r := newRunner(ctx, e, req, sink)
	defer r.cancelAll()
	r.loop(ctx)
	close(r.done)
	r.settle()
	e.background.Go(func() {
		r.openAttempts.Wait()
		r.releaseExclusive()
	})
	return r.result()
}

// checkRequest checks that a request can run at all.
func checkRequest(req Request, sink Sink) error {
	switch {
	case req.Plan == nil || len(req.Plan.Steps) == 0:
		return apierr.New(http.StatusInternalServerError, apierr.Internal, "the request has no stages")
	case (req.NotRepeatable || !req.Plan.Repeatable()) && req.IdempotencyKey == "":
		return apierr.New(http.StatusBadRequest, apierr.IdempotencyRequired, "a request that must not be repeated needs an idempotency key")
	case req.Stream && sink == nil:
		return apierr.New(http.StatusInternalServerError, apierr.Internal, "a stream has no sink")
	default:
		return nil
	}
}

// runner carries out the actions of one request's machine and feeds it events.
type runner struct {
	e           *Executor
	req         *Request
	sink        Sink
	m           *machine
	fingerprint uint64
	input       callerInput
	// prior holds the outputs of the steps before priorStep.
	prior     stageOutputs
	priorStep int

	// attemptBase is the parent context of attempts. It is not cancelled when the caller disconnects.
	attemptBase context.Context
	cancelAll   context.CancelFunc
	cancels     []context.CancelFunc
	// costs holds the booked cost of each stage; stageResults fills in the other fields.
	costs []StageResult
	// events carries closures that the loop runs against the machine.
	events  chan func(now time.Time) []action
	done    chan struct{}
	sinkErr error

	// openAttempts counts the attempts that have not ended.
	openAttempts sync.WaitGroup
	exclusiveMu  sync.Mutex
	// exclusiveRelease gives back the right to run a suspect request; nil while it is not held.
	exclusiveRelease func(crashed bool)
	// crashedAlone is set once an attempt that ran alone on its server crashed it.
	crashedAlone atomic.Bool
}

func newRunner(ctx context.Context, e *Executor, req Request, sink Sink) *runner {
	r := &runner{
		e:           e,
		req:         &req,
		sink:        sink,
		fingerprint: suspect.Fingerprint(req.Organisation, req.Plan.Name, req.Body),
		input:       parseCallerInput(req.Body),
		costs:       make([]StageResult, len(req.Plan.Stages)),
		events:      make(chan func(time.Time) []action),
		done:        make(chan struct{}),
	}
	r.attemptBase, r.cancelAll = context.WithCancel(context.WithoutCancel(ctx))
	r.m = newMachine(r.req, learnedPolicy{e: e, plan: req.Plan}, e.opts.Invariants)
	return r
}

// loop feeds events to the machine until the request is finished.
func (r *runner) loop(ctx context.Context) {
	verdict := dispatch.Clear
	if r.e.opts.Quarantine != nil {
		verdict = r.e.opts.Quarantine.Check(r.fingerprint)
	}
	finished := r.apply(r.m.start(time.Now(), verdict))
	timer := time.NewTimer(time.Until(r.m.nextTimer()))
	defer timer.Stop()
	gone := ctx.Done()
	for !finished {
		var out []action
		select {
		case ev := <-r.events:
			out = ev(time.Now())
		case <-timer.C:
			out = r.m.onTimer(time.Now())
		case <-gone:
			gone = nil
			out = r.m.onCallerGone(time.Now())
		}
		finished = r.apply(out)
		if r.sinkErr != nil && !finished {
			finished = r.apply(r.m.onCallerGone(time.Now()))
		}
		timer.Reset(time.Until(r.m.nextTimer()))
	}
}

// apply carries out actions. It returns true when the request is finished.
func (r *runner) apply(out []action) bool {
	for _, a := range out {
		switch a.kind {
		case actClaim:
			go r.claim()
		case actAttempt:
			r.startAttempt(a.attempt, a.spec)
		case actCancel:
			r.cancels[a.attempt]()
		case actDeliver:
			r.deliver(a.event)
		case actFinish:
			return true
		}
	}
	return false
}

// post sends an event to the loop. It returns false if the request has finished. The channel is unbuffered, so an
// event that was accepted is always handled.
func (r *runner) post(ev func(now time.Time) []action) bool {
	select {
	case r.events <- ev:
		return true
	case <-r.done:
		return false
	}
}

// deliver sends one token to the caller, unless the sink returned an error before.
func (r *runner) deliver(ev engine.Event) {
	if r.sinkErr == nil {
		r.sinkErr = r.sink(ev)
	}
}

// prepareBody builds the request body of a stage from the outputs of earlier steps.
func (r *runner) prepareBody(stage int) ([]byte, error) {
	for r.priorStep < r.m.step {
		for _, i := range r.req.Plan.Steps[r.priorStep] {
			if err := r.prior.add(r.req.Plan.operation(i), r.m.stages[i].answer.Body); err != nil {
				return nil, err
			}
		}
		r.priorStep++
	}
	return stageBody(r.req.Plan.Stages[stage], r.req.Body, r.input, r.prior, r.m.streamed(stage))
}

// result builds the answer of a finished request.
func (r *runner) result() (Result, error) {
	res := Result{Stages: r.stageResults(), Usage: r.m.usage}
	if r.m.err != nil {
		return res, r.m.err
	}
	if r.m.replay != nil {
		return r.replayed(res, *r.m.replay)
	}
	res.Status = http.StatusOK
	if r.m.streaming {
		return r.endStream(res)
	}
	r.lastAnswer(&res)
	return res, nil
}

// endStream sends the end event of the stream to the caller.
func (r *runner) endStream(res Result) (Result, error) {
	res.Streamed = true
	if r.sinkErr == nil {
		r.sinkErr = r.sink(engine.Event{Index: len(r.m.tokens), FinishReason: r.m.finishReason, Usage: r.m.usage, End: true})
	}
	if r.sinkErr != nil {
		return res, errCallerGone().WithRun(apierr.MayHaveRun).Wrap(r.sinkErr)
	}
	return res, nil
}

// lastAnswer copies the answer of the last step into res.
func (r *runner) lastAnswer(res *Result) {
	last := r.req.Plan.Steps[len(r.req.Plan.Steps)-1]
	if len(last) == 1 {
		a := r.m.stages[last[0]].answer
		res.Status = a.Status
		res.ContentType = a.ContentType
		res.Body = a.Body
		res.Usage = a.Usage
		return
	}
	names := make([]string, 0, len(last))
	bodies := make([][]byte, 0, len(last))
	for _, i := range last {
		names = append(names, r.req.Plan.Stages[i].Spec.Name)
		bodies = append(bodies, r.m.stages[i].answer.Body)
	}
	res.ContentType = contentJSON
	res.Body = joinAnswers(names, bodies)
}

// stageResults returns one result for each stage that was started.
func (r *runner) stageResults() []StageResult {
	out := make([]StageResult, 0, len(r.costs))
	for i, c := range r.costs {
		s := r.m.stages[i]
		if s.attempts == 0 {
			continue
		}
		c.Stage = r.req.Plan.Stages[i].Spec.Name
		c.Server = s.server
		c.Attempts = s.attempts
		c.Hedged = s.hedged
		if s.done {
			c.Duration = s.finished.Sub(s.began)
			c.FirstToken = s.answer.FirstByte
		}
		out = append(out, c)
	}
	return out
}

// book records the cost of an attempt that occupied a server for d, and returns it.
func (r *runner) book(stage int, d time.Duration, wasted bool) float64 {
	amount := cost.Of(d, r.req.Plan.Stages[stage].Pool.CostPerSecond)
	r.e.opts.Costs.Add(r.account(stage), amount, wasted)
	return amount
}

// account returns the account to which a stage's cost is booked.
func (r *runner) account(stage int) cost.Account {
	return cost.Account{
		Pipeline:     r.req.Plan.Name,
		Organisation: r.req.Organisation,
		Stage:        r.req.Plan.Stages[stage].Spec.Name,
	}
}
