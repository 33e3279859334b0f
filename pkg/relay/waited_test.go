package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Callers of a route with a timeout of 5 s state 4.25 to 5 s in their first attempt; only one that returns after a
// refusal states clearly less.
func TestEstimateWaitedCountsOnlyReturningCallers(t *testing.T) {
	r := New(Options{})
	require.Zero(t, r.estimateWaited("r", 4400*time.Millisecond))
	require.Zero(t, r.estimateWaited("r", 5*time.Second))
	require.Zero(t, r.estimateWaited("r", 4250*time.Millisecond))
	require.Equal(t, 1600*time.Millisecond, r.estimateWaited("r", 3*time.Second))
	require.Zero(t, r.estimateWaited("other", time.Second), "routes are independent of each other")
}
