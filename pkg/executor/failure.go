package executor

import (
	"errors"
	"net/http"
	"time"

	"github.com/daisyhatch/daisyhatch/pkg/apierr"
	"github.com/daisyhatch/daisyhatch/pkg/dispatch"
	"github.com/daisyhatch/daisyhatch/pkg/engine"
)

// errStreamMismatch fails a stream whose tokens do not continue those delivered before.
var errStreamMismatch = errors.New("executor: stream tokens do not continue those already delivered")

// retryAfter is the Retry-After time given to callers whose failed request may be sent again.
const retryAfter = time.Second

// statusCallerGone is the non-standard HTTP status 499 (client closed request).
const statusCallerGone = 499

// handleFailure decides what follows the failure of an attempt: nothing while another attempt at the stage runs,
// else a retry or the end of the request.
func (m *machine) handleFailure(now time.Time, id int, o outcome) {
	a := &m.attempts[id]
	s := &m.stages[a.stage]
	if m.winner == id {
		m.winner = -1
	}
	if a.server != "" {
		s.failedServers = append(s.failedServers, a.server)
	}
	if o.verdict == dispatch.Convicted {
		m.giveUp(now, errQuarantined())
		return
	}
	m.alone = m.alone || o.verdict == dispatch.Suspect
	if a.hedge && o.slotErr != nil {
		m.revertHedge(now, a.stage)
	}
	if m.otherAttemptRunning(id) {
		if o.failure != nil {
			s.deferredFailure = &o
		}
		return
	}
	if a.hedge && o.slotErr != nil && s.deferredFailure != nil {
		// The first attempt failed while the hedge waited for a slot; its failure decides.
		o = *s.deferredFailure
	}
	if o.slotErr != nil {
		m.giveUp(now, o.slotErr)
		return
	}
	if !o.failure.Sent && s.unsent < maxUnsent {
		// Nothing reached a server, so the attempt does not count towards maxAttempts.
		s.unsent++
		s.attempts--
	}
	if !m.mayRetry(now, a.stage, o) {
		m.giveUp(now, m.callerError(o.failure))
		return
	}
	m.retried++
	m.startAttempt(now, a.stage, false)
}

// revertHedge uncounts a hedge that got no slot, returns it to the retry budget, and schedules another one while the
// first attempt is still running without a failure.
func (m *machine) revertHedge(now time.Time, stage int) {
	s := &m.stages[stage]
	s.attempts--
	s.hedged = false
	m.hedges--
	m.policy.returnRetry()
	for _, a := range m.attempts {
		if a.stage == stage && !a.hedge && !a.ended && !a.cancelled && !a.diagnosing {
			s.hedgeAt = now.Add(hedgeRetryDelay)
		}
	}
}

// otherAttemptRunning reports whether another attempt at the same stage is running.
func (m *machine) otherAttemptRunning(id int) bool {
	for i, a := range m.attempts {
		if i != id && a.stage == m.attempts[id].stage && !a.ended && !a.cancelled {
			return true
		}
	}
	return false
}

// mayRetry reports whether the stage may be attempted again. It charges the retry budget, unless nothing of the
// failed attempt was sent.
func (m *machine) mayRetry(now time.Time, stage int, o outcome) bool {
	if !retryable(o.failure.Kind) || o.reportErr != nil {
		return false
	}
	if !m.repeatable[stage] && m.stageSent(stage) {
		return false
	}
	s := &m.stages[stage]
	if s.attempts >= maxAttempts || !now.Add(m.policy.need(now, stage).Minimum).Before(s.cutoff) {
		return false
	}
	return !o.failure.Sent || m.policy.takeRetry(now)
}

// retryable reports whether another server may succeed after a failure of kind k.
func retryable(k engine.Kind) bool {
	switch k {
	case engine.Rejected, engine.Canceled, engine.Stale:
		return false
	default:
		return true
	}
}

// onTimer handles what is due at now: the deadline, hedges, or the end of phaseClosing.
func (m *machine) onTimer(now time.Time) []action {
	switch m.phase {
	case phaseClosing:
		if !now.Before(m.closeBy) {
			m.finish()
		}
	case phaseClaiming:
		if !now.Before(m.deadline) {
			m.giveUp(now, errLedgerUnavailable())
		}
	case phaseRunning:
		if !now.Before(m.cutoff()) {
			m.giveUp(now, errDeadlineExceeded())
			break
		}
		m.startHedges(now)
	default:
	}
	return m.takeActions()
}

// cutoff returns the time at which the request fails because its deadline can no longer be met.
func (m *machine) cutoff() time.Time {
	if m.phase == phaseRunning {
		return m.stages[m.plan.Steps[m.step][0]].cutoff
	}
	return m.deadline
}

// startHedges starts a second attempt at each stage of the step whose hedge is due.
func (m *machine) startHedges(now time.Time) {
	for _, i := range m.plan.Steps[m.step] {
		s := &m.stages[i]
		if s.done || s.hedgeAt.IsZero() || now.Before(s.hedgeAt) {
			continue
		}
		s.hedgeAt = time.Time{}
		if m.alone || s.attempts >= maxAttempts || !m.policy.takeRetry(now) {
			continue
		}
		s.hedged = true
		m.hedges++
		m.startAttempt(now, i, true)
	}
}

