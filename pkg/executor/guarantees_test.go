package executor_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/daisyhatch/daisyhatch/pkg/apierr"
	"github.com/daisyhatch/daisyhatch/pkg/executor"
	"github.com/daisyhatch/daisyhatch/pkg/invariant"
)

// guaranteeSeeds is the number of random runs; the run's index is its seed.
const guaranteeSeeds = 200

// TestGuaranteesUnderRandomFaults runs random requests, streams and bookings against servers with all kinds of
// faults, and checks each outcome against what the servers were actually sent.
func TestGuaranteesUnderRandomFaults(t *testing.T) {
	seen := map[string]int{}
	for seed := range uint64(guaranteeSeeds) {
		synctest.Test(t, func(t *testing.T) {
			runRandomRequests(t, seed, seen, false)
		})
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
	t.Log(seen)
	for _, name := range []string{"ok", "stream ok", "booking ok", "not_run", "may_have_run", "replayed", "gone"} {
		assert.Positive(t, seen[name], "no run showed %s", name)
	}
}

// TestGuaranteesWithHandover does the same with prefill and decode servers, and prompts long enough for a handover.
func TestGuaranteesWithHandover(t *testing.T) {
	seen := map[string]int{}
	for seed := range uint64(guaranteeSeeds) {
		synctest.Test(t, func(t *testing.T) {
			runRandomRequests(t, seed, seen, true)
		})
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
	t.Log(seen)
	for _, name := range []string{"ok", "stream ok", "booking ok", "not_run", "may_have_run", "replayed", "gone", "handed over"} {
		assert.Positive(t, seen[name], "no run showed %s", name)
	}
}

// randomRequest is one request of a random run.
type randomRequest struct {
	// id marks the request's body and is its idempotency key.
	id       string
	plan     *executor.Plan
	stream   bool
	deadline time.Duration
	// disconnectAfter is when the caller disconnects; zero means never. copies is how often the request is sent.
	disconnectAfter time.Duration
	copies          int
}

// runRandomRequests runs 30 random requests and checks slots, KV caches and bookings afterwards. It counts the kinds
// of outcomes in seen.
func runRandomRequests(t *testing.T, seed uint64, seen map[string]int, roles bool) {
	rng := rand.New(rand.NewPCG(seed, 1))
	w := newSimBackends(seed, 0.05+0.5*rng.Float64())
	w.roles = roles
	ledger := newFakeLedger()
	inv := invariant.NewRecorder(discard())
	set := testSet()
	e := executor.New(executor.Options{Slots: w, Ledger: ledger, Engine: w, Invariants: inv, Log: discard()})
	plans := []*executor.Plan{
		must(executor.PlanPipeline(set, "chain")), must(executor.PlanPipeline(set, "chat")),
		must(executor.PlanPipeline(set, "wide")), must(executor.PlanService(set, "bookings")),
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	count := func(name string) {
		mu.Lock()
		defer mu.Unlock()
		seen[name]++
	}
	for i := range 30 {
		tr := randomRequest{id: fmt.Sprintf("q%d", i), plan: plans[rng.IntN(len(plans))], copies: 1}
		tr.stream = rng.IntN(2) == 0 && tr.plan.CanStream()
		tr.deadline = time.Duration(20+rng.IntN(800)) * time.Millisecond
		if rng.IntN(5) == 0 {
			tr.disconnectAfter = time.Duration(rng.IntN(60)) * time.Millisecond
		}
		if !tr.plan.Repeatable() {
			tr.copies = 1 + rng.IntN(3)
		}
		begin := time.Duration(rng.IntN(300)) * time.Millisecond
		wg.Go(func() {
			time.Sleep(begin)
			for range tr.copies {
				runRandomRequest(t, e, w, ledger, tr, count)
			}
		})
	}
	wg.Wait()
	require.NoError(t, e.Wait(t.Context()))
	synctest.Wait()
	violations, _ := inv.Violations()
	require.Empty(t, violations)
	require.Zero(t, w.slots, "slots not released")
	require.Zero(t, w.expired, "calls sent under expired slots")
	require.Zero(t, w.kvCrossed, "KV caches used by another request")
	seen["handed over"] += w.kvUsed
	for key, n := range w.sent {
		if strings.HasSuffix(key, " /book") {
			require.LessOrEqual(t, n, 1, "booking %s ran %d times", key, n)
		}
	}
}

// runRandomRequest sends one request and checks its answer.
func runRandomRequest(t *testing.T, e *executor.Executor, w *simBackends, l *fakeLedger, tr randomRequest, count func(string)) {
	ctx := t.Context()
	if tr.disconnectAfter > 0 {
		c, cancel := context.WithTimeout(ctx, tr.disconnectAfter)
		defer cancel()
		ctx = c
	}
	body := fmt.Sprintf(`{"messages":[{"role":"user","content":"#%s#%s"}]}`, tr.id, w.padding())
	var sink tokenSink
	began := time.Now()
	req := executor.Request{
		ID: tr.id + "/" + began.String(), Organisation: "huts", Plan: tr.plan, Body: []byte(body), Stream: tr.stream,
		Deadline: began.Add(tr.deadline), IdempotencyKey: tr.id,
	}
	res, err := e.Run(ctx, req, sink.receive)
	// Storing an outcome may delay the answer; the fake ledger stores it at once.
	assert.LessOrEqual(t, time.Since(began), tr.deadline+25*time.Millisecond, "%s answered after its deadline", tr.id)
	if err != nil {
		checkError(t, w, l, tr, &sink, apierr.From(err), count)
		return
	}
	if res.Replayed {
		count("replayed")
	}
	switch {
	case tr.stream:
		count("stream ok")
		assert.Equal(t, strings.Join(simTokens(tr.id), ""), sink.text.String())
		assert.Equal(t, 1, sink.ends)
	case !tr.plan.Repeatable():
		count("booking ok")
		assert.Equal(t, "answer to "+tr.id, string(res.Body))
		assert.Equal(t, "done", l.state(tr.id))
	default:
		count("ok")
		assert.Contains(t, string(res.Body), strings.Join(simTokens(tr.id), ""))
	}
}

// checkError checks a failed request's run state against what the servers were sent.
func checkError(t *testing.T, w *simBackends, l *fakeLedger, tr randomRequest, sink *tokenSink, e *apierr.Error, count func(string)) {
	count(string(e.Run))
	if e.Code == apierr.CallerGone {
		count("gone")
	}
	assert.Zero(t, sink.ends, "error after the end event")
	assert.True(t, strings.HasPrefix(strings.Join(simTokens(tr.id), ""), sink.text.String()), "tokens out of order: %s", sink.text.String())
	if e.Run == apierr.NotRun {
		assert.Zero(t, w.sentOf(tr.id), "%s reported not_run although it was sent: %v", tr.id, e)
		return
	}
	if !tr.plan.Repeatable() && e.Code != apierr.OutcomePending {
		assert.Positive(t, w.sentOf(tr.id), "%s reported may_have_run although it was not sent: %v", tr.id, e)
	}
}
