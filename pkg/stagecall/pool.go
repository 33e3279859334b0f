package stagecall

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/daisyhatch/daisyhatch/pkg/dialect"
	"github.com/daisyhatch/daisyhatch/pkg/directory"
	"github.com/daisyhatch/daisyhatch/pkg/limiter"
	"github.com/daisyhatch/daisyhatch/pkg/liveness"
	"github.com/daisyhatch/daisyhatch/pkg/quarantine"
	"github.com/daisyhatch/daisyhatch/pkg/retry"
	"github.com/daisyhatch/daisyhatch/pkg/upstream"
)

// pool schedules and makes the calls of one service.
type pool struct {
	runner  *Runner
	service string

	mu            sync.Mutex
	sched         *Scheduler
	budget        *retry.Budget
	dispatchTimer *time.Timer
	// servers is the list of usable servers as of listedAt; checkedAt is when the queue was last searched for jobs that
	// can't meet their deadline.
	servers   []Server
	listedAt  time.Time
	checkedAt time.Time
	// serverIDs maps a server's address to its ID, to account for the memory that results take there.
	serverIDs map[string]string
}

// waiter collects the results of one job for the Run call that waits for it. The pool's lock guards it.
type waiter struct {
	job     *Job
	results []dialect.PieceResult
	domains []string
	// returnAfter is when the caller of a job that was turned away can return, and inVain as in StageRunResponse.
	returnAfter time.Duration
	inVain      *bool
	// pending counts the pieces without a final result; done is closed when it reaches 0 or the caller has gone.
	pending int
	done    chan struct{}
	closed  bool
	// unreadPieces counts the pieces whose inputs a server may still have to read. inputsRead is called once, when it
	// reaches 0; it is nil if the caller doesn't need to know.
	unreadPieces     int
	inputsRead       func()
	inputsReadCalled bool
	// notices are the calls of inputsRead that have not returned. Run waits for them.
	notices sync.WaitGroup
}

// complete reports whether all pieces have results. Call it only after done is closed.
func (w *waiter) complete() bool {
	return !slices.ContainsFunc(w.results, func(r dialect.PieceResult) bool { return r.Handle == "" })
}

const (
	// serverListTTL is the maximum age of the server list when a call is formed: an owner reads the list about a thousand
	// times a second.
	serverListTTL = 20 * time.Millisecond
	// deadlineCheckInterval is the minimum time between two searches of the queue for jobs that can't meet their deadline.
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

// endInfeasible ends the jobs that can't meet their deadline; the pool's lock is held.
func (p *pool) endInfeasible(servers []Server, now time.Time) {
	if now.Sub(p.checkedAt) < deadlineCheckInterval {
		return
	}
	p.checkedAt = now
	for _, g := range p.sched.DropInfeasible(servers, now) {
		p.gaveWay(g, servers, now)
	}
}

// gaveWay ends a job that was turned away; the pool's lock is held.
func (p *pool) gaveWay(g GaveWay, servers []Server, now time.Time) {
	if g.To != nil {
		p.logGaveWay(g, now)
	}
	if g.Delayed {
		return
	}
	pieces := g.Job.Pieces
	refusal := p.sched.Refuse(g.Job, len(pieces), servers, now)
	g.Job.resultsTo.returnAfter, g.Job.resultsTo.inVain = refusal.After, refusal.inVain()
	g.Job.Pieces, g.Job.turnedAway = nil, true
	for _, piece := range pieces {
		g.Job.resultsTo.setResult(piece, dialect.PieceResult{Reason: dialect.ReasonLate}, "")
	}
}

// enqueue queues a job, unless it can't meet its deadline; then it returns when a retry makes sense, and
// false.
func (p *pool) enqueue(w *waiter, now time.Time) (Refusal, bool) {
	p.mu.Lock()
	servers := p.serving(now)
	a := p.sched.Admit(w.job, servers, now)
	if !a.OK {
		refusal := p.sched.Refuse(w.job, len(w.job.Pieces), servers, now)
		p.mu.Unlock()
		return refusal, false
	}
	for _, g := range a.GivingWay {
		p.gaveWay(g, servers, now)
	}
	p.budget.Attempt(now)
	p.checkSuspect(w.job)
	w.job.resultsTo = w
	p.sched.Enqueue(w.job, now)
	p.mu.Unlock()
	p.dispatch()
	return Refusal{}, true
}

// waitLike returns how long a job like j would wait for a server if it arrived now.
func (p *pool) waitLike(j *Job, now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sched.WaitLike(j, p.serving(now), now)
}

// cancel removes the job of a caller that has gone, and returns the handles of the results made so far.
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

// dispatch starts all calls that can be made now.
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
		c.overLimit = !p.runner.limiter.Take(c.Server.record(), p.service, limiter.KindStage, "")
		if c.Server.Limit != nil {
			// The list still shows the room that this call takes.
			p.servers = nil
			servers = p.serving(now)
		}
		go p.call(&c)
	}
	if wait, ok := p.sched.NextCheck(now); ok {
		if p.dispatchTimer != nil {
			p.dispatchTimer.Stop()
		}
		p.dispatchTimer = time.AfterFunc(wait, p.dispatch)
	}
}

// setResult stores the final result of a piece; the pool's lock is held.
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

