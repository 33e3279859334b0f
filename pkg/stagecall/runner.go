package stagecall

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/pkg/bodylimit"
	"github.com/daisyhatch/daisyhatch/pkg/catalog"
	"github.com/daisyhatch/daisyhatch/pkg/dialect"
	"github.com/daisyhatch/daisyhatch/pkg/directory"
	"github.com/daisyhatch/daisyhatch/pkg/holdoff"
	"github.com/daisyhatch/daisyhatch/pkg/intake"
	"github.com/daisyhatch/daisyhatch/pkg/limiter"
	"github.com/daisyhatch/daisyhatch/pkg/liveness"
	"github.com/daisyhatch/daisyhatch/pkg/logsink"
	"github.com/daisyhatch/daisyhatch/pkg/quarantine"
	"github.com/daisyhatch/daisyhatch/pkg/retry"
	"github.com/daisyhatch/daisyhatch/pkg/suspect"
	"github.com/daisyhatch/daisyhatch/pkg/upstream"
)

// ErrUnknownService means that the configuration known to this VM has no such service, or that the service runs no stages.
var ErrUnknownService = errors.New("stagecall: service is not known here")

const (
	// maxAttempts is the maximum number of times that a piece is sent, not counting attempts that failed for lack of room.
	maxAttempts = 3
	// A call times out after callTimeoutFactor times its expected duration plus callTimeoutSlack: long enough for a slow
	// server, short enough for one that doesn't answer.
	callTimeoutFactor = 5
	callTimeoutSlack  = 500 * time.Millisecond
	// maxResponseBytes limits the size of a server's response.
	maxResponseBytes = 1 << 20
	// retryShare and retryReserve limit the pieces that are sent again, as a share of those sent first plus a reserve. The
	// share is far below what a service may receive from all VMs.
	retryShare   = 0.1
	retryReserve = 1.0
	// inputReadTime is the time after which a running call is assumed to have read its inputs: a full call reads about
	// 23 MB, which takes 18 ms at 10 Gbit/s on a link of its own, and the links are shared.
	inputReadTime = 100 * time.Millisecond
	// freeInterval is how long handles to release are collected for one request to a server that is short of room,
	// freeIntervalAmple for a server with ample room.
	freeInterval      = 30 * time.Millisecond
	freeIntervalAmple = 150 * time.Millisecond
	// freeTimeout limits a release request; if it fails, the server drops the results once they expire.
	freeTimeout = time.Second
	// largeAnswers is how many answers of up to maxResponseBytes are kept at the same time where the VM's memory isn't known.
	largeAnswers = 32
)

// View is the state of the system that a Runner reads and updates.
type View interface {
	limiter.View
	Catalog() *catalog.Set
	// Serving returns the stage servers that may get calls now.
	Serving(service string, now time.Time) []Server
	// Server returns the server with an ID; false if it is unknown.
	Server(id string) (directory.Server, bool)
	// ServerAt returns the server with an address; false if it is unknown.
	ServerAt(address string) (directory.Server, bool)
	// Noticed records what an incarnation of a server said about itself in an answer, and reports whether that is new.
	Noticed(v directory.Server, n holdoff.Notice, now time.Time) bool
	// Open reports whether an incarnation of a server accepts calls of any kind, according to its latest answers.
	Open(v directory.Server, now time.Time) bool
}

// Options configures a Runner.
type Options struct {
	View    View
	Dialect dialect.Dialect
	// Pool holds the connections for stage calls, AuxPool those for liveness checks, room queries and releases. They are
	// separate so that a duplicate response to one of the latter is never taken for the results of a stage call.
	Pool, AuxPool *upstream.Pool
	// Suspects tracks requests under which servers crashed and refuses them; nil means a tracker of this Runner's own.
	Suspects *quarantine.Tracker
	// MayCall is checked right before each call; calls wait while it returns false. nil allows all calls.
	MayCall func() bool
	// Release releases a job's input results, which other services made, once they are read; nil means that this Runner
	// does it.
	Release func(handles []string)
	// Memory is the budget on which answers draw; nil where the VM's memory isn't known.
	Memory *intake.Budget
	Log    logr.Logger
}

