package executor_test

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/daisyhatch/daisyhatch/pkg/apierr"
	"github.com/daisyhatch/daisyhatch/pkg/config"
	"github.com/daisyhatch/daisyhatch/pkg/dispatch"
	"github.com/daisyhatch/daisyhatch/pkg/executor"
)

// fakeLedger is an in-memory ledger. Its states are "" (free), "claimed", "done" and "unknown", by idempotency key.
type fakeLedger struct {
	mu     sync.Mutex
	states map[string]string
	stored map[string]dispatch.Outcome
}

func newFakeLedger() *fakeLedger {
	return &fakeLedger{states: map[string]string{}, stored: map[string]dispatch.Outcome{}}
}

func (l *fakeLedger) state(key string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.states[key]
}

func (l *fakeLedger) Claim(_ context.Context, k dispatch.ClaimKey, _ uint64, _ time.Time) (dispatch.Claim, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch l.states[k.Key] {
	case "":
		l.states[k.Key] = "claimed"
		return dispatch.Claim{Granted: true}, nil
	case "done":
		o := l.stored[k.Key]
		return dispatch.Claim{Outcome: &o}, nil
	case "unknown":
		e := apierr.New(http.StatusConflict, apierr.OutcomeUnknown, "unknown")
		return dispatch.Claim{}, e.WithRun(apierr.MayHaveRun)
	default:
		e := apierr.New(http.StatusConflict, apierr.OutcomePending, "pending")
		return dispatch.Claim{}, e.WithRun(apierr.MayHaveRun)
	}
}

func (l *fakeLedger) set(k dispatch.ClaimKey, state string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.states[k.Key] = state
	return nil
}

func (l *fakeLedger) Complete(_ context.Context, k dispatch.ClaimKey, o dispatch.Outcome) error {
	l.mu.Lock()
	l.stored[k.Key] = o
	l.mu.Unlock()
	return l.set(k, "done")
}

func (l *fakeLedger) Abandon(_ context.Context, k dispatch.ClaimKey) error { return l.set(k, "") }
func (l *fakeLedger) Unknown(_ context.Context, k dispatch.ClaimKey) error {
	return l.set(k, "unknown")
}

// silentLedger delays each claim and then fails it with an error that carries no run state.
type silentLedger struct {
	dispatch.Ledger
	took time.Duration
}

func (l silentLedger) Claim(context.Context, dispatch.ClaimKey, uint64, time.Time) (dispatch.Claim, error) {
	time.Sleep(l.took)
	return dispatch.Claim{}, errors.New("lost")
}

// TestUnansweredClaimReportsMayHaveRun guards against reporting not_run when the ledger gave no answer about a key:
// an earlier send under the key may have run.
func TestUnansweredClaimReportsMayHaveRun(t *testing.T) {
	for _, took := range []time.Duration{time.Second, time.Minute} {
		synctest.Test(t, func(t *testing.T) {
			stage := &config.Stage{Name: "book", Pool: "p", Operation: "http"}
			plan := &executor.Plan{
				Name: "p", Deadline: 5 * time.Second, Steps: [][]int{{0}},
				Stages: []executor.PlanStage{{Spec: stage, Pool: &config.Pool{Name: "p"}}},
			}
			exec := executor.New(executor.Options{Slots: &slowSlots{}, Ledger: silentLedger{took: took}})
			r := executor.Request{ID: "r", Plan: plan, IdempotencyKey: "k", Deadline: time.Now().Add(5 * time.Second)}
			_, err := exec.Run(t.Context(), r, nil)
			require.Equal(t, apierr.MayHaveRun, apierr.From(err).Run)
			require.NotEqual(t, apierr.DeadlineExceeded, apierr.From(err).Code)
			// The synctest bubble can only end once the pending claim has returned.
			time.Sleep(took)
		})
	}
}
