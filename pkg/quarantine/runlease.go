package quarantine

import (
	"context"
	"fmt"
	"maps"
	"time"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	suspects "github.com/daisyhatch/daisyhatch/pkg/suspect"
)

// leaseDelay is how long after a VM learned that one copy of a request at a time may run it still sends copies without a
// lease. A VM that served the request lately clears it meanwhile, so that requests in common use need no lease.
const leaseDelay = time.Second

// RunLease is the right to send a request of which one copy at a time may run.
type RunLease struct {
	until time.Duration
}

// LeaseRun returns a lease on a request, which MayRun then accepts; nil when the request needs none. If another copy of the
// request has the lease, or the control VMs are in contact but don't answer in time, it returns false and how long to wait.
// While they are out of contact, one copy at a time runs on this VM.
func (t *Tracker) LeaseRun(ctx context.Context, fingerprint uint64) (l *RunLease, wait time.Duration, ok bool) {
	begin := time.Since(t.start)
	if t.MayRun(fingerprint, nil) {
		return nil, 0, true
	}
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	var res *daisyhatchv1.RunLeaseResult
	err := errUnreported
	if t.opts.LeaseRun != nil {
		res, err = t.opts.LeaseRun(ctx, fingerprint)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	held := t.state.leases[fingerprint]
	reason := ""
	switch {
	case err == nil && !res.GetGranted():
		wait, reason = time.Duration(res.GetWaitMs())*time.Millisecond, "another copy runs"
	case err != nil && t.opts.InContact != nil && t.opts.InContact():
		reason = err.Error()
	case err != nil && held != nil && begin < held.until:
		wait, reason = held.until-begin, "another copy runs on this VM"
	}
	if reason != "" {
		wait = max(wait, minRefusal)
		t.opts.Log.Info("run not leased", "fingerprint", formatFingerprint(fingerprint), "wait_ms", wait.Milliseconds(), "reason", reason)
		return nil, wait, false
	}
	runLeases.Inc()
	t.opts.Log.Info("run leased", "fingerprint", formatFingerprint(fingerprint), "by_control_group", err == nil, "error", fmt.Sprint(err))
	l = &RunLease{begin + suspects.RunLeaseMs*time.Millisecond}
	maps.DeleteFunc(t.state.leases, func(_ uint64, l *RunLease) bool { return begin >= l.until })
	t.state.leases[fingerprint] = l
	return l, 0, true
}

// MayRun reports whether a request may be sent with a lease, or with none, as far as other copies of it are concerned. A lease
// ends after suspect.RunLeaseMs, and when a server has ended under the request.
func (t *Tracker) MayRun(fingerprint uint64, l *RunLease) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Since(t.start)
	s := t.state.shared[fingerprint]
	if !suspects.IsLeased(s.Suspect) || now-s.leasedSince < leaseDelay {
		return true
	}
	return l != nil && t.state.leases[fingerprint] == l && now < l.until
}
