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

// callTime is how long the calls of these tests take.
const callTime = 500 * time.Millisecond

// fill warms one server with calls of callTime and then takes all its units.
func (c *cluster) fill() []dispatch.Slot {
	stop := c.workers(4, callTime)
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

// wait begins to wait for a slot and returns a channel for what comes of it.
func wait(e *slots.Slots, r dispatch.SlotRequest) <-chan error {
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

// TestLateCallGivesWay lets a call wait until it can't end in time any more. It is refused at once when another waits
// behind it, and served when none does.
func TestLateCallGivesWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, behind := range []bool{true, false} {
			c := newCluster(t, 1, 1, 1)
			held := c.fill()
			begin := time.Now()
			late := wait(c.entries[0], request("o", 2*callTime))
			var other <-chan error
			if behind {
				other = wait(c.entries[0], request("o", time.Minute))
			}
			time.Sleep(3 * callTime / 2)
			held[0].Done(dispatch.Report{})
			err := <-late
			require.Equal(t, 3*callTime/2, time.Since(begin))
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

// TestSpareCallNeverWaits refuses a spare call at once while all units are in use, and serves it when one is free.
func TestSpareCallNeverWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 1, 1)
		held := c.fill()
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
		require.NoError(t, <-wait(c.entries[0], spare))
		c.close()
	})
}

// TestForecastCountsEarlierStages has the same calls run as an earlier stage of the pipeline, and as one of another.
func TestForecastCountsEarlierStages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 1, 2)
		c.publish(pipelineSet())
		stop := c.workers(8, callTime)
		time.Sleep(20 * time.Second)
		stop()
		forecast := func(stage string) time.Duration {
			var ended []<-chan error
			for range 16 {
				r := request("o", time.Minute)
				r.Stage = stage
				ended = append(ended, waitFor(c, r))
			}
			f := c.entries[0].Forecast(c.set, "p", "o")
			for _, e := range ended {
				require.NoError(t, <-e)
			}
			return f
		}
		require.Greater(t, forecast("one"), forecast("other")+callTime)
		c.close()
	})
}

// TestForecastRefusesNothingWhileNobodyWaits has calls take longer than any deadline; later ones must get their chance.
func TestForecastRefusesNothingWhileNobodyWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 1, 2)
		c.publish(pipelineSet())
		r := request("o", time.Minute)
		r.Stage = "two"
		require.NoError(t, <-waitFor(c, r))
		require.Zero(t, c.entries[0].Forecast(c.set, "p", "o"))
		c.close()
	})
}

// waitFor runs a call of callTime and returns a channel for what comes of it.
func waitFor(c *cluster, r dispatch.SlotRequest) <-chan error {
	ended := make(chan error, 1)
	go func() {
		_, err := c.call(c.entries[0], r, callTime)
		ended <- err
	}()
	synctest.Wait()
	return ended
}