// Runner makes the stage calls of all services that this VM owns, or of this VM's own requests. It is safe for concurrent
// use.
type Runner struct {
	opts     Options
	liveness *liveness.Checker
	limiter  *limiter.Limiter
	bodies   *bodylimit.Limiter
	paceLog  *logsink.Budget
	// gaveWayLog bounds the log lines about jobs that gave way.
	gaveWayLog *logsink.Budget

	// mu and the locks of the pools are never held together, in either order.
	mu           sync.Mutex
	pools        map[string]*pool
	pendingFrees map[string]*pendingFree
	flushTimer   *time.Timer
}

// pendingFree holds the handles at one server that are released here but not yet reported to the server.
type pendingFree struct {
	handles []string
	since   time.Time
}

// NewRunner returns a Runner without any pools; they are created on first use.
func NewRunner(o Options) *Runner {
	if o.Suspects == nil {
		o.Suspects = quarantine.NewTracker(quarantine.TrackerOptions{Log: o.Log})
	}
	checker := liveness.New(o.AuxPool, o.View)
	return &Runner{opts: o, liveness: checker, limiter: limiter.New(o.View, o.Log), bodies: bodylimit.New(largeAnswers, o.Memory), paceLog: logsink.NewBudget(paceLinesPerSecond), gaveWayLog: logsink.NewBudget(logsink.AnsweredPerSecond), pools: make(map[string]*pool), pendingFrees: make(map[string]*pendingFree)}
}

func (r *Runner) pool(service string) (*pool, error) {
	set := r.opts.View.Catalog()
	if set == nil || set.Services[service] == nil || set.Services[service].Batch == nil {
		return nil, ErrUnknownService
	}
	b := *set.Services[service].Batch
	p := r.poolFor(service, b)
	p.mu.Lock()
	p.sched.Configure(b)
	p.mu.Unlock()
	return p, nil
}

// poolFor returns the pool of a service; a missing one is added.
func (r *Runner) poolFor(service string, b catalog.Batch) *pool {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.pools[service]
	if p == nil {
		p = &pool{
			runner: r, service: service, sched: NewScheduler(b), budget: retry.NewBudget(retryShare, retryReserve),
			serverIDs: make(map[string]string),
		}
		r.pools[service] = p
	}
	return p
}

// Run runs the pieces of one stage of one request and returns their results in order. A stage that can't finish before its
// deadline is refused at once. inputsRead may be nil; it is called at most once, before Run returns, when all pieces have
// been running for inputReadTime. Errors: ErrUnknownService and those of ctx.
func (r *Runner) Run(
	ctx context.Context, q *daisyhatchv1.StageRunRequest, inputsRead func(),
) (*daisyhatchv1.StageRunResponse, error) {
	p, err := r.pool(q.GetService())
	if err != nil {
		return nil, err
	}
	now := time.Now()
	job := newJob(q, now)
	if left, refused := r.opts.Suspects.Admit(ctx, job.Fingerprint, job.causes()...); refused {
		r.opts.Log.Info("stage refused", "request", q.GetRequest(), "service", q.GetService(), "wait_ms", left.Milliseconds(),
			"remaining_ms", q.GetRemainingMs(), "reason", reasonSuspect)
		return &daisyhatchv1.StageRunResponse{Refused: true, RetryAfterMs: left.Milliseconds(), Reason: reasonSuspect}, nil
	}
	w := &waiter{job: job, pending: len(q.GetPieces()), done: make(chan struct{}), inputsRead: inputsRead}
	if q.GetReleaseInputs() {
		w.inputsRead = sync.OnceFunc(func() { r.release(inputsOf(q)) })
	}
	w.unreadPieces = w.pending
	w.results = make([]dialect.PieceResult, w.pending)
	w.domains = make([]string, w.pending)
	if w.pending == 0 {
		return &daisyhatchv1.StageRunResponse{}, nil
	}
	if refusal, ok := p.enqueue(w, now); !ok {
		r.opts.Log.Info("stage refused", "request", q.GetRequest(), "service", q.GetService(), "wait_ms", refusal.After.Milliseconds(),
			"remaining_ms", q.GetRemainingMs())
		return &daisyhatchv1.StageRunResponse{
			Refused: true, RetryAfterMs: refusal.After.Milliseconds(), InVain: refusal.inVain(), WaitMs: p.waitMs(job),
		}, nil
	}
	defer w.notices.Wait()
	select {
	case <-w.done:
	case <-ctx.Done():
		r.Free(p.cancel(w))
		return nil, ctx.Err()
	}
	if q.GetReleaseInputs() && w.complete() {
		w.inputsRead()
	}
	res := &daisyhatchv1.StageRunResponse{WaitMs: p.waitMs(job), RetryAfterMs: w.returnAfter.Milliseconds(), InVain: w.inVain}
	for i, x := range w.results {
		res.Results = append(res.Results, &daisyhatchv1.StagePieceResult{
			Handle: x.Handle, Reason: x.Reason, FailureDomain: w.domains[i],
		})
	}
	return res, nil
}

