package slots_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/daisyhatch/daisyhatch/pkg/apierr"
	"github.com/daisyhatch/daisyhatch/pkg/dispatch"
	"github.com/daisyhatch/daisyhatch/pkg/grant"
	"github.com/daisyhatch/daisyhatch/pkg/slots"
)

func TestSlotIsGrantedEndToEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 1, 1)
		sl, err := c.entries[0].Acquire(t.Context(), request("o", 5*time.Second))
		require.NoError(t, err)
		require.Equal(t, "s0", sl.Target().Server)
		require.True(t, sl.Cold())
		require.True(t, sl.Valid())
		sl.Done(dispatch.Report{FirstToken: time.Millisecond})
		c.close()
	})
}

func TestCallWaitsForRoomOnAColdServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 1, 1)
		first, err := c.entries[0].Acquire(t.Context(), request("o", 5*time.Second))
		require.NoError(t, err)
		_, err = c.entries[0].Acquire(t.Context(), request("o", time.Second))
		var e *apierr.Error
		require.ErrorAs(t, err, &e, "the cold server has one unit only")
		require.Equal(t, apierr.NotRun, e.Run)
		require.Positive(t, e.RetryAfter)
		go first.Done(dispatch.Report{})
		second, err := c.entries[0].Acquire(t.Context(), request("o", 5*time.Second))
		require.NoError(t, err)
		second.Done(dispatch.Report{})
		c.close()
	})
}

func TestHopelessCallIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 1, 1)
		stop := c.workers(20, 500*time.Millisecond)
		time.Sleep(10 * time.Second)
		begin := time.Now()
		_, err := c.entries[0].Acquire(t.Context(), request("o", 200*time.Millisecond))
		var e *apierr.Error
		require.ErrorAs(t, err, &e)
		require.Zero(t, time.Since(begin), "sixteen calls wait for four units of half a second each")
		require.Equal(t, apierr.NoCapacity, e.Code)
		require.GreaterOrEqual(t, e.RetryAfter, 500*time.Millisecond)
		_, refused := stop()
		require.Zero(t, refused)
		c.close()
	})
}

// TestOneOrganisationsBurstDoesNotDelayAnother floods the queue with calls of one organisation.
func TestOneOrganisationsBurstDoesNotDelayAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 1, 2)
		stop := c.workers(4, 50*time.Millisecond)
		time.Sleep(5 * time.Second)
		stop()
		var wg sync.WaitGroup
		for range 400 {
			wg.Go(func() { _, _ = c.call(c.entries[0], request("large", 5*time.Second), 50*time.Millisecond) })
		}
		synctest.Wait()
		for range 20 {
			wait, err := c.call(c.entries[0], request("small", 5*time.Second), 50*time.Millisecond)
			require.NoError(t, err)
			require.LessOrEqual(t, wait, 150*time.Millisecond)
		}
		wg.Wait()
		c.close()
	})
}

func TestTakenOutDomainGetsNothingAfterThreeSeconds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, 3, 6)
		stop := c.workers(4, 20*time.Millisecond)
		time.Sleep(10 * time.Second)
		c.publish(testSet("a"))
		out := time.Now()
		time.Sleep(10 * time.Second)
		for _, s := range []string{"s0", "s3"} {
			require.Less(t, c.starts().last[s].Sub(out), 3*time.Second)
		}
		c.publish(testSet(""))
		back := time.Now()
		time.Sleep(10 * time.Second)
		require.True(t, c.starts().last["s0"].After(back), "a domain that is back gets work again")
		_, refused := stop()
		require.Zero(t, refused)
		for s, n := range c.starts().most {
			require.LessOrEqual(t, n, 4, s)
		}
		c.close()
	})
}

// TestControlVMStopsUnderLoad hands shards over while calls run; no call may wait for it.
func TestControlVMStopsUnderLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, 2, 9)
		warm := c.workers(12, 20*time.Millisecond)
		time.Sleep(15 * time.Second)
		warm()
		stop := c.workers(16, 20*time.Millisecond)
		time.Sleep(time.Second)
		c.forgetGaps()
		require.NoError(t, c.control["c1"].Stop(context.Background()))
		delete(c.control, "c1")
		time.Sleep(5 * time.Second)
		c.startControl("c1", "2")
		time.Sleep(20 * time.Second)
		longest, refused := stop()
		require.Zero(t, refused)
		require.Less(t, longest, 100*time.Millisecond)
		for s, gap := range c.starts().gap {
			require.Less(t, gap, grant.QuietPeriod/2, "server %s got no work for a while", s)
		}
		held := 0
		for shard := range uint32(grant.Shards) {
			if c.machine.Lease(grant.LeaseName(shard)).GetHolder() == "c1" {
				held++
			}
		}
		require.Greater(t, held, 10, "the restarted VM has its share back")
		c.close()
	})
}

// TestControlVMDiesUnderLoad loses a third of the shards; calls go on elsewhere, and the servers are used again once
// the leases are over and the grants have run out.
func TestControlVMDiesUnderLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, 2, 9)
		stop := c.workers(8, 20*time.Millisecond)
		time.Sleep(15 * time.Second)
		c.kill("c1")
		time.Sleep(grant.LeaseTTL + grant.QuietPeriod + 2*grant.BaseAnnounceInterval + 2*time.Second)
		back := time.Now()
		time.Sleep(3 * time.Second)
		for s, at := range c.starts().last {
			require.True(t, at.After(back), "server %s is not used again", s)
		}
		_, refused := stop()
		require.Zero(t, refused)
		for s, n := range c.starts().most {
			require.LessOrEqual(t, n, 4, s)
		}
		c.close()
	})
}

// TestSecondVMGetsAUnitOfASmallColdPool has one entry VM call a service now and then; another needs a unit at once.
func TestSecondVMGetsAUnitOfASmallColdPool(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, 4, 3)
		time.Sleep(5 * time.Second)
		longest := time.Duration(0)
		for range 10 {
			for _, e := range c.entries {
				wait, err := c.call(e, request("o", 5*time.Second), 20*time.Millisecond)
				require.NoError(t, err)
				longest = max(longest, wait)
			}
		}
		t.Logf("longest wait %v", longest)
		require.LessOrEqual(t, longest, grant.ContendedRenewInterval+100*time.Millisecond+50*time.Millisecond)
		c.close()
	})
}

// TestManyGrantorsAreAskedLessOften runs the grantors of the design size. Calls go on although each is asked only once a
// second.
func TestManyGrantorsAreAskedLessOften(t *testing.T) {
	require.Equal(t, grant.RenewInterval, slots.AskEvery(3))
	const grantors = 22
	require.LessOrEqual(t, slots.AskEvery(grantors), grant.TTL*2/3, "the rest of a grant's lifetime is for the answer")
	require.Greater(t, slots.AskEvery(grantors), grant.RenewInterval)
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, grantors, 2, 66)
		warm := c.workers(12, 20*time.Millisecond)
		time.Sleep(15 * time.Second)
		warm()
		stop := c.workers(12, 20*time.Millisecond)
		time.Sleep(10 * time.Second)
		longest, refused := stop()
		require.Zero(t, refused)
		require.Less(t, longest, 100*time.Millisecond)
		c.close()
	})
}
