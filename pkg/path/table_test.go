package path

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestMain sets a fixed seed, so that each run gives the same result. A seed on the command line overrides it.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261205", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

func at(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }

// One lost path is that of one server; the others stay direct until a second one is lost with no direct connection in between.
func TestPathsLostOneAfterTheOther(t *testing.T) {
	table := NewTable()
	require.Equal(t, Plan{Direct: true, TunnelAfter: hedgeDelay}, table.Plan("a", at(0)))
	require.Equal(t, Lost, table.Tunnelled("a", at(0)))
	require.Equal(t, Unchanged, table.Tunnelled("a", at(1)))
	require.True(t, table.IsLost("a", at(1)))
	require.False(t, table.IsLost("b", at(1)))
	require.Equal(t, Unchanged, table.Connected("b"))
	require.Equal(t, Lost, table.Tunnelled("c", at(2)), "another server was reached directly in between")
	require.False(t, table.IsLost("b", at(2)))
	require.Equal(t, CutOff, table.Tunnelled("a", at(3)))
	require.True(t, table.IsLost("b", at(3)), "no server was reached directly since two lost their paths")
	require.Equal(t, Back, table.Connected("b"))
	require.False(t, table.IsLost("b", at(4)))
	require.True(t, table.IsLost("a", at(4)))
	require.Equal(t, Back, table.Connected("a"))
	require.False(t, table.IsLost("a", at(4)))
	require.Equal(t, 1, table.Count(at(4)))
}

// A lost path is probed once a second, beside a tunnel that is begun at once.
func TestLostPathsAreProbed(t *testing.T) {
	table := NewTable()
	table.Tunnelled("a", at(0))
	probes := 0
	for ms := 0; ms < 9000; ms += 10 {
		plan := table.Plan("a", at(ms))
		require.Zero(t, plan.TunnelAfter)
		if plan.Direct {
			probes++
		}
	}
	require.Equal(t, 9, probes)
	require.Equal(t, Plan{Direct: true, TunnelAfter: hedgeDelay}, table.Plan("a", at(10_000)), "without a new sign the path is taken for direct again")
}

// Compares a table with the history of results under random cuts: paths count as lost only with a sign of it since the last
// direct connection, and never for longer than lostRetention without one.
func TestTableAgainstHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable()
		now, lost, row := 0, make(map[string]int), make(map[string]bool)
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now += rapid.SampledFrom([]int{0, 10, 500, 3000, 11_000}).Draw(t, "pass")
			for a, since := range lost {
				if now-since >= int(lostRetention.Milliseconds()) {
					delete(lost, a)
					delete(row, a)
				}
			}
			a := fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "server"))
			switch rapid.IntRange(0, 2).Draw(t, "result") {
			case 0:
				table.Count(at(now))
				table.Connected(a)
				delete(lost, a)
				clear(row)
			case 1:
				table.Count(at(now))
				table.Tunnelled(a, at(now))
				lost[a], row[a] = now, true
			}
			for n := range 5 {
				a := fmt.Sprint(n)
				_, known := lost[a]
				require.Equal(t, known || len(row) >= cutOffServers, table.IsLost(a, at(now)), "server %s", a)
			}
		}
	})
}
