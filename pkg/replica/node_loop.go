package replica

import (
	"fmt"
	"time"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/pkg/raft"
	"github.com/daisyhatch/daisyhatch/pkg/wal"
)

const (
	// queuedCalls and queuedSteps bound what waits for the loop.
	queuedCalls = 1024
	queuedSteps = 256
	// ticksPerHeartbeat is how often the loop looks at the time within one heartbeat interval.
	ticksPerHeartbeat = 4
	// maxBatch bounds the calls and steps taken in before a write.
	maxBatch = 1024
)

// outcome is how a proposal ended.
type outcome struct {
	applied Applied
	err     error
}

type proposal struct {
	command []byte
	result  chan<- outcome
}

// waiter is a proposal that was appended in the given term.
type waiter struct {
	term   uint64
	result chan<- outcome
}

type readResult struct {
	index uint64
	err   error
}

// barrier is closed once index is applied.
type barrier struct {
	index uint64
	done  chan<- error
}

// stagedSnapshot is a snapshot that was written beside the log, or could not be.
type stagedSnapshot struct {
	meta *daisyhatchv1.SnapshotMeta
	err  error
}

type leadership struct {
	leader string
	term   uint64
}

// run is the loop that owns the core, the log on disk and the state machine.
func (n *Node) run() {
	defer close(n.done)
	tick := time.NewTicker(n.opts.HeartbeatInterval / ticksPerHeartbeat)
	defer tick.Stop()
	for {
		select {
		case <-n.stop:
			n.endAll(ErrStopped)
			return
		case f := <-n.calls:
			f()
		case c := <-n.inbox:
			n.step(c)
		case s := <-n.staged:
			n.adoptSnapshot(s)
		case <-tick.C:
			now := time.Now()
			n.core.Tick(now)
			n.maybeReopen(now)
		}
		n.drain()
		n.process()
	}
}

// drain takes in what else waits, so that one write and sync serves all of it.
func (n *Node) drain() {
	for range maxBatch {
		select {
		case f := <-n.calls:
			f()
		case c := <-n.inbox:
			n.step(c)
		default:
			return
		}
	}
}

func (n *Node) step(c *stepCall) {
	now := time.Now()
	for _, m := range c.messages {
		n.core.Step(now, m)
	}
	if c.answer != nil {
		n.callers = append(n.callers, c)
	}
}

// process carries out what the core asks for until it asks for nothing more.
func (n *Node) process() {
	n.proposeAll()
	for {
		n.send()
		p, ok := n.core.NextPersist()
		// A leader's entries go out while it syncs its own copy.
		n.send()
		if ok && !n.save(p) {
			break
		}
		n.send()
		n.apply()
		n.answerReads()
		if !ok {
			break
		}
	}
	n.answerCallers()
	n.maybeSnapshot()
	n.publish()
}

func (n *Node) save(p raft.Persist) bool {
	b := wal.Batch{HardState: p.HardState, Entries: p.Entries}
	if p.Snapshot != nil {
		b.Snapshot = &wal.Snapshot{Meta: p.Snapshot.Meta, Data: p.Snapshot.Data}
	}
	begin := time.Now()
	if err := n.wal.Save(b); err != nil {
		n.fail(err)
		return false
	}
	syncSeconds.UpdateDuration(begin)
	if p.Snapshot != nil {
		n.snapMeta = p.Snapshot.Meta
		n.logBytes = 0
	}
	for _, e := range p.Entries {
		n.logBytes += uint64(len(e.GetData()))
	}
	n.core.Synced(p.Seq)
	return true
}

// fail takes the node out of the group after its disk refused a write.
func (n *Node) fail(err error) {
	storageFailures.Inc()
	n.log.Error(err, "storage failed; this node takes no part until its disk can be used again")
	n.storeErr = fmt.Errorf("%w: %w", ErrStorage, err)
	n.core.Fail()
	n.answerReads()
	n.endAll(n.storeErr)
	n.publish()
}

// endAll ends everything that waits. Proposals that were appended may yet be applied by others.
func (n *Node) endAll(err error) {
	for _, p := range n.proposals {
		p.result <- outcome{err: err}
	}
	n.proposals = nil
	for i, w := range n.waiting {
		w.result <- outcome{err: fmt.Errorf("%w: %w", ErrUnknownOutcome, err)}
		delete(n.waiting, i)
	}
	for id, r := range n.reads {
		r <- readResult{err: err}
		delete(n.reads, id)
	}
	for _, b := range n.barriers {
		b.done <- err
	}
	n.barriers = nil
}

