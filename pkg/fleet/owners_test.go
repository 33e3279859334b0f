package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/daisyhatch/daisyhatch/pkg/stageowner"
)

// A VM that was paused or cut off must not go on making stage calls: the leader has assigned another owner by then.
func TestMayFormCallsNeedsRecentConfirmation(t *testing.T) {
	c := &Control{}
	require.False(t, c.MayFormCalls(), "before the first confirmation")
	c.confirmedAt = time.Now()
	require.True(t, c.MayFormCalls())
	c.confirmedAt = time.Now().Add(-stageowner.LostAfter)
	require.False(t, c.MayFormCalls())
	require.Less(t, 2*confirmInterval, stageowner.LostAfter, "one missed confirmation must not stop stage calls")
}

func TestOnlyOwnerAcceptsJobs(t *testing.T) {
	state := NewState(StateOptions{})
	c := &Control{opts: ControlOptions{State: state, Address: "a"}}
	_, ok := c.owns("s", 0)
	require.False(t, ok, "the service has no owner")
	state.mergeOwners([]stageowner.Owner{{Service: "s", Address: "b", Term: 2}})
	o, ok := c.owns("s", 2)
	require.False(t, ok)
	require.Equal(t, "b", o.Address, "the current owner is returned to the caller")
	_, ok = c.owns("s", 3)
	require.True(t, ok, "the caller knows of a change that this VM has not applied yet")
	state.mergeOwners([]stageowner.Owner{{Service: "s", Address: "a", Term: 3}, {Service: "s", Address: "b", Term: 1}})
	_, ok = c.owns("s", 1)
	require.True(t, ok, "the caller doesn't know of the change yet")
}

// Followers must be sent a new owner at once, not with the next heartbeat, since their jobs wait for it.
func TestNewOwnerWakesFollowers(t *testing.T) {
	state := NewState(StateOptions{})
	changed := state.Changed()
	state.mergeOwners([]stageowner.Owner{{Service: "s", Address: "a", Term: 1}})
	select {
	case <-changed:
	default:
		t.Fatal("a new owner did not wake followers")
	}
	changed = state.Changed()
	state.mergeOwners([]stageowner.Owner{{Service: "s", Address: "a", Term: 1}})
	select {
	case <-changed:
		t.Fatal("an owner that is already known woke followers")
	default:
	}
}
