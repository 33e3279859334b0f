package directory

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

func server(id string, born int64, seq uint64, state State) Server {
	return Server{ID: id, Born: born, Sequence: seq, Service: "s", Address: "10.0.0.1:80", Domain: "a", State: state, Heard: start}
}

func TestRefreshKeepsServersThatAreNotGone(t *testing.T) {
	now := time.Unix(1000, 0)
	d := New()
	d.Merge(Server{ID: "a", State: Ready, Address: "x", Heard: now})
	d.Merge(Server{ID: "b", State: Gone, Heard: now})
	later := now.Add(goneRetention)
	d.Refresh("a", later)
	d.Refresh("b", later)
	d.Refresh("c", later)
	d.Refresh("a", now)
	require.Empty(t, d.Expire(later.Add(time.Millisecond)))
	require.Len(t, d.All(), 1, "the refreshed server is kept, the one that is gone expires")
}

func TestDelayedAnnouncementDoesNotRevertDrainingOrGone(t *testing.T) {
	for _, state := range []State{Draining, Gone} {
		d := New()
		d.Merge(server("i", 5, 1, Ready))
		d.Merge(server("i", 5, 3, state))
		require.Equal(t, Stale, d.Merge(server("i", 5, 2, Ready)))
		d.Merge(server("i", 5, 9, Ready))
		require.Empty(t, d.Serving("s"), "an incarnation became ready again after it was %s", state)
		require.Equal(t, Changed, d.Merge(server("i", 6, 1, Ready)))
		require.Len(t, d.Serving("s"), 1, "the next incarnation serves")
	}
}

func TestUnknownServerThatLeftIgnoresADelayedAnnouncement(t *testing.T) {
	d := New()
	d.Leave("i", start)
	d.Merge(server("i", 5, 7, Ready))
	require.Empty(t, d.Serving("s"))
}

func TestAddressBelongsToTheLatestIncarnation(t *testing.T) {
	older, newer := server("old", 5, 100, Ready), server("new", 6, 1, Ready)
	for _, order := range [][]Server{{older, newer}, {newer, older}} {
		d := New()
		for _, s := range order {
			d.Merge(s)
		}
		serving := d.Serving("s")
		require.Len(t, serving, 1)
		require.Equal(t, "new", serving[0].ID)
		owner, ok := d.ByAddress("10.0.0.1:80")
		require.True(t, ok)
		require.Equal(t, "new", owner.ID)
	}
}

func TestMergeIsIndependentOfTheOrderOfAnnouncements(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var all []Server
		for _, born := range []int64{10, 20} {
			left := Ready
			for seq := uint64(1); seq <= 4; seq++ {
				if rapid.Bool().Draw(t, "leaves") && left < Gone {
					left++
				}
				all = append(all, server("i", born, seq, left))
			}
		}
		a, b := New(), New()
		for _, s := range all {
			a.Merge(s)
		}
		for _, i := range rapid.Permutation(indexes(len(all))).Draw(t, "order") {
			b.Merge(all[i])
		}
		x, _ := a.Get("i")
		y, _ := b.Get("i")
		if x.Born != y.Born || x.State != y.State {
			t.Fatalf("merged in order: %v, incarnation %d; shuffled: %v, incarnation %d", x.State, x.Born, y.State, y.Born)
		}
	})
}

func indexes(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}

func TestSilentServersExpireBeforeServersThatAreGone(t *testing.T) {
	d := New()
	d.Merge(server("i", 5, 1, Ready))
	gone := server("g", 5, 1, Gone)
	gone.Address = "10.0.0.2:80"
	d.Merge(gone)
	require.Empty(t, d.Expire(start.Add(silentRetention)))
	require.Len(t, d.Expire(start.Add(silentRetention+time.Second)), 1)
	_, ok := d.Get("g")
	require.True(t, ok)
	require.Empty(t, d.Expire(start.Add(goneRetention+time.Second)))
	require.Empty(t, d.All())
}

func TestSilentServerIsQuietUntilItsNextAnnouncement(t *testing.T) {
	d := New()
	d.Merge(server("i", 5, 1, Ready))
	require.Empty(t, d.Quieten(start.Add(quietAfter)))
	now := start.Add(quietAfter + time.Millisecond)
	require.Len(t, d.Quieten(now), 1)
	require.Empty(t, d.Quieten(now), "a quiet server is returned once")
	require.True(t, d.Serving("s")[0].Quiet)
	next := server("i", 5, 2, Ready)
	next.Heard = now
	require.Equal(t, Changed, d.Merge(next))
	require.False(t, d.Serving("s")[0].Quiet)
	old := server("i", 5, 1, Ready)
	old.Quiet = true
	require.Equal(t, Stale, d.Merge(old), "an older announcement doesn't mark the server as quiet")
}

// A version counts as in service as long as a server of it may have begun a stream that is taken up again: its servers may
// have left, crashed, or come back with another version.
func TestVersionsInService(t *testing.T) {
	versioned := func(id, version string, born int64) Server {
		s := server(id, born, 1, Ready)
		s.Version, s.Address = version, id+":1"
		return s
	}
	d := New()
	d.Merge(versioned("a", "1", 5))
	d.Merge(versioned("b", "2", 5))
	d.Merge(versioned("c", "3", 5))
	d.Merge(versioned("d", "4", 5))
	other := versioned("e", "9", 5)
	other.Service = "other"
	d.Merge(other)
	require.Equal(t, []string{"1", "2", "3", "4"}, d.Versions("s", start))

	at := start.Add(10 * time.Second)
	d.Leave("b", at)
	replaced := versioned("c", "1", 6)
	replaced.Heard = at
	d.Merge(replaced)
	d.Refresh("a", at.Add(time.Minute))
	d.Refresh("c", at.Add(time.Minute))
	d.Refresh("e", at.Add(time.Minute))
	require.Len(t, d.Expire(start.Add(silentRetention+time.Second)), 1, "the server of version 4 has crashed")
	require.Equal(t, []string{"1", "2", "3", "4"}, d.Versions("s", start))
	require.Equal(t, []string{"1", "2"}, d.Versions("s", start.Add(time.Second)))
	require.Equal(t, []string{"1"}, d.Versions("s", at.Add(time.Second)))
	d.Expire(start.Add(goneRetention + time.Minute))
	d.Expire(start.Add(3 * goneRetention))
	require.Empty(t, d.former, "versions that left long ago are forgotten")
}
