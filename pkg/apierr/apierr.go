// Package apierr defines the errors that callers of daisyhatch see. Every one carries a stable code and says
// whether the request may have run.
package apierr

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/daisyhatch/daisyhatch/pkg/returning"
)

// Run says whether any byte of a stage call may have left the system.
type Run string

// Values of Run.
const (
	// NotRun holds only while no byte of any stage call can have left.
	NotRun Run = "not_run"
	// MayHaveRun holds from the moment the first stage call is handed to a connection.
	MayHaveRun Run = "may_have_run"
)

// Code names an error for programs. Codes are stable between releases.
type Code string

// Codes that callers may receive.
const (
	BadRequest          Code = "bad_request"
	Unauthorised        Code = "unauthorised"
	Forbidden           Code = "forbidden"
	NotFound            Code = "not_found"
	TooLarge            Code = "too_large"
	RateLimited         Code = "rate_limited"
	Overloaded          Code = "overloaded"
	DeadlineUnmeetable  Code = "deadline_unmeetable"
	DeadlineExceeded    Code = "deadline_exceeded"
	NoCapacity          Code = "no_capacity"
	BackendFailed       Code = "backend_failed"
	BackendRefused      Code = "backend_refused"
	StreamBroken        Code = "stream_broken"
	RequestQuarantined  Code = "request_quarantined"
	OutcomeUnknown      Code = "outcome_unknown"
	OutcomePending      Code = "outcome_pending"
	OutcomeNotStored    Code = "outcome_not_stored"
	IdempotencyReused   Code = "idempotency_key_reused"
	IdempotencyRequired Code = "idempotency_key_required"
	IdempotencyExpired  Code = "idempotency_key_expired"
	LedgerUnavailable   Code = "ledger_unavailable"
	NotReady            Code = "not_ready"
	ShuttingDown        Code = "shutting_down"
	CallerGone          Code = "caller_gone"
	Internal            Code = "internal"
)

// Error is an error as a caller sees it.
type Error struct {
	// Status is the HTTP status.
	Status int
	Code   Code
	Run    Run
	// RetryAfter tells the caller when a resend may succeed; 0 when it won't help.
	RetryAfter time.Duration
	Message    string
	// Err is the cause; it is logged and never sent.
	Err error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("%s (%s): %s: %v", e.Code, e.Run, e.Message, e.Err)
	}
	return fmt.Sprintf("%s (%s): %s", e.Code, e.Run, e.Message)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// New returns an error that says the request was not run.
func New(status int, code Code, format string, args ...any) *Error {
	return &Error{Status: status, Code: code, Run: NotRun, Message: fmt.Sprintf(format, args...)}
}

// After returns a copy that tells the caller to come back after d.
func (e *Error) After(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// Told returns a copy that tells the caller to come back as decided, or that the request can't be served in its time.
func (e *Error) Told(t returning.Told) *Error {
	c := e.After(t.After)
	if t.InVain {
		c.Message += returning.TextInVain
	}
	return c
}

// WithRun returns a copy with another run state.
func (e *Error) WithRun(r Run) *Error {
	c := *e
	c.Run = r
	return &c
}

// Wrap returns a copy that carries the cause err.
func (e *Error) Wrap(err error) *Error {
	c := *e
	c.Err = err
	return &c
}

// From turns any error into an Error. One that is not an Error becomes Internal with MayHaveRun,
// since nothing is known about it.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{
		Status:  http.StatusInternalServerError,
		Code:    Internal,
		Run:     MayHaveRun,
		Message: "internal error",
		Err:     err,
	}
}
