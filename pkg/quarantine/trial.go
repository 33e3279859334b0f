package quarantine

import (
	"context"
	"errors"
	"fmt"
	"time"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	suspects "github.com/daisyhatch/daisyhatch/pkg/suspect"
)

// tryTimeout bounds the question whether a refused part may be tried.
const tryTimeout = 300 * time.Millisecond

// refusedPart is a part that is refused to a request.
type refusedPart struct {
	part uint64
	// wait is the time until a trial may be asked for.
	wait time.Duration
	// known is for how long this VM has known of the refusal.
	known time.Duration
	// local is true while the control VMs don't know of the crashes that the refusal is based on.
	local bool
}

// trialWait returns how long the request must wait before its trial may be asked for; 0 means now. Parts that are refused
// for the same crashes may be tried at once, each by a request without the others; one that has several waits until their
// first refusal is over.
func trialWait(refused []refusedPart) time.Duration {
	wait := time.Duration(0)
	for _, r := range refused {
		wait = max(wait, r.wait)
		if len(refused) > 1 {
			wait = max(wait, suspects.FirstRefusalMs*time.Millisecond-r.known)
		}
	}
	return wait
}

// Admit decides as Refused does, but if the request is refused only for parts of its prompt that may be tried again, it asks
// the control VMs for their trial. The request that gets it may be sent.
func (t *Tracker) Admit(ctx context.Context, fingerprint uint64, parts ...uint64) (time.Duration, bool) {
	t.mu.Lock()
	wait, refused, due := t.refused(fingerprint, parts)
	t.mu.Unlock()
	if len(due) == 0 {
		return max(wait, minRefusal), refused
	}
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	for _, r := range due {
		if wait, granted := t.try(ctx, r, fingerprint); !granted {
			return max(wait, minRefusal), true
		}
	}
	return 0, false
}

// try asks for the trial of a part for a request, and returns how long to wait when it is not granted.
func (t *Tracker) try(ctx context.Context, r refusedPart, fingerprint uint64) (time.Duration, bool) {
	res, err := t.askForTrial(ctx, r)
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Since(t.start)
	if err != nil || !res.GetGranted() {
		wait := max(time.Duration(res.GetWaitMs())*time.Millisecond, minRefusal)
		t.state.parts.waits[r.part] = now + wait
		t.opts.Log.V(1).Info("part may not be tried", "part", formatFingerprint(r.part), "wait_ms", wait.Milliseconds(), "reason", fmt.Sprint(err))
		return wait, false
	}
	partTrials.Inc()
	t.opts.Log.Info("part is tried", "part", formatFingerprint(r.part), "fingerprint", formatFingerprint(fingerprint))
	t.state.parts.trials[r.part] = partTrial{fingerprint, now + suspects.TrialMs*time.Millisecond}
	return 0, true
}

// askForTrial asks the control VMs for the trial of a part. A part that only this VM refuses is not tried while it can't
// report the crashes, since other VMs may be trying it.
func (t *Tracker) askForTrial(ctx context.Context, r refusedPart) (*daisyhatchv1.PartTrialResult, error) {
	switch {
	case !r.local:
		return t.opts.TryPart(ctx, r.part)
	case t.opts.Reporter != nil:
		return nil, errUnreported
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state.local.TryPart(&daisyhatchv1.PartTrialCommand{Part: r.part}, time.Since(t.start).Milliseconds()), nil
}

// errUnreported means that the control VMs have not taken this VM's reports of crashes yet.
var errUnreported = errors.New("quarantine: crashes not reported yet")

// endTrials ends the trials of a request whose server has ended.
func (m *trackerState) endTrials(f runningRequest) {
	for _, part := range f.parts {
		if m.parts.trials[part].fingerprint == f.fingerprint {
			delete(m.parts.trials, part)
		}
	}
}
