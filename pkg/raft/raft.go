// Package raft is the consensus core of the control VMs: elections with pre-vote and check-quorum, log
// replication, read indexes, snapshots, learners, membership changes one at a time, and leadership transfer.
//
// The core is pure. Messages, proposals and the time go in; writes, messages, committed entries and confirmed
// reads come out. It holds no clock, socket, file, goroutine or global random source. A message that speaks of
// a write leaves the core only after Synced has confirmed that write, so that a driver can't send it early.
package raft

import (
	"errors"
	"math/rand/v2"
	"time"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/pkg/invariant"
)

// Errors of this package.
var (
	// ErrNotLeader means that this core doesn't lead; nothing was taken.
	ErrNotLeader = errors.New("raft: not the leader")
	// ErrTransferring means that leadership is being handed over; nothing was taken.
	ErrTransferring = errors.New("raft: leadership is being handed over")
	// ErrNotReady means that the leader has not yet committed an entry of its term.
	ErrNotReady = errors.New("raft: leader has not committed in its term yet")
	// ErrChangePending means that an earlier membership change is not committed yet.
	ErrChangePending = errors.New("raft: a membership change is pending")
	// ErrQuorum means that a membership change would leave too few live voters.
	ErrQuorum = errors.New("raft: change would lose the quorum of live voters")
	// ErrIsLeader means that the member to be removed leads; it hands leadership over first.
	ErrIsLeader = errors.New("raft: the leader must hand over before it is removed")
	// ErrPeer means that a membership change names an unknown, duplicate or incomplete peer.
	ErrPeer = errors.New("raft: unusable peer")
)

// Defaults of Config.
const (
	DefaultElectionTimeout   = 400 * time.Millisecond
	DefaultHeartbeatInterval = 80 * time.Millisecond
	DefaultMaxAppendBytes    = 512 << 10
	DefaultMaxAppendEntries  = 256
	DefaultMaxInflight       = 1024
)

// Config is what a core is made from. Zero fields take the defaults.
type Config struct {
	// ID is this peer's identity, as PeerID gives it.
	ID string
	// ElectionTimeout is the shortest silence of the leader after which a voter campaigns; the longest is twice that.
	ElectionTimeout time.Duration
	// HeartbeatInterval is the time between heartbeats; well under ElectionTimeout.
	HeartbeatInterval time.Duration
	// MaxAppendBytes bounds the entries of one append message, unless a single entry is larger.
	MaxAppendBytes int
	// MaxAppendEntries bounds the entries of one append message.
	MaxAppendEntries int
	// MaxInflight bounds the unacknowledged entries on their way to one peer.
	MaxInflight uint64
	// Rand draws election timeouts.
	Rand *rand.Rand
	// Invariants records broken invariants; may be nil.
	Invariants *invariant.Recorder
}

func (c *Config) setDefaults() {
	if c.ElectionTimeout == 0 {
		c.ElectionTimeout = DefaultElectionTimeout
	}
	if c.HeartbeatInterval == 0 {
		c.HeartbeatInterval = DefaultHeartbeatInterval
	}
	if c.MaxAppendBytes == 0 {
		c.MaxAppendBytes = DefaultMaxAppendBytes
	}
	if c.MaxAppendEntries == 0 {
		c.MaxAppendEntries = DefaultMaxAppendEntries
	}
	if c.MaxInflight == 0 {
		c.MaxInflight = DefaultMaxInflight
	}
	if c.Rand == nil {
		c.Rand = rand.New(rand.NewPCG(0, 0))
	}
}

// Restored is the durable state that a core starts from.
type Restored struct {
	HardState *daisyhatchv1.HardState
	// Snapshot is the newest snapshot's description; nil for a peer that has nothing yet.
	Snapshot *daisyhatchv1.SnapshotMeta
	// Entries follow the snapshot without a gap.
	Entries []*daisyhatchv1.LogEntry
}

// Role is what a core currently is.
type Role int

// Roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String implements fmt.Stringer.
func (r Role) String() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[r]
}

// PeerID is the identity of a member in messages and votes: its VM name, with the identity of its data folder
// when it has one.
func PeerID(p *daisyhatchv1.ConsensusPeer) string {
	if p.GetInstance() == "" {
		return p.GetVm()
	}
	return p.GetVm() + "/" + p.GetInstance()
}

// Core is the state of one peer. It is not safe for concurrent use.
type Core struct {
	cfg Config

	role   Role
	term   uint64
	vote   string
	leader string
	log    raftLog
	confs  confHistory
	snap   *daisyhatchv1.SnapshotMeta

	commit  uint64
	applied uint64
	failed  bool

	clock peerClock
	votes map[string]bool

	lead    leaderState
	persist persistState
	out     []outbound
	reads   []Read
}

