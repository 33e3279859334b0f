package wal

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
)

// ForceNewCluster makes the VM of a data folder the only voter of a new group, from what the folder holds. It
// is the way out when a quorum of the voters' disks is lost for good; whatever only the lost ones held is lost,
// and entries that were never committed may become so. No daemon may run on the folder, and none of the other
// members may be started again with its old folder.
//
// confirm must be the text that ConfirmText gives for vm. It returns the index of the recovery's entry. Errors:
// ErrConfirm, ErrEmpty, ErrIdentity, and those of Open.
func ForceNewCluster(o Options, vm string, peer *daisyhatchv1.ConsensusPeer, confirm string) (uint64, error) {
	if confirm != ConfirmText(vm) {
		return 0, fmt.Errorf("%w: the confirmation must read %q", ErrConfirm, ConfirmText(vm))
	}
	w, s, err := Open(o)
	if err != nil {
		return 0, err
	}
	index, err := w.forceNewCluster(s, vm, peer)
	if closeErr := w.Close(); err == nil && closeErr != nil {
		err = fmt.Errorf("%w: close: %w", ErrWrite, closeErr)
	}
	return index, err
}

// ConfirmText is what an operator has to type to force a new group.
func ConfirmText(vm string) string {
	return "I accept the loss of what only the other control VMs held; make " + vm + " the only voter"
}

func (w *WAL) forceNewCluster(s State, vm string, peer *daisyhatchv1.ConsensusPeer) (uint64, error) {
	if s.Snapshot == nil {
		return 0, fmt.Errorf("%w: %s", ErrEmpty, w.opts.Dir)
	}
	instance, err := w.Identity(vm, "")
	if err != nil {
		return 0, err
	}
	self := proto.CloneOf(peer)
	self.Vm, self.Instance, self.Learner, self.Promote = vm, instance, false, false
	data, err := proto.Marshal(&daisyhatchv1.Membership{Peers: []*daisyhatchv1.ConsensusPeer{self}})
	if err != nil {
		return 0, fmt.Errorf("wal: encode membership: %w", err)
	}
	last := s.Snapshot.Meta.GetIndex() + uint64(len(s.Entries))
	term := max(s.HardState.GetTerm(), s.Snapshot.Meta.GetTerm()) + 1
	e := &daisyhatchv1.LogEntry{
		Term:  term,
		Index: last + 1,
		Kind:  daisyhatchv1.EntryKind_ENTRY_KIND_MEMBERSHIP,
		Data:  data,
	}
	hard := &daisyhatchv1.HardState{Term: term, Vote: peerID(self), Commit: s.HardState.GetCommit()}
	w.opts.Log.Info("forcing a new control group of one voter", "vm", vm, "index", e.GetIndex(), "term", term)
	return e.GetIndex(), w.Save(Batch{HardState: hard, Entries: []*daisyhatchv1.LogEntry{e}})
}

func peerID(p *daisyhatchv1.ConsensusPeer) string { return p.GetVm() + "/" + p.GetInstance() }
