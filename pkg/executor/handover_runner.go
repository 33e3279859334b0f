package executor

import (
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/daisyhatch/daisyhatch/pkg/dispatch"
	"github.com/daisyhatch/daisyhatch/pkg/engine"
)

var (
	// handoversDone counts successful handovers, handoversFellBack those that ran on the decode server only, and
	// handoversFailed those whose attempt failed.
	handoversDone     = metrics.NewCounter(`daisyhatch_executor_handovers_total{result="done"}`)
	handoversFellBack = metrics.NewCounter(`daisyhatch_executor_handovers_total{result="whole"}`)
	handoversFailed   = metrics.NewCounter(`daisyhatch_executor_handovers_total{result="failed"}`)
)

// minHandoverBytes is the length of the shortest request body whose KV cache is handed over.
const minHandoverBytes = engine.PrefixBlock

// prefillSuffix is appended to the attempt ID for the call on the prefill server.
const prefillSuffix = "p"

// slotPair holds an attempt's slots on a prefill server and a decode server.
type slotPair struct {
	prefill dispatch.Slot
	decode  dispatch.Slot
}

// acquirePartner acquires a slot on a server of the other role than the one picked. ok is false when the attempt
// must run on the picked server only: the stage must not be repeated, the request is a suspect, a hedge or a resume,
// the server has no role or cannot transfer KV caches, or no server of the other role and the same software version has
// spare capacity.
func (t *attemptRunner) acquirePartner(slot dispatch.Slot) (p slotPair, ok bool) {
	target := slot.Target()
	other := otherRole(target.Role)
	if other == "" || !supportsKVTransfer(target) || !t.handoverAllowed() {
		return slotPair{}, false
	}
	r := t.slotRequest()
	r.Role = other
	r.SpareOnly = true
	r.Avoid = append(slices.Clone(r.Avoid), target.Server)
	found, err := t.r.e.opts.Slots.Acquire(t.ctx, r)
	if err != nil {
		return slotPair{}, false
	}
	f := found.Target()
	if f.Role != other || !supportsKVTransfer(f) || f.Server == target.Server || f.Version != target.Version {
		found.Done(dispatch.Report{Abandoned: true})
		return slotPair{}, false
	}
	if other == engine.RoleDecode {
		return slotPair{prefill: slot, decode: found}, true
	}
	return slotPair{prefill: found, decode: slot}, true
}

// handoverAllowed reports whether the request and the attempt permit a handover; see acquirePartner.
func (t *attemptRunner) handoverAllowed() bool {
	s := t.spec
	fresh := !s.alone && !s.hedge && s.resumeFrom == 0
	return fresh && t.r.m.repeatable[s.stage] && len(t.body) >= minHandoverBytes && t.r.req.Plan.operation(s.stage) == engine.Chat
}

// otherRole returns the counterpart of a role; empty for a server without one.
func otherRole(role string) string {
	switch role {
	case engine.RolePrefill:
		return engine.RoleDecode
	case engine.RoleDecode:
		return engine.RolePrefill
	}
	return ""
}

// supportsKVTransfer reports whether a server can export and import KV caches.
func supportsKVTransfer(t engine.Target) bool {
	return slices.Contains(t.Capabilities, engine.CapabilityKV)
}

// handoverRunner runs one attempt on a prefill server and a decode server.
type handoverRunner struct {
	*attemptRunner
	*handoverState
	slotPair
	began time.Time
	kv    []byte
	// generateStart is when the call that returns the answer began.
	generateStart time.Time
}

// runHandover runs the prompt on the prefill server, generates on the decode server, and reports the outcome to the
// machine.
func (t *attemptRunner) runHandover(p slotPair) {
	h := &handoverRunner{attemptRunner: t, handoverState: newHandoverState(), slotPair: p, began: time.Now()}
	o, prefillTime := h.runPrefill()
	if h.step == stepEnd {
		handoversFailed.Inc()
		p.decode.Done(dispatch.Report{Abandoned: true})
		t.finish(o, prefillTime)
		return
	}
	o, decodeTime := h.runDecode()
	o.failure = h.withSent(o.failure)
	switch {
	case h.step == stepDecodeOnly:
		handoversFellBack.Inc()
		t.bookWaste(prefillTime)
		prefillTime = 0
	case o.failure != nil:
		handoversFailed.Inc()
	default:
		handoversDone.Inc()
	}
	if o.failure == nil {
		t.recordLatency(o, time.Since(h.began))
	}
	t.finish(o, prefillTime+decodeTime)
}

// runPrefill runs the prompt and exports its KV cache. It skips both if the slot has expired.
func (h *handoverRunner) runPrefill() (o outcome, took time.Duration) {
	target := h.prefill.Target()
	h.r.post(func(now time.Time) []action { return h.r.m.onSlotAcquired(now, h.id, target) })
	if !h.prefill.Valid() || h.ctx.Err() != nil {
		expiredSlots.Inc()
		h.prefill.Done(dispatch.Report{Abandoned: true})
		h.skipPrefill()
		return outcome{}, 0
	}
	call := h.engineCall()
	call.AttemptID += prefillSuffix
	call.Prefill = true
	o, took = h.runUnderSlot(h.prefill, serverCall{id: call.AttemptID, partial: true, run: func() outcome { return h.prefillAndExport(target, call) }})
	h.advance(o.failure, h.ctx.Err() != nil)
	return o, took
}

// prefillAndExport runs the prompt on the prefill server and exports its KV cache from there.
func (h *handoverRunner) prefillAndExport(target engine.Target, call engine.Call) outcome {
	answer, err := h.r.e.opts.Engine.Call(h.ctx, target, call)
	if err != nil {
		return outcome{failure: h.failure(target, err)}
	}
	if answer.AttemptID != call.AttemptID {
		droppedAnswers.Inc()
		return outcome{failure: &engine.Error{Kind: engine.WrongAttempt, Server: target.Server, Sent: true, Err: errBadAnswer}}
	}
	h.advance(nil, false)
	h.kv, err = h.r.e.opts.Engine.ExportKV(h.ctx, target, call.AttemptID)
	if err != nil {
		return outcome{failure: h.failure(target, err)}
	}
	return outcome{answer: answer}
}

// runDecode generates the answer, using the KV cache if it was exported.
func (h *handoverRunner) runDecode() (o outcome, took time.Duration) {
	target := h.decode.Target()
	h.r.post(func(now time.Time) []action { return h.r.m.onSlotAcquired(now, h.id, target) })
	if !h.decode.Valid() || h.ctx.Err() != nil {
		expiredSlots.Inc()
		h.decode.Done(dispatch.Report{Abandoned: true})
		return outcome{failure: &engine.Error{Kind: engine.Refused, Server: target.Server, Err: errSlotExpired}}, 0
	}
	o, took = h.runUnderSlot(h.decode, serverCall{id: h.attemptID(), partial: true, run: func() outcome { return h.generate(target) }})
	if o.answer.FirstByte > 0 {
		o.answer.FirstByte += h.generateStart.Sub(h.began)
	}
	return o, took
}

// generate imports the KV cache, if there is one, and generates the answer on the decode server.
func (h *handoverRunner) generate(target engine.Target) outcome {
	if h.step == stepImport {
		var failure *engine.Error
		if err := h.r.e.opts.Engine.ImportKV(h.ctx, target, h.attemptID(), h.kv); err != nil {
			failure = h.failure(target, err)
		}
		h.advance(failure, h.ctx.Err() != nil)
		h.kv = nil
		if h.step == stepEnd {
			return outcome{failure: failure}
		}
	}
	h.generateStart = time.Now()
	return h.call(target)
}
