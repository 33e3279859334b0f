// Package dispatch defines the interfaces that the pipeline executor depends on: slots on backend servers, the claim
// ledger and the quarantine of requests that crash servers.
package dispatch

import (
	"context"
	"time"

	"github.com/daisyhatch/daisyhatch/pkg/engine"
)

// SlotRequest asks for a slot to run one call on any server of a pool.
type SlotRequest struct {
	Pool         string
	Organisation string
	Pipeline     string
	// Stage is the stage that the call belongs to.
	Stage string
	// Priority ranges from 0 to 9; 9 is the most urgent.
	Priority int
	Model    string
	Adapter  string
	// Role is engine.RolePrefill, engine.RoleDecode or empty for any.
	Role string
	// Prefix holds the hashes of the prompt's prefix blocks, shortest prefix first.
	Prefix []uint64
	// Avoid lists the servers on which this request already failed.
	Avoid []string
	// Alone asks for a server that runs no other call at the same time.
	Alone bool
	// SpareOnly asks for a slot only if no waiting call needs it; otherwise the request is refused immediately.
	SpareOnly bool
	// Deadline is the time by which the call must have ended.
	Deadline time.Time
}

// Slot is permission to run one call on one server. The holder starts the call immediately and calls Done exactly once.
type Slot interface {
	// Target returns the server that the call may run on.
	Target() engine.Target
	// Cold reports whether the server is still warming up.
	Cold() bool
	// Valid reports whether a call may still be started with the slot. Check it immediately before sending.
	Valid() bool
	// Done releases the slot and reports the result of the call.
	Done(Report)
}

// Report is the result of a call, which is used to judge the server's health and speed.
type Report struct {
	// Err is the call's error; nil when it succeeded.
	Err error
	// FirstToken is the time from sending to the first byte or token; 0 if none arrived.
	FirstToken time.Duration
	// Total is the time from sending to the end of the call.
	Total time.Duration
	// Abandoned is true when the call was cancelled because its result was no longer needed: another hedged attempt won,
	// or the client disconnected.
	Abandoned bool
	// Partial is true for a part of a call, whose times can't be compared with those of other servers in the pool.
	Partial bool
}

// Slots allocates slots. Acquire blocks until a slot is free, the context is cancelled or the deadline passes. Its
// errors are *apierr.Error with NotRun set.
type Slots interface {
	Acquire(ctx context.Context, r SlotRequest) (Slot, error)
}

// ClaimKey identifies a non-repeatable request by its organisation and idempotency key.
type ClaimKey struct {
	Organisation string
	Key          string
}

// Claim is the result of a claim.
type Claim struct {
	// Granted means that the caller may run the request once.
	Granted bool
	// Outcome is the stored response of an earlier run; nil if there is none.
	Outcome *Outcome
}

// Outcome is the stored response to a non-repeatable request.
type Outcome struct {
	Status      int
	ContentType string
	Body        []byte
	// BodyOmitted is true when the body was not stored because it exceeds the ledger's size limits.
	BodyOmitted bool
}

// Ledger records claims, so that a non-repeatable request runs at most once. A claim is made before the request is
// first sent to a server.
type Ledger interface {
	// Claim returns a grant, a stored outcome, or an *apierr.Error with code outcome_unknown, outcome_pending,
	// idempotency_key_reused, idempotency_key_expired or ledger_unavailable.
	Claim(ctx context.Context, k ClaimKey, bodyHash uint64, deadline time.Time) (Claim, error)
	// Complete stores the outcome of a claimed request.
	Complete(ctx context.Context, k ClaimKey, o Outcome) error
	// Abandon removes the claim of a request that certainly did not run.
	Abandon(ctx context.Context, k ClaimKey) error
	// Unknown marks a claim whose outcome can't be determined: the request may or may not have run.
	Unknown(ctx context.Context, k ClaimKey) error
}

// Verdict is the quarantine's decision on a request.
type Verdict int

// Verdicts.
const (
	// Clear means that the request may share a server with other requests.
	Clear Verdict = iota
	// Suspect means that the request may have crashed a server and must run alone on one.
	Suspect
	// Convicted means that the request crashes servers and is refused.
	Convicted
)

// Quarantine tracks requests that crash servers.
type Quarantine interface {
	// Check returns the verdict on the requests with a fingerprint, a hash of their content.
	Check(fingerprint uint64) Verdict
	// Confirm waits until Check takes into account all crashes that other VMs may already act on. Call it before Check
	// and again immediately before a request starts. Errors are *apierr.Error with NotRun set.
	Confirm(ctx context.Context) error
	// Begin records that a request starts on a server; alone means that no other request runs there. The returned
	// function records its end.
	Begin(t engine.Target, fingerprint uint64, alone bool) (end func())
	// Crashed reports that a server crashed while it ran a request. It returns the verdict on the fingerprint once the
	// suspicion is shared with the other VMs. The request must not be retried before that.
	Crashed(ctx context.Context, t engine.Target, fingerprint uint64) (Verdict, error)
}
