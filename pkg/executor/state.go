package executor

import (
	"time"

	"github.com/daisyhatch/daisyhatch/pkg/apierr"
	"github.com/daisyhatch/daisyhatch/pkg/deadline"
	"github.com/daisyhatch/daisyhatch/pkg/dispatch"
	"github.com/daisyhatch/daisyhatch/pkg/engine"
)

// policy gives the machine learned latencies and the retry budget.
type policy interface {
	// need returns the expected duration of a stage.
	need(now time.Time, stage int) deadline.Need
	// hedgeAfter returns how long after it acquired its slot an attempt should be hedged; false means never.
	hedgeAfter(now time.Time, stage int) (time.Duration, bool)
	// recordFirstAttempt counts the first attempt at a stage towards the retry budget. takeRetry takes one retry or
	// hedge from the budget if it allows it; returnRetry puts it back.
	recordFirstAttempt(now time.Time)
	takeRetry(now time.Time) bool
	returnRetry()
	// allowProbe admits, at a limited rate, a request whose deadline seems unmeetable, so that the stage's latency
	// quantiles stay current.
	allowProbe(now time.Time) bool
}

// phase is the phase of a request's life.
type phase int

const (
	phaseNew phase = iota
	phaseClaiming
	phaseRunning
	// phaseClosing waits for cancelled attempts to report whether they sent anything.
	phaseClosing
	phaseFinished
)

// settlement is what to do with the claim of an at-most-once request.
type settlement int

const (
	// settleNothing leaves the ledger unchanged.
	settleNothing settlement = iota
	// settleComplete stores the outcome for resent requests.
	settleComplete
	// settleAbandon frees the key, because nothing was sent.
	settleAbandon
	// settleUnknown marks the outcome as unknown, because the request may have run.
	settleUnknown
)

// actionKind is what the runner must do.
type actionKind int

const (
	// actClaim claims the request's idempotency key in the ledger.
	actClaim actionKind = iota + 1
	// actAttempt starts the attempt described by spec.
	actAttempt
	// actCancel cancels the attempt.
	actCancel
	// actDeliver sends the event to the caller.
	actDeliver
	// actFinish ends the request.
	actFinish
)

// action is an output of the machine.
type action struct {
	kind    actionKind
	attempt int
	spec    attemptSpec
	event   engine.Event
}

// attemptSpec describes an attempt to make.
type attemptSpec struct {
	stage int
	hedge bool
	// alone is true when no other call may run on the server at the same time.
	alone bool
	// avoid lists servers that must not be picked.
	avoid []string
	// target is when the stage should be done; cutoff is when the attempt is cancelled at the latest.
	target time.Time
	cutoff time.Time
	// resumeFrom is the number of tokens already delivered; resumeText is their text.
	resumeFrom int
	resumeText string
	// version is the software version that began the stream; set with resumeFrom.
	version string
	// streamed is true when the tokens go to the caller.
	streamed bool
}

// outcome is the result of an attempt.
type outcome struct {
	answer engine.Answer
	// tokens is the total number of tokens of a streamed answer, including those before a resume.
	tokens int
	// slotErr is set when no slot was acquired; nothing was sent then.
	slotErr *apierr.Error
	// failure is set when the call failed.
	failure *engine.Error
	// verdict is the quarantine's verdict after a crash; reportErr is set when the crash could not be reported.
	verdict   dispatch.Verdict
	reportErr error
}

// sent reports whether any byte of the attempt may have been sent.
func (o outcome) sent() bool {
	if o.slotErr != nil {
		return false
	}
	return o.failure == nil || o.failure.Sent
}

// attempt is one attempt at a stage.
type attempt struct {
	stage     int
	hedge     bool
	server    string
	version   string
	cancelled bool
	ended     bool
	sent      bool
	// diagnosing is true once the attempt failed and the cause is being determined.
	diagnosing bool
	// used is true when the attempt's answer, or tokens of it, reached the caller or the next step.
	used bool
}

// stageState is the state of one stage.
type stageState struct {
	// began is when the stage's first attempt was started; finished is when its answer was accepted.
	began    time.Time
	finished time.Time
	done     bool
	answer   engine.Answer
	server   string
	// attempts counts attempts that may have reached a server; unsent counts the others, up to maxUnsent.
	attempts int
	unsent   int
	hedged   bool
	// hedgeAt is when the next hedge is due; zero means that none is scheduled.
	hedgeAt time.Time
	cutoff  time.Time
	target  time.Time
	// failedServers lists the servers on which an attempt at the stage failed.
	failedServers []string
	// deferredFailure is the latest failure that was not acted on because another attempt was running; nil if there
	// is none.
	deferredFailure *outcome
}
