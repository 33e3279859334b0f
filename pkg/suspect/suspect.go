// Package suspect decides which request fingerprints are suspected or convicted of crashing backend servers, from the
// crash reports in the replicated log. It is deterministic, does no I/O and reads no clock: callers pass the time.
package suspect

import (
	"cmp"
	"errors"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
)

// Errors of this package.
var (
	// ErrCommand means that a command is malformed and changed nothing.
	ErrCommand = errors.New("suspect: malformed command")
	// ErrSnapshot means that a snapshot is inconsistent.
	ErrSnapshot = errors.New("suspect: bad snapshot")
)

// Limits and durations.
const (
	// MaxSuspects is the largest number of fingerprints in a Table. Beyond it, suspicions are dropped before convictions,
	// those under which fewer servers ended first, and among equals the one that expires first.
	MaxSuspects = 4_096
	// MaxFingerprints is the largest number of fingerprints in one report.
	MaxFingerprints = 1_024
	// MaxCrashes is the number of crashes that convict a fingerprint even when other requests were in flight too. Two
	// suffice when the request was alone on the server in the second.
	MaxCrashes = 3
	// SharedCrashes is the number of crashes from which all VMs must know of a fingerprint. One crash is not enough, since
	// most requests that were in flight on a crashed server succeed at their next attempt.
	SharedCrashes = 2
	// LeasedEnds is the number of ended servers from which a request runs in one copy at a time on all VMs. Copies that run at
	// the same moment may end any number of servers, which count as one crash.
	LeasedEnds = 2
	// RunLeaseMs is how long no other copy of a request may be sent after the first lease, in milliseconds. Each further lease
	// lasts twice as long, until a crash is counted or the request is served: a run that ends its server unseen repeats less
	// and less often.
	RunLeaseMs = 5 * 1000
	// maxLeaseDoublings bounds the length of a lease to 64 times RunLeaseMs.
	maxLeaseDoublings = 6
	longestLeaseMs    = RunLeaseMs << maxLeaseDoublings
	// SuspicionMs is how long a suspicion lasts after the last crash, in milliseconds.
	SuspicionMs = 10 * 60 * 1000
	// ConvictionMs is how long a conviction lasts, in milliseconds.
	ConvictionMs = 60 * 60 * 1000
	// maxEndedServers is the largest number of ended servers remembered for a fingerprint.
	maxEndedServers = 64
	// maxNameBytes is the largest length of a server's id and of its incarnation.
	maxNameBytes = 256
)

// Table holds the suspects by fingerprint. It isn't safe for concurrent use.
type Table struct {
	records map[uint64]*daisyhatchv1.SuspectRecord
	parts   partTable
	changes uint64
	// version grows with each crash report, each call of Clear and each record that expires.
	version uint64
}

// New returns an empty Table.
func New() *Table {
	return &Table{records: make(map[uint64]*daisyhatchv1.SuspectRecord), parts: newPartTable()}
}

// Crash counts one crash of a server incarnation against the fingerprints that were in flight on it. nowMs is the
// replicated time in Unix milliseconds. Several reports of the same crash count once per fingerprint. So do crashes of
// several servers on which a request ran at the same time, since one cause may have crashed them all. It returns
// ErrCommand for a malformed report.
func (t *Table) Crash(c *daisyhatchv1.CrashCommand, nowMs int64) (*daisyhatchv1.CrashResult, error) {
	if err := validate(c); err != nil {
		return nil, err
	}
	t.Expire(nowMs)
	t.version++
	crash := crashID(c)
	alone := c.GetAlone() && len(c.GetFingerprints()) == 1
	result := &daisyhatchv1.CrashResult{Version: t.version}
	for i, f := range c.GetFingerprints() {
		r := t.getOrCreate(f)
		addEndedServer(r, crash)
		if i >= len(c.GetRuns()) || beganAfterLastCrash(r, c.GetRuns()[i]) {
			t.countCrash(r, crash, alone, nowMs)
		}
		result.Suspects = append(result.Suspects, proto.CloneOf(r.GetSuspect()))
	}
	t.evictExcess()
	t.changes++
	return result, nil
}

func crashID(c *daisyhatchv1.CrashCommand) uint64 {
	return xxhash.Sum64String(c.GetServer() + "\x00" + c.GetServerIncarnation())
}

func (t *Table) getOrCreate(fingerprint uint64) *daisyhatchv1.SuspectRecord {
	r, ok := t.records[fingerprint]
	if !ok {
		r = &daisyhatchv1.SuspectRecord{Suspect: &daisyhatchv1.Suspect{Fingerprint: fingerprint}}
		t.records[fingerprint] = r
	}
	return r
}

// addEndedServer records that a server ended under a request, unless it is known.
func addEndedServer(r *daisyhatchv1.SuspectRecord, crash uint64) {
	if len(r.GetEndedServers()) >= maxEndedServers || slices.Contains(r.GetEndedServers(), crash) {
		return
	}
	r.EndedServers = append(r.EndedServers, crash)
	r.Suspect.EndedServers = uint32(len(r.GetEndedServers()))
}

