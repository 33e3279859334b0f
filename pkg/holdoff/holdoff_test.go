package holdoff

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var begin = time.Unix(1000, 0)

func TestLeavingServerTakesNoCallsUntilItsNextIncarnation(t *testing.T) {
	b := NewBook()
	require.True(t, b.Open("s", "1", begin))
	require.True(t, b.Note("s", "1", Notice{Leaving: true}, begin))
	require.False(t, b.Note("s", "1", Notice{Leaving: true}, begin), "a repeated notice changes nothing")
	for _, later := range []time.Duration{0, time.Minute, 24 * time.Hour} {
		require.False(t, b.Open("s", "1", begin.Add(later)))
	}
	_, back := b.Back("s", "1", begin)
	require.False(t, back)
	require.False(t, b.Note("s", "1", Notice{}, begin), "an empty notice doesn't revoke an earlier one")
	require.False(t, b.Open("s", "1", begin))
	require.True(t, b.Open("s", "2", begin))
	require.True(t, b.Open("other", "1", begin))
}

func TestServerTakesNoCallsDuringItsRetryAfter(t *testing.T) {
	b := NewBook()
	require.True(t, b.Note("s", "1", Notice{Wait: 2 * time.Second}, begin))
	require.False(t, b.Open("s", "1", begin.Add(2*time.Second-1)))
	at, ok := b.Back("s", "1", begin)
	require.True(t, ok)
	require.Equal(t, begin.Add(2*time.Second), at)
	require.True(t, b.Open("s", "1", begin.Add(2*time.Second)))
	require.False(t, b.Note("s", "1", Notice{Wait: time.Second}, begin), "a later notice doesn't shorten a wait")
	require.False(t, b.Open("s", "1", begin.Add(1500*time.Millisecond)))
	require.True(t, b.Note("s", "1", Notice{Wait: 1000 * time.Hour}, begin))
	require.True(t, b.Open("s", "1", begin.Add(maxWait)))
}

func TestRecordsOfUnknownServersExpire(t *testing.T) {
	b := NewBook()
	b.Note("s", "1", Notice{Leaving: true}, begin)
	known := func(string) bool { return false }
	b.Retain(known, begin.Add(unknownRetention))
	require.False(t, b.Open("s", "1", begin), "a delayed announcement may still arrive")
	b.Retain(func(string) bool { return true }, begin.Add(time.Hour))
	require.False(t, b.Open("s", "1", begin))
	b.Retain(known, begin.Add(unknownRetention+1))
	require.Empty(t, b.records)
}
