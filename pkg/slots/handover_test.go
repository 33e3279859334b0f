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

var handoverSeeds = flag.Uint64("handover.seeds", 2, "count of seeds of the hand-over test")

const (
	movingPools = 12
	// movingWait is the longest wait for a slot while a shard changes hands in order.
	movingWait = grant.ContendedRenewInterval
)

// movingCluster has pools of one server each, so that a gap in any shard shows. Its control VMs start one by one.
func movingCluster(t *testing.T, rng *rand.Rand, controls int) *cluster {
	c := newCluster(t, 0, 2, 0)
	set := testSet("")
	for i := range movingPools {
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

// sparseCalls calls each pool from each entry VM with pauses, and returns the longest wait for a slot.
func (c *cluster) sparseCalls(seed uint64, length time.Duration) (longest time.Duration) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	until := time.Now().Add(length)
	for i := range movingPools {
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

// TestShardsMoveWithoutAGap lets control VMs start, leave and come back; every pool stays served.
func TestShardsMoveWithoutAGap(t *testing.T) {
	for seed := range *handoverSeeds {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rng := rand.New(rand.NewPCG(seed, 1))
				c := movingCluster(t, rng, 3+rng.IntN(3))
				c.sparseCalls(seed, 8*time.Second)
				started := c.sparseCalls(seed+1000, 12*time.Second)
				go func() {
					time.Sleep(time.Second)
					_ = c.control["c1"].Stop(context.Background())
					c.network.handle("c1:1", nil)
					time.Sleep(time.Duration(1+rng.IntN(5)) * time.Second)
					c.startControl("c1", "2")
				}()
				left := c.sparseCalls(seed+2000, 24*time.Second)
				t.Logf("longest wait %v after the start, %v while a VM left and came back", started, left)
				c.close()
				require.LessOrEqual(t, started, movingWait)
				require.LessOrEqual(t, left, movingWait)
				for s, n := range c.starts().most {
					require.LessOrEqual(t, n, 4, s)
				}
			})
		})
	}
}

// TestLimitsGoWithTheShard empties an organisation's bucket and stops the VM that keeps it: the next keeper knows.
func TestLimitsGoWithTheShard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, 1, 1)
		set := testSet("")
		set.Organisations = map[string]*config.Organisation{"o": {Name: "o", Rate: 1, Burst: 100, Concurrency: 10}}
		c.publish(set)
		time.Sleep(15 * time.Second)
		sequence := uint64(0)
		keeper := func() string { return c.machine.Lease(grant.LeaseName(grant.ShardOf("o"))).GetHolder() }
		draw := func(tokens, want uint32) *daisyhatchv1.Quota {
			sequence++
			r := &daisyhatchv1.DrawRequest{Vm: fmt.Sprint("x", want), Incarnation: "1", Sequence: sequence, Demands: []*daisyhatchv1.QuotaDemand{
				{Organisation: "o", Tokens: tokens, Want: want},
			}}
			client := daisyhatchv1connect.NewGrantServiceClient(c.network, "http://"+keeper()+":1")
			out, err := client.Draw(t.Context(), connect.NewRequest(r))
			require.NoError(t, err)
			require.Len(t, out.Msg.Quotas, 1)
			return out.Msg.Quotas[0]
		}
		q := draw(90, 8)
		require.EqualValues(t, 90, q.Tokens)
		require.EqualValues(t, 8, q.Units)
		former := keeper()
		require.NoError(t, c.control[former].Stop(t.Context()))
		delete(c.control, former)
		time.Sleep(movingWait)
		require.NotEqual(t, former, keeper())
		q = draw(100, 5)
		require.InDelta(t, 10, q.Tokens, 1, "what the former keeper had left")
		require.EqualValues(t, 2, q.Units, "eight of ten are lent")
		require.False(t, q.Learning)
		c.close()
	})
}