// beganAfterLastCrash reports whether a run began when its VM knew of the last crash that counts against the
// fingerprint: by the number of crashes, or by the version of the list of suspects.
func beganAfterLastCrash(r *daisyhatchv1.SuspectRecord, run *daisyhatchv1.CrashRun) bool {
	return run.GetKnownCrashes() >= r.GetSuspect().GetCrashes() || run.GetKnownVersion() >= r.GetVersion()
}

func (t *Table) countCrash(r *daisyhatchv1.SuspectRecord, crash uint64, alone bool, nowMs int64) {
	s := r.GetSuspect()
	if slices.Contains(r.GetCrashes(), crash) || s.GetState() == daisyhatchv1.SuspectState_SUSPECT_STATE_CONVICTED {
		return
	}
	r.Crashes = append(r.Crashes, crash)
	r.Version = t.version
	r.Leases = 0
	s.Crashes++
	if (alone && s.GetCrashes() > 1) || s.GetCrashes() >= MaxCrashes {
		s.State = daisyhatchv1.SuspectState_SUSPECT_STATE_CONVICTED
		s.ExpiresUnixMs = nowMs + ConvictionMs
		return
	}
	s.State = daisyhatchv1.SuspectState_SUSPECT_STATE_SUSPECT
	s.ExpiresUnixMs = nowMs + SuspicionMs
}

// IsLeased reports whether one copy of a request at a time may run on all VMs.
func IsLeased(s *daisyhatchv1.Suspect) bool {
	return !s.GetPart() && s.GetEndedServers() >= LeasedEnds && s.GetState() != daisyhatchv1.SuspectState_SUSPECT_STATE_CONVICTED
}

// IsShared reports whether all VMs must know of a suspect.
func IsShared(s *daisyhatchv1.Suspect) bool { return s.GetCrashes() >= SharedCrashes || IsLeased(s) }

// LeaseRun grants a VM the right to send a request, or returns the time until it may ask again. A request that is not
// leased is always granted, a convicted one never. timeMs is the time at which the command was proposed, in Unix
// milliseconds.
func (t *Table) LeaseRun(c *daisyhatchv1.RunLeaseCommand, timeMs int64) *daisyhatchv1.RunLeaseResult {
	r := t.records[c.GetFingerprint()]
	if r.GetSuspect().GetState() == daisyhatchv1.SuspectState_SUSPECT_STATE_CONVICTED {
		return &daisyhatchv1.RunLeaseResult{WaitMs: max(r.GetSuspect().GetExpiresUnixMs()-timeMs, 1)}
	}
	if !IsLeased(r.GetSuspect()) {
		return &daisyhatchv1.RunLeaseResult{Granted: true}
	}
	// A much longer time than any lease lasts shows that a proposer's clock was wrong.
	if left := r.GetLeasedUntilUnixMs() - timeMs; left > 0 && left <= 2*longestLeaseMs {
		return &daisyhatchv1.RunLeaseResult{WaitMs: left}
	}
	r.Leases++
	r.LeasedUntilUnixMs = timeMs + leaseMs(r.GetLeases())
	return &daisyhatchv1.RunLeaseResult{Granted: true}
}

// leaseMs returns how long the nth lease in a row lasts, in milliseconds.
func leaseMs(n uint32) int64 { return RunLeaseMs << min(max(n, 1)-1, maxLeaseDoublings) }

// Clear drops the suspicion or conviction of fingerprints whose requests succeeded, and returns the table's version.
func (t *Table) Clear(fingerprints []uint64) uint64 {
	t.version++
	for _, f := range fingerprints {
		if _, ok := t.records[f]; ok {
			delete(t.records, f)
			t.changes++
		}
	}
	return t.version
}

// CrashParts counts a crash against the parts of prompts that may have caused it; call it after Crash. timeMs is the time
// in Unix milliseconds at which the command was proposed. The replicated time won't do here: it stands still between
// commands, and crashes a fraction of a second apart have to be told from those that have one cause.
func (t *Table) CrashParts(c *daisyhatchv1.CrashCommand, timeMs int64) {
	t.parts.crash(crashID(c), c, timeMs)
}

// Answered takes the crashes before an answer off the parts of the answered prompt, and ends their refusal. timeMs is the
// time at which the command was proposed. It returns the table's version.
func (t *Table) Answered(answers []*daisyhatchv1.PartAnswer, timeMs int64) uint64 {
	if len(answers) == 0 {
		return t.version
	}
	t.version++
	t.changes++
	for _, a := range answers {
		t.parts.answered(a.GetPart(), timeMs-max(a.GetAgeMs(), 0))
	}
	t.parts.judge(timeMs)
	return t.version
}

// TryPart grants a VM the right to send one request with a refused part, or returns the time until it may ask again. timeMs
// is the time at which the command was proposed.
func (t *Table) TryPart(c *daisyhatchv1.PartTrialCommand, timeMs int64) *daisyhatchv1.PartTrialResult {
	granted, wait := t.parts.try(c.GetPart(), timeMs)
	if granted {
		t.version++
		t.changes++
	}
	return &daisyhatchv1.PartTrialResult{Granted: granted, WaitMs: wait}
}

