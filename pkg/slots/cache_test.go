package slots

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/pkg/engine"
	"github.com/daisyhatch/daisyhatch/pkg/grant"
)

// grantUnit grants s one unit of a server for a minute.
func grantUnit(s *Slots, a *daisyhatchv1.Announcement, now time.Time) {
	demands := []grant.Demand{{Pool: a.Pool, Units: 1}}
	r := s.holder.Ask("g", func(uint32) bool { return true }, demands, now)
	s.apply("g", demands, &daisyhatchv1.AcquireResponse{Sequence: r.Sequence, Grants: []*daisyhatchv1.Grant{
		{Server: a, Units: 1, TtlMs: time.Minute.Milliseconds(), Budget: 4},
	}}, now)
}

func TestCacheEventsReachTheIndex(t *testing.T) {
	s, now := New(Options{VM: "e", Incarnation: "1"}), time.Now()
	a := &daisyhatchv1.Announcement{Server: "s", Incarnation: "1", Pool: "gen", Capabilities: []string{engine.CapabilityCacheEvents}}
	s.pool("gen")
	grantUnit(s, a, now)
	servers := s.CacheServers()
	require.Len(t, servers, 1)
	stored := []engine.CacheEvent{{Sequence: 4, Stored: []uint64{7}}}
	holders := func() string { return s.pool("gen").picker.Holders([]uint64{7})[0] }
	require.True(t, s.CacheEvents(servers[0], stored))
	require.Equal(t, "s", holders())
	require.False(t, s.CacheEvents(servers[0], []engine.CacheEvent{{Sequence: 6}}), "event 5 is missing")
	require.Empty(t, holders(), "entries from before the gap are dropped")
	require.True(t, s.CacheEvents(servers[0], []engine.CacheEvent{{Sequence: 7, Stored: []uint64{7}}}))
	require.Equal(t, "s", holders())

	grantUnit(s, &daisyhatchv1.Announcement{Server: "s", Incarnation: "2", Pool: "gen", Capabilities: a.Capabilities}, now)
	require.Empty(t, holders(), "the new process has an empty cache")
	require.True(t, s.CacheEvents(servers[0], []engine.CacheEvent{{Sequence: 8, Stored: []uint64{7}}}))
	require.Empty(t, holders(), "events of the old incarnation are ignored")
	require.True(t, s.CacheEvents(s.CacheServers()[0], []engine.CacheEvent{{Sequence: 1, Stored: []uint64{7}}}))
	require.Equal(t, "s", holders())
	s.CacheUnfollowed(s.CacheServers()[0])
	require.True(t, s.CacheEvents(s.CacheServers()[0], []engine.CacheEvent{{Sequence: 90}}))
	require.Equal(t, "s", holders())
}

func TestOnlyServersWithCacheEventsAreRead(t *testing.T) {
	s, now := New(Options{VM: "e", Incarnation: "1"}), time.Now()
	s.pool("gen")
	grantUnit(s, &daisyhatchv1.Announcement{Server: "s", Incarnation: "1", Pool: "gen", Capabilities: []string{"resume"}}, now)
	require.Empty(t, s.CacheServers())
}
