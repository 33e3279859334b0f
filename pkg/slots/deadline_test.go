package slots_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/daisyhatch/daisyhatch/pkg/apierr"
	"github.com/daisyhatch/daisyhatch/pkg/dispatch"
	"github.com/daisyhatch/daisyhatch/pkg/slots"
)

// callDuration is how long the calls of these tests take.
const callDuration = 500 * time.Millisecond

// fillServer warms up one server with calls of callDuration and then occupies all its units.
func (c *cluster) fillServer() []dispatch.Slot {
	stop := c.runWorkers(4, callDuration)
	time.Sleep(20 * time.Second)
	stop()
	var held []dispatch.Slot
	for range 4 {
		sl, err := c.entries[0].Acquire(context.Background(), request("o", time.Minute))
		require.NoError(c, err)
		held = append(held, sl)
	}
	return held
}

// acquireAsync starts to wait for a slot and returns a channel for the result.
func acquireAsync(e *slots.Slots, r dispatch.SlotRequest) <-chan error {
	ended := make(chan error, 1)
	go func() {
		sl, err := e.Acquire(context.Background(), r)
		if err == nil {
			sl.Done(dispatch.Report{})
		}
		ended <- err
	}()
	synctest.Wait()
	return ended
}

// TestLateCallIsRefusedWhenOthersWait queues a call until it can't meet its deadline any more. It must be refused then
// if another call waits behind it, and served otherwise.
func TestLateCallIsRefusedWhenOthersWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, behind := range []bool{true, false} {
			c := newCluster(t, 1, 1, 1)
			held := c.fillServer()
			begin := time.Now()
			late := acquireAsync(c.entries[0], request("o", 2*callDuration))
			var other <-chan error
			if behind {
				other = acquireAsync(c.entries[0], request("o", time.Minute))
			}
			time.Sleep(3 * callDuration / 2)
			held[0].Done(dispatch.Report{})
			err := <-late
			require.Equal(t, 3*callDuration/2, time.Since(begin))
			if behind {
				var e *apierr.Error
				require.ErrorAs(t, err, &e)
				require.Equal(t, apierr.NotRun, e.Run)
				require.Positive(t, e.RetryAfter)
				require.NoError(t, <-other)
			} else {
				require.NoError(t, err)
			}
			for _, sl := range held {
				sl.Done(dispatch.Report{})
			}
			c.close()
		}
	})
}

// TestSpareCallNeverWaits checks that a spare call is refused at once while all units are in use, and served when one
// is free.
func TestSpareCallNeverWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 1, 1)
		held := c.fillServer()
		spare := request("o", time.Minute)
		spare.SpareOnly = true
		begin := time.Now()
		_, err := c.entries[0].Acquire(context.Background(), spare)
		var e *apierr.Error
		require.ErrorAs(t, err, &e)
		require.Equal(t, apierr.NotRun, e.Run)
		require.Zero(t, time.Since(begin))
		for _, sl := range held {
			sl.Done(dispatch.Report{})
		}
		require.NoError(t, <-acquireAsync(c.entries[0], spare))
		c.close()
	})
}

// TestForecastCountsEarlierStages compares the forecast while calls of the pipeline's earlier stage are running with
// the forecast while the same calls belong to another pipeline.
func TestForecastCountsEarlierStages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 1, 2)
		c.publish(pipelineSet())
		stop := c.runWorkers(8, callDuration)
		time.Sleep(20 * time.Second)
		stop()
		forecast := func(stage string) time.Duration {
			var ended []<-chan error
			for range 16 {
				r := request("o", time.Minute)
				r.Stage = stage
				ended = append(ended, callAsync(c, r))
			}
			f := c.entries[0].Forecast(c.set, "p", "o")
			for _, e := range ended {
				require.NoError(t, <-e)
			}
			return f
		}
		require.Greater(t, forecast("one"), forecast("other")+callDuration)
		c.close()
	})
}

// TestForecastIsZeroWhileNoCallWaits checks that the forecast of an idle pool is 0 whatever its past calls took.
// Otherwise a pool whose calls once exceeded the deadline would be refused for good.
func TestForecastIsZeroWhileNoCallWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 1, 2)
		c.publish(pipelineSet())
		r := request("o", time.Minute)
		r.Stage = "two"
		require.NoError(t, <-callAsync(c, r))
		require.Zero(t, c.entries[0].Forecast(c.set, "p", "o"))
		c.close()
	})
}

// callAsync runs a call of callDuration in the background and returns a channel for its result.
func callAsync(c *cluster, r dispatch.SlotRequest) <-chan error {
	ended := make(chan error, 1)
	go func() {
		_, err := c.call(c.entries[0], r, callDuration)
		ended <- err
	}()
	synctest.Wait()
	return ended
}
