package executor

import "github.com/daisyhatch/daisyhatch/pkg/engine"

// handoverStep is a step of an attempt that runs on a prefill server and a decode server.
type handoverStep int

const (
	// stepPrefill runs the prompt on the prefill server.
	stepPrefill handoverStep = iota + 1
	// stepExport exports the prompt's KV cache from the prefill server.
	stepExport
	// stepImport imports the KV cache into the decode server.
	stepImport
	// stepGenerate generates on the decode server from the imported KV cache.
	stepGenerate
	// stepDecodeOnly runs both the prompt and the generation on the decode server, without a KV cache.
	stepDecodeOnly
	// stepEnd means that the attempt has ended.
	stepEnd
)

// handoverState is the state machine of one attempt whose prompt runs on a prefill server and whose tokens come from
// a decode server. It does no I/O.
type handoverState struct {
	step handoverStep
	// sent is true when any byte may have been sent to either server.
	sent bool
}

func newHandoverState() *handoverState { return &handoverState{step: stepPrefill} }

// advance moves on after the current step; failure is nil if it succeeded. If the KV cache could not be transferred,
// the attempt continues without it. The attempt ends if a server crashed, if the prefill server rejected the
// request, or if the attempt was given up.
func (h *handoverState) advance(failure *engine.Error, givenUp bool) {
	h.sent = h.sent || failure == nil || failure.Sent
	switch {
	case h.step >= stepGenerate:
		h.step = stepEnd
	case failure == nil:
		h.step = stepAfter(h.step)
	case givenUp, failure.Kind == engine.Crashed, failure.Kind == engine.Canceled:
		h.step = stepEnd
	case h.step == stepPrefill && failure.Kind == engine.Rejected:
		h.step = stepEnd
	default:
		h.step = stepDecodeOnly
	}
}

// stepAfter returns the step that follows a successful one.
func stepAfter(s handoverStep) handoverStep {
	switch s {
	case stepPrefill:
		return stepExport
	case stepExport:
		return stepImport
	default:
		return stepGenerate
	}
}

// skipPrefill continues on the decode server only.
func (h *handoverState) skipPrefill() { h.step = stepDecodeOnly }

// withSent returns failure with Sent set if anything was sent to either server.
func (h *handoverState) withSent(failure *engine.Error) *engine.Error {
	if failure == nil || failure.Sent || !h.sent {
		return failure
	}
	f := *failure
	f.Sent = true
	return &f
}
