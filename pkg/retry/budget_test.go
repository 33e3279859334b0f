package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/daisyhatch/daisyhatch/pkg/retry"
)

// TestRetriesStayWithinTheirShare simulates a minute in which every call fails, at random intervals. However many retries
// are requested, the allowed ones must not exceed the share of first attempts plus the reserve.
func TestRetriesStayWithinTheirShare(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 1))
		b := retry.NewBudget(retry.DefaultShare, retry.DefaultReserve)
		now := time.Unix(0, 0)
		begin := now
		var attempts, allowed int
		for now.Sub(begin) < time.Minute {
			now = now.Add(time.Duration(rng.Int64N(int64(10 * time.Millisecond))))
			b.Attempt(now)
			attempts++
			for range rng.IntN(4) {
				if b.Allow(now) {
					allowed++
				}
			}
		}
		const initialTokens = 10
		limit := retry.DefaultShare*float64(attempts) + retry.DefaultReserve*now.Sub(begin).Seconds() + initialTokens
		require.LessOrEqual(t, float64(allowed), limit+1, "seed %d", seed)
		require.Greater(t, float64(allowed), 0.9*retry.DefaultShare*float64(attempts), "seed %d: allowance unused", seed)
		require.Positive(t, b.Refused())
	}
}

func TestUnusedAllowanceIsBounded(t *testing.T) {
	b := retry.NewBudget(retry.DefaultShare, retry.DefaultReserve)
	now := time.Unix(0, 0)
	b.Attempt(now)
	now = now.Add(24 * time.Hour)
	allowed := 0
	for range 1000 {
		if b.Allow(now) {
			allowed++
		}
	}
	require.Equal(t, 10, allowed)
}

func TestBackwardClockAddsNoAllowance(t *testing.T) {
	b := retry.NewBudget(0, 1)
	now := time.Unix(1000, 0)
	for b.Allow(now) {
		require.Zero(t, b.Refused())
	}
	require.False(t, b.Allow(now.Add(-time.Hour)))
}

func TestUnusedRetryIsPutBack(t *testing.T) {
	b := retry.NewBudget(0, 0)
	now := time.Unix(0, 0)
	for range 10 {
		require.True(t, b.Allow(now))
	}
	require.False(t, b.Allow(now))
	b.Return()
	require.True(t, b.Allow(now))
	require.False(t, b.Allow(now))
}
