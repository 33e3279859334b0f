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
		require.ErrorAs(t, err, &e, "the only unit of the cold server is in use")
		require.Equal(t, apierr.NotRun, e.Run)
		require.Positive(t, e.RetryAfter)
		go first.Done(dispatch.Report{})
		second, err := c.entries[0].Acquire(t.Context(), request("o", 5*time.Second))
		require.NoError(t, err)
		second.Done(dispatch.Report{})
		c.close()
	})
}

func TestCallThatCannotMeetDeadlineIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 1, 1)
		stop := c.runWorkers(20, 500*time.Millisecond)
		time.Sleep(10 * time.Second)
		begin := time.Now()
		_, err := c.entries[0].Acquire(t.Context(), request("o", 200*time.Millisecond))
		var e *apierr.Error
		require.ErrorAs(t, err, &e)
		require.Zero(t, time.Since(begin), "16 calls wait for 4 units; each call takes half a second")
		require.Equal(t, apierr.NoCapacity, e.Code)
		require.GreaterOrEqual(t, e.RetryAfter, 500*time.Millisecond)
		_, refused := stop()
		require.Zero(t, refused)
		c.close()
	})
}

// TestOneOrganisationsBurstDoesNotDelayAnother queues 400 calls of one organisation at once; the calls of another must
// still get a slot within 150 ms.
func TestOneOrganisationsBurstDoesNotDelayAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 1, 2)
		stop := c.runWorkers(4, 50*time.Millisecond)
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

func TestDomainTakenOutGetsNoCallsAfterThreeSeconds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, 3, 6)
		stop := c.runWorkers(4, 20*time.Millisecond)
		time.Sleep(10 * time.Second)
		c.publish(testSet("a"))
		out := time.Now()
		time.Sleep(10 * time.Second)
		for _, s := range []string{"s0", "s3"} {
			require.Less(t, c.starts().lastStart[s].Sub(out), 3*time.Second)
		}
		c.publish(testSet(""))
		back := time.Now()
		time.Sleep(10 * time.Second)
		require.True(t, c.starts().lastStart["s0"].After(back), "the server gets no calls after its failure domain was put back")
		_, refused := stop()
		require.Zero(t, refused)
		for s, n := range c.starts().maxRunning {
			require.LessOrEqual(t, n, 4, s)
		}
		c.close()
	})
}

// TestControlVMStopsUnderLoad stops and restarts a control VM while calls run. Its shards are handed over, so that no
// call is delayed and no server goes without calls.
func TestControlVMStopsUnderLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, 2, 9)
		warm := c.runWorkers(12, 20*time.Millisecond)
		time.Sleep(15 * time.Second)
		warm()
		stop := c.runWorkers(16, 20*time.Millisecond)
		time.Sleep(time.Second)
		c.resetGaps()
		require.NoError(t, c.control["c1"].Stop(context.Background()))
		delete(c.control, "c1")
		time.Sleep(5 * time.Second)
		c.startControl("c1", "2")
		time.Sleep(20 * time.Second)
		longest, refused := stop()
		require.Zero(t, refused)
		require.Less(t, longest, 100*time.Millisecond)
		for s, gap := range c.starts().maxGap {
			require.Less(t, gap, grant.QuietPeriod/2, "server %s got no calls for too long", s)
		}
		held := 0
		for shard := range uint32(grant.Shards) {
			if c.machine.Lease(grant.LeaseName(shard)).GetHolder() == "c1" {
				held++
			}
		}
		require.Greater(t, held, 10, "the restarted control VM did not get its shards back")
		c.close()
	})
}

// TestControlVMDiesUnderLoad kills a control VM, and with it a third of the shards. Calls must continue on the other
// servers, and the servers of the lost shards must be used again once the leases and the grants have expired.
func TestControlVMDiesUnderLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, 2, 9)
		stop := c.runWorkers(8, 20*time.Millisecond)
		time.Sleep(15 * time.Second)
		c.kill("c1")
		time.Sleep(grant.LeaseTTL + grant.QuietPeriod + 2*grant.BaseAnnounceInterval + 2*time.Second)
		back := time.Now()
		time.Sleep(3 * time.Second)
		for s, at := range c.starts().lastStart {
			require.True(t, at.After(back), "server %s got no calls after the grants had expired", s)
		}
		_, refused := stop()
		require.Zero(t, refused)
		for s, n := range c.starts().maxRunning {
			require.LessOrEqual(t, n, 4, s)
		}
		c.close()
	})
}

// TestSecondVMGetsAUnitOfASmallColdPool calls a pool of cold servers from several entry VMs in turn. Each VM must
// release its idle unit soon enough for the next one.
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

// TestManyGrantorsAreAskedLessOften uses the number of grantors that the system is designed for. Calls must not be
// delayed although each grantor is asked only about once a second.
func TestManyGrantorsAreAskedLessOften(t *testing.T) {
	require.Equal(t, grant.RenewInterval, slots.AskInterval(3))
	const grantors = 22
	require.LessOrEqual(t, slots.AskInterval(grantors), grant.TTL*2/3, "too little of a grant's lifetime is left for the response")
	require.Greater(t, slots.AskInterval(grantors), grant.RenewInterval)
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, grantors, 2, 66)
		warm := c.runWorkers(12, 20*time.Millisecond)
		time.Sleep(15 * time.Second)
		warm()
		stop := c.runWorkers(12, 20*time.Millisecond)
		time.Sleep(10 * time.Second)
		longest, refused := stop()
		require.Zero(t, refused)
		require.Less(t, longest, 100*time.Millisecond)
		c.close()
	})
}
