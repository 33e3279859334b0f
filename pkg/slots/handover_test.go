package slots_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1/daisyhatchv1connect"
	"github.com/daisyhatch/daisyhatch/pkg/config"
	"github.com/daisyhatch/daisyhatch/pkg/dispatch"
	"github.com/daisyhatch/daisyhatch/pkg/grant"
)

var handoverSeeds = flag.Uint64("handover.seeds", 2, "number of seeds of the hand-over test")

const (
	handoverPools = 12
	// maxHandoverWait bounds the wait for a slot during an orderly hand-over of a shard.
	maxHandoverWait = grant.ContendedRenewInterval
)

// newHandoverCluster returns a cluster with one server per pool, so that a shard that is not served delays calls. The
// control VMs start one by one.
func newHandoverCluster(t *testing.T, rng *rand.Rand, controls int) *cluster {
	c := newCluster(t, 0, 2, 0)
	set := testSet("")
	for i := range handoverPools {
		name := fmt.Sprint("p", i)
		set.Pools[name] = &config.Pool{Name: name, Concurrency: 4, ColdConcurrency: 2, WarmAfter: 3, ReportsLoad: true}
		c.servers = append(c.servers, &daisyhatchv1.Announcement{
			Server: fmt.Sprint("s", i), Incarnation: "1", Pool: name, FailureDomain: "a", Address: "10.0.1.1:80",
		})
	}
	c.publish(set)
	c.log.delay = func() time.Duration { return 5 * time.Millisecond }
	for i := range controls {
		name := fmt.Sprint("c", i)
		c.log.peers = append(c.log.peers, &daisyhatchv1.ConsensusPeer{Vm: name, Address: name + ":1"})
	}
	for i := range controls {
		c.startControl(fmt.Sprint("c", i), "1")
		time.Sleep(time.Duration(rng.IntN(1000)) * time.Millisecond)
	}
	return c
}

// sparseCalls calls each pool from each entry VM with random pauses, and returns the longest wait for a slot. A refused
// call counts with the time until its refusal.
func (c *cluster) sparseCalls(seed uint64, length time.Duration) (longest time.Duration) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	until := time.Now().Add(length)
	for i := range handoverPools {
		for j, e := range c.entries {
			rng := rand.New(rand.NewPCG(seed, uint64(i*len(c.entries)+j)))
			wg.Go(func() {
				for time.Now().Before(until) {
					r := dispatch.SlotRequest{Pool: fmt.Sprint("p", i), Organisation: "o", Deadline: time.Now().Add(5 * time.Second)}
					wait, err := c.call(e, r, 20*time.Millisecond)
					mu.Lock()
					if err != nil || wait > longest {
						longest = wait
					}
					mu.Unlock()
					time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
				}
			})
		}
	}
	wg.Wait()
	return longest
}

// TestShardHandOverLeavesNoServiceGap starts control VMs, stops one and restarts it. No call may wait longer than
// maxHandoverWait while shards change hands.
func TestShardHandOverLeavesNoServiceGap(t *testing.T) {
	for seed := range *handoverSeeds {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rng := rand.New(rand.NewPCG(seed, 1))
				c := newHandoverCluster(t, rng, 3+rng.IntN(3))
				c.sparseCalls(seed, 8*time.Second)
				waitAtStart := c.sparseCalls(seed+1000, 12*time.Second)
				go func() {
					time.Sleep(time.Second)
					_ = c.control["c1"].Stop(context.Background())
					c.network.handle("c1:1", nil)
					time.Sleep(time.Duration(1+rng.IntN(5)) * time.Second)
					c.startControl("c1", "2")
				}()
				waitAtRestart := c.sparseCalls(seed+2000, 24*time.Second)
				t.Logf("longest wait: %v after the start, %v while a VM stopped and restarted", waitAtStart, waitAtRestart)
				c.close()
				require.LessOrEqual(t, waitAtStart, maxHandoverWait)
				require.LessOrEqual(t, waitAtRestart, maxHandoverWait)
				for s, n := range c.starts().maxRunning {
					require.LessOrEqual(t, n, 4, s)
				}
			})
		})
	}
}

// TestLimitsAreHandedOverWithTheShard uses up most of an organisation's limits and stops the control VM that enforces
// them. The next one must continue with what is left.
func TestLimitsAreHandedOverWithTheShard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, 1, 1)
		set := testSet("")
		set.Organisations = map[string]*config.Organisation{"o": {Name: "o", Rate: 1, Burst: 100, Concurrency: 10}}
		c.publish(set)
		time.Sleep(15 * time.Second)
		sequence := uint64(0)
		holder := func() string { return c.machine.Lease(grant.LeaseName(grant.ShardOf("o"))).GetHolder() }
		draw := func(tokens, want uint32) *daisyhatchv1.Quota {
			sequence++
			r := &daisyhatchv1.DrawRequest{Vm: fmt.Sprint("x", want), Incarnation: "1", Sequence: sequence, Demands: []*daisyhatchv1.QuotaDemand{
				{Organisation: "o", Tokens: tokens, Want: want},
			}}
			client := daisyhatchv1connect.NewGrantServiceClient(c.network, "http://"+holder()+":1")
			out, err := client.Draw(t.Context(), connect.NewRequest(r))
			require.NoError(t, err)
			require.Len(t, out.Msg.Quotas, 1)
			return out.Msg.Quotas[0]
		}
		q := draw(90, 8)
		require.EqualValues(t, 90, q.Tokens)
		require.EqualValues(t, 8, q.Units)
		former := holder()
		require.NoError(t, c.control[former].Stop(t.Context()))
		delete(c.control, former)
		time.Sleep(maxHandoverWait)
		require.NotEqual(t, former, holder())
		q = draw(100, 5)
		require.InDelta(t, 10, q.Tokens, 1, "the new control VM continues with the tokens that were left")
		require.EqualValues(t, 2, q.Units, "8 of 10 units are lent to the first VM")
		require.False(t, q.Learning)
		c.close()
	})
}