// call makes one call and passes the results on to the waiters.
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
			if r.Handle != "" && part.Job.resultsTo.closed {
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

// beginRuns records for crash attribution that the requests of a call are running on its server.
func (p *pool) beginRuns(c *Call) []*quarantine.Run {
	var runs []*quarantine.Run
	for _, part := range c.Parts {
		if f := part.Job.Fingerprint; f != 0 {
			runs = append(runs, p.runner.opts.Suspects.Begin(liveness.Target(c.Server.record()), f, part.Job.causes()...))
		}
	}
	return runs
}

// endRuns records that they no longer run there. If the server crashed during the call, the crash counts against them. It
// returns the server's state if a call that was sent got no answer, otherwise an empty one.
func (p *pool) endRuns(c *Call, runs []*quarantine.Run, err error) liveness.State {
	state := liveness.State("")
	var e *upstream.Error
	switch sent := errors.As(err, &e) && e.Sent; {
	case err == nil:
		p.runner.liveness.Answered(c.Server.record(), c.connectedAt)
	case sent && errors.Is(err, context.DeadlineExceeded):
		for _, r := range runs {
			r.GiveUp()
		}
		state = p.runner.liveness.CheckGivenUp(context.Background(), c.Server.record(), runs...)
	case sent:
		state = p.runner.liveness.Check(context.Background(), c.Server.record(), runs...)
	}
	for _, r := range runs {
		if err == nil {
			r.AnswerBegun()
		}
		r.End()
	}
	return state
}

// record returns the server in the form that the directory uses.
func (v Server) record() directory.Server {
	return directory.Server{ID: v.ID, Address: v.Address, Domain: v.Domain, Born: v.Born}
}

// inputsRead handles a call that has run long enough for its inputs to be read. Nothing changes while the server may lack
// memory for the results: its pieces would be sent again and need their inputs; the result of the call decides.
func (p *pool) inputsRead(c *Call) {
	for _, w := range p.markInputsRead(c) {
		w.inputsRead()
		w.notices.Done()
	}
}

// markInputsRead records that a call's inputs are read, and returns the waiters whose inputsRead is due. inputsRead is to be
// called without a lock, since that may release results of this or another pool.
func (p *pool) markInputsRead(c *Call) []*waiter {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.sched.CertainOfRoom(c.Server.ID, time.Now()) {
		return nil
	}
	c.inputsRead = true
	var out []*waiter
	for _, part := range c.Parts {
		w := part.Job.resultsTo
		w.unreadPieces -= len(part.Pieces)
		if w.unreadPieces == 0 && !w.closed && w.inputsRead != nil && !w.inputsReadCalled {
			w.inputsReadCalled = true
			w.notices.Add(1)
			out = append(out, w)
		}
	}
	return out
}

// handleResult handles the result of one piece. A failed piece is queued again if a retry can still succeed.
func (p *pool) handleResult(j *Job, piece Piece, r dialect.PieceResult, c *Call, shed bool, now time.Time) {
	w := j.resultsTo
	if r.Handle != "" {
		w.setResult(piece, r, c.Server.Domain)
		return
	}
	if r.Reason != dialect.ReasonRoom {
		piece.Tries++
	}
	retryable := r.Reason == dialect.ReasonError || r.Reason == dialect.ReasonRoom
	inTime := j.Deadline.Sub(now) > p.sched.batch.CallTime(1) && !p.checkSuspect(j)
	if retryable && inTime && !w.closed && !j.turnedAway && piece.Tries < maxAttempts && (shed || r.Reason == dialect.ReasonRoom || p.budget.Allow(now)) {
		if c.serverEnded {
			// With this delay, a further crash, if any, can be attributed to the request.
			j.NotBefore = now.Add(quarantine.CommonCauseWindow)
		}
		if len(j.Pieces) > 0 {
			p.sched.Drop(j)
		}
		j.Pieces = append(j.Pieces, piece)
		p.sched.Requeue(j, now)
		if c.inputsRead {
			w.unreadPieces++
		}
		return
	}
	w.setResult(piece, r, "")
}

// checkSuspect updates what is known of crashes under a job's request, and reports whether the request is refused.
func (p *pool) checkSuspect(j *Job) bool {
	if j.Fingerprint == 0 {
		return false
	}
	j.Isolated = p.runner.opts.Suspects.Crashes(j.Fingerprint) >= isolateAfterCrashes
	_, refused := p.runner.opts.Suspects.Refused(j.Fingerprint, j.causes()...)
	return refused
}

// isolateAfterCrashes is the number of server crashes under a request from which its pieces share no call with other jobs. A
// single crash may have been a coincidence, and the call may have held many requests.
const isolateAfterCrashes = 2

// logGaveWay logs and counts a job that was delayed or turned away in favour of another, with what that was decided on.
func (p *pool) logGaveWay(g GaveWay, now time.Time) {
	outcome := "turned away"
	if g.Delayed {
		outcome = "delayed"
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`daisyhatch_stages_gave_way_total{outcome=%q,priority="%d"}`, outcome, g.Job.Priority)).Inc()
	logged, suppressed := p.runner.gaveWayLog.Allow(now)
	if !logged {
		return
	}
	fields := []any{"service", p.service, "outcome", outcome, "lines_left_out", suppressed}
	fields = append(fields, claimFields("", g.Job, now)...)
	p.runner.opts.Log.Info("stage gave way", append(fields, claimFields("to_", g.To, now)...)...)
}

func claimFields(prefix string, j *Job, now time.Time) []any {
	c := &j.claim
	return []any{
		prefix + "request", j.Request, prefix + "stage", j.Stage, prefix + "priority", c.Priority, prefix + "organisation", j.Organisation,
		prefix + "late", c.Late, prefix + "short", c.Short, prefix + "work_left_ms", c.Left.Milliseconds(),
		prefix + "work_done_ms", c.Done.Milliseconds(), prefix + "remaining_ms", c.Deadline.Sub(now).Milliseconds(),
	}
}

// logCall logs a finished call: its pieces, how long they waited, and the outcome.
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
