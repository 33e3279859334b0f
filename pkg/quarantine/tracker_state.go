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
	// maxServed bounds the fingerprints kept of recently served requests; it covers minutes of one VM's requests.
	maxServed = 4096
	// CommonCauseWindow is how long after the end of one server the end of another may still have the same cause: the
	// lost servers of a failure domain are detected one after the other, each by the retry of a request that the one
	// before lost.
	CommonCauseWindow = 100 * time.Millisecond
	// maxCountTimes is the size of trackerState.lastCounted above which entries older than CommonCauseWindow are
	// dropped.
	maxCountTimes = 1024
	// servedGracePeriod is how long after it was served a request is not suspected, whatever the list says: other VMs
	// may not know yet that it was served. It is short, since another version of the servers may crash on a request
	// that the former version served.
	servedGracePeriod = 5 * time.Second
	// maxRefusalMs is the longest time, in milliseconds, that a request is refused without a newer list from the control
	// VMs.
	maxRefusalMs = suspects.ConvictionMs
)

// trackerState is what a VM knows of the requests under which servers ended. It does no I/O and reads no clock: callers
// pass the time since a fixed moment, so that a step of the wall clock ends no suspicion.
type trackerState struct {
	inFlight
	// local holds the crashes that this VM saw and that are not in the replicated log yet.
	local *suspects.Table
	// shared holds the suspects of the replicated log; version is that of the latest list received.
	shared  map[uint64]sharedSuspect
	version uint64
	// recentLists are the versions of the lists received within CommonCauseWindow, and the one before these, oldest
	// first.
	recentLists []listVersion
	// lastCounted is when this VM learned of the last crash that counts against a fingerprint.
	lastCounted map[uint64]time.Duration
	// lastServed is when a fingerprint was last served, for those that were in flight on no crashed server since.
	// servedOrder holds its keys, oldest first.
	lastServed  map[uint64]time.Duration
	servedOrder []uint64
	survivals   survivals
	parts       partsState
	// leases holds this VM's right to send a request of which one copy at a time may run, by fingerprint.
	leases map[uint64]*RunLease
}

// sharedSuspect is a suspect of the replicated log.
type sharedSuspect struct {
	*daisyhatchv1.Suspect
	// version is that of the list, or of the answer to a crash report, in which it was received.
	version uint64
	// learnedAt is when this VM received it.
	learnedAt time.Duration
	// leasedSince is when this VM learned that one copy at a time may run.
	leasedSince time.Duration
}

// listVersion is the version of a list of suspects and when it was received.
type listVersion struct {
	version    uint64
	receivedAt time.Duration
}

func newTrackerState() trackerState {
	return trackerState{
		inFlight: newInFlight(), local: suspects.New(), shared: make(map[uint64]sharedSuspect), lastServed: make(map[uint64]time.Duration),
		lastCounted: make(map[uint64]time.Duration), survivals: newSurvivals(), parts: newPartsState(), leases: make(map[uint64]*RunLease),
	}
}

// crashCount returns how many crashes count against a fingerprint.
func (m *trackerState) crashCount(fingerprint uint64) int {
	return int(max(m.local.Get(fingerprint).GetCrashes(), m.shared[fingerprint].GetCrashes()))
}

// noteCounted records when a crash was counted against a fingerprint.
func (m *trackerState) noteCounted(fingerprint uint64, now time.Duration) {
	if len(m.lastCounted) >= maxCountTimes {
		maps.DeleteFunc(m.lastCounted, func(_ uint64, at time.Duration) bool { return now-at >= CommonCauseWindow })
	}
	m.lastCounted[fingerprint] = now
}

// crashesKnown returns what this VM knew CommonCauseWindow ago of the crashes of a fingerprint: their count and the
// version of the list, and as localCrashes the count of those that are not in the replicated log yet.
func (m *trackerState) crashesKnown(fingerprint uint64, now time.Duration) (known *daisyhatchv1.CrashRun, localCrashes uint32) {
	localCrashes = m.local.Get(fingerprint).GetCrashes()
	known = &daisyhatchv1.CrashRun{KnownCrashes: uint32(m.crashCount(fingerprint))}
	if at, ok := m.lastCounted[fingerprint]; ok && now-at < CommonCauseWindow {
		known.KnownCrashes, localCrashes = max(known.KnownCrashes, 1)-1, max(localCrashes, 1)-1
	}
	m.dropOldLists(now)
	if len(m.recentLists) > 0 && now-m.recentLists[0].receivedAt >= CommonCauseWindow {
		known.KnownVersion = m.recentLists[0].version
	}
	return known, localCrashes
}

// dropOldLists drops the lists that are older than the newest one received at least CommonCauseWindow ago.
func (m *trackerState) dropOldLists(now time.Duration) {
	for len(m.recentLists) > 1 && now-m.recentLists[1].receivedAt >= CommonCauseWindow {
		m.recentLists = m.recentLists[1:]
	}
}

