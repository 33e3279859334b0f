package stagecall

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/pkg/catalog"
	"github.com/daisyhatch/daisyhatch/pkg/dialect"
	"github.com/daisyhatch/daisyhatch/pkg/directory"
	"github.com/daisyhatch/daisyhatch/pkg/holdoff"
	"github.com/daisyhatch/daisyhatch/pkg/liveness"
	"github.com/daisyhatch/daisyhatch/pkg/quarantine"
	"github.com/daisyhatch/daisyhatch/pkg/retry"
	"github.com/daisyhatch/daisyhatch/pkg/upstream"
)

// ErrUnknownService means that the service runs no stages in the configuration that this VM knows.
var ErrUnknownService = errors.New("stagecall: service is not known here")

const (
	// maxAttempts is how many servers a piece is sent to.
	maxAttempts = 3
	// callSlack and callTimeoutFactor bound a call against what it should take; a slow server's call is waited for, a silent
	// one's is given up.
	callTimeoutFactor = 5
	callTimeoutSlack  = 500 * time.Millisecond
	// maxResponseBytes bounds the answer to a call in bytes.
	maxResponseBytes = 1 << 20
	// retryShare and retryReserve bound the pieces sent again, against those sent first, well below what a service may
	// get from all VMs.
	retryShare   = 0.1
	retryReserve = 1.0
	// inputReadTime is when a call that is being worked on has read its inputs: a full call reads about 23 MB at 10 Gbit/s,
	// 18 ms, and shares the links with others.
	inputReadTime = 100 * time.Millisecond
	// freeInterval is how long results that were given up are gathered for one call to a server whose room is scarce,
	// freeRoomy at one that has room enough.
	freeInterval      = 30 * time.Millisecond
	freeIntervalAmple = 150 * time.Millisecond
	// freeTimeout bounds such a call; a result that stays is released by its server after a time.
	freeTimeout = time.Second
)

// View is what a Runner knows of the system.
type View interface {
	Catalog() *catalog.Set
	// Serving returns the stage servers that may get calls now.
	Serving(service string, now time.Time) []Server
	// Server returns what is known of a server; false when nothing is.
	Server(id string) (directory.Server, bool)
	// ServerAt returns the server to which an address belongs; false when none is known.
	ServerAt(address string) (directory.Server, bool)
	// Noticed takes over what an incarnation of a server said in an answer, and reports whether that is news.
	Noticed(v directory.Server, n holdoff.Notice, now time.Time) bool
	// Open reports whether an incarnation of a server takes calls of any kind, as far as its answers say.
	Open(v directory.Server, now time.Time) bool
}

// Options are what a Runner is made from.
type Options struct {
	View    View
	Dialect dialect.Dialect
	// Pool holds the connections for stage calls, Asides those for reports and give-ups: an answer that comes twice on one
	// of those must not be taken for a stage's results.
	Pool, Asides *upstream.Pool
	// Suspects keeps requests under which servers ended from being run; nil remembers what this Runner sees.
	Suspects *quarantine.Tracker
	// MayCall is asked right before each call; calls wait while it says no. nil allows all.
	MayCall func() bool
	// Release gives results of other services up that jobs have read; nil when this VM does it itself.
	Release func(handles []string)
	Log     logr.Logger
}

// Runner makes stage calls for all VMs that ask it.
type Runner struct {
	opts     Options
	liveness *liveness.Checker

	mu           sync.Mutex
	pools        map[string]*pool
	pendingFrees map[string]*pendingFree
	flushTimer   *time.Timer
}

// pendingFree are results at one server that were given up and that it has not been told of.
type pendingFree struct {
	handles []string
	since   time.Time
}

// NewRunner returns a Runner.
func NewRunner(o Options) *Runner {
	if o.Suspects == nil {
		o.Suspects = quarantine.NewTracker(quarantine.TrackerOptions{Log: o.Log})
	}
	checker := liveness.New(o.Asides, func(id string) (directory.Server, bool) { return o.View.Server(id) })
	return &Runner{opts: o, liveness: checker, pools: make(map[string]*pool), pendingFrees: make(map[string]*pendingFree)}
}

func (r *Runner) pool(service string) (*pool, error) {
	set := r.opts.View.Catalog()
	if set == nil || set.Services[service] == nil || set.Services[service].Batch == nil {
		return nil, ErrUnknownService
	}
	b := *set.Services[service].Batch
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
	p.mu.Lock()
	p.sched.Configure(b)
	p.mu.Unlock()
	return p, nil
}

// Run runs the pieces of one stage of one request and returns their results in order. It refuses at once what can't be
// done before the deadline. inputsRead may be nil; it is called at most once before Run returns, when all pieces have
// been worked on for inputReadTime.
func (r *Runner) Run(
	ctx context.Context, q *daisyhatchv1.StageRunRequest, inputsRead func(),
) (*daisyhatchv1.StageRunResponse, error) {
	p, err := r.pool(q.GetService())
	if err != nil {
		return nil, err
	}
	if left, refused := r.opts.Suspects.Refused(q.GetFingerprint()); refused {
		r.opts.Log.Info("stage refused", "request", q.GetRequest(), "service", q.GetService(), "wait_ms", left.Milliseconds(),
			"remaining_ms", q.GetRemainingMs(), "reason", reasonSuspect)
		return &daisyhatchv1.StageRunResponse{Refused: true, RetryAfterMs: left.Milliseconds(), Reason: reasonSuspect}, nil
	}
	now := time.Now()
	w := &waiter{job: newJob(q, now), pending: len(q.GetPieces()), done: make(chan struct{}), inputsRead: inputsRead}
	if q.GetReleaseInputs() {
		w.inputsRead = sync.OnceFunc(func() { r.release(inputsOf(q)) })
	}
	w.unreadPieces = w.pending
	w.results = make([]dialect.PieceResult, w.pending)
	w.domains = make([]string, w.pending)
	if w.pending == 0 {
		return &daisyhatchv1.StageRunResponse{}, nil
	}
	if wait, ok := p.enqueue(w, now); !ok {
		r.opts.Log.Info("stage refused", "request", q.GetRequest(), "service", q.GetService(), "wait_ms", wait.Milliseconds(),
			"remaining_ms", q.GetRemainingMs())
		return &daisyhatchv1.StageRunResponse{Refused: true, RetryAfterMs: wait.Milliseconds()}, nil
	}
	select {
	case <-w.done:
	case <-ctx.Done():
		r.Free(p.cancel(w))
		return nil, ctx.Err()
	}
	if q.GetReleaseInputs() && w.complete() {
		w.inputsRead()
	}
	res := &daisyhatchv1.StageRunResponse{}
	for i, x := range w.results {
		res.Results = append(res.Results, &daisyhatchv1.StagePieceResult{
			Handle: x.Handle, Reason: x.Reason, FailureDomain: w.domains[i],
		})
	}
	return res, nil
}

// reasonSuspect is why the stages of a request are not run under which servers ended.
const reasonSuspect = "servers ended one after the other under this request"

// release gives results up through the VMs that had them made.
func (r *Runner) release(handles []string) {
	if r.opts.Release != nil {
		r.opts.Release(handles)
		return
	}
	r.Free(handles)
}

// inputsOf returns the inputs of all pieces, each once.
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
		CrossingBytes: int64(q.GetCrossingBytes()), Fingerprint: q.GetFingerprint(),
	}
	for _, x := range q.GetPieces() {
		j.Pieces = append(j.Pieces, Piece{Index: int(x.GetIndex()), Inputs: x.GetInputs()})
	}
	return j
}
