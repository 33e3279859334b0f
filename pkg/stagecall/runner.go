package stagecall

import (
	"context"
	"errors"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/pkg/catalog"
	"github.com/daisyhatch/daisyhatch/pkg/dialect"
	"github.com/daisyhatch/daisyhatch/pkg/retry"
	"github.com/daisyhatch/daisyhatch/pkg/upstream"
)

// ErrUnknownService means that the service runs no stages in the configuration that this VM knows.
var ErrUnknownService = errors.New("stagecall: service is not known here")

const (
	// maxTries is how many servers a piece is sent to.
	maxTries = 3
	// callSlack and callFactor bound a call against what it should take; a slow server's call is waited for, a silent
	// one's is given up.
	callFactor = 5
	callSlack  = 500 * time.Millisecond
	// maxAnswer bounds the answer to a call in bytes.
	maxAnswer = 1 << 20
	// retryShare and retryReserve bound the pieces sent again, against those sent first, well below what a service may
	// get from all VMs.
	retryShare   = 0.1
	retryReserve = 1.0
	// inputReadTime is when a call that is being worked on has read its inputs: a full call reads about 23 MB at 10 Gbit/s,
	// 18 ms, and shares the links with others.
	inputReadTime = 100 * time.Millisecond
	// freeInterval is how long results that were given up are gathered for one call.
	freeInterval = 30 * time.Millisecond
	// freeTimeout bounds such a call; a result that stays is released by its server after a time.
	freeTimeout = time.Second
)

// View is what a Runner knows of the system.
type View interface {
	Catalog() *catalog.Set
	// Serving returns the stage servers that may get calls now.
	Serving(service string, now time.Time) []Server
}

// Options are what a Runner is made from.
type Options struct {
	View    View
	Dialect dialect.Dialect
	Pool    *upstream.Pool
	Log     logr.Logger
}

// Runner makes stage calls for all VMs that ask it.
type Runner struct {
	opts Options

	mu    sync.Mutex
	pools map[string]*pool
	free  map[string][]string
	timer *time.Timer
}

// NewRunner returns a Runner.
func NewRunner(o Options) *Runner {
	return &Runner{opts: o, pools: make(map[string]*pool), free: make(map[string][]string)}
}

// pool is the work on one service.
type pool struct {
	runner  *Runner
	service string

	mu     sync.Mutex
	sched  *Scheduler
	budget *retry.Budget
	timer  *time.Timer
	// makers names the server of each address, for the room of results.
	makers map[string]string
}

// waiter is a job and those that wait for it. The pool's lock guards it.
type waiter struct {
	job     *Job
	results []dialect.PieceResult
	domains []string
	left    int
	done    chan struct{}
	closed  bool
	// unread counts the pieces whose inputs may still be read; inputsRead is told when there are none, nil when nobody
	// wants to know.
	unread     int
	inputsRead func()
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
			makers: make(map[string]string),
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
	now := time.Now()
	w := &waiter{job: newJob(q, now), left: len(q.GetPieces()), done: make(chan struct{}), inputsRead: inputsRead}
	w.unread = w.left
	w.results = make([]dialect.PieceResult, w.left)
	w.domains = make([]string, w.left)
	if w.left == 0 {
		return &daisyhatchv1.StageRunResponse{}, nil
	}
	if wait, ok := p.add(w, now); !ok {
		r.opts.Log.Info("stage refused", "request", q.GetRequest(), "service", q.GetService(), "wait_ms", wait.Milliseconds(),
			"remaining_ms", q.GetRemainingMs())
		return &daisyhatchv1.StageRunResponse{Refused: true, RetryAfterMs: wait.Milliseconds()}, nil
	}
	select {
	case <-w.done:
	case <-ctx.Done():
		r.Free(p.drop(w))
		return nil, ctx.Err()
	}
	res := &daisyhatchv1.StageRunResponse{}
	for i, x := range w.results {
		res.Results = append(res.Results, &daisyhatchv1.StagePieceResult{
			Handle: x.Handle, Reason: x.Reason, FailureDomain: w.domains[i],
		})
	}
	return res, nil
}