// peerClock counts the time that has passed, from readings that may step.
type peerClock struct {
	last        time.Time
	elapsed     time.Duration
	electionAt  time.Duration
	leaderHeard time.Duration
	// startUntil is until when this peer, which has just started, asks for pre-votes after heartbeat intervals instead of election
	// timeouts; 0 once an election is under way or a leader was heard.
	startUntil time.Duration
}

// startTimeouts is how many election timeouts after its start a peer asks for pre-votes more often.
const startTimeouts = 4

// New returns a follower with the restored state.
func New(cfg Config, r Restored, now time.Time) *Core {
	cfg.setDefaults()
	c := &Core{cfg: cfg, snap: r.Snapshot}
	c.clock.last = now
	c.term = r.HardState.GetTerm()
	c.vote = r.HardState.GetVote()
	c.log = newLog(r.Snapshot, r.Entries)
	if t := c.log.lastTerm(); t > c.term {
		// A crash came between a received snapshot and the hard state behind it.
		c.term, c.vote = t, ""
	}
	c.confs = newConfHistory(r.Snapshot, r.Entries)
	c.commit = max(r.Snapshot.GetIndex(), min(r.HardState.GetCommit(), c.log.last()))
	c.applied = r.Snapshot.GetIndex()
	c.persist.stable = c.log.last()
	c.persist.handed = c.log.last()
	c.persist.durable = hardState{term: c.term, vote: c.vote}
	c.clock.startUntil = startTimeouts * c.cfg.ElectionTimeout
	c.resetElection()
	return c
}

// advance moves the clock. A reading before the last one counts as no time passed.
func (c *Core) advance(now time.Time) {
	if d := now.Sub(c.clock.last); d > 0 {
		c.clock.elapsed += d
	}
	c.clock.last = now
}

// resetElection sets the time of the next election if no leader is heard until then.
//
// It answers a restart of all peers: none leads, and waiting for an election timeout serves nobody. A peer that has just started asks for
// pre-votes at once; those that hear a leader, or may have until just now, refuse them. The spread is the same, so that votes don't split
// more often on slow disks and links.
func (c *Core) resetElection() {
	wait := c.cfg.ElectionTimeout
	if c.clock.elapsed < c.clock.startUntil {
		wait = c.cfg.HeartbeatInterval
	}
	c.clock.electionAt = c.clock.elapsed + wait + time.Duration(c.cfg.Rand.Int64N(int64(c.cfg.ElectionTimeout)))
}

// endStart makes the next election wait for an election timeout, since one is under way or a leader was heard.
func (c *Core) endStart() {
	c.clock.startUntil = 0
	c.resetElection()
}

// Tick lets time pass: it starts elections, sends heartbeats and lets a leader without a quorum step down.
func (c *Core) Tick(now time.Time) {
	c.advance(now)
	if c.failed {
		return
	}
	if c.role == Leader {
		c.tickLeader()
		return
	}
	if c.clock.elapsed < c.clock.electionAt {
		return
	}
	c.resetElection()
	if c.mayCampaign() {
		c.campaign(PreCandidate, false)
	}
}

// Fail takes the peer out of the group until it is restarted, after its storage refused a write. It sends
// nothing further, since nothing that it says could be relied on.
func (c *Core) Fail() {
	c.failed = true
	c.role = Follower
	c.leader = ""
	c.out = nil
	c.dropLeaderState()
}

// Status describes the core.
type Status struct {
	Role    Role
	Term    uint64
	Leader  string
	Commit  uint64
	Applied uint64
	Last    uint64
	// FirstKept is the lowest index still in the log.
	FirstKept uint64
	Voter     bool
	// Failed is set once Fail was called.
	Failed bool
	// Quiet is how long this core has obeyed no leader; 0 while it leads. Nothing was committed with its help meanwhile.
	Quiet time.Duration
}

// Status returns the core's view.
func (c *Core) Status() Status {
	return Status{
		Role:      c.role,
		Term:      c.term,
		Leader:    c.leader,
		Commit:    c.commit,
		Applied:   c.applied,
		Last:      c.log.last(),
		FirstKept: c.log.base + 1,
		Voter:     c.confs.isVoter(c.cfg.ID),
		Failed:    c.failed,
		Quiet:     c.quiet(),
	}
}

// Membership returns the members in force: those of the newest membership entry in the log.
func (c *Core) Membership() *daisyhatchv1.Membership { return c.confs.latest().members }

// ClaimsLeadership reports whether this core leads; another may have been elected since.
func (c *Core) ClaimsLeadership() bool { return c.role == Leader && !c.failed }

// TermAt returns the term of the entry at index i, 0 when it is not kept.
func (c *Core) TermAt(i uint64) uint64 {
	t, _ := c.log.termAt(i)
	return t
}
