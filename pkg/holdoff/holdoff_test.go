package holdoff

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var begin = time.Unix(1000, 0)

func TestLeavingServerTakesNoCallsUntilItsNextIncarnation(t *testing.T) {
	tracker := NewTracker()
	require.True(t, tracker.Available("s", "1", begin))
	require.True(t, tracker.Record("s", "1", Notice{Leaving: true}, begin))
	require.False(t, tracker.Record("s", "1", Notice{Leaving: true}, begin), "a repeated notice changes nothing")
	for _, later := range []time.Duration{0, time.Minute, 24 * time.Hour} {
		require.False(t, tracker.Available("s", "1", begin.Add(later)))
	}
	_, back := tracker.AvailableAt("s", "1", begin)
	require.False(t, back)
	require.False(t, tracker.Record("s", "1", Notice{}, begin), "an empty notice doesn't revoke an earlier one")
	require.False(t, tracker.Available("s", "1", begin))
	require.True(t, tracker.Available("s", "2", begin))
	require.True(t, tracker.Available("other", "1", begin))
}

func TestServerTakesNoCallsDuringItsRetryAfter(t *testing.T) {
	tracker := NewTracker()
	require.True(t, tracker.Record("s", "1", Notice{Wait: 2 * time.Second}, begin))
	require.False(t, tracker.Available("s", "1", begin.Add(2*time.Second-1)))
	at, ok := tracker.AvailableAt("s", "1", begin)
	require.True(t, ok)
	require.Equal(t, begin.Add(2*time.Second), at)
	require.True(t, tracker.Available("s", "1", begin.Add(2*time.Second)))
	require.False(t, tracker.Record("s", "1", Notice{Wait: time.Second}, begin), "a later notice doesn't shorten a wait")
	require.False(t, tracker.Available("s", "1", begin.Add(1500*time.Millisecond)))
	require.True(t, tracker.Record("s", "1", Notice{Wait: 1000 * time.Hour}, begin))
	require.True(t, tracker.Available("s", "1", begin.Add(maxWait)))
}

func TestRecordsOfUnknownServersExpire(t *testing.T) {
	tracker := NewTracker()
	tracker.Record("s", "1", Notice{Leaving: true}, begin)
	known := func(string) bool { return false }
	tracker.Retain(known, begin.Add(unknownRetention))
	require.False(t, tracker.Available("s", "1", begin), "a delayed announcement may still arrive")
	tracker.Retain(func(string) bool { return true }, begin.Add(time.Hour))
	require.False(t, tracker.Available("s", "1", begin))
	tracker.Retain(known, begin.Add(unknownRetention+1))
	require.Empty(t, tracker.records)
}
