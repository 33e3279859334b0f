package raft

import (
	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
)

// Snapshot is a state of the state machine with its place in the log.
type Snapshot struct {
	Meta *daisyhatchv1.SnapshotMeta
	Data []byte
}

// Persist is one write that the driver makes and syncs, in this order: the snapshot, the hard state and the
// entries. It then calls Synced with Seq.
type Persist struct {
	Seq uint64
	// Snapshot replaces the whole log when set.
	Snapshot  *Snapshot
	HardState *daisyhatchv1.HardState
	// Entries replace those on disk from the first one's index on.
	Entries []*daisyhatchv1.LogEntry
}

// Apply is the next work of the state machine: a snapshot to restore, then entries in log order.
type Apply struct {
	Snapshot *Snapshot
	Entries  []*daisyhatchv1.LogEntry
}

type hardState struct {
	term uint64
	vote string
}

// outbound is a message with the write that must be synced before it leaves.
type outbound struct {
	m     *daisyhatchv1.ConsensusMessage
	after uint64
}

// persistState tracks what is written and what is synced.
type persistState struct {
	// seq numbers the writes handed out, synced those confirmed.
	seq    uint64
	synced uint64
	// hardSeq is the write that holds the current term and vote.
	hardSeq   uint64
	hardDirty bool
	// handed is the last entry handed out, stable the last one synced.
	handed   uint64
	stable   uint64
	durable  hardState
	snapshot *Snapshot
	// restore is a received snapshot that the state machine has not taken yet; restoreSeq is its write.
	restore    *Snapshot
	restoreSeq uint64
	inflight   []inflightWrite
}

type inflightWrite struct {
	seq       uint64
	lastIndex uint64
	lastTerm  uint64
	hard      hardState
}

func (p *persistState) truncateFrom(i uint64) {
	p.handed = min(p.handed, i-1)
	p.stable = min(p.stable, i-1)
}

func (p *persistState) install(s *Snapshot) {
	p.snapshot = s
	p.restore = s
	p.restoreSeq = p.seq + 1
	p.handed = s.Meta.GetIndex()
	p.stable = s.Meta.GetIndex()
}

func (c *Core) dirty() bool {
	return c.persist.hardDirty || c.persist.snapshot != nil || c.persist.handed < c.log.last()
}

func (c *Core) setHard(term uint64, vote string) {
	c.cfg.Invariants.Assert(term > c.term || (term == c.term && c.vote == ""), "raft-one-vote",
		"term %d vote %q to term %d vote %q", c.term, c.vote, term, vote)
	c.term, c.vote = term, vote
	c.persist.hardDirty = true
	c.persist.hardSeq = c.persist.seq + 1
}

// send queues a message behind the writes that it speaks of. A leader's own messages speak of its term only:
// its entries count for itself once they are synced.
func (c *Core) send(m *daisyhatchv1.ConsensusMessage) {
	m.From = c.cfg.ID
	if m.GetTerm() == 0 {
		m.Term = c.term
	}
	after := c.persist.seq
	if c.dirty() {
		after++
	}
	switch m.GetKind() {
	case msgAppend, msgSnapshot, msgTimeoutNow:
		after = c.persist.hardSeq
	}
	c.out = append(c.out, outbound{m: m, after: after})
}

// NextPersist returns the next write, if there is one.
func (c *Core) NextPersist() (Persist, bool) {
	c.flush()
	if c.failed || !c.dirty() {
		return Persist{}, false
	}
	c.persist.seq++
	p := Persist{Seq: c.persist.seq, Snapshot: c.persist.snapshot}
	p.HardState = &daisyhatchv1.HardState{Term: c.term, Vote: c.vote, Commit: c.commit}
	p.Entries = c.log.slice(c.persist.handed+1, c.log.last())
	c.persist.snapshot = nil
	c.persist.hardDirty = false
	c.persist.handed = c.log.last()
	c.persist.inflight = append(c.persist.inflight, inflightWrite{
		seq:       p.Seq,
		lastIndex: c.log.last(),
		lastTerm:  c.log.lastTerm(),
		hard:      hardState{term: c.term, vote: c.vote},
	})
	return p, true
}

// Synced confirms that the write numbered seq and all before it will outlast a crash.
func (c *Core) Synced(seq uint64) {
	if c.failed {
		return
	}
	for len(c.persist.inflight) > 0 && c.persist.inflight[0].seq <= seq {
		w := c.persist.inflight[0]
		c.persist.inflight = c.persist.inflight[1:]
		c.persist.synced = w.seq
		c.persist.durable = w.hard
		if t, ok := c.log.termAt(w.lastIndex); ok && t == w.lastTerm && w.lastIndex > c.persist.stable {
			c.persist.stable = w.lastIndex
		}
	}
	c.maybeCommit()
}

// TakeMessages returns the messages that may leave now.
func (c *Core) TakeMessages() []*daisyhatchv1.ConsensusMessage {
	c.flush()
	var ready []*daisyhatchv1.ConsensusMessage
	kept := c.out[:0]
	for _, o := range c.out {
		if o.after > c.persist.synced {
			kept = append(kept, o)
			continue
		}
		if c.backedByDisk(o.m) {
			ready = append(ready, o.m)
		}
	}
	clear(c.out[len(kept):])
	c.out = kept
	return ready
}

// backedByDisk checks that a vote or an acknowledgement that leaves is synced; one that isn't is dropped.
func (c *Core) backedByDisk(m *daisyhatchv1.ConsensusMessage) bool {
	if m.GetReject() || m.GetTerm() != c.term {
		return true
	}
	switch m.GetKind() {
	case msgVoteReply:
		d := c.persist.durable
		return c.cfg.Invariants.Assert(d.term == m.GetTerm() && d.vote == m.GetTo(), "raft-vote-synced",
			"vote for %s in term %d leaves, synced is %s in %d", m.GetTo(), m.GetTerm(), d.vote, d.term)
	case msgAppendReply, msgSnapshotReply:
		return c.cfg.Invariants.Assert(m.GetLogIndex() <= c.persist.stable, "raft-entries-synced",
			"acknowledgement of %d leaves, synced is %d", m.GetLogIndex(), c.persist.stable)
	}
	return true
}

// TakeApply returns committed and synced work for the state machine, each once and in log order.
func (c *Core) TakeApply() Apply {
	var a Apply
	if c.persist.restore != nil {
		if c.persist.synced < c.persist.restoreSeq {
			return a
		}
		a.Snapshot = c.persist.restore
		c.persist.restore = nil
		c.applied = a.Snapshot.Meta.GetIndex()
	}
	hi := min(c.commit, c.persist.stable)
	if hi <= c.applied {
		return a
	}
	if !c.cfg.Invariants.Assert(c.applied >= c.log.base, "raft-applied-in-order",
		"applied %d, the log starts behind %d", c.applied, c.log.base) {
		return a
	}
	a.Entries = c.log.slice(c.applied+1, hi)
	c.applied = hi
	return a
}