// refusedFor returns how much longer a fingerprint is refused; false when it is not. wallMs is the wall-clock time in
// Unix milliseconds, which the expiry times of the replicated log refer to.
func (m *trackerState) refusedFor(fingerprint uint64, now time.Duration, wallMs int64) (time.Duration, bool) {
	if s := m.local.Get(fingerprint); s.GetState() == daisyhatchv1.SuspectState_SUSPECT_STATE_CONVICTED {
		if left := time.Duration(s.GetExpiresUnixMs())*time.Millisecond - now; left > 0 {
			return left, true
		}
	}
	s := m.shared[fingerprint]
	if s.GetState() != daisyhatchv1.SuspectState_SUSPECT_STATE_CONVICTED || (now-s.learnedAt).Milliseconds() >= maxRefusalMs {
		return 0, false
	}
	left := min(max(s.GetExpiresUnixMs()-wallMs, 0), maxRefusalMs)
	return time.Duration(left) * time.Millisecond, true
}

// startRun records that a request starts on a server.
func (m *trackerState) startRun(t engine.Target, fingerprint uint64, parts []uint64, now time.Duration) runningRequest {
	f := runningRequest{fingerprint: fingerprint, parts: parts, began: now}
	f.known, f.localCrashes = m.crashesKnown(fingerprint, now)
	f.id = m.begin(serverKeyOf(t), f)
	return f
}

// crashedRequest is a request that was on a server when it crashed.
type crashedRequest struct {
	fingerprint uint64
	// known and localCrashes are as in runningRequest.
	known        *daisyhatchv1.CrashRun
	localCrashes uint32
}

// heldCrash is a crash that counts against a request only once it is known what became of other servers on which the request was
// given up.
type heldCrash struct {
	key     serverKey
	request crashedRequest
	at      time.Duration
}

// serverCrashed records the crash of a server that request f detected at the time at, and returns the report to send, and what is
// held back. The report is nil when the crash was reported before, or when all requests in flight there are excused or held
// back, and say nothing of parts of prompts. Errors are those of suspect.Table.
func (m *trackerState) serverCrashed(t engine.Target, f runningRequest, at, now time.Duration) (*daisyhatchv1.CrashCommand, []heldCrash, error) {
	c, first := m.reportFor(serverKeyOf(t), f)
	if !first {
		return nil, nil, nil
	}
	var counted []crashedRequest
	var held []heldCrash
	for i, f := range c.command.GetFingerprints() {
		r := crashedRequest{f, c.command.GetRuns()[i], c.localCrashes[i]}
		switch {
		case m.excused(f, now):
		case m.survivals.undecided(f, c.key, now):
			held = append(held, heldCrash{c.key, r, at})
		default:
			counted = append(counted, r)
		}
	}
	unanswered := m.unanswered(c.key, f)
	if len(counted) == 0 && len(unanswered) == 0 {
		return nil, held, nil
	}
	report, err := m.countCrash(c.key, counted, unanswered, at, now)
	return report, held, err
}

// excused reports whether a crash doesn't count against a request: it had been served lately, which excuses it from one crash
// only, or its servers outlived other runs; see survivals.
func (m *trackerState) excused(fingerprint uint64, now time.Duration) bool {
	if _, ok := m.lastServed[fingerprint]; ok {
		m.dropServed(fingerprint)
		return true
	}
	return m.survivals.excuses(fingerprint, now)
}

// countHeld counts a crash that was held back, unless the request is excused by now, and returns the report to send.
func (m *trackerState) countHeld(h heldCrash, now time.Duration) (*daisyhatchv1.CrashCommand, error) {
	if m.excused(h.request.fingerprint, now) {
		return nil, nil
	}
	return m.countCrash(h.key, []crashedRequest{h.request}, nil, h.at, now)
}

// countCrash counts a crash against requests on this VM, and returns the report of it.
func (m *trackerState) countCrash(
	k serverKey, requests []crashedRequest, unanswered []*daisyhatchv1.UnansweredRequest, at, now time.Duration,
) (*daisyhatchv1.CrashCommand, error) {
	report := &daisyhatchv1.CrashCommand{
		Server: k.server, ServerIncarnation: k.incarnation, Unanswered: unanswered, Answers: m.parts.answersFor(unanswered, at),
	}
	localReport := &daisyhatchv1.CrashCommand{
		Server: report.Server, ServerIncarnation: report.ServerIncarnation, Unanswered: report.Unanswered, Answers: report.Answers,
		AgeMs: (now - at).Milliseconds(),
	}
	before := make([]int, len(requests))
	for i, r := range requests {
		before[i] = m.crashCount(r.fingerprint)
		report.Fingerprints = append(report.Fingerprints, r.fingerprint)
		report.Runs = append(report.Runs, r.known)
		localReport.Runs = append(localReport.Runs, &daisyhatchv1.CrashRun{KnownCrashes: r.localCrashes})
	}
	localReport.Fingerprints = report.Fingerprints
	if _, err := m.local.Crash(localReport, now.Milliseconds()); err != nil {
		return nil, err
	}
	m.local.CrashParts(localReport, now.Milliseconds())
	for i, r := range requests {
		if m.crashCount(r.fingerprint) > before[i] {
			m.noteCounted(r.fingerprint, now)
		}
	}
	return report, nil
}

