package quarantine

import (
	"slices"
	"time"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/pkg/engine"
	suspects "github.com/daisyhatch/daisyhatch/pkg/suspect"
)

const (
	// maxServed bounds the fingerprints kept of requests that were served lately: minutes of one VM's requests.
	maxServed = 4096
	// maxCrashedMs is the longest that a conviction is told to callers, in milliseconds.
	maxCrashedMs = suspects.ConvictionMs
)

// memory is what a VM knows of the requests under which servers ended. It is pure: the time comes in, counted from a fixed
// moment, so that no step of the wall clock ends a suspicion.
type memory struct {
	inFlight
	// own holds the crashes that this VM saw and that are not in the replicated log yet.
	own *suspects.Table
	// shared are the suspects of the replicated log, version that of the list that told of them.
	shared  map[uint64]sharedSuspect
	version uint64
	// served are fingerprints that were served and have not been in flight on a crashed server since, oldest first in order.
	served map[uint64]bool
	order  []uint64
}

// sharedSuspect is a suspect of the replicated log.
type sharedSuspect struct {
	*daisyhatchv1.Suspect
	// version is that of the list or of the answer to a report that told of it.
	version uint64
	// since is when this VM heard of it.
	since time.Duration
}

func newMemory() memory {
	return memory{inFlight: newInFlight(), own: suspects.New(), shared: make(map[uint64]sharedSuspect), served: make(map[uint64]bool)}
}

// crashCount returns how many crashes count against a fingerprint.
func (m *memory) crashCount(fingerprint uint64) int {
	return int(max(m.own.Get(fingerprint).GetCrashes(), m.shared[fingerprint].GetCrashes()))
}

// convicted returns how much longer a fingerprint is refused; false when it is not. wallMs is the time by the wall clock,
// by which the log's expiries are.
func (m *memory) convicted(fingerprint uint64, now time.Duration, wallMs int64) (time.Duration, bool) {
	m.own.Expire(now.Milliseconds())
	if s := m.own.Get(fingerprint); s.GetState() == daisyhatchv1.SuspectState_SUSPECT_STATE_CONVICTED {
		return time.Duration(s.GetExpiresUnixMs())*time.Millisecond - now, true
	}
	s := m.shared[fingerprint]
	if s.GetState() != daisyhatchv1.SuspectState_SUSPECT_STATE_CONVICTED || (now-s.since).Milliseconds() >= maxCrashedMs {
		return 0, false
	}
	left := min(max(s.GetExpiresUnixMs()-wallMs, 0), maxCrashedMs)
	return time.Duration(left) * time.Millisecond, true
}

// start notes that a request begins to run on a server.
func (m *memory) start(t engine.Target, fingerprint uint64) flight {
	f := flight{fingerprint: fingerprint, run: &daisyhatchv1.CrashRun{
		KnownVersion: m.version, KnownCrashes: uint32(m.crashCount(fingerprint)),
	}}
	f.id = m.begin(keyOf(t), f)
	return f
}

// ended takes the end of a server in, found out by a request that was in flight there. It returns what to report; nil when
// that is done already, or when all requests in flight there were served lately: that is evidence for them once. Errors
// are those of suspect.Table.
func (m *memory) ended(t engine.Target, f flight, now time.Duration) (*daisyhatchv1.CrashCommand, error) {
	c, first := m.crashed(keyOf(t), f)
	if !first {
		return nil, nil
	}
	report := &daisyhatchv1.CrashCommand{Server: c.key.server, ServerIncarnation: c.key.incarnation}
	for i, f := range c.command.GetFingerprints() {
		if m.served[f] {
			m.forgetServed(f)
			continue
		}
		report.Fingerprints = append(report.Fingerprints, f)
		report.Runs = append(report.Runs, c.command.GetRuns()[i])
	}
	if len(report.Fingerprints) == 0 {
		return nil, nil
	}
	if _, err := m.own.Crash(report, now.Milliseconds()); err != nil {
		return nil, err
	}
	return report, nil
}

// committed takes over what the log made of a report.
func (m *memory) committed(c *daisyhatchv1.CrashCommand, r *daisyhatchv1.CrashResult, now time.Duration) {
	m.own.Clear(c.GetFingerprints())
	for _, s := range r.GetSuspects() {
		if r.GetVersion() > m.version {
			m.shared[s.GetFingerprint()] = sharedSuspect{s, r.GetVersion(), now}
		}
	}
}

// learn takes a whole list of suspects over and returns those that are new to this VM as convicted, and those that are
// clear again. Older lists than the one known change nothing.
func (m *memory) learn(version uint64, list []*daisyhatchv1.Suspect, now time.Duration) (convicted, cleared []uint64) {
	if version <= m.version {
		return nil, nil
	}
	m.version = version
	before := make(map[uint64]daisyhatchv1.SuspectState)
	for f, s := range m.shared {
		if s.version <= version {
			before[f] = s.GetState()
			delete(m.shared, f)
		}
	}
	for _, s := range list {
		f := s.GetFingerprint()
		if m.shared[f].version > version {
			continue
		}
		m.shared[f] = sharedSuspect{s, version, now}
		if s.GetState() == daisyhatchv1.SuspectState_SUSPECT_STATE_CONVICTED && before[f] != s.GetState() {
			convicted = append(convicted, f)
		}
	}
	for f, state := range before {
		if m.shared[f].Suspect == nil && state == daisyhatchv1.SuspectState_SUSPECT_STATE_CONVICTED {
			cleared = append(cleared, f)
		}
	}
	return convicted, cleared
}

// serve notes that a request was served, and reports whether the other VMs must be told, since they suspect it.
func (m *memory) serve(fingerprint uint64) bool {
	s := m.shared[fingerprint]
	delete(m.shared, fingerprint)
	if m.own.Get(fingerprint) != nil {
		m.own.Clear([]uint64{fingerprint})
	}
	if !m.served[fingerprint] {
		m.served[fingerprint] = true
		m.order = append(m.order, fingerprint)
		if len(m.order) > maxServed {
			delete(m.served, m.order[0])
			m.order = slices.Delete(m.order, 0, 1)
		}
	}
	return s.GetCrashes() >= suspects.SharedCrashes
}

func (m *memory) forgetServed(fingerprint uint64) {
	delete(m.served, fingerprint)
	if i := slices.Index(m.order, fingerprint); i >= 0 {
		m.order = slices.Delete(m.order, i, i+1)
	}
}
