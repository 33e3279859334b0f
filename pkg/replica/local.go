package replica

import (
	"context"
	"fmt"
	"sync"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
)

// Local is a Log of one node that keeps nothing across restarts, for tests of the state machine's users.
type Local struct {
	mu    sync.Mutex
	vm    string
	sm    StateMachine
	index uint64
}

// NewLocal returns a Local that applies commands to sm.
func NewLocal(vm string, sm StateMachine) *Local {
	return &Local{vm: vm, sm: sm}
}

// Propose implements Log.
func (l *Local) Propose(ctx context.Context, command []byte) (Applied, error) {
	if err := ctx.Err(); err != nil {
		return Applied{}, fmt.Errorf("replica: propose: %w", err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.index++
	return Applied{Index: l.index, Result: l.sm.Apply(l.index, command)}, nil
}

// ReadBarrier implements Log.
func (l *Local) ReadBarrier(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("replica: read barrier: %w", err)
	}
	return nil
}

// Status implements Log.
func (l *Local) Status() Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := &daisyhatchv1.Membership{Peers: []*daisyhatchv1.ConsensusPeer{{Vm: l.vm}}}
	return Status{VM: l.vm, Leader: l.vm, Term: 1, Commit: l.index, Applied: l.index, Membership: m}
}

// ChangeMembership implements Log. It is always refused.
func (l *Local) ChangeMembership(context.Context, *daisyhatchv1.ConsensusPeer, string) error {
	return fmt.Errorf("%w: a local log has one member", ErrMembership)
}
