package raft

import (
	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
)

// raftLog is the part of the log that is kept in memory: the entries behind base.
type raftLog struct {
	base     uint64
	baseTerm uint64
	entries  []*daisyhatchv1.LogEntry
}

func newLog(snap *daisyhatchv1.SnapshotMeta, entries []*daisyhatchv1.LogEntry) raftLog {
	l := raftLog{base: snap.GetIndex(), baseTerm: snap.GetTerm()}
	for _, e := range entries {
		if e.GetIndex() == l.last()+1 {
			l.entries = append(l.entries, e)
		}
	}
	return l
}

// last returns the index of the last entry.
func (l *raftLog) last() uint64 { return l.base + uint64(len(l.entries)) }

// lastTerm returns the term of the last entry.
func (l *raftLog) lastTerm() uint64 {
	t, _ := l.termAt(l.last())
	return t
}

// termAt returns the term of the entry at index i; false when the log doesn't reach there or no longer keeps it.
func (l *raftLog) termAt(i uint64) (uint64, bool) {
	if i == l.base {
		return l.baseTerm, true
	}
	if i < l.base || i > l.last() {
		return 0, false
	}
	return l.entries[i-l.base-1].GetTerm(), true
}

// at returns the entry at index i, which must be kept.
func (l *raftLog) at(i uint64) *daisyhatchv1.LogEntry { return l.entries[i-l.base-1] }

// slice returns the entries from lo to hi, both included.
func (l *raftLog) slice(lo, hi uint64) []*daisyhatchv1.LogEntry {
	if lo > hi {
		return nil
	}
	return l.entries[lo-l.base-1 : hi-l.base : hi-l.base]
}

// truncateFrom drops the entry at index i and all later ones. Slices handed out earlier keep theirs.
func (l *raftLog) truncateFrom(i uint64) {
	n := i - l.base - 1
	l.entries = l.entries[:n:n]
}

// append adds an entry; its index must follow the last.
func (l *raftLog) append(e *daisyhatchv1.LogEntry) { l.entries = append(l.entries, e) }

// compact drops the entries up to index i.
func (l *raftLog) compact(i uint64) {
	t, ok := l.termAt(i)
	if !ok || i <= l.base {
		return
	}
	l.entries = append([]*daisyhatchv1.LogEntry(nil), l.entries[i-l.base:]...)
	l.base, l.baseTerm = i, t
}

// reset empties the log behind a snapshot.
func (l *raftLog) reset(index, term uint64) {
	l.base, l.baseTerm, l.entries = index, term, nil
}

// conflictHint returns the highest index up to i whose term is at most t, and its term. Both sides use it to
// skip a whole term of conflicting entries at a time.
func (l *raftLog) conflictHint(i, t uint64) (uint64, uint64) {
	i = min(i, l.last())
	for {
		have, ok := l.termAt(i)
		if !ok {
			return i, 0
		}
		if have <= t || i <= l.base {
			return i, have
		}
		i--
	}
}

// upToDate reports whether a log that ends with (index, term) is at least as complete as this one.
func (l *raftLog) upToDate(index, term uint64) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.last()
}