// ForgetParts drops what a crash says of parts of prompts. Once no crash is left, no part is refused.
func (t *Table) ForgetParts(c *daisyhatchv1.CrashCommand) { t.parts.forget(crashID(c)) }

// HasParts reports whether crashes are kept as evidence against parts of prompts.
func (t *Table) HasParts() bool { return len(t.parts.crashes) > 0 }

// RefusedPart returns when the next trial of a refused part may begin, in Unix milliseconds; false when it is not refused.
func (t *Table) RefusedPart(part uint64) (untilMs int64, ok bool) {
	r := t.parts.refused[part]
	return r.GetUntilUnixMs(), r != nil
}

// Parts returns the parts of prompts that are refused, and those that may explain SharedCrashes crashes or more.
func (t *Table) Parts() []*daisyhatchv1.Suspect { return t.parts.suspects() }

// PartsSnapshot returns the evidence against parts of prompts. The caller must not modify it.
func (t *Table) PartsSnapshot() *daisyhatchv1.PartsSnapshot { return t.parts.snapshot() }

// Get returns the suspect with a fingerprint, or nil when there is none. The caller must not modify it.
func (t *Table) Get(fingerprint uint64) *daisyhatchv1.Suspect {
	return t.records[fingerprint].GetSuspect()
}

// Expire drops the suspects that have expired by nowMs, in Unix milliseconds.
func (t *Table) Expire(nowMs int64) {
	for f, r := range t.records {
		if r.GetSuspect().GetExpiresUnixMs() <= nowMs {
			delete(t.records, f)
			t.changes++
			t.version++
		}
	}
}

// evictExcess drops the suspects beyond MaxSuspects: suspicions before convictions, then those under which fewer servers
// ended, and those that expire first.
func (t *Table) evictExcess() {
	excess := len(t.records) - MaxSuspects
	if excess <= 0 {
		return
	}
	all := t.Records()
	slices.SortStableFunc(all, func(x, y *daisyhatchv1.SuspectRecord) int {
		a, b := x.GetSuspect(), y.GetSuspect()
		return cmp.Or(
			cmp.Compare(a.GetState(), b.GetState()), cmp.Compare(a.GetEndedServers(), b.GetEndedServers()),
			cmp.Compare(a.GetExpiresUnixMs(), b.GetExpiresUnixMs()),
		)
	})
	for _, r := range all[:excess] {
		delete(t.records, r.GetSuspect().GetFingerprint())
	}
}

func validate(c *daisyhatchv1.CrashCommand) error {
	switch {
	case c.GetServer() == "" || len(c.GetServer()) > maxNameBytes || len(c.GetServerIncarnation()) > maxNameBytes:
		return fmt.Errorf("%w: server and incarnation must have 1 to %d bytes", ErrCommand, maxNameBytes)
	case len(c.GetFingerprints()) > MaxFingerprints:
		return fmt.Errorf("%w: more than %d fingerprints", ErrCommand, MaxFingerprints)
	case len(c.GetUnanswered()) > MaxFingerprints || len(c.GetAnswers()) > MaxCauses:
		return fmt.Errorf("%w: more than %d unanswered requests or %d answers", ErrCommand, MaxFingerprints, MaxCauses)
	case len(c.GetRuns()) != 0 && len(c.GetRuns()) != len(c.GetFingerprints()):
		return fmt.Errorf("%w: %d runs for %d fingerprints", ErrCommand, len(c.GetRuns()), len(c.GetFingerprints()))
	}
	return nil
}

// Changes returns a counter of changes since the Table was created. It is not part of the replicated state.
func (t *Table) Changes() uint64 { return t.changes }

// Version returns a number that grows with each crash report, each call of Clear and each record that expires. It is part
// of the replicated state.
func (t *Table) Version() uint64 { return t.version }

// Records returns all records, sorted by fingerprint. The caller must not modify them.
func (t *Table) Records() []*daisyhatchv1.SuspectRecord {
	out := make([]*daisyhatchv1.SuspectRecord, 0, len(t.records))
	for _, r := range t.records {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b *daisyhatchv1.SuspectRecord) int {
		if a.GetSuspect().GetFingerprint() < b.GetSuspect().GetFingerprint() {
			return -1
		}
		return 1
	})
	return out
}

// Restore returns the Table with the records, parts and version of a snapshot. It returns ErrSnapshot when a record has no
// suspect, a fingerprint or a part occurs twice, or a limit is exceeded.
func Restore(records []*daisyhatchv1.SuspectRecord, parts *daisyhatchv1.PartsSnapshot, version uint64) (*Table, error) {
	t := New()
	t.version = version
	var err error
	if t.parts, err = restorePartTable(parts); err != nil {
		return nil, err
	}
	for _, r := range records {
		f := r.GetSuspect().GetFingerprint()
		if _, ok := t.records[f]; ok || r.GetSuspect() == nil || len(t.records) >= MaxSuspects {
			return nil, fmt.Errorf("%w: fingerprint %x", ErrSnapshot, f)
		}
		t.records[f] = r
	}
	return t, nil
}
