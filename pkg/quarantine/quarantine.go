// Package quarantine keeps requests that crash backend servers from being run again and again. It is the entry VM's
// part: it records which requests are in flight on which server, reports crashes to the control VMs, and holds the list
// of suspects that they replicate. With a Quarantine, a request that was in flight on a server that crashed is a suspect
// and from then on runs alone on a server; if it crashes a server while it runs alone, it is convicted and refused for a
// time. Running beside a request that crashes servers never convicts. A Tracker counts crashes instead and delays no
// request.
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
	// reportTimeout bounds the attempts to commit one crash report.
	reportTimeout = 30 * time.Second
	// reportInitialBackoff and reportMaxBackoff are the first and the longest pause between these attempts.
	reportInitialBackoff = 20 * time.Millisecond
	reportMaxBackoff     = 200 * time.Millisecond
)

// DefaultPropagationDelay is the time after the commit of a crash report by which every entry VM either knows of the
// crash or starts no requests.
const DefaultPropagationDelay = 500 * time.Millisecond

var (
	crashesReported    = metrics.NewCounter("daisyhatch_quarantine_crashes_reported_total")
	refreshesFailed    = metrics.NewCounter("daisyhatch_quarantine_unconfirmed_lists_total")
	reportsFailed      = metrics.NewCounter("daisyhatch_quarantine_reports_failed_total")
	convictionsLearned = metrics.NewCounter("daisyhatch_quarantine_convictions_learned_total")
)

// Reporter commits crash reports to the replicated log of the control VMs.
type Reporter interface {
	// ReportCrash returns once the command is committed.
	ReportCrash(ctx context.Context, c *daisyhatchv1.CrashCommand) (*daisyhatchv1.CrashResult, error)
}

// Options are the dependencies and settings of a Quarantine.
type Options struct {
	Reporter Reporter
	// Source returns the list of suspects, which is refreshed before requests start; nil disables this check.
	Source Source
	// Ledger keeps a suspect from running on two VMs at once; nil disables this.
	Ledger dispatch.Ledger
	Log    logr.Logger
	// PropagationDelay is how long the retry of a suspect waits after its crash report was committed, so that no other
	// entry VM starts the same request without knowing that it is a suspect. 0 means DefaultPropagationDelay.
	PropagationDelay time.Duration
	// Now returns the wall-clock time, by which suspicions expire; nil means time.Now.
	Now func() time.Time
}

// Quarantine implements dispatch.Quarantine. It is safe for concurrent use.
type Quarantine struct {
	opts Options

	mu    sync.Mutex
	state state
	// confirmedAt is when the latest confirmed list was requested.
	confirmedAt time.Time
	// refreshing is the list request in progress; nil when there is none.
	refreshing *listRefresh
}

var _ dispatch.Quarantine = (*Quarantine)(nil)

// New returns a Quarantine without suspects.
func New(o Options) *Quarantine {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.PropagationDelay <= 0 {
		o.PropagationDelay = DefaultPropagationDelay
	}
	return &Quarantine{opts: o, state: newState()}
}

// Update applies the complete list of suspects received from a control VM.
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
	k := serverKeyOf(t)
	id := q.state.begin(k, runningRequest{fingerprint: fingerprint, alone: alone})
	return func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		q.state.end(k, id)
	}
}

// Crashed implements dispatch.Quarantine. The first caller for a crashed server reports all requests that were in flight
// on it; the others wait for that report. It returns an error when the report could not be committed before ctx ended.
func (q *Quarantine) Crashed(ctx context.Context, t engine.Target, fingerprint uint64) (dispatch.Verdict, error) {
	q.mu.Lock()
	c, first := q.state.reportFor(serverKeyOf(t), runningRequest{fingerprint: fingerprint})
	q.mu.Unlock()
	if first {
		go q.report(context.WithoutCancel(ctx), c)
	}
	if !c.wait(ctx) {
		return dispatch.Suspect, fmt.Errorf("quarantine: crash report for server %s not committed: %w", t.Server, context.Cause(ctx))
	}
	if c.err != nil {
		return dispatch.Suspect, fmt.Errorf("quarantine: crash report for server %s not committed: %w", t.Server, c.err)
	}
	return max(q.Check(fingerprint), dispatch.Suspect), nil
}

// report commits a crash report and applies the verdicts in the answer. It retries for reportTimeout, even after the
// request that detected the crash has ended.
func (q *Quarantine) report(ctx context.Context, c *crashReport) {
	crashesReported.Inc()
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	res, err := retryWithBackoff(ctx, reportMaxBackoff, func() (*daisyhatchv1.CrashResult, error) {
		return q.opts.Reporter.ReportCrash(ctx, c.command)
	})
	q.applyReportResult(c, res, err)
	if err == nil && !c.command.GetAlone() {
		q.waitForPropagation(ctx)
	}
	close(c.done)
}

// retryWithBackoff calls call until it succeeds or ctx ends, with exponential backoff between reportInitialBackoff and
// maxInterval. The error includes that of the last call.
func retryWithBackoff[T any](ctx context.Context, maxInterval time.Duration, call func() (T, error)) (T, error) {
	policy := backoff.NewExponentialBackOff()
	policy.InitialInterval = reportInitialBackoff
	policy.MaxInterval = maxInterval
	var lastErr error
	res, err := backoff.Retry(ctx, func() (T, error) {
		res, err := call()
		lastErr = err
		return res, err
	}, backoff.WithBackOff(policy))
	if err != nil {
		err = errors.Join(err, lastErr)
	}
	return res, err
}

// applyReportResult applies the control VMs' answer to a crash report.
func (q *Quarantine) applyReportResult(c *crashReport, res *daisyhatchv1.CrashResult, err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if err != nil {
		reportsFailed.Inc()
		c.err = err
		q.state.removeReport(c)
		return
	}
	q.state.merge(res.GetSuspects(), false)
}

// waitForPropagation waits until the other entry VMs know of a committed crash report. It isn't needed after the crash
// of a suspect that ran alone, since no other VM can claim that suspect.
func (q *Quarantine) waitForPropagation(ctx context.Context) {
	t := time.NewTimer(q.opts.PropagationDelay)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