// inVain returns f.InVain as in StageRunResponse.
func (f Refusal) inVain() *bool {
	if !f.Forecast {
		return nil
	}
	return &f.InVain
}

func (p *pool) waitMs(j *Job) *uint64 {
	ms := uint64(max(p.waitLike(j, time.Now()).Milliseconds(), 0))
	return &ms
}

// reasonSuspect is the reason given when a request is refused because servers crashed while running it.
const reasonSuspect = "servers ended one after the other under this request or the key of its pieces"

// release releases results through the VMs that own the calls that made them.
func (r *Runner) release(handles []string) {
	if r.opts.Release != nil {
		r.opts.Release(handles)
		return
	}
	r.Free(handles)
}

// inputsOf returns the inputs of all pieces without duplicates.
func inputsOf(q *daisyhatchv1.StageRunRequest) []string {
	var out []string
	for _, p := range q.GetPieces() {
		out = append(out, p.GetInputs()...)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

func newJob(q *daisyhatchv1.StageRunRequest, now time.Time) *Job {
	j := &Job{
		Request: q.GetRequest(), Stage: int(q.GetStage()), Key: q.GetKey(), Arrived: now,
		Deadline: now.Add(time.Duration(q.GetRemainingMs()) * time.Millisecond),
		Target:   now.Add(time.Duration(q.GetTargetRemainingMs()) * time.Millisecond),
		Priority: int(q.GetPriority()), ResultBytes: int64(q.GetResultBytes()), Domain: q.GetCallerDomain(),
		CrossingBytes: int64(q.GetCrossingBytes()), Fingerprint: q.GetFingerprint(), Organisation: q.GetOrganisation(),
		WorkAfter: serverTime(q.GetWorkAfterMs()), WorkDone: serverTime(q.GetWorkDoneMs()),
	}
	for _, x := range q.GetPieces() {
		j.Pieces = append(j.Pieces, Piece{Index: int(x.GetIndex()), Inputs: x.GetInputs()})
	}
	if j.Key != "" {
		j.KeyFingerprint = suspect.PartFingerprint(q.GetService(), xxhash.Sum64String(j.Key))
	}
	return j
}

// maxServerTime bounds the server time of one request that another VM tells; more counts as nothing told.
const maxServerTime = 10 * time.Minute

var badServerTimes = metrics.NewCounter("daisyhatch_stage_server_times_ignored_total")

// serverTime returns a server time that another VM told, in milliseconds; 0 if it is absurd.
func serverTime(ms uint64) time.Duration {
	if ms > uint64(maxServerTime/time.Millisecond) {
		badServerTimes.Inc()
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

// causes returns what the job shares with unlike requests and what may crash servers.
func (j *Job) causes() []uint64 {
	if j.KeyFingerprint == 0 {
		return nil
	}
	return []uint64{j.KeyFingerprint}
}
