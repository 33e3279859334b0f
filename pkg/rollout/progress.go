package rollout

import (
	"time"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
)

const (
	// switchFrom and switchUntil are the shares of an order's time between which the trial of a version ends: before, it may
	// turn bad yet; later, the requests at the other versions would not end in time.
	switchFrom  = 0.6
	switchUntil = 0.8
	// endMargin is the share of an order's time before its deadline at which the requests at other versions are not waited for
	// any longer, and minEndMargin the least such time.
	endMargin    = 0.06
	minEndMargin = 500 * time.Millisecond
	// aloneTime is how long after the order a version that serves alone stays on trial, since servers may not be known yet.
	aloneTime = 500 * time.Millisecond
	// settleTime is how long a version gets all new requests at least before its roll-out is completed.
	settleTime = 800 * time.Millisecond
)

// Progress is what decides the next phase of a roll-out.
type Progress struct {
	Phase daisyhatchv1.RolloutPhase
	// Elapsed is the time since the order, InPhase since it entered the phase, Duration the time that the order gives.
	Elapsed, InPhase, Duration time.Duration
	Verdict                    Verdict
	// Idle is true when all VMs send new requests to the version and none runs at others.
	Idle bool
	// Alone is true when servers of the version, and none of another version, have been known since the order.
	Alone bool
}

// Next returns the phase that a roll-out is to enter and why; the phase that it is in if it is to stay there.
func Next(p Progress) (phase daisyhatchv1.RolloutPhase, reason string) {
	margin := max(minEndMargin, time.Duration(endMargin*float64(p.Duration)))
	part := func(share float64) time.Duration { return time.Duration(share * float64(p.Duration)) }
	switch {
	case Ended(p.Phase):
		return p.Phase, ""
	case p.Verdict.Bad:
		return RolledBack, "the version is worse: " + p.Verdict.Reason
	case p.Phase == Switching && p.Verdict.Fails:
		return RolledBack, "the version fails with all requests: " + p.Verdict.Reason
	case p.Phase == Trial && p.Alone && p.Elapsed >= aloneTime:
		return Switching, "no server of another version takes requests"
	case p.Phase == Trial && p.Elapsed >= part(switchUntil):
		return RolledBack, "not cleared in time: " + p.Verdict.Reason
	case p.Phase == Trial && p.Elapsed >= part(switchFrom) && p.Verdict.Clear:
		return Switching, "the version is as good: " + p.Verdict.Reason
	case p.Phase == Switching && p.Idle && p.InPhase >= settleTime:
		return Completed, "no request runs at other versions: " + p.Verdict.Reason
	case p.Phase == Switching && p.Elapsed >= p.Duration-margin:
		return Completed, "the deadline is near: " + p.Verdict.Reason
	}
	return p.Phase, ""
}