func newJob(q *daisyhatchv1.StageRunRequest, now time.Time) *Job {
	j := &Job{
		Request: q.GetRequest(), Stage: int(q.GetStage()), Key: q.GetKey(), Arrived: now,
		Deadline: now.Add(time.Duration(q.GetRemainingMs()) * time.Millisecond),
		Target:   now.Add(time.Duration(q.GetTargetRemainingMs()) * time.Millisecond),
		Priority: int(q.GetPriority()), ResultBytes: int64(q.GetResultBytes()), Domain: q.GetCallerDomain(),
		CrossingBytes: int64(q.GetCrossingBytes()),
	}
	for _, x := range q.GetPieces() {
		j.Pieces = append(j.Pieces, Piece{Index: int(x.GetIndex()), Inputs: x.GetInputs()})
	}
	return j
}

// add queues a job unless it can't be done in time; the wait is returned then.
func (p *pool) add(w *waiter, now time.Time) (time.Duration, bool) {
	p.mu.Lock()
	servers := p.runner.opts.View.Serving(p.service, now)
	if _, ok := p.sched.Forecast(w.job, servers, now); !ok {
		backlog := p.sched.Backlog(servers, now)
		p.mu.Unlock()
		return backlog, false
	}
	p.budget.Attempt(now)
	w.job.owner = w
	p.sched.Arrive(w.job, now)
	p.mu.Unlock()
	p.dispatch()
	return 0, true
}

// drop takes a job back whose caller has gone, and returns the results that it has.
func (p *pool) drop(w *waiter) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sched.Drop(w.job)
	w.finish()
	var handles []string
	for _, r := range w.results {
		if r.Handle != "" {
			handles = append(handles, r.Handle)
		}
	}
	return handles
}

// finish ends the wait; the pool's lock is held.
func (w *waiter) finish() {
	if !w.closed {
		w.closed = true
		close(w.done)
	}
}

// dispatch makes all calls that can be made now.
func (p *pool) dispatch() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	servers := p.runner.opts.View.Serving(p.service, now)
	for _, j := range p.sched.Hopeless(servers, now) {
		for _, piece := range j.Pieces {
			j.owner.settle(piece, dialect.PieceResult{Reason: dialect.ReasonLate}, "")
		}
	}
	p.sched.Retain(servers)
	for _, v := range p.sched.Unasked(servers, now) {
		go p.ask(v)
	}
	for {
		c, ok := p.sched.Next(servers, now)
		if !ok {
			break
		}
		p.makers[c.Server.Address] = c.Server.ID
		go p.call(&c)
	}
	if wait, ok := p.sched.Wait(now); ok {
		if p.timer != nil {
			p.timer.Stop()
		}
		p.timer = time.AfterFunc(wait, p.dispatch)
	}
}

// ask asks a server for its free room.
func (p *pool) ask(v Server) {
	free, err := p.runner.askRoom(v)
	now := time.Now()
	if err != nil {
		p.runner.opts.Log.Info("server did not tell its room", "service", p.service, "server", v.ID, "reason", err.Error())
		return
	}
	p.mu.Lock()
	foreign := p.sched.Learned(v.ID, free, now)
	p.mu.Unlock()
	if foreign > 0 {
		p.runner.opts.Log.Info("server holds results of other VMs' calls", "service", p.service, "server", v.ID,
			"bytes", foreign, "free_bytes", free.Least)
	}
	p.dispatch()
}

func (r *Runner) askRoom(v Server) (dialect.Room, error) {
	d := r.opts.Dialect
	ctx, cancel := context.WithTimeout(context.Background(), roomPatience)
	defer cancel()
	method, path := d.StageReport()
	a, err := r.opts.Pool.Do(ctx, upstream.Call{
		Address: v.Address, Method: method, Target: path, Host: v.Address, Header: d.TargetHeader(v.ID, roomPatience),
	})
	if err != nil {
		return dialect.Room{}, err
	}
	defer func() {
		// Closing only returns or drops the connection.
		_ = a.Body.Close()
	}()
	answer, err := io.ReadAll(io.LimitReader(a.Body, maxAnswer))
	if err != nil {
		return dialect.Room{}, err
	}
	return d.StageRoom(answer)
}

