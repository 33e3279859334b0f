package allowance

import (
	"fmt"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestSharesNeverExceedTheTotal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.Float64Range(0, 300).Draw(t, "total")
		var ids []uint64
		for i := range rapid.IntRange(1, 90).Draw(t, "VMs") {
			ids = append(ids, xxhash.Sum64String(fmt.Sprint("vm", i)))
		}
		sum, least, most := 0, 1<<30, 0
		for _, n := range ids {
			s := Share(total, "server", n, ids)
			sum += s
			least, most = min(least, s), max(most, s)
		}
		if float64(sum) > total || most-least > 1 {
			t.Fatalf("shares add up to %d of %f and range from %d to %d; want at most the total and a difference of 1 at most", sum, total, least, most)
		}
		if sum != int(total*utilisation) {
			t.Fatalf("shares add up to %d units, want %d", sum, int(total*utilisation))
		}
	})
}

func TestUnknownVMHasNoShare(t *testing.T) {
	require.Zero(t, Share(26, "server", 9, []uint64{1, 2}))
	require.Zero(t, Share(26, "server", 9, nil))
}

func TestWindowSlides(t *testing.T) {
	w, now := NewWindow(time.Second), time.Unix(100, 0)
	require.True(t, w.Take("k", 2, now))
	require.True(t, w.Take("k", 2, now.Add(600*time.Millisecond)))
	require.False(t, w.Take("k", 2, now.Add(999*time.Millisecond)))
	require.True(t, w.Take("other", 2, now.Add(999*time.Millisecond)))
	require.True(t, w.Take("k", 2, now.Add(time.Second)))
	require.Equal(t, 2, w.Count("k", now.Add(time.Second)))
}

// Seven VMs retry as often as they may. Their retries together stay within the budget in every window.
func TestRetriesOfAllVMsStayWithinTheBudget(t *testing.T) {
	const vms, ratio, extra = 7, 0.2, 54
	window := 10 * time.Second
	var budgets []*RetryBudget
	for range vms {
		budgets = append(budgets, NewRetryBudget(ratio, extra, window))
	}
	now := time.Unix(100, 0)
	requests, retries := NewWindow(window), NewWindow(window)
	for i := range 20_000 {
		now = now.Add(5 * time.Millisecond)
		budget := budgets[i*i%vms]
		budget.CountRequest("s", now)
		requests.Add("s", now)
		for budget.TakeRetry("s", vms, now) {
			retries.Add("s", now)
		}
		require.LessOrEqual(t, float64(retries.Count("s", now)), ratio*float64(requests.Count("s", now))+extra)
	}
	require.Positive(t, retries.Count("s", now))
}

// A VM that doesn't know how many VMs share the extra retries took all of them for itself, as each of the others did.
func TestVMThatKnowsNoOthersHasNoExtraRetries(t *testing.T) {
	now := time.Now()
	b := NewRetryBudget(0.2, 54, 10*time.Second)
	require.False(t, b.TakeRetry("s", 0, now))
	for range 10 {
		b.CountRequest("s", now)
	}
	require.True(t, b.TakeRetry("s", 0, now), "its own requests' part needs no share")
	require.False(t, b.TakeRetry("s", 0, now))
	require.True(t, b.TakeRetry("s", 7, now))
}
