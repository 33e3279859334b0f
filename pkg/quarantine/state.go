package quarantine

import (
	"time"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/pkg/dispatch"
)

// maxSuspects bounds the suspects held; more are not added.
const maxSuspects = 65536

type suspect struct {
	verdict dispatch.Verdict
	expires time.Time
	// listed is true while the last list of the control VMs holds it; it stands then whatever this VM's clock says.
	listed bool
}

// state holds suspects, requests in flight and recent crashes. Times are passed in.
type state struct {
	inFlight
	suspects map[uint64]suspect
}

func newState() state {
	return state{inFlight: newInFlight(), suspects: make(map[uint64]suspect)}
}

func (s *state) verdict(now time.Time, fingerprint uint64) dispatch.Verdict {
	f, ok := s.suspects[fingerprint]
	if !ok {
		return dispatch.Clear
	}
	if f.over(now) {
		delete(s.suspects, fingerprint)
		return dispatch.Clear
	}
	return f.verdict
}

func (f suspect) over(now time.Time) bool {
	return !f.listed && !now.Before(f.expires)
}

// update takes a whole list of suspects. What is not in it stands until it expires, since the list of a
// control VM that lags may be older than what is known here.
func (s *state) update(now time.Time, list []*daisyhatchv1.Suspect) {
	for k, f := range s.suspects {
		f.listed = false
		s.suspects[k] = f
	}
	s.merge(list, true)
	for k, f := range s.suspects {
		if f.over(now) {
			delete(s.suspects, k)
		}
	}
}

// merge adds suspects; a verdict never gets milder by it.
func (s *state) merge(list []*daisyhatchv1.Suspect, listed bool) {
	for _, p := range list {
		f := suspect{verdict: verdictOf(p.GetState()), expires: time.UnixMilli(p.GetExpiresUnixMs()), listed: listed}
		had := s.suspects[p.GetFingerprint()]
		if f.verdict == dispatch.Clear {
			continue
		}
		f.verdict = max(f.verdict, had.verdict)
		f.listed = f.listed || had.listed
		if had.expires.After(f.expires) {
			f.expires = had.expires
		}
		if len(s.suspects) >= maxSuspects && had.verdict == dispatch.Clear {
			continue
		}
		if f.verdict == dispatch.Convicted && had.verdict != dispatch.Convicted {
			convictedKnown.Inc()
		}
		s.suspects[p.GetFingerprint()] = f
	}
}

func verdictOf(s daisyhatchv1.SuspectState) dispatch.Verdict {
	switch s {
	case daisyhatchv1.SuspectState_SUSPECT_STATE_SUSPECT:
		return dispatch.Suspect
	case daisyhatchv1.SuspectState_SUSPECT_STATE_CONVICTED:
		return dispatch.Convicted
	default:
		return dispatch.Clear
	}
}