// proposeAll appends all waiting proposals at once.
func (n *Node) proposeAll() {
	if len(n.proposals) == 0 {
		return
	}
	batch := n.proposals
	n.proposals = nil
	commands := make([][]byte, 0, len(batch))
	for _, p := range batch {
		commands = append(commands, p.command)
	}
	proposals.Add(len(batch))
	batchSize.Update(float64(len(batch)))
	first, term, err := n.core.Propose(commands...)
	for i, p := range batch {
		if err != nil {
			p.result <- outcome{err: fmt.Errorf("%w: %w", ErrNoLeader, err)}
			continue
		}
		n.waiting[first+uint64(i)] = waiter{term: term, result: p.result}
	}
}

// apply hands committed entries to the state machine and answers their proposers.
func (n *Node) apply() {
	a := n.core.TakeApply()
	if a.Snapshot != nil {
		n.restoreReceived(a.Snapshot)
	}
	for _, e := range a.Entries {
		var result []byte
		if e.GetKind() == daisyhatchv1.EntryKind_ENTRY_KIND_COMMAND {
			result = n.opts.StateMachine.Apply(e.GetIndex(), e.GetData())
		}
		w, ok := n.waiting[e.GetIndex()]
		if !ok {
			continue
		}
		delete(n.waiting, e.GetIndex())
		if w.term == e.GetTerm() {
			w.result <- outcome{applied: Applied{Index: e.GetIndex(), Result: result}}
		} else {
			w.result <- outcome{err: fmt.Errorf("%w: another leader's entry took the place", ErrNoLeader)}
		}
	}
	if a.Snapshot != nil || len(a.Entries) > 0 {
		n.releaseBarriers()
	}
}

// restoreReceived replaces the state by the leader's snapshot. Proposals that it covers have an unknown outcome.
func (n *Node) restoreReceived(s *raft.Snapshot) {
	if err := n.opts.StateMachine.Restore(s.Data); err != nil {
		n.fail(fmt.Errorf("restore snapshot at %d: %w", s.Meta.GetIndex(), err))
		return
	}
	n.log.Info("restored a snapshot from the leader", "index", s.Meta.GetIndex(), "bytes", len(s.Data))
	for i, w := range n.waiting {
		if i <= s.Meta.GetIndex() {
			w.result <- outcome{err: fmt.Errorf("%w: replaced by a snapshot", ErrUnknownOutcome)}
			delete(n.waiting, i)
		}
	}
}

func (n *Node) releaseBarriers() {
	applied := n.core.Status().Applied
	kept := n.barriers[:0]
	for _, b := range n.barriers {
		if b.index <= applied {
			b.done <- nil
		} else {
			kept = append(kept, b)
		}
	}
	clear(n.barriers[len(kept):])
	n.barriers = kept
}

func (n *Node) answerReads() {
	for _, r := range n.core.TakeReads() {
		ch, ok := n.reads[r.ID]
		if !ok {
			continue
		}
		delete(n.reads, r.ID)
		if r.Failed {
			ch <- readResult{err: fmt.Errorf("%w: leadership was lost", ErrNoLeader)}
		} else {
			ch <- readResult{index: r.Index}
		}
	}
}

// send passes the core's messages to the transport; a snapshot's data is read from disk only here.
func (n *Node) send() {
	msgs := n.core.TakeMessages()
	if len(msgs) == 0 {
		return
	}
	n.net.setMembers(n.core.Membership())
	for _, m := range msgs {
		if m.GetSnapshot() != nil && !n.attachSnapshot(m) {
			continue
		}
		if !n.putIntoAnswer(m) {
			n.net.send(m)
		}
	}
}

func (n *Node) attachSnapshot(m *daisyhatchv1.ConsensusMessage) bool {
	s, err := n.wal.ReadSnapshot()
	if err != nil || s == nil {
		n.log.Error(err, "no snapshot to send", "to", m.GetTo())
		return false
	}
	m.Snapshot = s.Meta
	m.SnapshotData = s.Data
	return true
}

// publish makes the node's state visible to other goroutines and tells of a new leader.
func (n *Node) publish() {
	c := n.core.Status()
	s := Status{
		VM:         n.opts.VM,
		Leader:     raft.VMOf(c.Leader),
		Term:       c.Term,
		Commit:     c.Commit,
		Applied:    c.Applied,
		Membership: n.core.Membership(),
		Learner:    !c.Voter,
		Quiet:      c.Quiet,

		StorageFailed: c.Failed,
	}
	gauges(s)
	n.mu.Lock()
	n.status = s
	n.hasState = n.hasState || c.Term > 0 || c.Last > 0
	n.mu.Unlock()
	now := leadership{leader: s.Leader, term: s.Term}
	if now == n.told {
		return
	}
	n.told = now
	leaderChanges.Inc()
	n.log.Info("leader changed", "leader", s.Leader, "term", s.Term)
	if n.opts.OnLeader != nil {
		n.opts.OnLeader(s.Leader, s.Term)
	}
}
