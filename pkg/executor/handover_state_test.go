package executor

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/daisyhatch/daisyhatch/pkg/engine"
)

// TestHandoverSteps checks the transition for each combination of step, failure and cancellation.
func TestHandoverSteps(t *testing.T) {
	for kind := engine.Kind(0); kind <= engine.Canceled; kind++ {
		for step := stepPrefill; step <= stepDecodeOnly; step++ {
			for _, givenUp := range []bool{false, true} {
				h := &handoverState{step: step}
				var failure *engine.Error
				if kind != 0 {
					failure = &engine.Error{Kind: kind, Sent: kind != engine.Refused}
				}
				h.advance(failure, givenUp)
				require.Equal(t, kind != engine.Refused, h.sent)
				want := stepDecodeOnly
				switch {
				case step >= stepGenerate:
					want = stepEnd
				case kind == 0:
					want = step + 1
				case givenUp, kind == engine.Crashed, kind == engine.Canceled, kind == engine.Rejected && step == stepPrefill:
					want = stepEnd
				}
				require.Equal(t, want, h.step, "step %d, %s, given up %t", step, kind, givenUp)
			}
		}
	}
}

// TestHandoverFailureReportsSent checks that a failure on one server is marked as sent once the other server was
// sent the prompt.
func TestHandoverFailureReportsSent(t *testing.T) {
	h := newHandoverState()
	refused := &engine.Error{Kind: engine.Refused}
	require.False(t, h.withSent(refused).Sent, "nothing was sent yet")
	h.advance(nil, false)
	require.True(t, h.withSent(refused).Sent, "the prompt may have run on the other server")
	require.False(t, refused.Sent)
	require.Nil(t, h.withSent(nil))
}
