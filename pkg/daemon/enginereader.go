package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/daisyhatch/daisyhatch/pkg/dialect"
	"github.com/daisyhatch/daisyhatch/pkg/directory"
	"github.com/daisyhatch/daisyhatch/pkg/fleet"
	"github.com/daisyhatch/daisyhatch/pkg/limiter"
	"github.com/daisyhatch/daisyhatch/pkg/serverload"
	"github.com/daisyhatch/daisyhatch/pkg/upstream"
)

// engineCloseInterval is how often expired connections are closed.
const engineCloseInterval = 10 * time.Second

// maxEngineReport bounds the bytes of an engine's report that are read.
const maxEngineReport = 1 << 20

var (
	errNoReport    = errors.New("daemon: the engine gave no report")
	errOtherEngine = errors.New("daemon: the report is that of another incarnation")
)

// engineReader asks engines for their load.
type engineReader struct {
	dialect dialect.Dialect
	state   *fleet.State
	limiter *limiter.Limiter
	pool    *upstream.Pool
	// closedAt is when expired connections were last closed, in Unix nanoseconds.
	closedAt atomic.Int64
}

// closeExpired closes connections to engines that are not asked any more, every engineCloseInterval.
func (e *engineReader) closeExpired(now time.Time) {
	last := e.closedAt.Load()
	if now.UnixNano()-last > int64(engineCloseInterval) && e.closedAt.CompareAndSwap(last, now.UnixNano()) {
		e.pool.CloseExpired()
	}
}

// read implements fleet.ReadEngineFunc.
func (e *engineReader) read(ctx context.Context, v directory.Server) (serverload.Figures, error) {
	sent := time.Now()
	e.closeExpired(sent)
	if !e.limiter.Take(v, v.Service, limiter.KindReport, "") {
		return serverload.Figures{}, limiter.ErrExceeded
	}
	method, path := e.dialect.EngineReport()
	deadline, _ := ctx.Deadline()
	a, err := e.pool.Do(ctx, upstream.Call{
		Address: v.Address, Method: method, Target: path, Host: v.Address, Header: e.dialect.TargetHeader(v.ID, deadline.Sub(sent)),
	})
	if err != nil {
		return serverload.Figures{}, err
	}
	defer func() {
		// Closing only returns or drops the connection.
		_ = a.Body.Close()
	}()
	meta := e.dialect.Answer(a.Status, a.Header)
	e.state.Noticed(v, meta.Notice, time.Now())
	e.limiter.Record(v, v.Service, &meta, false, sent)
	body, err := io.ReadAll(io.LimitReader(a.Body, maxEngineReport))
	switch {
	case err != nil:
		return serverload.Figures{}, err
	case a.Status != http.StatusOK || meta.NotRun || meta.Misdirected:
		return serverload.Figures{}, fmt.Errorf("%w: status %d", errNoReport, a.Status)
	}
	l, err := e.dialect.EngineLoad(body)
	if err != nil {
		return serverload.Figures{}, err
	}
	if l.Born != 0 && v.Born != 0 && l.Born != v.Born {
		return serverload.Figures{}, errOtherEngine
	}
	return serverload.Figures{Running: l.Running, Waiting: l.Waiting, At: time.Now(), Source: serverload.Report}, nil
}
