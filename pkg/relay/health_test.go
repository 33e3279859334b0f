package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A server with one slow answer is ranked behind others for a while, not for good, and a later answer counts the more the older
// the one before is.
func TestSlowAnswerIsForgotten(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	h := newHealth()
	for range 200 {
		h.recordAnswer("s", "fast", 10*time.Millisecond, now)
	}
	h.recordAnswer("s", "slow", 50*time.Millisecond, now)
	require.Greater(t, h.slowness("s", "slow", now), 4.0)
	last := h.slowness("s", "slow", now)
	for age := time.Second; age < slownessDecayTime; age += time.Second {
		at := h.slowness("s", "slow", now.Add(age))
		require.Less(t, at, last)
		last = at
	}
	require.InDelta(t, 1, h.slowness("s", "slow", now.Add(slownessDecayTime)), 0.001)
	require.InDelta(t, 1, h.slowness("s", "fast", now.Add(time.Hour)), 0.1)

	later := now.Add(slownessDecayTime)
	h.recordAnswer("s", "slow", 10*time.Millisecond, later)
	require.InDelta(t, 1, h.slowness("s", "slow", later), 0.1, "one answer is enough after that time")
	h.recordAnswer("s", "slow", 50*time.Millisecond, later)
	require.InDelta(t, 1.8, h.slowness("s", "slow", later), 0.3, "one of two answers at the same time has little weight")
}
