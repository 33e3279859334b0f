package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A VM that was paused must not tell followers, with its first words, that it has been steady all along.
func TestPauseEndsSteadiness(t *testing.T) {
	now := time.Unix(1000, 0)
	c := &Control{steady: now, told: now}
	for range 50 {
		now = now.Add(followHeartbeat)
		c.steadyFor(now)
	}
	require.Equal(t, 50*followHeartbeat, c.steadyFor(now))
	now = now.Add(followSilence + time.Millisecond)
	require.Zero(t, c.steadyFor(now))
	require.Equal(t, followHeartbeat, c.steadyFor(now.Add(followHeartbeat)))
}
