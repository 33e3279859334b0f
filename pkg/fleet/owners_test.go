package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/daisyhatch/daisyhatch/pkg/stageowner"
)

// A VM that was paused, or cut off, must not go on as the owner of stage calls: the leader has named another one by then.
func TestVMThatWasNotConfirmedLatelyFormsNoCalls(t *testing.T) {
	c := &Control{}
	require.False(t, c.MayFormCalls(), "before the first confirmation")
	c.confirmed = time.Now()
	require.True(t, c.MayFormCalls())
	c.confirmed = time.Now().Add(-stageowner.LostAfter)
	require.False(t, c.MayFormCalls())
	require.Less(t, 2*confirmInterval, stageowner.LostAfter, "one confirmation that is missed changes nothing")
}

func TestJobsAreTakenByTheOwnerOnly(t *testing.T) {
	state := NewState()
	c := &Control{opts: ControlOptions{State: state, Address: "a"}}
	_, ok := c.owns("s", 0)
	require.False(t, ok, "the service has no owner")
	state.learnOwners([]stageowner.Owner{{Service: "s", Address: "b", Term: 2}})
	o, ok := c.owns("s", 2)
	require.False(t, ok)
	require.Equal(t, "b", o.Address, "the caller is told who is")
	_, ok = c.owns("s", 3)
	require.True(t, ok, "the caller knows of a change that this VM has yet to apply")
	state.learnOwners([]stageowner.Owner{{Service: "s", Address: "a", Term: 3}, {Service: "s", Address: "b", Term: 1}})
	_, ok = c.owns("s", 1)
	require.True(t, ok, "the caller has yet to hear of the change")
}

// Followers must hear of a new owner at once, not with the next heartbeat: their jobs wait for it.
func TestNewOwnerIsNews(t *testing.T) {
	state := NewState()
	news := state.Changed()
	state.learnOwners([]stageowner.Owner{{Service: "s", Address: "a", Term: 1}})
	select {
	case <-news:
	default:
		t.Fatal("followers wait for the next heartbeat")
	}
	news = state.Changed()
	state.learnOwners([]stageowner.Owner{{Service: "s", Address: "a", Term: 1}})
	select {
	case <-news:
		t.Fatal("nothing has changed")
	default:
	}
}
