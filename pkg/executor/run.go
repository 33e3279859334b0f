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
	lastProbe sometimes
	// background counts work that outlives its request: cancels, settlements, crash reports.
	background sync.WaitGroup
}

// New returns an Executor.
func New(o Options) *Executor {
	if o.Retries == nil {
		o.Retries = retry.NewBudget(retry.DefaultShare, retry.DefaultReserve)
	}
	if o.Latency == nil {
		o.Latency = quantile.NewSet()
	}
	return &Executor{opts: o}
}

// Wait returns when all work that outlives its request is done, or ctx ends. Call it after the last Run returned.
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

// Run runs one request to its end and returns its whole answer. sink is needed for streams only; it is called from
// the calling goroutine. Errors are *apierr.Error. When ctx ends, the caller is taken to be gone.
func (e *Executor) Run(ctx context.Context, req Request, sink Sink) (Result, error) {
	if err := checkRequest(req, sink); err != nil {
		return Result{}, err
	}
	r := newRun(ctx, e, req, sink)
	defer r.cancelAll()
	r.loop(ctx)
	close(r.done)
	r.settle()
	e.background.Go(func() {
		r.open.Wait()
		r.releaseSolo()
	})
	return r.result()
}

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

// run is the runner of one request: it carries out the machine's actions.
type run struct {
	e     *Executor
	req   *Request
	sink  Sink
	m     *machine
	print uint64
	in    input
	// prior holds what the steps before the present one gave.
	prior     gathered
	priorStep int

	// base is the context of attempts: it outlives the caller.
	base      context.Context
	cancelAll context.CancelFunc
	cancels   []context.CancelFunc
	costs     []StageResult
	events    chan func(now time.Time) []action
	done      chan struct{}
	sinkErr   error

	// open counts the attempts that have not ended.
	open        sync.WaitGroup
	soloMu      sync.Mutex
	soloRelease func(crashed bool)
	// crashedAlone is set once an attempt that had its server to itself took it down.
	crashedAlone atomic.Bool
}

func newRun(ctx context.Context, e *Executor, req Request, sink Sink) *run {
	r := &run{
		e:      e,
		req:    &req,
		sink:   sink,
		print:  suspect.Fingerprint(req.Organisation, req.Plan.Name, req.Body),
		in:     readInput(req.Body),
		costs:  make([]StageResult, len(req.Plan.Stages)),
		events: make(chan func(time.Time) []action),
		done:   make(chan struct{}),
	}
	r.base, r.cancelAll = context.WithCancel(context.WithoutCancel(ctx))
	r.m = newMachine(r.req, advice{e: e, plan: req.Plan}, e.opts.Invariants)
	return r
}

// loop feeds the machine until the request is finished.
func (r *run) loop(ctx context.Context) {
	verdict := dispatch.Clear
	if r.e.opts.Quarantine != nil {
		verdict = r.e.opts.Quarantine.Check(r.print)
	}
	finished := r.apply(r.m.start(time.Now(), verdict))
	timer := time.NewTimer(time.Until(r.m.nextWake()))
	defer timer.Stop()
	gone := ctx.Done()
	for !finished {
		var out []action
		select {
		case ev := <-r.events:
			out = ev(time.Now())
		case <-timer.C:
			out = r.m.wake(time.Now())
		case <-gone:
			gone = nil
			out = r.m.gone(time.Now())
		}
		finished = r.apply(out)
		if r.sinkErr != nil && !finished {
			finished = r.apply(r.m.gone(time.Now()))
		}
		timer.Reset(time.Until(r.m.nextWake()))
	}
}

// apply carries actions out. It returns true when the request is finished.
func (r *run) apply(out []action) bool {
	for _, a := range out {
		switch a.kind {
		case actClaim:
			go r.claim()
		case actAttempt:
			r.attempt(a.attempt, a.spec)
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

// post hands an event to the runner. It returns false when the request is finished; since the channel has
// no buffer, no event is lost in between.
func (r *run) post(ev func(now time.Time) []action) bool {
	select {
	case r.events <- ev:
		return true
	case <-r.done:
		return false
	}
}

// deliver hands one token to the caller.
func (r *run) deliver(ev engine.Event) {
	if r.sinkErr == nil {
		r.sinkErr = r.sink(ev)
	}
}

// prepare builds the body of a stage from what the steps before it gave.
func (r *run) prepare(stage int) ([]byte, error) {
	for r.priorStep < r.m.step {
		for _, i := range r.req.Plan.Steps[r.priorStep] {
			if err := r.prior.gather(r.req.Plan.operation(i), r.m.stages[i].answer.Body); err != nil {
				return nil, err
			}
		}
		r.priorStep++
	}
	return stageBody(r.req.Plan.Stages[stage], r.req.Body, r.in, r.prior, r.m.streamed(stage))
}

// result builds the request's answer once it is finished.
func (r *run) result() (Result, error) {
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

// endStream gives the caller the explicit end of the stream.
func (r *run) endStream(res Result) (Result, error) {
	res.Streamed = true
	if r.sinkErr == nil {
		r.sinkErr = r.sink(engine.Event{Index: len(r.m.tokens), FinishReason: r.m.finish, Usage: r.m.usage, End: true})
	}
	if r.sinkErr != nil {
		return res, errGone().WithRun(apierr.MayHaveRun).Wrap(r.sinkErr)
	}
	return res, nil
}

// lastAnswer takes the answer of the last step.
func (r *run) lastAnswer(res *Result) {
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

func (r *run) stageResults() []StageResult {
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

// book books the cost of one attempt that kept a server busy for d.
func (r *run) book(stage int, d time.Duration, wasted bool) float64 {
	amount := cost.Of(d, r.req.Plan.Stages[stage].Pool.CostPerSecond)
	r.e.opts.Costs.Add(r.account(stage), amount, wasted)
	return amount
}

func (r *run) account(stage int) cost.Account {
	return cost.Account{
		Pipeline:     r.req.Plan.Name,
		Organisation: r.req.Organisation,
		Stage:        r.req.Plan.Stages[stage].Spec.Name,
	}
}