// nextTimer returns when onTimer must be called next.
func (m *machine) nextTimer() time.Time {
	if m.phase == phaseClosing {
		return m.closeBy
	}
	at := m.cutoff()
	if m.phase != phaseRunning {
		return at
	}
	for _, i := range m.plan.Steps[m.step] {
		if h := m.stages[i].hedgeAt; !h.IsZero() && h.Before(at) {
			at = h
		}
	}
	return at
}

// onCallerGone handles a caller that disconnected. An at-most-once request that may have been sent continues, so
// that its outcome is known when the caller sends it again.
func (m *machine) onCallerGone(now time.Time) []action {
	if m.phase == phaseFinished || m.phase == phaseClosing || m.phase == phaseNew {
		return nil
	}
	if m.atMostOnce && m.mayHaveRun() {
		return nil
	}
	m.giveUp(now, errCallerGone())
	return m.takeActions()
}

// giveUp ends the request with an error. It finishes at once if it is known whether anything was sent, else it
// enters phaseClosing.
func (m *machine) giveUp(now time.Time, err *apierr.Error) {
	if m.phase == phaseFinished || m.phase == phaseClosing {
		return
	}
	m.err = err
	m.phase = phaseClosing
	m.closeBy = now.Add(closeGrace)
	for i := range m.attempts {
		m.cancel(i)
	}
	m.finishIfKnown(now)
}

// finishIfKnown finishes the request when an attempt reported that it sent something, all attempts have ended, or
// closeBy has passed.
func (m *machine) finishIfKnown(now time.Time) {
	open := false
	for _, a := range m.attempts {
		if a.ended && a.sent {
			m.finish()
			return
		}
		open = open || !a.ended
	}
	if !open || !now.Before(m.closeBy) {
		m.finish()
	}
}

// finish sets the final error and emits actFinish.
func (m *machine) finish() {
	if m.phase == phaseFinished {
		return
	}
	m.phase = phaseFinished
	if m.err != nil {
		m.endWithError()
	}
	m.out = append(m.out, action{kind: actFinish})
}

// endWithError marks the error MayHaveRun if anything may have been sent; the claim of an at-most-once request is
// then settled as unknown, and its status promises nothing.
func (m *machine) endWithError() {
	if !m.mayHaveRun() {
		return
	}
	m.err = m.err.WithRun(apierr.MayHaveRun)
	m.err.Status = m.statusAfterSend(m.err.Status)
	if m.atMostOnce {
		m.settle = settleUnknown
		m.err.Code = apierr.OutcomeUnknown
		m.err.RetryAfter = 0
	}
}

// callerError converts a failure into the error that the caller sees.
func (m *machine) callerError(f *engine.Error) *apierr.Error {
	if len(m.tokens) > 0 {
		e := apierr.New(http.StatusBadGateway, apierr.StreamBroken, "the stream broke after %d tokens", len(m.tokens))
		return e.After(retryAfter).Wrap(f)
	}
	return errBackend(f)
}

// errBackend converts a failure before the first token into the error that the caller sees.
func errBackend(f *engine.Error) *apierr.Error {
	switch f.Kind {
	case engine.Rejected:
		status := f.Status
		if status < http.StatusBadRequest {
			status = http.StatusBadRequest
		}
		return apierr.New(status, apierr.BackendRefused, "the backend server rejected the request: %.200s", f.Body).Wrap(f)
	case engine.Overloaded:
		e := apierr.New(http.StatusServiceUnavailable, apierr.Overloaded, "the backend servers are too busy")
		return e.After(max(f.RetryAfter, retryAfter)).Wrap(f)
	default:
		e := apierr.New(http.StatusBadGateway, apierr.BackendFailed, "the backend server failed: %s", f.Kind)
		return e.After(retryAfter).Wrap(f)
	}
}

func errQuarantined() *apierr.Error {
	return apierr.New(http.StatusUnprocessableEntity, apierr.RequestQuarantined, "the request crashed backend servers and is refused")
}

// errConvicted refuses a convicted request before its first attempt. A request with an idempotency key is reported
// as MayHaveRun, because an earlier send under the key may be what crashed the servers.
func (m *machine) errConvicted() *apierr.Error {
	e := errQuarantined()
	if m.atMostOnce {
		return e.WithRun(apierr.MayHaveRun)
	}
	return e
}

// errLedgerUnavailable fails a request when the ledger gave no answer about its key. An earlier send under the key
// may have run.
func errLedgerUnavailable() *apierr.Error {
	e := apierr.New(http.StatusServiceUnavailable, apierr.LedgerUnavailable, "the claim ledger gave no answer")
	return e.WithRun(apierr.MayHaveRun).After(retryAfter)
}

func errDeadlineUnmeetable() *apierr.Error {
	e := apierr.New(http.StatusServiceUnavailable, apierr.DeadlineUnmeetable, "the stages take longer than the time left")
	return e.After(retryAfter)
}

func errDeadlineExceeded() *apierr.Error {
	e := apierr.New(http.StatusGatewayTimeout, apierr.DeadlineExceeded, "the deadline passed")
	return e.After(retryAfter)
}

func errCallerGone() *apierr.Error {
	return apierr.New(statusCallerGone, apierr.CallerGone, "the caller left")
}

// claimRunState returns the run state that a ledger error carries. An error of another type says nothing about
// earlier sends under the key, so it means MayHaveRun.
func claimRunState(err error) apierr.Run {
	var e *apierr.Error
	if errors.As(err, &e) {
		return e.Run
	}
	return apierr.MayHaveRun
}
