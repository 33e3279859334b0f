package executor_test

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/daisyhatch/daisyhatch/pkg/config"
	"github.com/daisyhatch/daisyhatch/pkg/dispatch"
	"github.com/daisyhatch/daisyhatch/pkg/engine"
	"github.com/daisyhatch/daisyhatch/pkg/executor"
)

// crashEngine answers after 20 ms, or crashes after 5 ms while crash is set. It records when calls begin.
type crashEngine struct {
	engine.Client
	crash bool
	calls []time.Time
}

func (e *crashEngine) Call(_ context.Context, t engine.Target, c engine.Call) (engine.Answer, error) {
	e.calls = append(e.calls, time.Now())
	if e.crash {
		time.Sleep(5 * time.Millisecond)
		return engine.Answer{}, &engine.Error{Kind: engine.Crashed, Server: t.Server, Sent: true}
	}
	time.Sleep(20 * time.Millisecond)
	return engine.Answer{AttemptID: c.AttemptID, Status: http.StatusOK, Body: []byte(`{"documents":["a"]}`)}, nil
}

func (*crashEngine) Probe(_ context.Context, t engine.Target) error {
	return &engine.Error{Kind: engine.Refused, Server: t.Server}
}

// slowCrashReport is a quarantine whose crash reports take some time, as those to the control VMs do.
type slowCrashReport struct{ took time.Duration }

func (slowCrashReport) Check(uint64) dispatch.Verdict                  { return dispatch.Clear }
func (slowCrashReport) Confirm(context.Context) error                  { return nil }
func (slowCrashReport) Begin(engine.Target, uint64, bool) (end func()) { return func() {} }

func (s slowCrashReport) Crashed(context.Context, engine.Target, uint64) (dispatch.Verdict, error) {
	time.Sleep(s.took)
	return dispatch.Convicted, nil
}

// TestNoHedgeWhileCrashIsReported guards against a hedge that starts while a crash is being reported: it would crash
// a second server before the request is known as a suspect.
func TestNoHedgeWhileCrashIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stage := &config.Stage{Name: "find", Pool: "p", Operation: "retrieve", Repeatable: true, Hedge: true}
		plan := &executor.Plan{
			Name: "p", Deadline: 5 * time.Second, Steps: [][]int{{0}},
			Stages: []executor.PlanStage{{Spec: stage, Pool: &config.Pool{Name: "p"}}},
		}
		eng := &crashEngine{}
		exec := executor.New(executor.Options{Slots: &slowSlots{}, Engine: eng, Quarantine: slowCrashReport{took: time.Second}})
		run := func() error {
			r := executor.Request{ID: "r", Plan: plan, Body: []byte(`{"query":"x"}`), Deadline: time.Now().Add(5 * time.Second)}
			_, err := exec.Run(t.Context(), r, nil)
			return err
		}
		for range 200 {
			require.NoError(t, run())
		}
		eng.calls, eng.crash = nil, true
		require.Error(t, run())
		require.Len(t, eng.calls, 1)
	})
}
