package executor

import (
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/daisyhatch/daisyhatch/pkg/dispatch"
	"github.com/daisyhatch/daisyhatch/pkg/engine"
)

var (
	handedOver    = metrics.NewCounter(`daisyhatch_executor_handovers_total{result="done"}`)
	handedWhole   = metrics.NewCounter(`daisyhatch_executor_handovers_total{result="whole"}`)
	handoverEnded = metrics.NewCounter(`daisyhatch_executor_handovers_total{result="failed"}`)
)

// minHandover is the length in bytes of the shortest body whose KV cache is handed over.
const minHandover = engine.PrefixBlock

// prefillSuffix ends the attempt ID of the prompt's run on the prefill server.
const prefillSuffix = "p"

// pair is the slots of an attempt on two servers.
type pair struct {
	prefill dispatch.Slot
	decode  dispatch.Slot
}

// partner finds a server of the other role for the one that was picked. ok is false when the attempt is to run whole on
// the picked one: the stage must not be repeated, the request is a suspect, a hedge or a resume, the server has no role
// or can't hand a KV cache over, or no server of the other role has room to spare.
func (t *try) partner(slot dispatch.Slot) (p pair, ok bool) {
	target := slot.Target()
	other := otherRole(target.Role)
	if other == "" || !handsOver(target) || !t.mayHandOver() {
		return pair{}, false
	}
	r := t.slotRequest()
	r.Role = other
	r.SpareOnly = true
	r.Avoid = append(slices.Clone(r.Avoid), target.Server)
	found, err := t.r.e.opts.Slots.Acquire(t.ctx, r)
	if err != nil {
		return pair{}, false
	}
	f := found.Target()
	if f.Role != other || !handsOver(f) || f.Server == target.Server {
		found.Done(dispatch.Report{Abandoned: true})
		return pair{}, false
	}
	if other == engine.RoleDecode {
		return pair{prefill: slot, decode: found}, true
	}
	return pair{prefill: found, decode: slot}, true
}

func (t *try) mayHandOver() bool {
	s := t.spec
	fresh := !s.alone && !s.hedge && s.resumeFrom == 0
	return fresh && t.r.m.repeat[s.stage] && len(t.body) >= minHandover && t.r.req.Plan.operation(s.stage) == engine.Chat
}

func otherRole(role string) string {
	switch role {
	case engine.RolePrefill:
		return engine.RoleDecode
	case engine.RoleDecode:
		return engine.RolePrefill
	}
	return ""
}

func handsOver(t engine.Target) bool { return slices.Contains(t.Capabilities, engine.CapabilityKV) }

// relay is an attempt on two servers in the making.
type relay struct {
	*try
	*handover
	pair
	began time.Time
	kv    []byte
	// generating is when the call began that brings the answer.
	generating time.Time
}

// handOver runs the prompt on one server and generates on another, and tells the machine how it ended.
func (t *try) handOver(p pair) {
	y := &relay{try: t, handover: newHandover(), pair: p, began: time.Now()}
	o, early := y.runPrefill()
	if y.step == stepEnd {
		handoverEnded.Inc()
		p.decode.Done(dispatch.Report{Abandoned: true})
		t.end(o, early)
		return
	}
	o, late := y.runDecode()
	o.failure = y.truth(o.failure)
	switch {
	case y.step == stepWhole:
		handedWhole.Inc()
		t.waste(early)
		early = 0
	case o.failure != nil:
		handoverEnded.Inc()
	default:
		handedOver.Inc()
	}
	if o.failure == nil {
		t.learn(o, time.Since(y.began))
	}
	t.end(o, early+late)
}

// runPrefill runs the prompt and reads its KV cache.
func (y *relay) runPrefill() (o outcome, took time.Duration) {
	target := y.prefill.Target()
	y.r.post(func(now time.Time) []action { return y.r.m.acquired(now, y.id, target.Server) })
	if !y.prefill.Valid() || y.ctx.Err() != nil {
		invalidSlots.Inc()
		y.prefill.Done(dispatch.Report{Abandoned: true})
		y.skipPrefill()
		return outcome{}, 0
	}
	call := y.engineCall()
	call.AttemptID += prefillSuffix
	call.Prefill = true
	o, took = y.underSlot(y.prefill, work{id: call.AttemptID, part: true, run: func() outcome { return y.prompt(target, call) }})
	y.next(o.failure, y.ctx.Err() != nil)
	return o, took
}

// prompt makes the calls on the prefill server.
func (y *relay) prompt(target engine.Target, call engine.Call) outcome {
	answer, err := y.r.e.opts.Engine.Call(y.ctx, target, call)
	if err != nil {
		return outcome{failure: y.failure(target, err)}
	}
	if answer.AttemptID != call.AttemptID {
		droppedAnswers.Inc()
		return outcome{failure: &engine.Error{Kind: engine.WrongAttempt, Server: target.Server, Sent: true, Err: errAnswer}}
	}
	y.next(nil, false)
	y.kv, err = y.r.e.opts.Engine.ExportKV(y.ctx, target, call.AttemptID)
	if err != nil {
		return outcome{failure: y.failure(target, err)}
	}
	return outcome{answer: answer}
}

// runDecode generates, with the KV cache if it could be handed over.
func (y *relay) runDecode() (o outcome, took time.Duration) {
	target := y.decode.Target()
	y.r.post(func(now time.Time) []action { return y.r.m.acquired(now, y.id, target.Server) })
	if !y.decode.Valid() || y.ctx.Err() != nil {
		invalidSlots.Inc()
		y.decode.Done(dispatch.Report{Abandoned: true})
		return outcome{failure: &engine.Error{Kind: engine.Refused, Server: target.Server, Err: errSlotExpired}}, 0
	}
	o, took = y.underSlot(y.decode, work{id: y.attemptID(), part: true, run: func() outcome { return y.generate(target) }})
	if o.answer.FirstByte > 0 {
		o.answer.FirstByte += y.generating.Sub(y.began)
	}
	return o, took
}

// generate makes the calls on the decode server.
func (y *relay) generate(target engine.Target) outcome {
	if y.step == stepImport {
		var failure *engine.Error
		if err := y.r.e.opts.Engine.ImportKV(y.ctx, target, y.attemptID(), y.kv); err != nil {
			failure = y.failure(target, err)
		}
		y.next(failure, y.ctx.Err() != nil)
		y.kv = nil
		if y.step == stepEnd {
			return outcome{failure: failure}
		}
	}
	y.generating = time.Now()
	return y.call(target)
}