// settle notes a piece's end; the pool's lock is held.
func (w *waiter) settle(piece Piece, r dialect.PieceResult, domain string) {
	i := piece.Index
	if i < 0 || i >= len(w.results) || w.results[i] != (dialect.PieceResult{}) {
		return
	}
	w.results[i], w.domains[i] = r, domain
	w.left--
	if w.left == 0 {
		w.finish()
	}
}

// call makes one call and hands its results out.
func (p *pool) call(c *Call) {
	reading := time.AfterFunc(inputReadTime, func() { p.inputsRead(c) })
	results, err := p.send(c)
	reading.Stop()
	now := time.Now()
	p.mu.Lock()
	o := Outcome{Failed: err != nil}
	var left *upstream.Error
	if errors.As(err, &left) && !left.Sent || errors.Is(err, errShed) {
		o.Failed, o.Shed = false, true
	}
	n := 0
	var unwanted []string
	for _, part := range c.Parts {
		var handles []string
		for _, piece := range part.Pieces {
			r := dialect.PieceResult{Reason: dialect.ReasonError}
			if err == nil {
				r = results[n]
			}
			n++
			o.NoRoom = o.NoRoom || r.Reason == dialect.ReasonRoom
			if r.Handle != "" && part.Job.owner.closed {
				unwanted = append(unwanted, r.Handle)
			}
			handles = append(handles, r.Handle)
			p.take(part.Job, piece, r, c, o.Shed, now)
		}
		o.Handles = append(o.Handles, handles)
	}
	p.sched.Done(c, o, now)
	p.mu.Unlock()
	p.runner.Free(unwanted)
	p.log(c, &o, err, now)
	p.dispatch()
}

// inputsRead notes that a call which has not ended has read its inputs.
func (p *pool) inputsRead(c *Call) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.inputsRead = true
	for _, part := range c.Parts {
		w := part.Job.owner
		w.unread -= len(part.Pieces)
		if w.unread == 0 && !w.closed && w.inputsRead != nil {
			w.inputsRead()
			w.inputsRead = nil
		}
	}
}

// take handles one piece's result: a piece without one is sent again while that may help.
func (p *pool) take(j *Job, piece Piece, r dialect.PieceResult, c *Call, shed bool, now time.Time) {
	w := j.owner
	if r.Handle != "" {
		w.settle(piece, r, c.Server.Domain)
		return
	}
	if r.Reason != dialect.ReasonRoom {
		piece.Tries++
	}
	again := r.Reason == dialect.ReasonError || r.Reason == dialect.ReasonRoom
	inTime := j.Deadline.Sub(now) > p.sched.batch.CallTime(1)
	if again && inTime && !w.closed && piece.Tries < maxTries && (shed || r.Reason == dialect.ReasonRoom || p.budget.Allow(now)) {
		if len(j.Pieces) == 0 {
			p.sched.Add(j)
		}
		j.Pieces = append(j.Pieces, piece)
		if c.inputsRead {
			w.unread++
		}
		return
	}
	w.settle(piece, r, "")
}

// log tells of a call: which pieces went where, how long they had waited, and what came of it.
func (p *pool) log(c *Call, o *Outcome, err error, now time.Time) {
	var requests []string
	waited := time.Duration(0)
	for _, part := range c.Parts {
		requests = append(requests, part.Job.Request)
		waited = max(waited, c.Begun.Sub(part.Job.Arrived))
	}
	reason := ""
	if err != nil {
		reason = err.Error()
	}
	p.runner.opts.Log.Info("stage call", "service", p.service, "server", c.Server.ID, "pieces", c.Count(),
		"failed", o.Failed, "shed", o.Shed, "no_room", o.NoRoom, "waited_ms", waited.Milliseconds(), "took_ms", now.Sub(c.Begun).Milliseconds(),
		"expected_ms", c.Expected.Milliseconds(), "requests", requests, "reason", reason)
}

