package executor_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/daisyhatch/daisyhatch/internal/standin"
	"github.com/daisyhatch/daisyhatch/pkg/dispatch"
	"github.com/daisyhatch/daisyhatch/pkg/engine"
	"github.com/daisyhatch/daisyhatch/pkg/engine/openai"
	"github.com/daisyhatch/daisyhatch/pkg/executor"
)

// instantBackend grants slots and answers calls without delay.
type instantBackend struct{ simBackends }

func (*instantBackend) Call(_ context.Context, _ engine.Target, c engine.Call) (engine.Answer, error) {
	return engine.Answer{AttemptID: c.AttemptID, Status: 200, Body: simAnswer(c.Operation, "q")}, nil
}

func (*instantBackend) Acquire(context.Context, dispatch.SlotRequest) (dispatch.Slot, error) {
	return fakeSlot{engine.Target{Server: "s"}}, nil
}

// BenchmarkExecutor measures the executor's own overhead for one request.
func BenchmarkExecutor(b *testing.B) {
	for _, name := range []string{"chat", "chain", "wide"} {
		b.Run(name, func(b *testing.B) {
			w := &instantBackend{}
			e := executor.New(executor.Options{Slots: w, Engine: w, Log: discard()})
			req := executor.Request{ID: "r", Plan: must(executor.PlanPipeline(testSet(), name)), Body: []byte(chatRequest)}
			b.ReportAllocs()
			for b.Loop() {
				req.Deadline = time.Now().Add(time.Minute)
				_, err := e.Run(b.Context(), req, nil)
				require.NoError(b, err)
			}
		})
	}
}

// BenchmarkLoopback compares a call through the executor with a direct call to the same stand-in server.
func BenchmarkLoopback(b *testing.B) {
	s := standin.New(standin.Options{Name: "s"})
	require.NoError(b, s.Start())
	defer s.Crash()
	c := openai.New(openai.Options{})
	defer c.Close()
	b.Run("direct", func(b *testing.B) {
		call := engine.Call{AttemptID: "a", Operation: engine.Chat, Body: []byte(chatRequest)}
		target := s.Target()
		b.ReportAllocs()
		for b.Loop() {
			_, err := c.Call(b.Context(), target, call)
			require.NoError(b, err)
		}
	})
	b.Run("executor", func(b *testing.B) {
		slots := &fakeSlots{targets: []engine.Target{s.Target()}}
		e := executor.New(executor.Options{Slots: slots, Engine: c, Log: discard()})
		req := executor.Request{ID: "r", Plan: must(executor.PlanPipeline(testSet(), "chat")), Body: []byte(chatRequest)}
		b.ReportAllocs()
		for b.Loop() {
			req.Deadline = time.Now().Add(time.Minute)
			_, err := e.Run(b.Context(), req, nil)
			require.NoError(b, err)
		}
	})
}
