package stagecall

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/daisyhatch/daisyhatch/pkg/dialect"
	"github.com/daisyhatch/daisyhatch/pkg/directory"
	"github.com/daisyhatch/daisyhatch/pkg/liveness"
	"github.com/daisyhatch/daisyhatch/pkg/quarantine"
	"github.com/daisyhatch/daisyhatch/pkg/retry"
	"github.com/daisyhatch/daisyhatch/pkg/upstream"
)

// pool is the work on one service.
type pool struct {
	runner  *Runner
	service string

	mu            sync.Mutex
	sched         *Scheduler
	budget        *retry.Budget
	dispatchTimer *time.Timer
	// servers are those that served at listed; checked is when the queue was last searched for jobs without hope.
	servers   []Server
	listedAt  time.Time
	checkedAt time.Time
	// serverIDs names the server of each address, for the room of results.
	serverIDs map[string]string
}

// waiter is a job and those that wait for it. The pool's lock guards it.
type waiter struct {
	job     *Job
	results []dialect.PieceResult
	domains []string
	pending int
	done    chan struct{}
	closed  bool
	// unreadPieces counts the pieces whose inputs may still be read; inputsRead is told when there are none, nil when nobody
	// wants to know.
	unreadPieces     int
	inputsRead       func()
	inputsReadCalled bool
}

// complete reports whether all pieces have results; call it once the wait is over.
func (w *waiter) complete() bool {
	return !slices.ContainsFunc(w.results, func(r dialect.PieceResult) bool { return r.Handle == "" })
}

const (
	// serverListTTL is how old the list of servers may be when a call is formed: an owner looks at it a thousand times a
	// second.
	serverListTTL = 20 * time.Millisecond
	// deadlineCheckInterval is the time between two searches of the queue for jobs that can't be done in time.
	deadlineCheckInterval = 20 * time.Millisecond
)

// serving returns the servers that may get calls; the pool's lock is held.
func (p *pool) serving(now time.Time) []Server {
	if p.servers == nil || now.Sub(p.listedAt) >= serverListTTL {
		p.servers, p.listedAt = p.runner.opts.View.Serving(p.service, now), now
		p.sched.Retain(p.servers)
	}
	return p.servers
}

// endInfeasible ends the jobs that can't be done in time; the pool's lock is held.
func (p *pool) endInfeasible(servers []Server, now time.Time) {
	if now.Sub(p.checkedAt) < deadlineCheckInterval {
		return
	}
	p.checkedAt = now
	for _, j := range p.sched.Hopeless(servers, now) {
		for _, piece := range j.Pieces {
			j.waiter.setResult(piece, dialect.PieceResult{Reason: dialect.ReasonLate}, "")
		}
	}
}

// enqueue queues a job unless it can't be done in time; the wait is returned then.
func (p *pool) enqueue(w *waiter, now time.Time) (time.Duration, bool) {
	p.mu.Lock()
	servers := p.serving(now)
	if _, ok := p.sched.Forecast(w.job, servers, now); !ok {
		backlog := p.sched.Backlog(servers, now)
		p.mu.Unlock()
		return backlog, false
	}
	p.budget.Attempt(now)
	p.checkSuspect(w.job)
	w.job.waiter = w
	p.sched.Arrive(w.job, now)
	p.mu.Unlock()
	p.dispatch()
	return 0, true
}

// cancel takes a job back whose caller has gone, and returns the results that it has.
func (p *pool) cancel(w *waiter) []string {
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
	servers := p.serving(now)
	p.endInfeasible(servers, now)
	for _, v := range p.sched.RoomQueries(servers, now) {
		go p.queryRoom(v)
	}
	for p.runner.opts.MayCall == nil || p.runner.opts.MayCall() {
		c, ok := p.sched.Next(servers, now)
		if !ok {
			break
		}
		p.serverIDs[c.Server.Address] = c.Server.ID
		go p.call(&c)
	}
	if wait, ok := p.sched.NextCheck(now); ok {
		if p.dispatchTimer != nil {
			p.dispatchTimer.Stop()
		}
		p.dispatchTimer = time.AfterFunc(wait, p.dispatch)
	}
}

// setResult notes a piece's end; the pool's lock is held.
func (w *waiter) setResult(piece Piece, r dialect.PieceResult, domain string) {
	i := piece.Index
	if i < 0 || i >= len(w.results) || w.results[i] != (dialect.PieceResult{}) {
		return
	}
	w.results[i], w.domains[i] = r, domain
	w.pending--
	if w.pending == 0 {
		w.finish()
	}
}

// call makes one call and hands its results out.
func (p *pool) call(c *Call) {
	reading := time.AfterFunc(inputReadTime, func() { p.inputsRead(c) })
	runs := p.beginRuns(c)
	results, err := p.send(c)
	reading.Stop()
	state := p.endRuns(c, runs, err)
	c.serverEnded = state == liveness.Ended
	now := time.Now()
	p.mu.Lock()
	o := Outcome{Failed: err != nil}
	var callErr *upstream.Error
	if errors.As(err, &callErr) && !callErr.Sent || errors.Is(err, errShed) {
		o.Failed, o.Shed = false, true
	}
	n := 0
	var orphaned []string
	for _, part := range c.Parts {
		var handles []string
		for _, piece := range part.Pieces {
			r := dialect.PieceResult{Reason: dialect.ReasonError}
			if err == nil {
				r = results[n]
			}
			n++
			o.NoRoom = o.NoRoom || r.Reason == dialect.ReasonRoom
			if r.Handle != "" && part.Job.waiter.closed {
				orphaned = append(orphaned, r.Handle)
			}
			handles = append(handles, r.Handle)
			p.handleResult(part.Job, piece, r, c, o.Shed, now)
		}
		o.Handles = append(o.Handles, handles)
	}
	p.sched.Done(c, o, now)
	p.mu.Unlock()
	p.runner.Free(orphaned)
	p.logCall(c, &o, err, state, now)
	p.dispatch()
}

