package stagecall

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/daisyhatch/daisyhatch/pkg/dialect"
)

// Simulates three seconds without control VMs in which each VM has more jobs than it may run: together the VMs start no more
// than the servers can process and queue, and at least half of that.
func TestStandaloneVMsStayWithinServerCapacity(t *testing.T) {
	const span = 3 * time.Second
	for _, vms := range []int{7, 18, 68, 295} {
		for _, n := range []int{3, 42} {
			admitted := 0
			for vm := range vms {
				var p Limiter
				for at := time.Duration(0); at < span; at += 50 * time.Millisecond {
					if p.Allow(StandaloneRate(batch, n, vms), (float64(vm)+0.5)/float64(vms), epoch.Add(at)) {
						admitted++
					}
				}
			}
			capacity := float64(n*batch.Slots) * span.Seconds() / batch.CallTime(1).Seconds()
			require.LessOrEqual(t, float64(admitted), capacity+float64(vms)/2+float64(n), "%d VMs, %d servers", vms, n)
			require.Greater(t, float64(admitted), capacity/2, "%d VMs, %d servers", vms, n)
		}
	}
	require.Zero(t, StandaloneRate(batch, 42, 0), "the number of VMs is unknown")
}

func TestLimiterResetsAfterALongPause(t *testing.T) {
	var p Limiter
	require.True(t, p.Allow(1, 0.9, epoch))
	require.False(t, p.Allow(0, 0.9, epoch.Add(time.Second)))
	require.True(t, p.Allow(0, 0.9, epoch.Add(time.Second+standaloneReset+1)))
}

// Simulates the first calls of 295 VMs that lost all control VMs at once: their first choices spread over all servers.
func TestStandaloneVMsStartAtDifferentServers(t *testing.T) {
	first := map[string]int{}
	for vm := range 295 {
		v := servers(42)
		OrderServersFor(fmt.Sprint("entry-", vm), v)
		s := NewScheduler(batch)
		s.Enqueue(job("j", 1, 0, time.Second, 5*time.Second), epoch)
		s.RoomQueries(v, epoch)
		for _, x := range v {
			s.SetRoom(x.ID, dialect.Room{Least: batch.ResultBytes, Most: batch.ResultBytes}, epoch)
		}
		c, ok := s.Next(v, epoch)
		require.True(t, ok)
		first[c.Server.ID]++
	}
	require.Len(t, first, 42)
	for id, n := range first {
		require.Less(t, n, 3*295/42, "VMs that start at %s", id)
	}
}
