// Package quarantine keeps requests that crash backend servers from being run again. It is the entry VM's side: it
// knows which requests are in flight where, reports crashes to the control VMs, and holds the suspects that they
// share. A request in flight on a server that crashed is a suspect and runs alone from then on; one that crashes
// a server while it runs alone is convicted and refused for a time. Running beside a request
// that crashes servers never convicts.
package quarantine

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cenkalti/backoff/v5"
	"github.com/go-logr/logr"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/pkg/dispatch"
	"github.com/daisyhatch/daisyhatch/pkg/engine"
)

const (
	// reportTimeout bounds the tries to commit one crash report.
	reportTimeout = 30 * time.Second
	// reportFirstPause and reportMostPause are the pauses between them.
	reportFirstPause = 20 * time.Millisecond
	reportMostPause  = 200 * time.Millisecond
)

// DefaultSpread is how long after a crash was committed all entry VMs know of it, or start no request.
const DefaultSpread = 500 * time.Millisecond

var (
	crashesReported = metrics.NewCounter("daisyhatch_quarantine_crashes_reported_total")
	unconfirmed     = metrics.NewCounter("daisyhatch_quarantine_unconfirmed_lists_total")
	reportsFailed   = metrics.NewCounter("daisyhatch_quarantine_reports_failed_total")
	convictedKnown  = metrics.NewCounter("daisyhatch_quarantine_convictions_learned_total")
)

// Reporter shares a crash through the replicated log. It returns once the command is committed.
type Reporter interface {
	ReportCrash(ctx context.Context, c *daisyhatchv1.CrashCommand) (*daisyhatchv1.CrashResult, error)
}

// Options are the parts that a Quarantine stands on.
type Options struct {
	Reporter Reporter
	// Source is asked for the list of suspects before requests start; nil turns that off.
	Source Source
	// Ledger keeps a suspect from running on two VMs at once; nil turns that off.
	Ledger dispatch.Ledger
	Log    logr.Logger
	// Spread is how long a retry of a suspect waits after its report was committed, so that no other entry VM starts
	// the same request unawares; 0 takes DefaultSpread.
	Spread time.Duration
	// Now is the wall clock, for the expiry of suspicion; nil takes time.Now.
	Now func() time.Time
}

// Quarantine implements dispatch.Quarantine. It is safe for concurrent use.
type Quarantine struct {
	opts Options

	mu    sync.Mutex
	state state
	// confirmedAt is when the last list that was confirmed was asked for; asking is the question under way, or nil.
	confirmedAt time.Time
	asking      *confirmation
}

var _ dispatch.Quarantine = (*Quarantine)(nil)

// New returns a Quarantine without suspects.
func New(o Options) *Quarantine {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Spread <= 0 {
		o.Spread = DefaultSpread
	}
	return &Quarantine{opts: o, state: newState()}
}

// Update takes the whole list of suspects that the control VMs share.
func (q *Quarantine) Update(suspects []*daisyhatchv1.Suspect) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.state.update(q.opts.Now(), suspects)
}

// Check implements dispatch.Quarantine.
func (q *Quarantine) Check(fingerprint uint64) dispatch.Verdict {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.state.verdict(q.opts.Now(), fingerprint)
}

// Begin implements dispatch.Quarantine.
func (q *Quarantine) Begin(t engine.Target, fingerprint uint64, alone bool) (end func()) {
	q.mu.Lock()
	defer q.mu.Unlock()
	k := keyOf(t)
	id := q.state.begin(k, flight{fingerprint: fingerprint, alone: alone})
	return func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		q.state.end(k, id)
	}
}

// Crashed implements dispatch.Quarantine. All requests in flight on the server are reported at once, by the first
// of them; the others wait for that report. It returns an error when the report could not be committed before ctx ended.
func (q *Quarantine) Crashed(ctx context.Context, t engine.Target, fingerprint uint64) (dispatch.Verdict, error) {
	q.mu.Lock()
	c, first := q.state.crashed(keyOf(t), flight{fingerprint: fingerprint})
	q.mu.Unlock()
	if first {
		go q.report(context.WithoutCancel(ctx), c)
	}
	if !c.wait(ctx) {
		return dispatch.Suspect, fmt.Errorf("quarantine: crash of %s not shared: %w", t.Server, context.Cause(ctx))
	}
	if c.err != nil {
		return dispatch.Suspect, fmt.Errorf("quarantine: crash of %s not shared: %w", t.Server, c.err)
	}
	return max(q.Check(fingerprint), dispatch.Suspect), nil
}

// report commits a crash report and takes over the verdicts. It goes on for reportTimeout, also when the request that
// found the crash has ended.
func (q *Quarantine) report(ctx context.Context, c *crash) {
	crashesReported.Inc()
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	res, err := persist(ctx, reportMostPause, func() (*daisyhatchv1.CrashResult, error) {
		return q.opts.Reporter.ReportCrash(ctx, c.command)
	})
	q.learn(c, res, err)
	if err == nil && !c.command.GetAlone() {
		q.spread(ctx)
	}
	close(c.done)
}

// persist calls do until it succeeds or ctx ends, with pauses that grow up to most.
func persist[T any](ctx context.Context, most time.Duration, do func() (T, error)) (T, error) {
	policy := backoff.NewExponentialBackOff()
	policy.InitialInterval = reportFirstPause
	policy.MaxInterval = most
	var last error
	res, err := backoff.Retry(ctx, func() (T, error) {
		res, err := do()
		last = err
		return res, err
	}, backoff.WithBackOff(policy))
	if err != nil {
		err = errors.Join(err, last)
	}
	return res, err
}

// learn takes over what the control VMs answered to a report.
func (q *Quarantine) learn(c *crash, res *daisyhatchv1.CrashResult, err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if err != nil {
		reportsFailed.Inc()
		c.err = err
		q.state.forget(c)
		return
	}
	q.state.merge(res.GetSuspects(), false)
}

// spread waits until the other entry VMs heard of a report. After the crash of a suspect that ran alone there is no
// need: nobody else is given the right to run it.
func (q *Quarantine) spread(ctx context.Context) {
	t := time.NewTimer(q.opts.Spread)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
