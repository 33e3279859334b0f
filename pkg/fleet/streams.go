package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Numbers and times of an entry VM's streams. With a stream to each control VM, 295 entry VMs cost each control VM a third
// of a core for heartbeats alone.
const (
	// followStreams is how many control VMs an entry VM follows: one goes on while another one is replaced. What a control
	// VM learns reaches the others within milliseconds.
	followStreams = 2
	// confirmedFor is how long a control VM's word that the group confirms its state counts: an election is over by then.
	confirmedFor = 2 * time.Second
	// probation is how long a stream may go without such a word before another control VM is tried in its place.
	probation = 4 * time.Second
	// avoidFor is how long a control VM whose stream failed is left out while there are others.
	avoidFor = 3 * time.Second
)

// streamState is what decides about the stream to one control VM.
type streamState struct {
	address string
	// open is true while the stream stands or is being opened, confirmed while the control VM is in touch with the group.
	open, confirmed bool
	// failing is true when it has not been confirmed for too long.
	failing bool
	// avoided is for how much longer it is left out while there are others, since it failed; 0 when it is not.
	avoided time.Duration
}

// chooseStreams returns the followStreams control VMs that an entry VM follows: those that are confirmed, then those on
// probation, then others, in an order that differs from VM to VM, so that the streams spread. When all have failed, the one
// that failed first is tried next: two that stay down must not keep a VM from those that are back.
func chooseStreams(vm string, all []streamState) []string {
	rank := func(s streamState) uint64 { return xxhash.Sum64String(vm + "\x00" + s.address) }
	class := func(s streamState) int {
		switch {
		case s.confirmed:
			return 0
		case s.open && !s.failing:
			return 1
		case s.avoided > 0 || s.failing:
			return 3
		}
		return 2
	}
	slices.SortFunc(all, func(a, b streamState) int {
		return cmp.Or(
			cmp.Compare(class(a), class(b)), cmp.Compare(a.avoided, b.avoided), cmp.Compare(rank(a), rank(b)), cmp.Compare(a.address, b.address),
		)
	})
	out := make([]string, 0, followStreams)
	for _, s := range all[:min(followStreams, len(all))] {
		out = append(out, s.address)
	}
	return out
}
