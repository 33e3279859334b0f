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

	mu     sync.Mutex
	sched  *Scheduler
	budget *retry.Budget
	timer  *time.Timer
	// servers are those that served at listed; checked is when the queue was last searched for jobs without hope.
	servers []Server
	listed  time.Time
	checked time.Time
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
	told       bool
}

// made reports whether all pieces have results; call it once the wait is over.
func (w *waiter) made() bool {
	return !slices.ContainsFunc(w.results, func(r dialect.PieceResult) bool { return r.Handle == "" })
}

const (
	// listInterval is how old the list of servers may be when a call is formed: an owner looks at it a thousand times a
	// second.
	listInterval = 20 * time.Millisecond
	// checkInterval is the time between two searches of the queue for jobs that can't be done in time.
	checkInterval = 20 * time.Millisecond
)

// serving returns the servers that may get calls; the pool's lock is held.
func (p *pool) serving(now time.Time) []Server {
	if p.servers == nil || now.Sub(p.listed) >= listInterval {
		p.servers, p.listed = p.runner.opts.View.Serving(p.service, now), now
		p.sched.Retain(p.servers)
	}
	return p.servers
}

// endHopeless ends the jobs that can't be done in time; the pool's lock is held.
func (p *pool) endHopeless(servers []Server, now time.Time) {
	if now.Sub(p.checked) < checkInterval {
		return
	}
	p.checked = now
	for _, j := range p.sched.Hopeless(servers, now) {
		for _, piece := range j.Pieces {
			j.owner.settle(piece, dialect.PieceResult{Reason: dialect.ReasonLate}, "")
		}
	}
}

// add queues a job unless it can't be done in time; the wait is returned then.
func (p *pool) add(w *waiter, now time.Time) (time.Duration, bool) {
	p.mu.Lock()
	servers := p.serving(now)
	if _, ok := p.sched.Forecast(w.job, servers, now); !ok {
		backlog := p.sched.Backlog(servers, now)
		p.mu.Unlock()
		return backlog, false
	}
	p.budget.Attempt(now)
	p.judge(w.job)
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
	servers := p.serving(now)
	p.endHopeless(servers, now)
	for _, v := range p.sched.Unasked(servers, now) {
		go p.ask(v)
	}
	for p.runner.opts.MayCall == nil || p.runner.opts.MayCall() {
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
	runs := p.begin(c)
	results, err := p.send(c)
	reading.Stop()
	state := p.end(c, runs, err)
	c.ended = state == liveness.Ended
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
	p.log(c, &o, err, state, now)
	p.dispatch()
}

// begin notes that the requests of a call are on its server.
func (p *pool) begin(c *Call) []*quarantine.Run {
	var runs []*quarantine.Run
	for _, part := range c.Parts {
		if f := part.Job.Fingerprint; f != 0 {
			runs = append(runs, p.runner.opts.Suspects.Begin(liveness.Target(c.Server.record()), f))
		}
	}
	return runs
}

// end notes that they are not any more. A server that ended under the call counts against them. It returns the server's
// state when it gave no answer to a call that was sent.
func (p *pool) end(c *Call, runs []*quarantine.Run, err error) liveness.State {
	state := liveness.State("")
	var e *upstream.Error
	if errors.As(err, &e) && e.Sent {
		state = p.runner.liveness.Check(context.Background(), c.Server.record(), runs...)
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
	if !p.sched.RoomCertain(c.Server.ID, time.Now()) {
		return
	}
	c.inputsRead = true
	for _, part := range c.Parts {
		w := part.Job.owner
		w.unread -= len(part.Pieces)
		if w.unread == 0 && !w.closed && w.inputsRead != nil && !w.told {
			w.inputsRead()
			w.told = true
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
	inTime := j.Deadline.Sub(now) > p.sched.batch.CallTime(1) && !p.judge(j)
	if again && inTime && !w.closed && piece.Tries < maxTries && (shed || r.Reason == dialect.ReasonRoom || p.budget.Allow(now)) {
		if c.ended {
			// So that the next end, if there is one, tells something about the request.
			j.NotBefore = now.Add(quarantine.CommonCauseWindow)
		}
		if len(j.Pieces) == 0 {
			p.sched.Add(j, now)
		}
		j.Pieces = append(j.Pieces, piece)
		if c.inputsRead {
			w.unread++
		}
		return
	}
	w.settle(piece, r, "")
}

// judge notes what is known of a job's request, and reports whether it is refused.
func (p *pool) judge(j *Job) bool {
	if j.Fingerprint == 0 {
		return false
	}
	j.Alone = p.runner.opts.Suspects.Crashes(j.Fingerprint) >= aloneCrashes
	_, refused := p.runner.opts.Suspects.Refused(j.Fingerprint)
	return refused
}

// aloneCrashes is from how many ends of servers under a request its pieces share no call with those of others: one may have
// been chance, and many requests were in that call.
const aloneCrashes = 2

// log tells of a call: which pieces went where, how long they had waited, and what came of it.
func (p *pool) log(c *Call, o *Outcome, err error, state liveness.State, now time.Time) {
	var requests, prints []string
	waited := time.Duration(0)
	for _, part := range c.Parts {
		requests = append(requests, part.Job.Request)
		if state != "" {
			prints = append(prints, strconv.FormatUint(part.Job.Fingerprint, 16))
		}
		waited = max(waited, c.Begun.Sub(part.Job.Arrived))
	}
	reason := ""
	if err != nil {
		reason = err.Error()
	}
	p.runner.opts.Log.Info("stage call", "service", p.service, "server", c.Server.ID, "pieces", c.Count(),
		"failed", o.Failed, "shed", o.Shed, "no_room", o.NoRoom, "waited_ms", waited.Milliseconds(), "took_ms", now.Sub(c.Begun).Milliseconds(),
		"expected_ms", c.Expected.Milliseconds(), "requests", requests, "fingerprints", prints,
		"server_state", string(state), "reason", reason)
}
