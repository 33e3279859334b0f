package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Callers of a route with 5 s wait for 4.25 to 5 s; only one that was refused and came back has clearly less.
func TestOnlyACallerThatCameBackCountsAsHavingWaited(t *testing.T) {
	r := New(Options{})
	require.Zero(t, r.waited("r", 4400*time.Millisecond))
	require.Zero(t, r.waited("r", 5*time.Second))
	require.Zero(t, r.waited("r", 4250*time.Millisecond))
	require.Equal(t, 1600*time.Millisecond, r.waited("r", 3*time.Second))
	require.Zero(t, r.waited("other", time.Second), "each route by itself")
}
