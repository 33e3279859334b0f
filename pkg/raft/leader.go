package raft

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
)

// progressState tells how entries are sent to a peer.
type progressState int

const (
	// probing: where the peer's log matches is not known; one message per heartbeat.
	probing progressState = iota
	// replicating: entries are sent ahead of acknowledgements.
	replicating
	// installing: a snapshot is on its way.
	installing
)

// progress is what the leader knows of a peer.
type progress struct {
	match uint64
	next  uint64
	state progressState
	// probed is set while a probe awaits its answer or the next heartbeat.
	probed bool
	// round is the newest heartbeat round that the peer answered.
	round uint64
	heard time.Duration
	// installAt is when the last snapshot was sent.
	installAt time.Duration
}

// leaderState is what only a leader holds.
type leaderState struct {
	peers       map[string]*progress
	heartbeatAt time.Duration
	checkAt     time.Duration
	// round numbers the heartbeats of this term.
	round uint64
	// broadcast is set when there is news for the peers.
	broadcast bool
	reads     []pendingRead
	readRound bool

	transferee     string
	transferringAt time.Duration
}

// snapshotResend is how long a snapshot may be on its way before it is sent again, in election timeouts.
const snapshotResend = 10

func (c *Core) becomeLeader() {
	c.role = Leader
	c.leader = c.cfg.ID
	c.votes = nil
	c.lead = leaderState{peers: make(map[string]*progress)}
	c.lead.checkAt = c.clock.elapsed + c.cfg.ElectionTimeout
	c.lead.heartbeatAt = c.clock.elapsed + c.cfg.HeartbeatInterval
	c.syncProgress()
	c.appendEntry(daisyhatchv1.EntryKind_ENTRY_KIND_NOOP, nil)
}

// syncProgress keeps one progress for each member other than this one.
func (c *Core) syncProgress() {
	ids := make(map[string]bool)
	for _, p := range c.confs.latest().members.GetPeers() {
		id := PeerID(p)
		ids[id] = true
		if id != c.cfg.ID && c.lead.peers[id] == nil {
			c.lead.peers[id] = &progress{next: c.log.last() + 1, heard: c.clock.elapsed}
		}
	}
	for id := range c.lead.peers {
		if !ids[id] {
			delete(c.lead.peers, id)
		}
	}
}

