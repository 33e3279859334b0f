// Package replica runs a state machine replicated by consensus on the control VMs.
package replica

import (
	"context"
	"errors"
	"time"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
)

// Errors of this package.
var (
	// ErrNoLeader means that no leader is known; the command was not taken.
	ErrNoLeader = errors.New("replica: no leader")
	// ErrUnknownOutcome means that the command was handed over and may yet be applied.
	ErrUnknownOutcome = errors.New("replica: outcome unknown")
	// ErrStopped means that this node has stopped.
	ErrStopped = errors.New("replica: stopped")
	// ErrStorage means that the node's disk refused a write; the node no longer takes part.
	ErrStorage = errors.New("replica: storage failed")
	// ErrTooLarge means that a command is larger than MaxCommandBytes; it was not taken.
	ErrTooLarge = errors.New("replica: command too large")
	// ErrMembership means that a change of the voter set was refused.
	ErrMembership = errors.New("replica: membership change refused")
)

// MaxCommandBytes is the largest command that is taken.
const MaxCommandBytes = 8 << 20

// StateMachine is what the log is applied to. Calls come one at a time, in log order.
type StateMachine interface {
	// Apply applies a command and returns its result. It must depend on its arguments and earlier calls only.
	Apply(index uint64, command []byte) []byte
	// Snapshot returns the whole state.
	Snapshot() ([]byte, error)
	// Restore replaces the whole state.
	Restore(data []byte) error
}

// Applied is the outcome of a proposal.
type Applied struct {
	Index  uint64
	Result []byte
}

// Status describes a node.
type Status struct {
	VM         string
	Leader     string
	Term       uint64
	Commit     uint64
	Applied    uint64
	Membership *daisyhatchv1.Membership
	// Learner is true while this node doesn't count toward the quorum.
	Learner bool
	// StorageFailed is true once the node's disk refused a write; the node takes no part until it is restarted.
	StorageFailed bool
	// Quiet is how long this node has obeyed no leader; 0 while it leads. Nothing was committed with its help meanwhile.
	Quiet time.Duration
}

// Log is the replicated log as its users see it, on the leader and on the others alike.
type Log interface {
	// Propose appends a command and waits until this node has applied it. It forwards to the leader. Errors:
	// ErrNoLeader (not taken), ErrTooLarge (not taken), ErrUnknownOutcome (may be applied later), ErrStopped.
	Propose(ctx context.Context, command []byte) (Applied, error)
	// ReadBarrier returns once this node has applied everything that was committed when it was called, as
	// confirmed by the leader. A read of local state after it is linearizable.
	ReadBarrier(ctx context.Context) error
	// Status returns the node's view of the group.
	Status() Status
	// ChangeMembership adds or removes one member; a new voter starts as a learner and counts once it has
	// caught up.
	ChangeMembership(ctx context.Context, add *daisyhatchv1.ConsensusPeer, remove string) error
}
