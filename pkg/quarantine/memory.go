package quarantine

import (
	"maps"
	"slices"
	"time"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/pkg/engine"
	suspects "github.com/daisyhatch/daisyhatch/pkg/suspect"
)

const (
	// maxServed bounds the fingerprints kept of requests that were served lately: minutes of one VM's requests.
	maxServed = 4096
	// SettleTime is how long after the end of a server another one that ends may still have ended by the same cause: servers
	// of one failure domain are found out one by one, each by the repeat of what the one before lost.
	SettleTime = 100 * time.Millisecond
	// maxCounted bounds the times kept of crashes; those older than SettleTime are dropped then.
	maxCounted = 1024
	// servedFor is how long after it was served a request is no crasher, whatever the list says: other VMs may not have heard
	// of it. It is short, since another version of the servers may end under what the former one served.
	servedFor = 5 * time.Second
	// maxRefusalMs is the longest that a request is refused without news from the log, in milliseconds.
	maxRefusalMs = suspects.ConvictionMs
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
	// lists are the versions of the lists of the last SettleTime, and the one before, oldest first.
	lists []listed
	// counted is when this VM learned of the last crash that counts against a fingerprint.
	counted map[uint64]time.Duration
	// served is when fingerprints were served last that have not been in flight on a crashed server since; order is that in
	// which they came.
	served map[uint64]time.Duration
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

// listed is the version of a list, and when it came.
type listed struct {
	version uint64
	at      time.Duration
}

func newMemory() memory {
	return memory{
		inFlight: newInFlight(), own: suspects.New(), shared: make(map[uint64]sharedSuspect), served: make(map[uint64]time.Duration),
		counted: make(map[uint64]time.Duration),
	}
}

// crashCount returns how many crashes count against a fingerprint.
func (m *memory) crashCount(fingerprint uint64) int {
	return int(max(m.own.Get(fingerprint).GetCrashes(), m.shared[fingerprint].GetCrashes()))
}

// count notes that a crash was counted.
func (m *memory) count(fingerprint uint64, now time.Duration) {
	if len(m.counted) >= maxCounted {
		maps.DeleteFunc(m.counted, func(_ uint64, at time.Duration) bool { return now-at >= SettleTime })
	}
	m.counted[fingerprint] = now
}

// known returns what was known SettleTime ago of the crashes of a fingerprint: how many, by which list, and how many of those
// that are not in the log yet.
func (m *memory) known(fingerprint uint64, now time.Duration) (run *daisyhatchv1.CrashRun, own uint32) {
	own = m.own.Get(fingerprint).GetCrashes()
	run = &daisyhatchv1.CrashRun{KnownCrashes: uint32(m.crashCount(fingerprint))}
	if at, ok := m.counted[fingerprint]; ok && now-at < SettleTime {
		run.KnownCrashes, own = max(run.KnownCrashes, 1)-1, max(own, 1)-1
	}
	m.forgetLists(now)
	if len(m.lists) > 0 && now-m.lists[0].at >= SettleTime {
		run.KnownVersion = m.lists[0].version
	}
	return run, own
}

// forgetLists drops what is older than the newest list of SettleTime ago.
func (m *memory) forgetLists(now time.Duration) {
	for len(m.lists) > 1 && now-m.lists[1].at >= SettleTime {
		m.lists = m.lists[1:]
	}
}

// convicted returns how much longer a fingerprint is refused; false when it is not. wallMs is the time by the wall clock,
// by which the log's expiries are.
func (m *memory) convicted(fingerprint uint64, now time.Duration, wallMs int64) (time.Duration, bool) {
	if s := m.own.Get(fingerprint); s.GetState() == daisyhatchv1.SuspectState_SUSPECT_STATE_CONVICTED {
		if left := time.Duration(s.GetExpiresUnixMs())*time.Millisecond - now; left > 0 {
			return left, true
		}
	}
	s := m.shared[fingerprint]
	if s.GetState() != daisyhatchv1.SuspectState_SUSPECT_STATE_CONVICTED || (now-s.since).Milliseconds() >= maxRefusalMs {
		return 0, false
	}
	left := min(max(s.GetExpiresUnixMs()-wallMs, 0), maxRefusalMs)
	return time.Duration(left) * time.Millisecond, true
}

// start notes that a request begins to run on a server.
func (m *memory) start(t engine.Target, fingerprint uint64, now time.Duration) flight {
	f := flight{fingerprint: fingerprint}
	f.run, f.own = m.known(fingerprint, now)
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
	own := &daisyhatchv1.CrashCommand{Server: c.key.server, ServerIncarnation: c.key.incarnation}
	for i, f := range c.command.GetFingerprints() {
		if _, ok := m.served[f]; ok {
			m.forgetServed(f)
			continue
		}
		report.Fingerprints = append(report.Fingerprints, f)
		report.Runs = append(report.Runs, c.command.GetRuns()[i])
		own.Runs = append(own.Runs, &daisyhatchv1.CrashRun{KnownCrashes: c.own[i]})
	}
	if len(report.Fingerprints) == 0 {
		return nil, nil
	}
	before := make([]int, len(report.Fingerprints))
	for i, f := range report.Fingerprints {
		before[i] = m.crashCount(f)
	}
	own.Fingerprints = report.Fingerprints
	if _, err := m.own.Crash(own, now.Milliseconds()); err != nil {
		return nil, err
	}
	for i, f := range report.Fingerprints {
		if m.crashCount(f) > before[i] {
			m.count(f, now)
		}
	}
	return report, nil
}

// committed takes over what the log made of a report.
func (m *memory) committed(c *daisyhatchv1.CrashCommand, r *daisyhatchv1.CrashResult, now time.Duration) {
	before := make(map[uint64]int)
	for _, f := range c.GetFingerprints() {
		before[f] = m.crashCount(f)
	}
	m.own.Clear(c.GetFingerprints())
	for _, s := range r.GetSuspects() {
		if r.GetVersion() > m.version {
			m.share(s, r.GetVersion(), before[s.GetFingerprint()], now)
		}
	}
}

// share takes a suspect of the log over of which fewer crashes were known before.
func (m *memory) share(s *daisyhatchv1.Suspect, version uint64, before int, now time.Duration) {
	m.shared[s.GetFingerprint()] = sharedSuspect{s, version, now}
	if int(s.GetCrashes()) > before {
		m.count(s.GetFingerprint(), now)
	}
}

// news is what a list of suspects changed.
type news struct {
	// convicted and cleared are those refused from now on, and no more; served are those that the other VMs must be told of,
	// since this one served them a moment ago.
	convicted, cleared, served []uint64
}

// learn takes a whole list of suspects over. Older lists than the one known change nothing.
func (m *memory) learn(version uint64, list []*daisyhatchv1.Suspect, now time.Duration) (n news) {
	if version <= m.version {
		return news{}
	}
	m.version = version
	m.forgetLists(now)
	m.lists = append(m.lists, listed{version, now})
	before, counts := make(map[uint64]daisyhatchv1.SuspectState), make(map[uint64]int)
	for f, s := range m.shared {
		if s.version <= version {
			before[f], counts[f] = s.GetState(), m.crashCount(f)
			delete(m.shared, f)
		}
	}
	for _, s := range list {
		f := s.GetFingerprint()
		if m.shared[f].version > version {
			continue
		}
		if at, ok := m.served[f]; ok && now-at < servedFor {
			n.served = append(n.served, f)
			continue
		}
		m.share(s, version, counts[f], now)
		if s.GetState() == daisyhatchv1.SuspectState_SUSPECT_STATE_CONVICTED && before[f] != s.GetState() {
			n.convicted = append(n.convicted, f)
		}
	}
	for f, state := range before {
		if m.shared[f].Suspect == nil && state == daisyhatchv1.SuspectState_SUSPECT_STATE_CONVICTED {
			n.cleared = append(n.cleared, f)
		}
	}
	return n
}

// serve notes that a request was served, and reports whether the other VMs must be told, since they suspect it.
func (m *memory) serve(fingerprint uint64, now time.Duration) bool {
	s := m.shared[fingerprint]
	delete(m.shared, fingerprint)
	delete(m.counted, fingerprint)
	if m.own.Get(fingerprint) != nil {
		m.own.Clear([]uint64{fingerprint})
	}
	_, again := m.served[fingerprint]
	m.served[fingerprint] = now
	if !again {
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