// peerIDs returns the peers in a fixed order, so that the same inputs give the same outputs.
func (c *Core) peerIDs() []string {
	ids := make([]string, 0, len(c.lead.peers))
	for id := range c.lead.peers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// appendEntry adds an entry of the leader's term and returns its index.
func (c *Core) appendEntry(kind daisyhatchv1.EntryKind, data []byte) uint64 {
	e := &daisyhatchv1.LogEntry{Term: c.term, Index: c.log.last() + 1, Kind: kind, Data: data}
	c.log.append(e)
	c.confs.add(e)
	c.lead.broadcast = true
	return e.GetIndex()
}

// Propose appends commands; they get consecutive indexes from the returned one, in the returned term. Errors:
// ErrNotLeader, ErrTransferring; nothing was taken then.
func (c *Core) Propose(commands ...[]byte) (first, term uint64, err error) {
	if !c.ClaimsLeadership() {
		return 0, 0, ErrNotLeader
	}
	if c.lead.transferee != "" {
		return 0, 0, ErrTransferring
	}
	first = c.log.last() + 1
	for _, data := range commands {
		c.appendEntry(daisyhatchv1.EntryKind_ENTRY_KIND_COMMAND, data)
	}
	return first, c.term, nil
}

func (c *Core) committedInTerm() bool {
	t, ok := c.log.termAt(c.commit)
	return ok && t == c.term
}

// isLive reports whether the peer was heard within the shortest election timeout.
func (c *Core) isLive(id string) bool {
	if id == c.cfg.ID {
		return true
	}
	pr := c.lead.peers[id]
	return pr != nil && c.clock.elapsed-pr.heard < c.cfg.ElectionTimeout
}

// Silences returns for how long this leader has not heard each other member, by identity; nil on others.
func (c *Core) Silences() map[string]time.Duration {
	if !c.ClaimsLeadership() {
		return nil
	}
	out := make(map[string]time.Duration, len(c.lead.peers))
	for id, pr := range c.lead.peers {
		out[id] = c.clock.elapsed - pr.heard
	}
	return out
}

func (c *Core) tickLeader() {
	now := c.clock.elapsed
	if now >= c.lead.checkAt {
		c.lead.checkAt = now + c.cfg.ElectionTimeout
		if !c.hasQuorum(c.isLive) {
			c.becomeFollower(c.term)
			return
		}
	}
	if c.lead.transferee != "" && now >= c.lead.transferringAt+c.cfg.ElectionTimeout {
		c.lead.transferee = ""
	}
	if now < c.lead.heartbeatAt {
		return
	}
	c.lead.heartbeatAt = now + c.cfg.HeartbeatInterval
	c.lead.round++
	for _, id := range c.peerIDs() {
		pr := c.lead.peers[id]
		pr.probed = false
		if pr.state == installing && now >= pr.installAt+snapshotResend*c.cfg.ElectionTimeout {
			pr.state = probing
			pr.next = pr.match + 1
		}
		c.sendHeartbeat(id, pr)
		if pr.next <= c.log.last() {
			c.lead.broadcast = true
		}
	}
}

// sendHeartbeat sends an append without entries. It follows the last entry sent, so that a peer which missed
// one says so.
func (c *Core) sendHeartbeat(id string, pr *progress) {
	prev := pr.next - 1
	term, ok := c.log.termAt(prev)
	if pr.state == installing || !ok {
		prev, term = 0, 0
	}
	c.send(&daisyhatchv1.ConsensusMessage{
		Kind:     msgAppend,
		To:       id,
		LogIndex: prev,
		LogTerm:  term,
		Commit:   c.commit,
		Round:    c.lead.round,
	})
}

// flush sends the news since the last flush: entries, the commit index, and a heartbeat round for reads.
func (c *Core) flush() {
	if c.role != Leader {
		return
	}
	c.confirmReads()
	if c.lead.readRound {
		c.lead.readRound = false
		c.lead.round++
		for _, id := range c.peerIDs() {
			c.sendHeartbeat(id, c.lead.peers[id])
		}
	}
	if !c.lead.broadcast {
		return
	}
	c.lead.broadcast = false
	for _, id := range c.peerIDs() {
		c.sendEntries(id, c.lead.peers[id])
	}
}

// sendEntries sends what the peer lacks, as far as its window allows, and at least the commit index.
func (c *Core) sendEntries(id string, pr *progress) {
	for {
		if pr.state == installing || (pr.state == probing && pr.probed) {
			return
		}
		prev := pr.next - 1
		term, ok := c.log.termAt(prev)
		if !ok {
			c.sendSnapshot(id, pr)
			return
		}
		entries := c.batch(pr)
		c.send(&daisyhatchv1.ConsensusMessage{
			Kind:     msgAppend,
			To:       id,
			LogIndex: prev,
			LogTerm:  term,
			Entries:  entries,
			Commit:   c.commit,
			Round:    c.lead.round,
		})
		if pr.state == probing {
			pr.probed = true
			return
		}
		pr.next += uint64(len(entries))
		if len(entries) == 0 || pr.next > c.log.last() {
			return
		}
	}
}

// batch returns the next entries for a peer, bounded by message size and window.
func (c *Core) batch(pr *progress) []*daisyhatchv1.LogEntry {
	ahead := pr.next - 1 - pr.match
	if pr.state == replicating && ahead >= c.cfg.MaxInflight {
		return nil
	}
	hi := min(c.log.last(), pr.next-1+uint64(c.cfg.MaxAppendEntries))
	size := 0
	for i := pr.next; i <= hi; i++ {
		size += proto.Size(c.log.at(i))
		if size > c.cfg.MaxAppendBytes && i > pr.next {
			hi = i - 1
		}
	}
	return c.log.slice(pr.next, hi)
}

func (c *Core) sendSnapshot(id string, pr *progress) {
	pr.state = installing
	pr.installAt = c.clock.elapsed
	c.send(&daisyhatchv1.ConsensusMessage{Kind: msgSnapshot, To: id, Snapshot: c.snap, Round: c.lead.round})
}

func (c *Core) stepAppendReply(m *daisyhatchv1.ConsensusMessage) {
	pr := c.lead.peers[m.GetFrom()]
	if c.role != Leader || pr == nil {
		return
	}
	pr.heard = c.clock.elapsed
	pr.round = max(pr.round, m.GetRound())
	if m.GetReject() {
		c.replyRejected(m, pr)
		return
	}
	if !c.cfg.Invariants.Assert(m.GetLogIndex() <= c.log.last(), "raft-match-within-log",
		"%s acknowledged %d, the log ends at %d", m.GetFrom(), m.GetLogIndex(), c.log.last()) {
		return
	}
	if m.GetLogIndex() > pr.match {
		pr.match = m.GetLogIndex()
		c.maybeCommit()
	}
	if c.role != Leader {
		return
	}
	pr.next = max(pr.next, pr.match+1)
	if pr.state == probing || (pr.state == installing && pr.match >= c.log.base) {
		pr.state = replicating
		pr.probed = false
		pr.next = pr.match + 1
	}
	if pr.next <= c.log.last() {
		c.lead.broadcast = true
	}
	c.maybePromote(m.GetFrom(), pr)
	c.maybeHandOver(m.GetFrom(), pr)
}

// replyRejected moves back to where the peer's log may match.
func (c *Core) replyRejected(m *daisyhatchv1.ConsensusMessage, pr *progress) {
	if pr.state == installing || m.GetLogIndex() <= pr.match {
		return
	}
	if pr.state == probing && m.GetLogIndex() != pr.next-1 {
		return
	}
	hint, _ := c.log.conflictHint(min(m.GetHintIndex(), m.GetLogIndex()-1), m.GetHintTerm())
	pr.next = max(hint, pr.match) + 1
	pr.state = probing
	pr.probed = false
	c.lead.broadcast = true
}

// maybeCommit commits the newest entry of this term that a quorum has synced, and all before it.
func (c *Core) maybeCommit() {
	ids := voters(c.confs.latest().members)
	if c.role != Leader || len(ids) == 0 {
		return
	}
	match := make([]uint64, 0, len(ids))
	for _, id := range ids {
		match = append(match, c.matchOf(id))
	}
	slices.Sort(match)
	n := match[len(match)-quorum(len(match))]
	if t, ok := c.log.termAt(n); n <= c.commit || !ok || t != c.term {
		return
	}
	c.commitTo(n)
	c.lead.broadcast = true
	if c.confs.latest().index <= c.commit && !c.confs.isVoter(c.cfg.ID) {
		c.flush()
		c.becomeFollower(c.term)
	}
}

// matchOf returns up to where the peer's synced log matches the leader's.
func (c *Core) matchOf(id string) uint64 {
	if id == c.cfg.ID {
		return c.persist.stable
	}
	if pr := c.lead.peers[id]; pr != nil {
		return pr.match
	}
	return 0
}

func (c *Core) commitTo(n uint64) {
	if !c.cfg.Invariants.Assert(n >= c.commit && n <= c.log.last(), "raft-commit-monotonic",
		"commit %d to %d with the log ending at %d", c.commit, n, c.log.last()) {
		return
	}
	c.commit = n
}

// TransferLeadership starts to hand leadership to the peer called id, or to the most advanced live voter when
// id is empty. Proposals are refused meanwhile; it is given up after an election timeout. Errors: ErrNotLeader,
// ErrPeer.
func (c *Core) TransferLeadership(id string) error {
	if !c.ClaimsLeadership() {
		return ErrNotLeader
	}
	if id == "" {
		id = c.Successor(nil)
	}
	pr := c.lead.peers[id]
	if pr == nil || !c.confs.isVoter(id) {
		return ErrPeer
	}
	c.lead.transferee = id
	c.lead.transferringAt = c.clock.elapsed
	c.maybeHandOver(id, pr)
	return nil
}

// Successor returns the most advanced live voter other than this one, if possible on none of the VMs avoid; empty if there is
// none.
func (c *Core) Successor(avoid []string) string {
	best, avoided := "", ""
	for _, id := range voters(c.confs.latest().members) {
		if id == c.cfg.ID || !c.isLive(id) {
			continue
		}
		to := &best
		if slices.Contains(avoid, VMOf(id)) {
			to = &avoided
		}
		if *to == "" || c.matchOf(id) > c.matchOf(*to) {
			*to = id
		}
	}
	return cmp.Or(best, avoided)
}

func (c *Core) maybeHandOver(id string, pr *progress) {
	if c.lead.transferee == id && pr.match == c.log.last() {
		c.send(&daisyhatchv1.ConsensusMessage{Kind: msgTimeoutNow, To: id})
	}
}
