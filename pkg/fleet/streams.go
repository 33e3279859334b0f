package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Limits and times of an entry VM's streams. If each of 295 entry VMs had a stream to each control VM, heartbeats
// alone would cost each control VM a third of a core.
const (
	// streamsPerEntryVM is how many control VMs an entry VM follows: one stream goes on while another is replaced.
	// What a control VM learns reaches the others within milliseconds.
	streamsPerEntryVM = 2
	// confirmedFor is how long a control VM's statement that the group confirms its state is valid: two heartbeats and a
	// margin. When it has run out for all streams of an entry VM, that VM follows one more control VM: those that it follows
	// may be cut off from a majority that goes on. An election is over sooner, since control VMs repeat the statement for
	// confirmationTTL.
	confirmedFor = time.Second
	// unconfirmedTimeout is how long a stream may go without such a statement before another control VM is tried in
	// its place.
	unconfirmedTimeout = 4 * time.Second
	// failedStreamBackoff is how long a control VM whose stream failed is passed over while there are others.
	failedStreamBackoff = 3 * time.Second
)

// streamState is what chooseStreams knows of the stream to one control VM.
type streamState struct {
	address string
	// open is true while the stream is open and has carried a message, confirmed while the control VM is in contact with
	// the group.
	open, confirmed bool
	// failing is true once the stream has gone without confirmation for unconfirmedTimeout.
	failing bool
	// backoff is how much longer the control VM is passed over after a failure while there are others; 0 if it is
	// not.
	backoff time.Duration
}

// chooseStreams returns the n control VMs that an entry VM follows: first those that are confirmed,
// then those whose stream is open and not failing, then others. Within these, the order differs by VM, so that the
// streams spread over the control VMs. When all have failed, the one that failed first is tried next, so that two
// that stay down don't keep a VM from those that are back.
func chooseStreams(vm string, all []streamState, n int) []string {
	rank := func(s streamState) uint64 { return xxhash.Sum64String(vm + "\x00" + s.address) }
	priority := func(s streamState) int {
		switch {
		case s.confirmed:
			return 0
		case s.open && !s.failing:
			return 1
		case s.backoff > 0 || s.failing:
			return 3
		}
		return 2
	}
	slices.SortFunc(all, func(a, b streamState) int {
		return cmp.Or(
			cmp.Compare(priority(a), priority(b)), cmp.Compare(a.backoff, b.backoff), cmp.Compare(rank(a), rank(b)), cmp.Compare(a.address, b.address),
		)
	})
	out := make([]string, 0, n)
	for _, s := range all[:min(n, len(all))] {
		out = append(out, s.address)
	}
	return out
}
