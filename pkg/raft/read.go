package raft

// Read is a confirmed read index: once the state machine has applied Index, a read sees everything that was
// committed when ReadIndex was called.
type Read struct {
	ID    uint64
	Index uint64
	// Failed is set when leadership was lost before the read was confirmed.
	Failed bool
}

// pendingRead waits until a quorum has answered a heartbeat that was sent after the read came in.
type pendingRead struct {
	id    uint64
	index uint64
	round uint64
}

// ReadIndex asks for a read index under the caller's id; TakeReads returns it. Reads that come in together share
// one heartbeat round. It relies on no clock. Errors: ErrNotLeader, and ErrNotReady until the leader has
// committed an entry of its term, since before that it may not know all that is committed.
func (c *Core) ReadIndex(id uint64) error {
	if !c.ClaimsLeadership() {
		return ErrNotLeader
	}
	if !c.committedInTerm() {
		return ErrNotReady
	}
	c.lead.reads = append(c.lead.reads, pendingRead{id: id, index: c.commit, round: c.lead.round + 1})
	c.lead.readRound = true
	return nil
}

// confirmReads releases the reads whose round a quorum has answered.
func (c *Core) confirmReads() {
	n := 0
	for _, r := range c.lead.reads {
		ok := c.hasQuorum(func(id string) bool {
			if id == c.cfg.ID {
				return true
			}
			pr := c.lead.peers[id]
			return pr != nil && pr.round >= r.round
		})
		if !ok {
			break
		}
		c.reads = append(c.reads, Read{ID: r.id, Index: r.index})
		n++
	}
	c.lead.reads = c.lead.reads[n:]
}

// TakeReads returns the reads that were confirmed or failed since the last call.
func (c *Core) TakeReads() []Read {
	c.flush()
	r := c.reads
	c.reads = nil
	return r
}