// beginRuns notes that the requests of a call are on its server.
func (p *pool) beginRuns(c *Call) []*quarantine.Run {
	var runs []*quarantine.Run
	for _, part := range c.Parts {
		if f := part.Job.Fingerprint; f != 0 {
			runs = append(runs, p.runner.opts.Suspects.Begin(liveness.Target(c.Server.record()), f))
		}
	}
	return runs
}

// endRuns notes that they are not any more. A server that ended under the call counts against them. It returns the server's
// state when it gave no answer to a call that was sent.
func (p *pool) endRuns(c *Call, runs []*quarantine.Run, err error) liveness.State {
	state := liveness.State("")
	var e *upstream.Error
	if errors.As(err, &e) && e.Sent {
		state = p.runner.liveness.Look(context.Background(), c.Server.record(), runs...)
	}
	for _, r := range runs {
		r.End()
	}
	return state
}

// record is the server as the directory names it.
func (v Server) record() directory.Server {
	return directory.Server{ID: v.ID, Address: v.Address, Domain: v.Domain, Born: v.Born}
}

// inputsRead notes that a call which has not ended has read its inputs. Pieces for which the server may have no room are
// sent again and need them still; the call's end tells.
func (p *pool) inputsRead(c *Call) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.sched.CertainOfRoom(c.Server.ID, time.Now()) {
		return
	}
	c.inputsRead = true
	for _, part := range c.Parts {
		w := part.Job.waiter
		w.unreadPieces -= len(part.Pieces)
		if w.unreadPieces == 0 && !w.closed && w.inputsRead != nil && !w.inputsReadCalled {
			w.inputsRead()
			w.inputsReadCalled = true
		}
	}
}

// handleResult handles one piece's result: a piece without one is sent again while that may help.
func (p *pool) handleResult(j *Job, piece Piece, r dialect.PieceResult, c *Call, shed bool, now time.Time) {
	w := j.waiter
	if r.Handle != "" {
		w.setResult(piece, r, c.Server.Domain)
		return
	}
	if r.Reason != dialect.ReasonRoom {
		piece.Tries++
	}
	retryable := r.Reason == dialect.ReasonError || r.Reason == dialect.ReasonRoom
	inTime := j.Deadline.Sub(now) > p.sched.batch.CallTime(1) && !p.checkSuspect(j)
	if retryable && inTime && !w.closed && piece.Tries < maxAttempts && (shed || r.Reason == dialect.ReasonRoom || p.budget.Allow(now)) {
		if c.serverEnded {
			// So that the next end, if there is one, tells something about the request.
			j.NotBefore = now.Add(quarantine.SettleTime)
		}
		if len(j.Pieces) == 0 {
			p.sched.Add(j, now)
		}
		j.Pieces = append(j.Pieces, piece)
		if c.inputsRead {
			w.unreadPieces++
		}
		return
	}
	w.setResult(piece, r, "")
}

// checkSuspect notes what is known of a job's request, and reports whether it is refused.
func (p *pool) checkSuspect(j *Job) bool {
	if j.Fingerprint == 0 {
		return false
	}
	j.Isolated = p.runner.opts.Suspects.Crashes(j.Fingerprint) >= isolateAfterCrashes
	_, refused := p.runner.opts.Suspects.Refused(j.Fingerprint)
	return refused
}

// isolateAfterCrashes is from how many ends of servers under a request its pieces share no call with those of others: one may have
// been chance, and many requests were in that call.
const isolateAfterCrashes = 2

// logCall tells of a call: which pieces went where, how long they had waited, and what came of it.
func (p *pool) logCall(c *Call, o *Outcome, err error, state liveness.State, now time.Time) {
	var requests, fingerprints []string
	waited := time.Duration(0)
	for _, part := range c.Parts {
		requests = append(requests, part.Job.Request)
		if state != "" {
			fingerprints = append(fingerprints, strconv.FormatUint(part.Job.Fingerprint, 16))
		}
		waited = max(waited, c.Begun.Sub(part.Job.Arrived))
	}
	reason := ""
	if err != nil {
		reason = err.Error()
	}
	p.runner.opts.Log.Info("stage call", "service", p.service, "server", c.Server.ID, "pieces", c.Count(),
		"failed", o.Failed, "shed", o.Shed, "no_room", o.NoRoom, "waited_ms", waited.Milliseconds(), "took_ms", now.Sub(c.Begun).Milliseconds(),
		"expected_ms", c.Expected.Milliseconds(), "requests", requests, "fingerprints", fingerprints,
		"server_state", string(state), "reason", reason)
}
