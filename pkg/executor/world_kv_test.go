package executor_test

import (
	"context"
	"time"

	"github.com/daisyhatch/daisyhatch/pkg/engine"
)

func (w *world) keepKV(t engine.Target, attempt, caller string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.kv[t.Server+" "+attempt] = caller
}

// useKV takes the KV cache that was imported for a call.
func (w *world) useKV(t engine.Target, c engine.Call) {
	w.mu.Lock()
	defer w.mu.Unlock()
	key := t.Server + " " + c.AttemptID
	caller, ok := w.kv[key]
	if !ok {
		return
	}
	delete(w.kv, key)
	w.kvUsed++
	if caller != callerOf(c.Body) {
		w.kvCrossed++
	}
}

// moveKV applies the faults of a hand-over call.
func (w *world) moveKV(ctx context.Context, t engine.Target, which int) error {
	fail := func(k engine.Kind, sent bool) error {
		return &engine.Error{Kind: k, Server: t.Server, Sent: sent, Err: errWorld}
	}
	f, d := w.draw()
	if w.only != nil {
		f = good
	}
	select {
	case <-time.After(d / 4):
	case <-ctx.Done():
		return fail(engine.Canceled, true)
	}
	switch k := w.kvFaults[which]; {
	case k == engine.Crashed, f == crash:
		w.kill(t.Server)
		return fail(engine.Crashed, true)
	case k != 0:
		return fail(k, true)
	case w.isDown(t.Server):
		return fail(engine.Refused, false)
	case f == serverError, f == silent, f == gap:
		return fail(engine.Failed, true)
	case f == partialWrite:
		return fail(engine.Crashed, true)
	}
	return nil
}

// ExportKV implements engine.Client.
func (w *world) ExportKV(ctx context.Context, t engine.Target, attempt string) ([]byte, error) {
	if err := w.moveKV(ctx, t, 0); err != nil {
		return nil, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	caller, ok := w.kv[t.Server+" "+attempt]
	if !ok {
		return nil, &engine.Error{Kind: engine.Rejected, Server: t.Server, Sent: true, Err: errWorld}
	}
	return []byte(caller), nil
}

// ImportKV implements engine.Client.
func (w *world) ImportKV(ctx context.Context, t engine.Target, attempt string, data []byte) error {
	if err := w.moveKV(ctx, t, 1); err != nil {
		return err
	}
	w.keepKV(t, attempt, string(data))
	return nil
}
