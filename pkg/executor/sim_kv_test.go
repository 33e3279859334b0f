package executor_test

import (
	"context"
	"time"

	"github.com/daisyhatch/daisyhatch/pkg/engine"
)

// keepKV stores the KV cache of an attempt on a server, represented by the mark of its request.
func (w *simBackends) keepKV(t engine.Target, attempt, caller string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.kv[t.Server+" "+attempt] = caller
}

// useKV consumes the KV cache that was imported for a call, if any, and checks that it belongs to the same request.
func (w *simBackends) useKV(t engine.Target, c engine.Call) {
	w.mu.Lock()
	defer w.mu.Unlock()
	key := t.Server + " " + c.AttemptID
	caller, ok := w.kv[key]
	if !ok {
		return
	}
	delete(w.kv, key)
	w.kvUsed++
	if caller != requestMark(c.Body) {
		w.kvCrossed++
	}
}

// transferKV simulates a KV export (which 0) or import (which 1) with its delay and faults.
func (w *simBackends) transferKV(ctx context.Context, t engine.Target, which int) error {
	fail := func(k engine.Kind, sent bool) error {
		return &engine.Error{Kind: k, Server: t.Server, Sent: sent, Err: errInjected}
	}
	f, d := w.draw()
	if w.faultFilter != nil {
		f = noFault
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
	case f == serverError, f == silent, f == missingToken:
		return fail(engine.Failed, true)
	case f == partialWrite:
		return fail(engine.Crashed, true)
	}
	return nil
}

// ExportKV implements engine.Client.
func (w *simBackends) ExportKV(ctx context.Context, t engine.Target, attempt string) ([]byte, error) {
	if err := w.transferKV(ctx, t, 0); err != nil {
		return nil, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	caller, ok := w.kv[t.Server+" "+attempt]
	if !ok {
		return nil, &engine.Error{Kind: engine.Rejected, Server: t.Server, Sent: true, Err: errInjected}
	}
	return []byte(caller), nil
}

// ImportKV implements engine.Client.
func (w *simBackends) ImportKV(ctx context.Context, t engine.Target, attempt string, data []byte) error {
	if err := w.transferKV(ctx, t, 1); err != nil {
		return err
	}
	w.keepKV(t, attempt, string(data))
	return nil
}
