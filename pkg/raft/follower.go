package raft

import (
	"bytes"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
)

// stepAppend takes entries from the leader when the entry before them matches.
func (c *Core) stepAppend(m *daisyhatchv1.ConsensusMessage) {
	if !c.fromLeader(m) {
		return
	}
	prev := m.GetLogIndex()
	if prev >= c.log.base {
		term, ok := c.log.termAt(prev)
		if !ok || term != m.GetLogTerm() {
			c.rejectAppend(m)
			return
		}
	}
	last, ok := c.takeEntries(prev, m.GetEntries())
	if !ok {
		return
	}
	if n := min(m.GetCommit(), last); n > c.commit {
		c.commitTo(n)
	}
	c.send(&daisyhatchv1.ConsensusMessage{
		Kind:     msgAppendReply,
		To:       m.GetFrom(),
		LogIndex: last,
		Round:    m.GetRound(),
	})
}

func (c *Core) rejectAppend(m *daisyhatchv1.ConsensusMessage) {
	hint, term := c.log.conflictHint(m.GetLogIndex(), m.GetLogTerm())
	c.send(&daisyhatchv1.ConsensusMessage{
		Kind:      msgAppendReply,
		To:        m.GetFrom(),
		Reject:    true,
		LogIndex:  m.GetLogIndex(),
		HintIndex: hint,
		HintTerm:  term,
		Round:     m.GetRound(),
	})
}

// takeEntries appends those entries that the log lacks and drops those that conflict. It returns up to which
// index the log is known to match the leader's, and false when the message breaks an invariant.
func (c *Core) takeEntries(prev uint64, entries []*daisyhatchv1.LogEntry) (uint64, bool) {
	last := prev
	for _, e := range entries {
		if !c.cfg.Invariants.Assert(e.GetIndex() == last+1, "raft-append-contiguous",
			"entry %d follows %d", e.GetIndex(), last) {
			return 0, false
		}
		last++
		if last <= c.log.base {
			continue
		}
		if !c.takeEntry(e) {
			return 0, false
		}
	}
	return last, true
}

func (c *Core) takeEntry(e *daisyhatchv1.LogEntry) bool {
	i := e.GetIndex()
	term, ok := c.log.termAt(i)
	if ok && term == e.GetTerm() {
		have := c.log.at(i)
		return c.cfg.Invariants.Assert(have.GetKind() == e.GetKind() && bytes.Equal(have.GetData(), e.GetData()),
			"raft-log-matching", "entry %d of term %d differs from the leader's", i, term)
	}
	if ok {
		if !c.cfg.Invariants.Assert(i > c.commit, "raft-committed-kept",
			"entry %d of term %d is committed, the leader has term %d", i, term, e.GetTerm()) {
			return false
		}
		c.log.truncateFrom(i)
		c.confs.truncateFrom(i)
		c.persist.truncateFrom(i)
	}
	c.log.append(e)
	c.confs.add(e)
	return true
}

// stepSnapshot takes a snapshot from the leader when the log doesn't hold its last entry.
func (c *Core) stepSnapshot(m *daisyhatchv1.ConsensusMessage) {
	if !c.fromLeader(m) {
		return
	}
	meta := m.GetSnapshot()
	reply := &daisyhatchv1.ConsensusMessage{Kind: msgSnapshotReply, To: m.GetFrom(), Round: m.GetRound()}
	reply.LogIndex = max(meta.GetIndex(), c.commit)
	term, ok := c.log.termAt(meta.GetIndex())
	switch {
	case meta.GetIndex() <= c.commit:
		reply.LogIndex = c.commit
	case ok && term == meta.GetTerm():
		c.commitTo(meta.GetIndex())
	default:
		c.install(meta, m.GetSnapshotData())
	}
	c.send(reply)
}

func (c *Core) install(meta *daisyhatchv1.SnapshotMeta, data []byte) {
	c.log.reset(meta.GetIndex(), meta.GetTerm())
	c.confs = newConfHistory(meta, nil)
	c.commit = meta.GetIndex()
	c.snap = meta
	c.persist.install(&Snapshot{Meta: meta, Data: data})
}

// Compact takes note that a snapshot described by meta is synced, and drops the log up to index upTo, which is
// at most the snapshot's.
func (c *Core) Compact(meta *daisyhatchv1.SnapshotMeta, upTo uint64) {
	if !c.cfg.Invariants.Assert(meta.GetIndex() <= c.applied && upTo <= meta.GetIndex(), "raft-compact-applied",
		"snapshot at %d, log cut at %d, applied %d", meta.GetIndex(), upTo, c.applied) {
		return
	}
	if meta.GetIndex() <= c.snap.GetIndex() {
		return
	}
	c.snap = meta
	c.log.compact(upTo)
	c.confs.compact(upTo)
}

// Found gives a peer without a snapshot the membership from which the group's log starts.
func (c *Core) Found(meta *daisyhatchv1.SnapshotMeta) {
	if c.snap != nil || meta.GetIndex() != 0 {
		return
	}
	c.snap = meta
	c.confs[0].members = meta.GetMembership()
}