// errShed means that the server refused the call without running it.
var errShed = errors.New("stagecall: server refused the call")

func (p *pool) send(c *Call) ([]dialect.PieceResult, error) {
	d := p.runner.opts.Dialect
	var pieces []dialect.Piece
	latest := time.Time{}
	for _, part := range c.Parts {
		if part.Job.Deadline.After(latest) {
			latest = part.Job.Deadline
		}
		for _, x := range part.Pieces {
			piece := dialect.Piece{
				Request: part.Job.Request, Stage: part.Job.Stage, Index: x.Index,
				Remaining: part.Job.Deadline.Sub(c.Begun), Inputs: x.Inputs,
			}
			if len(x.Inputs) == 0 {
				piece.Key = part.Job.Key
			}
			pieces = append(pieces, piece)
		}
	}
	method, path, body, err := d.StageCall(pieces)
	if err != nil {
		return nil, err
	}
	limit := min(latest.Sub(c.Begun), callFactor*c.Expected+callSlack)
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	a, err := p.runner.opts.Pool.Do(ctx, upstream.Call{
		Address: c.Server.Address, Method: method, Target: path, Host: c.Server.Address,
		Header: d.TargetHeader(c.Server.ID, latest.Sub(c.Begun)), Body: body, HasBody: true,
	})
	if err != nil {
		return nil, err
	}
	defer func() {
		// Closing only returns or drops the connection.
		_ = a.Body.Close()
	}()
	answer, err := io.ReadAll(io.LimitReader(a.Body, maxAnswer))
	if err != nil {
		return nil, err
	}
	if said := d.Answer(a.Status, a.Header); said.NotRun || said.Misdirected {
		return nil, errShed
	}
	results, err := d.StageResults(answer)
	if err == nil && len(results) != len(pieces) {
		err = dialect.ErrFormat
	}
	return results, err
}

// Free gives results up; calls to one server are gathered for a moment.
func (r *Runner) Free(handles []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, h := range handles {
		address := AddressOf(h)
		if address != "" && !slices.Contains(r.free[address], h) {
			r.free[address] = append(r.free[address], h)
		}
	}
	if r.timer == nil && len(r.free) > 0 {
		r.timer = time.AfterFunc(freeInterval, r.flush)
	}
}

func (r *Runner) flush() {
	r.mu.Lock()
	all := r.free
	r.free = make(map[string][]string)
	r.timer = nil
	pools := make([]*pool, 0, len(r.pools))
	for _, p := range r.pools {
		pools = append(pools, p)
	}
	r.mu.Unlock()
	for address, handles := range all {
		go r.sendFree(address, handles, pools)
	}
}

func (r *Runner) sendFree(address string, handles []string, pools []*pool) {
	method, path, body, err := r.opts.Dialect.StageFree(handles)
	if err != nil {
		r.opts.Log.Error(err, "results not given up", "server_address", address)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
	defer cancel()
	a, err := r.opts.Pool.Do(ctx, upstream.Call{
		Address: address, Method: method, Target: path, Host: address, Header: r.opts.Dialect.TargetHeader("", freeTimeout),
		Body: body, HasBody: true,
	})
	if err != nil {
		r.opts.Log.Info("results not given up", "server_address", address, "count", len(handles), "reason", err.Error())
		return
	}
	// The answer says nothing beyond its status; what can't be read drops the connection.
	_, _ = io.Copy(io.Discard, io.LimitReader(a.Body, maxAnswer))
	_ = a.Body.Close()
	for _, p := range pools {
		p.mu.Lock()
		if id, ok := p.makers[address]; ok {
			p.sched.Freed(id, handles)
		}
		p.mu.Unlock()
		p.dispatch()
	}
}

// AddressOf returns the address of the server that holds a result.
func AddressOf(handle string) string {
	for i := range len(handle) {
		if handle[i] == '/' {
			return handle[:i]
		}
	}
	return ""
}
