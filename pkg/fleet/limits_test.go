package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/daisyhatch/daisyhatch/pkg/catalog"
	"github.com/daisyhatch/daisyhatch/pkg/directory"
	"github.com/daisyhatch/daisyhatch/pkg/serverlimit"
	"github.com/daisyhatch/daisyhatch/pkg/stageowner"
)

// limitedVMs returns the states of entry VMs that know of one another, started long ago, and a server with a limit.
func limitedVMs(n int, rate float64, now time.Time) ([]*State, directory.Server) {
	var ids []uint64
	for i := range n {
		ids = append(ids, EntryID(fmt.Sprint("vm-", i)))
	}
	var out []*State
	v := directory.Server{}
	for i := range n {
		s := NewState(StateOptions{VM: fmt.Sprint("vm-", i)})
		s.startedAt = now.Add(-time.Hour)
		s.UpdateEntries("control", ids, nil, true, now)
		v = announced(s, "limited", 1, now)
		s.RecordLimit(serverlimit.Limit{Server: v.ID, Born: v.Born, Rate: rate, At: now})
		out = append(out, s)
	}
	return out, v
}

// All VMs press as hard as they can, at times of their own: no window holds more requests than the limit allows.
func TestSharesOfServerLimitAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		rate := rapid.Float64Range(0, 20).Draw(t, "rate")
		vms, v := limitedVMs(rapid.IntRange(1, 40).Draw(t, "vms"), rate, now)
		limit := serverlimit.Limit{Rate: rate}
		var sent []time.Time
		end := now.Add(45 * time.Second)
		for at := now; at.Before(end); at = at.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "pause")) * time.Millisecond) {
			if vms[rapid.IntRange(0, len(vms)-1).Draw(t, "vm")].TakeSend(v, at) {
				sent = append(sent, at)
			}
		}
		for i := range sent {
			k := i
			for k < len(sent) && sent[k].Sub(sent[i]) < limit.Window() {
				k++
			}
			require.LessOrEqual(t, k-i, limit.Units())
		}
	})
}

// A VM that was pressed by nobody saves nothing up: all VMs that send at the same moment after a pause stay within the limit.
func TestUnusedShareOfServerLimitIsNotSaved(t *testing.T) {
	now := time.Now()
	vms, v := limitedVMs(330, 3, now)
	sent := 0
	for _, s := range vms {
		for s.TakeSend(v, now.Add(30*time.Second)) {
			sent++
		}
	}
	require.Equal(t, 12, sent, "3 requests a second over 4 s")
}

// A VM that others may not count yet, or that may have sent before it was restarted, sends a limited server nothing.
func TestNewVMHasNoShareOfServerLimit(t *testing.T) {
	now := time.Now()
	vms, v := limitedVMs(1, 100, now)
	require.True(t, vms[0].TakeSend(v, now))
	vms, v = limitedVMs(1, 100, now)
	vms[0].startedAt = now
	require.False(t, vms[0].TakeSend(v, now.Add(3900*time.Millisecond)))
	require.True(t, vms[0].TakeSend(v, now.Add(4*time.Second)))
	unknown := NewState(StateOptions{VM: "new"})
	unknown.startedAt = now.Add(-time.Hour)
	unknown.UpdateEntries("control", []uint64{EntryID("vm-0")}, nil, true, now)
	announced(unknown, "limited", 1, now)
	require.True(t, unknown.TakeSend(v, now), "it knows no limit")
	unknown.RecordLimit(serverlimit.Limit{Server: v.ID, Born: v.Born, Rate: 100, At: now})
	require.False(t, unknown.TakeSend(v, now))
	_, back := unknown.Back("s", now)
	require.False(t, back, "nothing is known of when it will have room")
}

// The owner of a service's stage calls sends them all. One that took over doesn't know what the one before has sent.
func TestNewOwnerOfStageCallsWaitsForServerLimit(t *testing.T) {
	s := NewState(StateOptions{VM: "control", FormsStageCalls: true})
	s.startedAt = time.Now().Add(-time.Hour)
	s.config = &catalog.Set{Services: map[string]*catalog.Service{"s": {Name: "s", Batch: &catalog.Batch{}}}}
	v := announced(s, "stage", 1, time.Now())
	s.RecordLimit(serverlimit.Limit{Server: v.ID, Born: v.Born, Rate: 1, At: time.Now()})
	require.True(t, s.TakeSend(v, time.Now()))
	s.LearnOwner(stageowner.Owner{Service: "s", Address: "10.0.0.1:1", Term: 1})
	now := time.Now()
	require.False(t, s.TakeSend(v, now))
	for range 3 {
		require.True(t, s.TakeSend(v, now.Add(4*time.Second)))
	}
	require.Len(t, s.Serving("s", now), 1, "its results are still accounted for")
}

// A server that is left no room is no reason to wait for as long as another one has room.
func TestServerLimitDecidesWhenCallersComeBack(t *testing.T) {
	now := time.Now()
	vms, v := limitedVMs(1, 1, now)
	s := vms[0]
	for i := range 4 {
		require.True(t, s.TakeSend(v, now.Add(time.Duration(i)*time.Second)))
	}
	require.False(t, s.TakeSend(v, now.Add(3500*time.Millisecond)))
	back, waits := s.Back("s", now.Add(3500*time.Millisecond))
	require.True(t, waits)
	require.Equal(t, 500*time.Millisecond, back)
	announced(s, "other", 1, now)
	_, waits = s.Back("s", now.Add(3500*time.Millisecond))
	require.False(t, waits)
}
