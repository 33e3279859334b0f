// Package suspect decides which request fingerprints are suspected or convicted of crashing backend servers, from
// the crash reports in the replicated log. It is pure and deterministic.
package suspect

import (
	"errors"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
)

// Errors of this package.
var (
	// ErrCommand means that a command is malformed; nothing was changed.
	ErrCommand = errors.New("suspect: malformed command")
	// ErrSnapshot means that a snapshot contradicts itself.
	ErrSnapshot = errors.New("suspect: bad snapshot")
)

// Limits and times of the state.
const (
	// MaxSuspects is the count of fingerprints kept; beyond it the one that expires first is dropped.
	MaxSuspects = 4_096
	// MaxFingerprints is the count of fingerprints in one report.
	MaxFingerprints = 1_024
	// MaxCrashes is the count of crashes, alone or not, that convict a fingerprint in any case.
	MaxCrashes = 3
	// SharedCrashes is from how many crashes on all VMs must know of a fingerprint: most of those that were in flight on
	// one crashed server are served next.
	SharedCrashes = 2
	// SuspicionMs is how long a suspicion lasts after the last crash, in milliseconds.
	SuspicionMs = 10 * 60 * 1000
	// ConvictionMs is how long a conviction lasts, in milliseconds.
	ConvictionMs = 60 * 60 * 1000
	maxName      = 256
)

// Table holds all suspects. It isn't safe for concurrent use.
type Table struct {
	records map[uint64]*daisyhatchv1.SuspectRecord
	changes uint64
	// version grows with each report of a crash, each clearing and each expiry.
	version uint64
}

// New returns an empty Table.
func New() *Table {
	return &Table{records: make(map[uint64]*daisyhatchv1.SuspectRecord)}
}

// Crash counts one crash of a server incarnation against the fingerprints that were in flight on it, at replicated
// time nowMs. Several reports of the same crash count once per fingerprint, and so do crashes of several servers on which
// it ran at the same time: one cause may have ended them all. It returns ErrCommand for a malformed report.
func (t *Table) Crash(c *daisyhatchv1.CrashCommand, nowMs int64) (*daisyhatchv1.CrashResult, error) {
	if err := check(c); err != nil {
		return nil, err
	}
	t.Expire(nowMs)
	t.version++
	crash := xxhash.Sum64String(c.GetServer() + "\x00" + c.GetServerIncarnation())
	alone := c.GetAlone() && len(c.GetFingerprints()) == 1
	result := &daisyhatchv1.CrashResult{Version: t.version}
	for i, f := range c.GetFingerprints() {
		r := t.record(f)
		if i >= len(c.GetRuns()) || followed(r, c.GetRuns()[i]) {
			t.count(r, crash, alone, nowMs)
		}
		result.Suspects = append(result.Suspects, proto.CloneOf(r.GetSuspect()))
	}
	t.bound()
	t.changes++
	return result, nil
}

func (t *Table) record(fingerprint uint64) *daisyhatchv1.SuspectRecord {
	r, ok := t.records[fingerprint]
	if !ok {
		r = &daisyhatchv1.SuspectRecord{Suspect: &daisyhatchv1.Suspect{Fingerprint: fingerprint}}
		t.records[fingerprint] = r
	}
	return r
}

// followed reports whether a run began after the last crash that counts against its fingerprint.
func followed(r *daisyhatchv1.SuspectRecord, run *daisyhatchv1.CrashRun) bool {
	return run.GetKnownCrashes() >= r.GetSuspect().GetCrashes() || run.GetKnownVersion() >= r.GetVersion()
}

func (t *Table) count(r *daisyhatchv1.SuspectRecord, crash uint64, alone bool, nowMs int64) {
	s := r.GetSuspect()
	if slices.Contains(r.GetCrashes(), crash) || s.GetState() == daisyhatchv1.SuspectState_SUSPECT_STATE_CONVICTED {
		return
	}
	r.Crashes = append(r.Crashes, crash)
	r.Version = t.version
	s.Crashes++
	if (alone && s.GetCrashes() > 1) || s.GetCrashes() >= MaxCrashes {
		s.State = daisyhatchv1.SuspectState_SUSPECT_STATE_CONVICTED
		s.ExpiresUnixMs = nowMs + ConvictionMs
		return
	}
	s.State = daisyhatchv1.SuspectState_SUSPECT_STATE_SUSPECT
	s.ExpiresUnixMs = nowMs + SuspicionMs
}

// Clear ends suspicion and conviction of fingerprints that were served, and returns the table's version.
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

// Get returns a suspect; nil when the fingerprint is clear. The caller must not change it.
func (t *Table) Get(fingerprint uint64) *daisyhatchv1.Suspect {
	return t.records[fingerprint].GetSuspect()
}

// Expire drops what expired by nowMs.
func (t *Table) Expire(nowMs int64) {
	for f, r := range t.records {
		if r.GetSuspect().GetExpiresUnixMs() <= nowMs {
			delete(t.records, f)
			t.changes++
			t.version++
		}
	}
}

// bound drops the suspects that expire first, suspicions before convictions.
func (t *Table) bound() {
	over := len(t.records) - MaxSuspects
	if over <= 0 {
		return
	}
	all := t.Records()
	slices.SortStableFunc(all, func(a, b *daisyhatchv1.SuspectRecord) int {
		if d := int(a.GetSuspect().GetState()) - int(b.GetSuspect().GetState()); d != 0 {
			return d
		}
		return int(a.GetSuspect().GetExpiresUnixMs() - b.GetSuspect().GetExpiresUnixMs())
	})
	for _, r := range all[:over] {
		delete(t.records, r.GetSuspect().GetFingerprint())
	}
}

func check(c *daisyhatchv1.CrashCommand) error {
	switch {
	case c.GetServer() == "" || len(c.GetServer()) > maxName || len(c.GetServerIncarnation()) > maxName:
		return fmt.Errorf("%w: server and incarnation must have 1 to %d bytes", ErrCommand, maxName)
	case len(c.GetFingerprints()) > MaxFingerprints:
		return fmt.Errorf("%w: more than %d fingerprints", ErrCommand, MaxFingerprints)
	case len(c.GetRuns()) != 0 && len(c.GetRuns()) != len(c.GetFingerprints()):
		return fmt.Errorf("%w: %d runs of %d fingerprints", ErrCommand, len(c.GetRuns()), len(c.GetFingerprints()))
	}
	return nil
}

// Changes counts the changes. It is not part of the replicated state.
func (t *Table) Changes() uint64 { return t.changes }

// Version grows with each report of a crash, each clearing and each expiry. It is part of the replicated state.
func (t *Table) Version() uint64 { return t.version }

// Records returns all records by fingerprint. The caller must not change them.
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

// Restore returns the Table of a snapshot and its version. It returns ErrSnapshot when the snapshot contradicts itself.
func Restore(records []*daisyhatchv1.SuspectRecord, version uint64) (*Table, error) {
	t := New()
	t.version = version
	for _, r := range records {
		f := r.GetSuspect().GetFingerprint()
		if _, ok := t.records[f]; ok || r.GetSuspect() == nil || len(t.records) >= MaxSuspects {
			return nil, fmt.Errorf("%w: fingerprint %x", ErrSnapshot, f)
		}
		t.records[f] = r
	}
	return t, nil
}
