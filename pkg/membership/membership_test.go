package membership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
)

func heartbeat(incarnation string, sequence uint64, draining bool) *daisyhatchv1.HeartbeatRequest {
	return &daisyhatchv1.HeartbeatRequest{Vm: "e1", Incarnation: incarnation, Sequence: sequence, Draining: draining, VersionInForce: sequence}
}

func TestStateDependsOnTheTimeSinceTheLastHeartbeat(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, e := range []struct {
		silence  time.Duration
		draining bool
		want     State
	}{
		{SuspectAfter, false, Alive},
		{SuspectAfter + 1, false, Suspected},
		{FailAfter, false, Suspected},
		{FailAfter + 1, false, Failed},
		{SuspectAfter, true, Alive},
		{SuspectAfter + 1, true, Left},
	} {
		table := New()
		require.True(t, table.Heartbeat(heartbeat("1", 1, e.draining), start))
		got := table.Members(start.Add(e.silence))
		require.Equal(t, e.want, got[0].State, "%v", e)
		require.Equal(t, e.want == Alive, got[0].Status(start).GetAlive())
	}
}

func TestOutdatedHeartbeatOnlyShowsThatTheVMIsAlive(t *testing.T) {
	table := New()
	start := time.Unix(1000, 0)
	require.True(t, table.Heartbeat(heartbeat("1", 5, false), start))
	later := start.Add(time.Minute)
	require.False(t, table.Heartbeat(heartbeat("1", 5, false), later), "a resent heartbeat replaces nothing")
	require.False(t, table.Heartbeat(heartbeat("1", 4, true), later))
	m := table.Members(later)[0]
	require.Equal(t, Alive, m.State)
	require.EqualValues(t, 5, m.Heartbeat.GetSequence())
	require.True(t, table.Heartbeat(heartbeat("2", 1, false), later), "a restarted VM begins a new sequence")
	table.Advance(later.Add(ForgetAfter + 1))
	require.Empty(t, table.Members(later))
}
