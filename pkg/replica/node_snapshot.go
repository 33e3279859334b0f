package replica

import (
	"github.com/daisyhatch/daisyhatch/pkg/wal"
)

// maybeSnapshot begins to replace the log by a snapshot once enough of it has come together. The state is
// encoded in the loop, between two commands; the file is written beside it, since syncing a large one would hold
// up heartbeats.
func (n *Node) maybeSnapshot() {
	s := n.core.Status()
	behind := s.Applied - n.snapMeta.GetIndex()
	if s.Failed || n.staging || behind == 0 || (behind < n.opts.SnapshotEntries && n.logBytes < n.opts.SnapshotBytes) {
		return
	}
	data, err := n.opts.StateMachine.Snapshot()
	if err != nil {
		n.log.Error(err, "the state machine gave no snapshot; the log grows on", "applied", s.Applied)
		return
	}
	if len(data) > maxStepBytes-stepBytes {
		n.log.Error(nil, "the snapshot is too large to be sent to a peer that lags", "bytes", len(data))
	}
	meta := wal.Describe(s.Applied, n.core.TermAt(s.Applied), n.core.MembershipAt(s.Applied), data)
	n.staging = true
	n.logBytes = 0
	n.bg.Go(func() {
		err := n.wal.StageSnapshot(&wal.Snapshot{Meta: meta, Data: data})
		select {
		case n.staged <- stagedSnapshot{meta: meta, err: err}:
		case <-n.stop:
		}
	})
}

// adoptSnapshot puts a written snapshot into force and cuts the log behind it.
func (n *Node) adoptSnapshot(s stagedSnapshot) {
	n.staging = false
	if n.storeErr != nil {
		return
	}
	err := s.err
	if err == nil {
		err = n.wal.AdoptSnapshot(s.meta)
	}
	if err != nil {
		n.fail(err)
		return
	}
	if s.meta.GetIndex() <= n.snapMeta.GetIndex() {
		return // a snapshot from the leader has overtaken it
	}
	snapshotsTaken.Inc()
	n.snapMeta = s.meta
	upTo := s.meta.GetIndex() - min(s.meta.GetIndex(), n.opts.KeptEntries)
	n.core.Compact(s.meta, upTo)
	if err := n.wal.Compact(upTo); err != nil {
		n.fail(err)
	}
}
