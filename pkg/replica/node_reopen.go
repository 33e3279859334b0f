package replica

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/daisyhatch/daisyhatch/pkg/raft"
	"github.com/daisyhatch/daisyhatch/pkg/wal"
)

// reopenInterval is the time between two attempts to use a disk again that refused a write.
const reopenInterval = 500 * time.Millisecond

// maybeReopen starts the node anew from its disk after the disk refused a write, as a restart of the process would: what
// was not synced was never spoken of. While the disk still refuses, the node stays out.
func (n *Node) maybeReopen(now time.Time) {
	if n.storeErr == nil || n.staging || now.Sub(n.reopenedAt) < reopenInterval {
		return
	}
	n.reopenedAt = now
	if err := n.reopen(now); err != nil {
		n.log.Info("disk can't be used yet", "reason", err.Error())
		return
	}
	n.storeErr = nil
	n.log.Info("disk is in use again", "applied", n.core.Status().Applied)
	n.publish()
}

func (n *Node) reopen(now time.Time) error {
	// The failed log holds nothing that counts; it was reported when it failed.
	_ = n.wal.Close()
	w, s, err := wal.Open(wal.Options{FS: n.opts.FS, Dir: n.opts.DataDir, Log: n.log})
	if err != nil {
		return fmt.Errorf("%w: %w", ErrStorage, err)
	}
	n.wal = w
	if err := w.Probe(); err != nil {
		return fmt.Errorf("%w: %w", ErrStorage, err)
	}
	state := n.initial
	if s.Snapshot != nil && s.Snapshot.Meta.GetIndex() > 0 {
		state = s.Snapshot.Data
	}
	if err := n.opts.StateMachine.Restore(state); err != nil {
		return fmt.Errorf("replica: restore after a storage failure: %w", err)
	}
	n.loadCore(s, now)
	return nil
}

// loadCore makes the core from what the disk holds.
func (n *Node) loadCore(s wal.State, now time.Time) {
	r := raft.Restored{HardState: s.HardState, Entries: s.Entries}
	n.snapMeta = nil
	if s.Snapshot != nil {
		r.Snapshot = s.Snapshot.Meta
		n.snapMeta = s.Snapshot.Meta
	}
	n.logBytes = 0
	for _, e := range s.Entries {
		n.logBytes += uint64(len(e.GetData()))
	}
	n.core = raft.New(raft.Config{
		ID:                n.id,
		ElectionTimeout:   n.opts.ElectionTimeout,
		HeartbeatInterval: n.opts.HeartbeatInterval,
		Rand:              rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		Invariants:        n.opts.Invariants,
	}, r, now)
}
