package slots_test

import (
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/daisyhatch/daisyhatch/pkg/dispatch"
	"github.com/daisyhatch/daisyhatch/pkg/holdoff"
)

// concurrentCalls is how many calls run at a time: more than there are servers. A VM with one call at a time holds a unit of one
// server, which the grantor picks anew about once a second, and may not be offered a certain server for seconds.
const concurrentCalls = 6

// A server that announces in a response that it is leaving, or that it wants no calls for a time, must get no calls
// from this VM, not even under a slot that was handed out before. The other servers take them.
func TestServerThatWantsNoCallsGetsNone(t *testing.T) {
	for name, n := range map[string]holdoff.Notice{"leaves": {Leaving: true}, "turns away": {Wait: 3 * time.Second}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 1, 1, 3)
				s := c.entries[0]
				first, err := s.Acquire(t.Context(), request("o", 5*time.Second))
				require.NoError(t, err)
				closed := first.Target()
				s.Noticed(closed, n)
				require.False(t, first.Valid(), "the call must not be sent after the notice")
				first.Done(dispatch.Report{Abandoned: true})
				var (
					wg              sync.WaitGroup
					early, used, ok atomic.Int32
				)
				begin := time.Now()
				for range concurrentCalls {
					wg.Go(func() {
						for time.Since(begin) < 6*time.Second {
							sl, err := s.Acquire(t.Context(), request("o", 5*time.Second))
							if !assert.NoError(t, err) {
								return
							}
							if sl.Target().Server == closed.Server {
								used.Add(1)
								if time.Since(begin) < 3*time.Second {
									early.Add(1)
								}
							}
							time.Sleep(10 * time.Millisecond)
							sl.Done(dispatch.Report{FirstToken: 10 * time.Millisecond})
							ok.Add(1)
						}
					})
				}
				wg.Wait()
				c.close()
				require.Zero(t, early.Load(), "calls less than 3 s after the notice")
				require.Equal(t, n.Leaving, used.Load() == 0, "%d of %d calls after the notice", used.Load(), ok.Load())
			})
		})
	}
}
