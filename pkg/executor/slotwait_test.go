package executor_test

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/daisyhatch/daisyhatch/pkg/apierr"
	"github.com/daisyhatch/daisyhatch/pkg/config"
	"github.com/daisyhatch/daisyhatch/pkg/dispatch"
	"github.com/daisyhatch/daisyhatch/pkg/engine"
	"github.com/daisyhatch/daisyhatch/pkg/executor"
)

// slowSlots grants each slot after a delay, or fails if the request's deadline passes first.
type slowSlots struct{ wait time.Duration }

func (s *slowSlots) Acquire(ctx context.Context, r dispatch.SlotRequest) (dispatch.Slot, error) {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	select {
	case <-time.After(s.wait):
		return freeSlot{}, nil
	case <-ctx.Done():
		return nil, apierr.New(http.StatusServiceUnavailable, apierr.NoCapacity, "no free slot")
	}
}

// freeSlot is a slot that is always valid.
type freeSlot struct{}

func (freeSlot) Target() engine.Target { return engine.Target{Server: "s"} }
func (freeSlot) Cold() bool            { return false }
func (freeSlot) Valid() bool           { return true }
func (freeSlot) Done(dispatch.Report)  {}

// fixedLatencyEngine answers rerank calls after 1 s and all others after 20 ms.
type fixedLatencyEngine struct{ engine.Client }

func (fixedLatencyEngine) Call(_ context.Context, _ engine.Target, c engine.Call) (engine.Answer, error) {
	took := 20 * time.Millisecond
	if c.Operation == engine.Rerank {
		took = time.Second
	}
	time.Sleep(took)
	return engine.Answer{AttemptID: c.AttemptID, Status: http.StatusOK, Body: []byte(`{"documents":["a"]}`)}, nil
}

// TestSlotWaitMayExceedStageShare guards against failing a stage whose wait for a slot exceeds its usual share of
// the deadline although the later stages still fit. Such waits occur when a failure domain leaves and returns.
func TestSlotWaitMayExceedStageShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		find := &config.Stage{Name: "find", Pool: "p", Operation: "retrieve", Repeatable: true, Minimum: 10 * time.Millisecond}
		rank := &config.Stage{Name: "rank", Pool: "p", Operation: "rerank", Repeatable: true, Minimum: 10 * time.Millisecond}
		pool := &config.Pool{Name: "p"}
		plan := &executor.Plan{
			Name: "p", Deadline: 5 * time.Second, Steps: [][]int{{0}, {1}},
			Stages: []executor.PlanStage{{Spec: find, Pool: pool}, {Spec: rank, Pool: pool}},
		}
		slots := &slowSlots{}
		exec := executor.New(executor.Options{Slots: slots, Engine: fixedLatencyEngine{}})
		run := func() error {
			r := executor.Request{ID: "r", Plan: plan, Body: []byte(`{"query":"x"}`), Deadline: time.Now().Add(5 * time.Second)}
			_, err := exec.Run(t.Context(), r, nil)
			return err
		}
		for range 200 {
			require.NoError(t, run())
		}
		slots.wait = 500 * time.Millisecond
		require.NoError(t, run(), "two waits of 0.5 s and calls of 20 ms and 1 s fit into 5 s")
	})
}

// TestStageTimeoutStartsAtSlot checks that the stage's own timeout limits the call but not the wait for a slot.
func TestStageTimeoutStartsAtSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := &config.Pool{Name: "p"}
		run := func(operation string) error {
			stage := &config.Stage{Name: "s", Pool: "p", Operation: operation, Repeatable: true, Timeout: 300 * time.Millisecond}
			plan := &executor.Plan{
				Name: "p", Deadline: 5 * time.Second, Steps: [][]int{{0}}, Stages: []executor.PlanStage{{Spec: stage, Pool: pool}},
			}
			exec := executor.New(executor.Options{Slots: &slowSlots{wait: time.Second}, Engine: cancellableEngine{}})
			r := executor.Request{ID: "r", Plan: plan, Body: []byte(`{"query":"x"}`), Deadline: time.Now().Add(5 * time.Second)}
			_, err := exec.Run(t.Context(), r, nil)
			return err
		}
		require.NoError(t, run("retrieve"), "a wait of 1 s and a call of 20 ms")
		require.Error(t, run("rerank"), "a call of 1 s is cut off after 0.3 s")
	})
}

// cancellableEngine is a fixedLatencyEngine whose calls fail if their context ended meanwhile.
type cancellableEngine struct{ fixedLatencyEngine }

func (e cancellableEngine) Call(ctx context.Context, t engine.Target, c engine.Call) (engine.Answer, error) {
	a, err := e.fixedLatencyEngine.Call(ctx, t, c)
	if ctx.Err() != nil {
		return engine.Answer{}, &engine.Error{Kind: engine.Canceled, Server: t.Server, Sent: true, Err: ctx.Err()}
	}
	return a, err
}

func (cancellableEngine) Probe(context.Context, engine.Target) error { return nil }

func (cancellableEngine) Cancel(context.Context, engine.Target, string) error { return nil }
