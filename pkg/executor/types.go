package executor

import (
	"time"

	"github.com/go-logr/logr"

	"github.com/daisyhatch/daisyhatch/pkg/cost"
	"github.com/daisyhatch/daisyhatch/pkg/dispatch"
	"github.com/daisyhatch/daisyhatch/pkg/engine"
	"github.com/daisyhatch/daisyhatch/pkg/invariant"
	"github.com/daisyhatch/daisyhatch/pkg/quantile"
	"github.com/daisyhatch/daisyhatch/pkg/retry"
)

// Request is one caller's request.
type Request struct {
	// ID is unique in the system; attempt IDs are derived from it.
	ID           string
	Organisation string
	Plan         *Plan
	// Method and Path are used by http stages only; an empty Path means the stage's own.
	Method      string
	Path        string
	ContentType string
	Body        []byte
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// Priority ranges from 0 to 9; higher is more urgent.
	Priority int
	// IdempotencyKey identifies the request across resends. It is required when the request may run at most once.
	IdempotencyKey string
	// NotRepeatable makes the whole request run at most once, even if all its stages are repeatable.
	NotRepeatable bool
	// Stream asks for the tokens of the last stage as they arrive. It has no effect unless Plan.CanStream.
	Stream bool
}

// Result is the answer to a request.
type Result struct {
	Status      int
	ContentType string
	Body        []byte
	Usage       engine.Usage
	// Streamed is true when the answer, including its end event, went to the sink. Body is empty then.
	Streamed bool
	// Replayed is true when the answer is the stored outcome of an earlier run.
	Replayed bool
	// OutcomeOmitted is true when the request ran before and its answer was too large to store.
	OutcomeOmitted bool
	// Stages holds one entry for each stage that was started, also when Run returns an error.
	Stages []StageResult
}

// StageResult reports the execution of one stage.
type StageResult struct {
	Stage string
	// Server is the server that gave the answer; empty when none did.
	Server   string
	Duration time.Duration
	// FirstToken is the time from the start of the answering attempt's call to its first byte or token.
	FirstToken time.Duration
	Attempts   int
	Hedged     bool
	// Cost is in the unit of Pool.CostPerSecond. It includes only what was booked before the request finished.
	Cost float64
	// Wasted is the part of Cost spent on attempts whose answer was not used.
	Wasted float64
}

// Sink receives the events of a streamed answer in order: each token once, then one event with End set. An error
// from it means that the caller has disconnected.
type Sink func(engine.Event) error

// Options configures an Executor. Slots and Engine are required. Without a Ledger, requests that may run at most
// once fail; without a Quarantine, crashes are not tracked.
type Options struct {
	Slots      dispatch.Slots
	Ledger     dispatch.Ledger
	Quarantine dispatch.Quarantine
	Engine     engine.Client
	// Retries limits retries to a share of the traffic; nil means a budget with the default share.
	Retries *retry.Budget
	// Latency learns how long stages take; nil means a new, empty set.
	Latency *quantile.Set
	// Costs records what stages cost; nil records nothing.
	Costs *cost.Book
	// OnLateCost is called with the cost of attempts that ended after Run returned, such as losing hedges and
	// cancelled calls. That cost is wasted and appears in no Result. It must not block; nil ignores it.
	OnLateCost func(a cost.Account, amount float64)
	Invariants *invariant.Recorder
	Log        logr.Logger
}
