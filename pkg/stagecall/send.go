package stagecall

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/daisyhatch/daisyhatch/pkg/bodylimit"
	"github.com/daisyhatch/daisyhatch/pkg/dialect"
	"github.com/daisyhatch/daisyhatch/pkg/directory"
	"github.com/daisyhatch/daisyhatch/pkg/holdoff"
	"github.com/daisyhatch/daisyhatch/pkg/limiter"
	"github.com/daisyhatch/daisyhatch/pkg/upstream"
)

// errShed means that the server refused the call without running it.
var errShed = errors.New("stagecall: server refused the call")

// send sends a call to its server and returns one result per piece, in order.
func (p *pool) send(c *Call) ([]dialect.PieceResult, error) {
	if c.overLimit {
		return nil, &upstream.Error{Err: limiter.ErrExceeded}
	}
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
	limit := min(latest.Sub(c.Begun), callTimeoutFactor*c.patience()+callTimeoutSlack)
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	a, err := p.runner.opts.Pool.Do(ctx, upstream.Call{
		Address: c.Server.Address, Method: method, Target: path, Host: c.Server.Address,
		Header: d.TargetHeader(c.Server.ID, latest.Sub(c.Begun)), Body: body, HasBody: true,
		BeforeSend: func() error { return p.runner.checkOpen(c.Server.record()) },
	})
	if err != nil {
		return nil, err
	}
	defer func() {
		// Closing only returns or drops the connection.
		_ = a.Body.Close()
	}()
	c.connectedAt = a.ConnectedAt
	meta := d.Answer(a.Status, a.Header)
	p.runner.applyNotice(c.Server.record(), meta.Notice)
	p.tell(c, &meta)
	p.runner.limiter.Record(c.Server.record(), p.service, &meta, false, c.Begun)
	var room bodylimit.Room
	defer room.Release()
	answer, err := p.runner.bodies.ReadAll(ctx, a.Body, a.Length, maxResponseBytes, &room)
	if err != nil {
		return nil, err
	}
	repeated := a.Repeats(answer)
	if repeated {
		a.Discard()
		repeatedAnswers.Inc()
	}
	if meta.NotRun || meta.Misdirected {
		return nil, errShed
	}
	results, err := d.StageResults(answer)
	if err == nil && len(results) != len(pieces) {
		err = dialect.ErrFormat
	}
	if err == nil && (repeated && anyMade(results) || p.repeated(c.Server.ID, results)) {
		err = errRepeatedAnswer
	}
	if err != nil {
		a.Discard()
		return nil, err
	}
	p.runner.limiter.Record(c.Server.record(), p.service, &meta, true, c.Begun)
	return results, nil
}

// errNoCallsWanted means that a call was not sent because the server asked for no more calls.
var errNoCallsWanted = errors.New("stagecall: server accepts no calls now")

// checkOpen returns errNoCallsWanted if a server asked for no calls for now, and limiter.ErrExceeded if this VM has sent
// more than the server's limit allows.
func (r *Runner) checkOpen(v directory.Server) error {
	if !r.opts.View.Open(v, time.Now()) {
		return errNoCallsWanted
	}
	return r.limiter.Check(v)
}

// applyNotice records what a server said about itself in an answer, and logs it if the server wants no more calls.
func (r *Runner) applyNotice(v directory.Server, n holdoff.Notice) {
	if r.opts.View.Noticed(v, n, time.Now()) {
		r.opts.Log.Info("server wants no more calls", "service", v.Service, "server", v.ID, "incarnation", v.Incarnation(),
			"leaving", n.Leaving, "wait_ms", n.Wait.Milliseconds())
	}
}

// repeatedAnswers counts answers to stage calls whose content came before on their connection, which is not used again.
var repeatedAnswers = metrics.GetOrCreateCounter("daisyhatch_stage_answers_repeated_total")

// anyMade reports whether any piece has a result. An answer in which none has is taken as it is even if it may be the copy of
// an earlier one: its pieces run again.
func anyMade(results []dialect.PieceResult) bool {
	return slices.ContainsFunc(results, func(r dialect.PieceResult) bool { return r.Handle != "" })
}

// errRepeatedAnswer means that a server sent an earlier answer again; the answer to this call may follow on the connection.
var errRepeatedAnswer = errors.New("stagecall: the answer holds results of an earlier call")

// repeated reports whether any result is known from an earlier call. Responses to stage calls carry no call ID, so this is
// how a duplicate response is detected.
func (p *pool) repeated(server string, results []dialect.PieceResult) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sched.Repeated(server, results)
}

// queryRoom queries a server for its room and records the answer.
func (p *pool) queryRoom(v Server) {
	free, err := p.runner.fetchRoom(v, p.service)
	now := time.Now()
	if err != nil {
		p.runner.opts.Log.Info("server did not tell its room", "service", p.service, "server", v.ID, "reason", err.Error())
		return
	}
	p.mu.Lock()
	foreign := p.sched.SetRoom(v.ID, free, now)
	p.mu.Unlock()
	if foreign > 0 {
		p.runner.opts.Log.Info("server holds results of other VMs' calls", "service", p.service, "server", v.ID,
			"bytes", foreign, "free_bytes", free.Least)
	}
	p.dispatch()
}

func (r *Runner) fetchRoom(v Server, service string) (dialect.Room, error) {
	d, sent := r.opts.Dialect, time.Now()
	if !r.limiter.Take(v.record(), service, limiter.KindRoom, "") {
		return dialect.Room{}, limiter.ErrExceeded
	}
	ctx, cancel := context.WithTimeout(context.Background(), roomQueryTimeout)
	defer cancel()
	method, path := d.StageReport()
	a, err := r.opts.AuxPool.Do(ctx, upstream.Call{
		Address: v.Address, Method: method, Target: path, Host: v.Address, Header: d.TargetHeader(v.ID, roomQueryTimeout),
		BeforeSend: func() error { return r.checkOpen(v.record()) },
	})
	if err != nil {
		return dialect.Room{}, err
	}
	defer func() {
		// Closing only returns or drops the connection.
		_ = a.Body.Close()
	}()
	meta := d.Answer(a.Status, a.Header)
	r.applyNotice(v.record(), meta.Notice)
	r.limiter.Record(v.record(), service, &meta, false, sent)
	var kept bodylimit.Room
	defer kept.Release()
	answer, err := r.bodies.ReadAll(ctx, a.Body, a.Length, maxResponseBytes, &kept)
	if err != nil {
		return dialect.Room{}, err
	}
	room, err := d.StageRoom(answer)
	if err != nil {
		a.Discard()
		return dialect.Room{}, err
	}
	r.limiter.Record(v.record(), service, &meta, true, sent)
	return room, nil
}
