package executor_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/daisyhatch/daisyhatch/pkg/apierr"
	"github.com/daisyhatch/daisyhatch/pkg/cost"
	"github.com/daisyhatch/daisyhatch/pkg/dispatch"
	"github.com/daisyhatch/daisyhatch/pkg/engine"
	"github.com/daisyhatch/daisyhatch/pkg/executor"
	"github.com/daisyhatch/daisyhatch/pkg/invariant"
)

// handoverCase is one fault during a handover.
type handoverCase struct {
	name string
	// fault is injected into the first call that faultOn selects.
	fault   fault
	faultOn func(t engine.Target, c engine.Call) bool
	// kv holds the failures of the KV export and import; 0 means none.
	kv [2]engine.Kind
	// used is the expected number of imported KV caches that were used; crashes is the expected number of server
	// crashes.
	used, crashes int
	// wasted is true when part of the cost must be booked as waste.
	wasted bool
}

func onPrefill(_ engine.Target, c engine.Call) bool { return c.Prefill }
func onDecode(_ engine.Target, c engine.Call) bool  { return !c.Prefill }

// TestHandoverSurvivesEachFault injects a fault into each step of a handover. The caller must get its complete
// answer and each slot must be released.
func TestHandoverSurvivesEachFault(t *testing.T) {
	cases := []handoverCase{
		{name: "none", used: 1},
		{name: "prefill refused", fault: refused, faultOn: onPrefill},
		{name: "prefill fails", fault: serverError, faultOn: onPrefill, wasted: true},
		{name: "prefill crossed", fault: wrongAttemptID, faultOn: onPrefill, wasted: true},
		{name: "prefill server dies", fault: crash, faultOn: onPrefill, used: 1, crashes: 1, wasted: true},
		{name: "export fails", kv: [2]engine.Kind{engine.Failed, 0}, wasted: true},
		{name: "export unknown", kv: [2]engine.Kind{engine.Rejected, 0}, wasted: true},
		{name: "import fails", kv: [2]engine.Kind{0, engine.Failed}, wasted: true},
		{name: "import rejected", kv: [2]engine.Kind{0, engine.Rejected}, wasted: true},
		{name: "import silent", kv: [2]engine.Kind{0, engine.Silent}, wasted: true},
		{name: "decode refused", fault: refused, faultOn: onDecode, used: 1, wasted: true},
		{name: "decode fails", fault: serverError, faultOn: onDecode, used: 1, wasted: true},
		{name: "decode server dies", fault: crash, faultOn: onDecode, used: 1, crashes: 1, wasted: true},
	}
	for _, tc := range cases {
		for _, stream := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s stream=%t", tc.name, stream), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { runHandoverCase(t, tc, stream) })
			})
		}
	}
}

// newHandoverBackends returns simulated prefill and decode servers on which the case's fault occurs once.
func newHandoverBackends(tc handoverCase) *simBackends {
	w := newSimBackends(1, 0)
	w.roles, w.fixedFault, w.kvFaults = true, tc.fault, tc.kv
	injected := false
	w.faultFilter = func(t engine.Target, c engine.Call) bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		inject := tc.faultOn != nil && !injected && tc.faultOn(t, c)
		injected = injected || inject
		return inject
	}
	return w
}

func handoverRequest(w *simBackends, stream bool) executor.Request {
	body := fmt.Sprintf(`{"messages":[{"role":"user","content":"#q#%s"}]}`, w.padding())
	return executor.Request{
		ID: "r", Organisation: "huts", Plan: must(executor.PlanPipeline(testSet(), "chat")), Body: []byte(body), Stream: stream,
		Deadline: time.Now().Add(2 * time.Second),
	}
}

func runHandoverCase(t *testing.T, tc handoverCase, stream bool) {
	w := newHandoverBackends(tc)
	inv := invariant.NewRecorder(discard())
	late := 0.0
	e := executor.New(executor.Options{
		Slots: w, Engine: w, Invariants: inv, Log: discard(), OnLateCost: func(_ cost.Account, amount float64) { late += amount },
	})
	var sink tokenSink
	res, err := e.Run(t.Context(), handoverRequest(w, stream), sink.receive)
	require.NoError(t, err)
	require.NoError(t, e.Wait(t.Context()))
	if stream {
		require.Equal(t, strings.Join(simTokens("q"), ""), sink.text.String())
		require.Equal(t, 1, sink.ends)
	} else {
		require.Contains(t, string(res.Body), strings.Join(simTokens("q"), ""))
	}
	require.Equal(t, tc.used, w.kvUsed)
	require.Zero(t, w.kvCrossed)
	require.Zero(t, w.slots)
	crashes := 0
	for _, n := range w.crashes {
		crashes += n
	}
	require.Equal(t, tc.crashes, crashes)
	s := res.Stages[len(res.Stages)-1]
	require.Positive(t, s.Cost)
	require.Equal(t, tc.wasted, s.Wasted+late > 0, "waste %v", s.Wasted)
	violations, _ := inv.Violations()
	require.Empty(t, violations)
}

