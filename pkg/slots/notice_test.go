package slots_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/daisyhatch/daisyhatch/pkg/dispatch"
	"github.com/daisyhatch/daisyhatch/pkg/holdoff"
)

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
				used := 0
				for begin := time.Now(); time.Since(begin) < 6*time.Second; {
					sl, err := s.Acquire(t.Context(), request("o", 5*time.Second))
					require.NoError(t, err)
					if sl.Target().Server == closed.Server {
						require.GreaterOrEqual(t, time.Since(begin), 3*time.Second)
						used++
					}
					time.Sleep(10 * time.Millisecond)
					sl.Done(dispatch.Report{FirstToken: 10 * time.Millisecond})
				}
				require.Equal(t, n.Leaving, used == 0, "%d calls after the notice", used)
				c.close()
			})
		})
	}
}
