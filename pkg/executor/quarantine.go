package executor

import (
	"errors"

	"github.com/daisyhatch/daisyhatch/pkg/dispatch"
	"github.com/daisyhatch/daisyhatch/pkg/engine"
)

// errBecameSuspect fails an attempt whose request became a suspect before anything was sent.
var errBecameSuspect = errors.New("executor: request became a suspect before it was sent")

// checkQuarantine reports whether the quarantine, after confirming that its view is current, lets the attempt start.
// If ok is false, o is the attempt's outcome and nothing was sent.
func (t *attemptRunner) checkQuarantine() (o outcome, ok bool) {
	q := t.r.e.opts.Quarantine
	if q == nil {
		return outcome{}, true
	}
	if err := q.Confirm(t.ctx); err != nil {
		return outcome{slotErr: slotError(err)}, false
	}
	verdict := q.Check(t.r.fingerprint)
	if verdict == dispatch.Clear || (verdict == dispatch.Suspect && t.spec.alone) {
		return outcome{}, true
	}
	return outcome{verdict: verdict, failure: &engine.Error{Kind: engine.Refused, Err: errBecameSuspect}}, false
}
