package executor_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/daisyhatch/daisyhatch/pkg/cost"
	"github.com/daisyhatch/daisyhatch/pkg/dispatch"
	"github.com/daisyhatch/daisyhatch/pkg/engine"
	"github.com/daisyhatch/daisyhatch/pkg/executor"
)

// inFlightCounter is a quarantine that counts the calls in flight.
type inFlightCounter struct{ atomic.Int64 }

func (f *inFlightCounter) Check(uint64) dispatch.Verdict { return dispatch.Clear }

func (f *inFlightCounter) Confirm(context.Context) error { return nil }

func (f *inFlightCounter) Begin(engine.Target, uint64, bool) func() {
	f.Add(1)
	return func() { f.Add(-1) }
}

func (f *inFlightCounter) Crashed(context.Context, engine.Target, uint64) (dispatch.Verdict, error) {
	return dispatch.Suspect, nil
}

// watchedSlots adds up, at each release of a slot, the calls that the quarantine still counts as in flight.
type watchedSlots struct {
	w              *simBackends
	inFlight       *inFlightCounter
	inFlightAtDone atomic.Int64
}

func (s *watchedSlots) Acquire(ctx context.Context, r dispatch.SlotRequest) (dispatch.Slot, error) {
	slot, err := s.w.Acquire(ctx, r)
	if err != nil {
		return nil, err
	}
	return watchedSlot{slot, s}, nil
}

type watchedSlot struct {
	dispatch.Slot
	s *watchedSlots
}

func (w watchedSlot) Done(r dispatch.Report) {
	w.s.inFlightAtDone.Add(w.s.inFlight.Load())
	w.Slot.Done(r)
}

// TestQuarantineCallEndsBeforeSlotRelease guards against a call that is still counted as in flight when its slot is
// released. The server's next request would then seem to run beside it, and a suspect running alone there would not
// be convicted.
func TestQuarantineCallEndsBeforeSlotRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, f := newSimBackends(1, 0), &inFlightCounter{}
		s := &watchedSlots{w: w, inFlight: f}
		e := executor.New(executor.Options{Slots: s, Engine: w, Quarantine: f, Log: discard()})
		plan := must(executor.PlanPipeline(testSet(), "chain"))
		_, err := e.Run(t.Context(), executor.Request{ID: "r", Plan: plan, Body: []byte("#r#"), Deadline: time.Now().Add(time.Second)}, nil)
		require.NoError(t, err)
		require.Zero(t, s.inFlightAtDone.Load())
		require.Zero(t, f.Load())
	})
}

// TestLateCostIsReported lets a request exceed its deadline while its call is running. The cost of the call until
// its end must be reported as late.
func TestLateCostIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newSimBackends(1, 0)
		w.fixedFault = ignoresCancel
		var late atomic.Int64
		book := func(_ cost.Account, amount float64) { late.Add(int64(amount * 1000)) }
		e := executor.New(executor.Options{Slots: w, Engine: w, OnLateCost: book, Log: discard()})
		plan := must(executor.PlanPipeline(testSet(), "chat"))
		_, err := e.Run(t.Context(), executor.Request{ID: "r", Plan: plan, Body: []byte("#r#"), Deadline: time.Now().Add(100 * time.Millisecond)}, nil)
		require.Error(t, err)
		require.Zero(t, late.Load(), "late cost reported before the call ended")
		require.NoError(t, e.Wait(t.Context()))
		require.GreaterOrEqual(t, late.Load(), int64(1000), "late cost must cover the second that the server was busy")
	})
}