// TestStreamResumesAfterDecodeFault breaks a stream on the decode server in several ways after a handover.
func TestStreamResumesAfterDecodeFault(t *testing.T) {
	for _, f := range []fault{truncated, wrongAttemptID, missingToken, duplicated} {
		synctest.Test(t, func(t *testing.T) {
			w := newHandoverBackends(handoverCase{fault: f, faultOn: onDecode})
			e := executor.New(executor.Options{Slots: w, Engine: w, Log: discard()})
			var sink tokenSink
			_, err := e.Run(t.Context(), handoverRequest(w, true), sink.receive)
			require.NoError(t, err)
			require.Equal(t, strings.Join(simTokens("q"), ""), sink.text.String())
			require.Equal(t, 1, sink.ends)
			require.NoError(t, e.Wait(t.Context()))
			require.Zero(t, w.slots)
		})
	}
}

// TestHandoverEndsWithRequest lets the deadline pass, or the caller disconnect, while the prompt runs on the prefill
// server.
func TestHandoverEndsWithRequest(t *testing.T) {
	for _, leave := range []time.Duration{0, 30 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			w := newHandoverBackends(handoverCase{fault: slow, faultOn: onPrefill})
			e := executor.New(executor.Options{Slots: w, Engine: w, Log: discard()})
			ctx, code, by := t.Context(), apierr.DeadlineExceeded, 200*time.Millisecond
			if leave > 0 {
				c, cancel := context.WithTimeout(ctx, leave)
				defer cancel()
				ctx, code, by = c, apierr.CallerGone, leave
			}
			req := handoverRequest(w, false)
			began := time.Now()
			req.Deadline = began.Add(200 * time.Millisecond)
			_, err := e.Run(ctx, req, nil)
			require.Equal(t, code, apierr.From(err).Code)
			require.Equal(t, apierr.MayHaveRun, apierr.From(err).Run)
			require.LessOrEqual(t, time.Since(began), by+25*time.Millisecond)
			require.NoError(t, e.Wait(t.Context()))
			require.Zero(t, w.slots)
			require.Zero(t, w.kvUsed)
		})
	}
}

// TestNoHandoverForShortPromptOrWithoutRoles checks that short prompts, and requests to pools without roles, run on
// one server.
func TestNoHandoverForShortPromptOrWithoutRoles(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newHandoverBackends(handoverCase{})
		e := executor.New(executor.Options{Slots: w, Engine: w, Log: discard()})
		req := handoverRequest(w, false)
		req.Body = []byte(`{"messages":[{"role":"user","content":"#q#"}]}`)
		_, err := e.Run(t.Context(), req, nil)
		require.NoError(t, err)
		require.Equal(t, 1, w.sentOf("q"))
		long := handoverRequest(w, false)
		w.roles = false
		_, err = e.Run(t.Context(), long, nil)
		require.NoError(t, err)
		require.Equal(t, 2, w.sentOf("q"))
		require.Zero(t, w.kvUsed)
	})
}

// The KV cache of one software version was handed to a server of another one.
func TestNoHandoverBetweenVersions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newHandoverBackends(handoverCase{})
		w.versionByRole = true
		e := executor.New(executor.Options{Slots: w, Engine: w, Log: discard()})
		_, err := e.Run(t.Context(), handoverRequest(w, false), nil)
		require.NoError(t, err)
		require.Equal(t, 1, w.sentOf("q"))
		require.Zero(t, w.kvUsed)
	})
}

// suspectAll is a quarantine that treats every request as a suspect.
type suspectAll struct{}

func (suspectAll) Check(uint64) dispatch.Verdict { return dispatch.Suspect }

func (suspectAll) Confirm(context.Context) error { return nil }

func (suspectAll) Begin(engine.Target, uint64, bool) (end func()) { return func() {} }
func (suspectAll) Crashed(context.Context, engine.Target, uint64) (dispatch.Verdict, error) {
	return dispatch.Suspect, nil
}

// TestNoHandoverForSuspectOrNonRepeatable checks that suspects and requests that must not be repeated run on one
// server.
func TestNoHandoverForSuspectOrNonRepeatable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newHandoverBackends(handoverCase{})
		e := executor.New(executor.Options{Slots: w, Engine: w, Quarantine: suspectAll{}, Log: discard()})
		_, err := e.Run(t.Context(), handoverRequest(w, false), nil)
		require.NoError(t, err)
		require.Equal(t, 1, w.sentOf("q"))
		e = executor.New(executor.Options{Slots: w, Engine: w, Ledger: newFakeLedger(), Log: discard()})
		req := handoverRequest(w, false)
		req.NotRepeatable, req.IdempotencyKey = true, "k"
		_, err = e.Run(t.Context(), req, nil)
		require.NoError(t, err)
		require.Equal(t, 2, w.sentOf("q"))
		require.Zero(t, w.kvUsed)
	})
}
