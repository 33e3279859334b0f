package quarantine

import (
	"time"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/pkg/dispatch"
)

// maxSuspects bounds the suspects held; new ones beyond it are ignored.
const maxSuspects = 65536

// suspect is the verdict on one fingerprint and when it expires.
type suspect struct {
	verdict dispatch.Verdict
	expires time.Time
	// inLastList is true while the latest list of the control VMs holds the suspect; it doesn't expire by this VM's
	// clock then.
	inLastList bool
}

// state holds suspects, requests in flight and recent crashes. Callers pass the current time.
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
	if f.expired(now) {
		delete(s.suspects, fingerprint)
		return dispatch.Clear
	}
	return f.verdict
}

func (f suspect) expired(now time.Time) bool {
	return !f.inLastList && !now.Before(f.expires)
}

// update applies a complete list of suspects. Suspects that are missing from it are kept until they expire, since the
// control VM that sent it may lag behind what this VM knows.
func (s *state) update(now time.Time, list []*daisyhatchv1.Suspect) {
	for k, f := range s.suspects {
		f.inLastList = false
		s.suspects[k] = f
	}
	s.merge(list, true)
	for k, f := range s.suspects {
		if f.expired(now) {
			delete(s.suspects, k)
		}
	}
}

// merge adds suspects. It never makes a verdict milder or its expiry earlier.
func (s *state) merge(list []*daisyhatchv1.Suspect, listed bool) {
	for _, p := range list {
		f := suspect{verdict: verdictOf(p.GetState()), expires: time.UnixMilli(p.GetExpiresUnixMs()), inLastList: listed}
		previous := s.suspects[p.GetFingerprint()]
		if f.verdict == dispatch.Clear {
			continue
		}
		f.verdict = max(f.verdict, previous.verdict)
		f.inLastList = f.inLastList || previous.inLastList
		if previous.expires.After(f.expires) {
			f.expires = previous.expires
		}
		if len(s.suspects) >= maxSuspects && previous.verdict == dispatch.Clear {
			continue
		}
		if f.verdict == dispatch.Convicted && previous.verdict != dispatch.Convicted {
			convictionsLearned.Inc()
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
