package raft

import (
	"slices"
	"time"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
)

// Message kinds, shortened.
const (
	msgPreVote       = daisyhatchv1.ConsensusMessageKind_CONSENSUS_MESSAGE_KIND_PRE_VOTE
	msgPreVoteReply  = daisyhatchv1.ConsensusMessageKind_CONSENSUS_MESSAGE_KIND_PRE_VOTE_REPLY
	msgVote          = daisyhatchv1.ConsensusMessageKind_CONSENSUS_MESSAGE_KIND_VOTE
	msgVoteReply     = daisyhatchv1.ConsensusMessageKind_CONSENSUS_MESSAGE_KIND_VOTE_REPLY
	msgAppend        = daisyhatchv1.ConsensusMessageKind_CONSENSUS_MESSAGE_KIND_APPEND
	msgAppendReply   = daisyhatchv1.ConsensusMessageKind_CONSENSUS_MESSAGE_KIND_APPEND_REPLY
	msgSnapshot      = daisyhatchv1.ConsensusMessageKind_CONSENSUS_MESSAGE_KIND_SNAPSHOT
	msgSnapshotReply = daisyhatchv1.ConsensusMessageKind_CONSENSUS_MESSAGE_KIND_SNAPSHOT_REPLY
	msgTimeoutNow    = daisyhatchv1.ConsensusMessageKind_CONSENSUS_MESSAGE_KIND_TIMEOUT_NOW
)

// Step takes in a message. Messages to another identity, such as one that this VM had before it lost its disk,
// are dropped.
func (c *Core) Step(now time.Time, m *daisyhatchv1.ConsensusMessage) {
	c.advance(now)
	if c.failed || m.GetTo() != c.cfg.ID || m.GetFrom() == c.cfg.ID {
		return
	}
	if m.GetTerm() < c.term {
		c.stepOlder(m)
		return
	}
	if m.GetTerm() > c.term && !c.enterTerm(m) {
		return
	}
	switch m.GetKind() {
	case msgPreVote, msgVote:
		c.stepVote(m)
	case msgPreVoteReply, msgVoteReply:
		c.stepVoteReply(m)
	case msgAppend:
		c.stepAppend(m)
	case msgSnapshot:
		c.stepSnapshot(m)
	case msgAppendReply, msgSnapshotReply:
		c.stepAppendReply(m)
	case msgTimeoutNow:
		c.stepTimeoutNow(m)
	}
}

// stepOlder answers a message of an earlier term, so that its sender learns of the newer one.
func (c *Core) stepOlder(m *daisyhatchv1.ConsensusMessage) {
	switch m.GetKind() {
	case msgAppend, msgSnapshot:
		c.send(&daisyhatchv1.ConsensusMessage{Kind: msgAppendReply, To: m.GetFrom(), Reject: true})
	case msgPreVote:
		c.send(&daisyhatchv1.ConsensusMessage{Kind: msgPreVoteReply, To: m.GetFrom(), Reject: true})
	case msgVote:
		c.send(&daisyhatchv1.ConsensusMessage{Kind: msgVoteReply, To: m.GetFrom(), Reject: true})
	}
}

// enterTerm handles a message of a later term; it reports whether the message is to be handled further.
func (c *Core) enterTerm(m *daisyhatchv1.ConsensusMessage) bool {
	switch m.GetKind() {
	case msgPreVote:
		return true
	case msgPreVoteReply:
		if !m.GetReject() {
			return true
		}
	case msgVote:
		if c.hearsLeader() && !m.GetTransfer() {
			return false
		}
	}
	c.becomeFollower(m.GetTerm())
	return true
}

// hearsLeader reports whether a leader was heard within the shortest election timeout. A peer that hears one
// doesn't help to depose it.
func (c *Core) hearsLeader() bool {
	if c.role == Leader {
		return true
	}
	return c.leader != "" && c.clock.elapsed-c.clock.leaderHeard < c.cfg.ElectionTimeout
}

// quiet is how long this core has obeyed no leader.
func (c *Core) quiet() time.Duration {
	if c.role == Leader {
		return 0
	}
	return c.clock.elapsed - c.clock.leaderHeard
}