// applyReportResult replaces the local crashes of a report by what the replicated log holds after it.
func (m *trackerState) applyReportResult(c *daisyhatchv1.CrashCommand, r *daisyhatchv1.CrashResult, now time.Duration) {
	before := make(map[uint64]int)
	for _, f := range c.GetFingerprints() {
		before[f] = m.crashCount(f)
	}
	m.local.Clear(c.GetFingerprints())
	m.local.ForgetParts(c)
	for _, s := range r.GetSuspects() {
		if r.GetVersion() > m.version {
			m.addShared(s, m.shared[s.GetFingerprint()], r.GetVersion(), before[s.GetFingerprint()], now)
		}
	}
}

// addShared stores a suspect of the replicated log. old is what was known of it until now, before how many of its crashes.
func (m *trackerState) addShared(s *daisyhatchv1.Suspect, old sharedSuspect, version uint64, before int, now time.Duration) {
	leasedSince := now
	if suspects.IsLeased(old.Suspect) {
		leasedSince = old.leasedSince
	}
	m.shared[s.GetFingerprint()] = sharedSuspect{s, version, now, leasedSince}
	if int(s.GetCrashes()) > before {
		m.noteCounted(s.GetFingerprint(), now)
	}
}

// listChanges is what a new list of suspects changed.
type listChanges struct {
	// convicted are the requests that are refused from now on, cleared those that no longer are. served are suspects
	// that this VM served within servedGracePeriod, or that left servers well, which the other VMs must be told.
	convicted, cleared, served []uint64
	// refusedParts and acceptedParts are the parts of prompts that are refused from now on, and those that no longer are.
	// answered are suspected parts, with the time of an answer that this VM has seen and the other VMs must be told.
	refusedParts, acceptedParts []uint64
	answered                    map[uint64]time.Duration
}

// applyList applies a complete list of suspects. It ignores a list that is not newer than the latest one.
func (m *trackerState) applyList(version uint64, list []*daisyhatchv1.Suspect, now time.Duration) (n listChanges) {
	if version <= m.version {
		return listChanges{}
	}
	m.version = version
	m.dropOldLists(now)
	m.recentLists = append(m.recentLists, listVersion{version, now})
	n.refusedParts, n.acceptedParts = m.parts.applyList(list, now)
	n.answered = m.parts.takeUnreportedAnswers(now)
	previous, previousCrashes := make(map[uint64]sharedSuspect), make(map[uint64]int)
	for f, s := range m.shared {
		if s.version <= version {
			previous[f], previousCrashes[f] = s, m.crashCount(f)
			delete(m.shared, f)
		}
	}
	for _, s := range list {
		f := s.GetFingerprint()
		if s.GetPart() || m.shared[f].version > version {
			continue
		}
		if at, ok := m.lastServed[f]; ok && now-at < servedGracePeriod || m.survivals.clears(f, now) {
			n.served = append(n.served, f)
			continue
		}
		m.addShared(s, previous[f], version, previousCrashes[f], now)
		if isRefused(s) && !isRefused(previous[f].Suspect) {
			n.convicted = append(n.convicted, f)
		}
	}
	for f, s := range previous {
		if m.shared[f].Suspect == nil && isRefused(s.Suspect) {
			n.cleared = append(n.cleared, f)
		}
	}
	return n
}

// clear drops what is known of a suspect. It reports whether the other VMs must be told, since they suspect it.
func (m *trackerState) clear(fingerprint uint64) bool {
	s := m.shared[fingerprint]
	delete(m.shared, fingerprint)
	delete(m.lastCounted, fingerprint)
	if m.local.Get(fingerprint) != nil {
		m.local.Clear([]uint64{fingerprint})
	}
	return suspects.IsShared(s.Suspect)
}

// markSurvived records that a server outlived a run of a request that was given up. It reports whether the request is cleared by
// it and the other VMs must be told.
func (m *trackerState) markSurvived(fingerprint uint64, now time.Duration) bool {
	m.survivals.note(fingerprint, now)
	return m.survivals.clears(fingerprint, now) && m.clear(fingerprint)
}

// markServed records that a request was served. It reports whether the other VMs must be told, since they suspect it.
func (m *trackerState) markServed(fingerprint uint64, now time.Duration) bool {
	suspected := m.clear(fingerprint)
	_, servedBefore := m.lastServed[fingerprint]
	m.lastServed[fingerprint] = now
	if !servedBefore {
		m.servedOrder = append(m.servedOrder, fingerprint)
		if len(m.servedOrder) > maxServed {
			delete(m.lastServed, m.servedOrder[0])
			m.servedOrder = slices.Delete(m.servedOrder, 0, 1)
		}
	}
	return suspected
}

func (m *trackerState) dropServed(fingerprint uint64) {
	delete(m.lastServed, fingerprint)
	if i := slices.Index(m.servedOrder, fingerprint); i >= 0 {
		m.servedOrder = slices.Delete(m.servedOrder, i, i+1)
	}
}
