package stagecall

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/daisyhatch/daisyhatch/pkg/dialect"
	"github.com/daisyhatch/daisyhatch/pkg/directory"
	"github.com/daisyhatch/daisyhatch/pkg/holdoff"
	"github.com/daisyhatch/daisyhatch/pkg/upstream"
)

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
		BeforeSend: func() error { return p.runner.mayAsk(c.Server.record()) },
	})
	if err != nil {
		return nil, err
	}
	defer func() {
		// Closing only returns or drops the connection.
		_ = a.Body.Close()
	}()
	said := d.Answer(a.Status, a.Header)
	p.runner.noticed(c.Server.record(), said.Notice)
	answer, err := io.ReadAll(io.LimitReader(a.Body, maxAnswer))
	if err != nil {
		return nil, err
	}
	if said.NotRun || said.Misdirected {
		return nil, errShed
	}
	results, err := d.StageResults(answer)
	if err == nil && len(results) != len(pieces) {
		err = dialect.ErrFormat
	}
	if err == nil && p.repeated(c.Server.ID, results) {
		err = errRepeated
	}
	if err != nil {
		a.Discard()
	}
	return results, err
}

// errNotOpen keeps a call from a server that wants none.
var errNotOpen = errors.New("stagecall: the server wants no calls now")

// mayAsk returns errNotOpen when a server said that it wants no calls now.
func (r *Runner) mayAsk(v directory.Server) error {
	if r.opts.View.Open(v, time.Now()) {
		return nil
	}
	return errNotOpen
}

// noticed takes over what a server said of itself in an answer.
func (r *Runner) noticed(v directory.Server, n holdoff.Notice) {
	if r.opts.View.Noticed(v, n, time.Now()) {
		r.opts.Log.Info("server wants no more calls", "service", v.Service, "server", v.ID, "incarnation", v.Incarnation(),
			"leaving", n.Leaving, "wait_ms", n.Wait.Milliseconds())
	}
}

// errRepeated means that a server sent an earlier answer once more; the one to the call may come behind it.
var errRepeated = errors.New("stagecall: the answer holds results of an earlier call")

// repeated reports whether a result is known from an earlier call. Answers to stage calls bear no id of the call.
func (p *pool) repeated(server string, results []dialect.PieceResult) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sched.Known(server, results)
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
	a, err := r.opts.Asides.Do(ctx, upstream.Call{
		Address: v.Address, Method: method, Target: path, Host: v.Address, Header: d.TargetHeader(v.ID, roomPatience),
		BeforeSend: func() error { return r.mayAsk(v.record()) },
	})
	if err != nil {
		return dialect.Room{}, err
	}
	defer func() {
		// Closing only returns or drops the connection.
		_ = a.Body.Close()
	}()
	r.noticed(v.record(), d.Answer(a.Status, a.Header).Notice)
	answer, err := io.ReadAll(io.LimitReader(a.Body, maxAnswer))
	if err != nil {
		return dialect.Room{}, err
	}
	return d.StageRoom(answer)
}