func (c *Core) becomeFollower(term uint64) {
	if term > c.term {
		c.setHard(term, "")
	}
	if c.role == Leader {
		// What it led may just have been committed.
		c.clock.leaderHeard = c.clock.elapsed
	}
	c.role = Follower
	c.leader = ""
	c.votes = nil
	c.dropLeaderState()
	c.resetElection()
}

// dropLeaderState ends leadership, if any; reads that wait are told so.
func (c *Core) dropLeaderState() {
	for _, r := range c.lead.reads {
		c.reads = append(c.reads, Read{ID: r.id, Failed: true})
	}
	c.lead = leaderState{}
}

// mayCampaign reports whether this peer may stand for election. One whose removal is not known to be committed
// still may: it can hold the most complete log, and the others then can't win without it.
func (c *Core) mayCampaign() bool {
	return c.confs.isVoter(c.cfg.ID) || slices.Contains(voters(c.confs.at(c.commit)), c.cfg.ID)
}

// campaign asks the voters for their pre-votes or votes.
func (c *Core) campaign(role Role, transfer bool) {
	c.role = role
	c.leader = ""
	c.votes = map[string]bool{c.cfg.ID: true}
	term, kind := c.term+1, msgPreVote
	if role == Candidate {
		c.setHard(term, c.cfg.ID)
		c.endStart()
		kind = msgVote
	}
	if c.wonVotes() {
		return
	}
	for _, id := range voters(c.confs.latest().members) {
		if id == c.cfg.ID {
			continue
		}
		c.send(&daisyhatchv1.ConsensusMessage{
			Kind:     kind,
			To:       id,
			Term:     term,
			LogIndex: c.log.last(),
			LogTerm:  c.log.lastTerm(),
			Transfer: transfer,
		})
	}
}

// wonVotes moves on to the next role when a quorum has granted its votes.
func (c *Core) wonVotes() bool {
	if !c.hasQuorum(func(id string) bool { return c.votes[id] }) {
		return false
	}
	if c.role == PreCandidate {
		c.campaign(Candidate, false)
	} else {
		c.becomeLeader()
	}
	return true
}

func (c *Core) stepVote(m *daisyhatchv1.ConsensusMessage) {
	pre := m.GetKind() == msgPreVote
	kind := msgVoteReply
	if pre {
		kind = msgPreVoteReply
	}
	free := c.vote == m.GetFrom() || (c.vote == "" && c.leader == "")
	if pre {
		free = m.GetTerm() > c.term && !c.hearsLeader()
	}
	if !free || !c.log.upToDate(m.GetLogIndex(), m.GetLogTerm()) {
		c.send(&daisyhatchv1.ConsensusMessage{Kind: kind, To: m.GetFrom(), Reject: true})
		return
	}
	if pre {
		c.send(&daisyhatchv1.ConsensusMessage{Kind: kind, To: m.GetFrom(), Term: m.GetTerm()})
		return
	}
	if c.vote == "" {
		c.setHard(c.term, m.GetFrom())
	}
	c.endStart()
	c.send(&daisyhatchv1.ConsensusMessage{Kind: kind, To: m.GetFrom()})
}

func (c *Core) stepVoteReply(m *daisyhatchv1.ConsensusMessage) {
	pre := m.GetKind() == msgPreVoteReply
	switch {
	case m.GetReject():
		return
	case pre && (c.role != PreCandidate || m.GetTerm() != c.term+1):
		return
	case !pre && c.role != Candidate:
		return
	}
	c.votes[m.GetFrom()] = true
	c.wonVotes()
}

func (c *Core) stepTimeoutNow(m *daisyhatchv1.ConsensusMessage) {
	if c.role == Follower && m.GetFrom() == c.leader && c.mayCampaign() {
		c.campaign(Candidate, true)
	}
}

// fromLeader takes note of the leader of this term. It reports whether the message is to be obeyed.
func (c *Core) fromLeader(m *daisyhatchv1.ConsensusMessage) bool {
	one := c.role != Leader && (c.leader == "" || c.leader == m.GetFrom())
	if !c.cfg.Invariants.Assert(one, "raft-one-leader",
		"term %d: %s leads, but so does %s", c.term, c.leader, m.GetFrom()) {
		return false
	}
	c.role = Follower
	c.votes = nil
	c.leader = m.GetFrom()
	c.clock.leaderHeard = c.clock.elapsed
	c.endStart()
	return true
}
