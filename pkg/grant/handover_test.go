package grant

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The successor acquires the lease before the handed-over state arrives; the state then ends its quiet period.
func TestLateHandOverEndsQuietPeriod(t *testing.T) {
	b := newFixture(t)
	x, y := b.holder("x"), b.holder("y")
	b.warm(x)
	b.ask(x, b.Grantor, 3)
	b.ask(x, b.Grantor, 3)
	state := b.Export(ShardOf("s1"), b.now)
	next := b.successor()
	next.LeaseRenewed(ShardOf("s1"), 2, false, b.now, b.now)
	require.Zero(t, b.ask(y, next, 1), "grants of the former grantor may still be valid")
	require.True(t, next.WaitsForQuietPeriod(ShardOf("s1"), b.now))
	b.now = b.now.Add(10 * time.Millisecond)
	next.Import(state, b.now)
	require.Equal(t, 1, b.ask(y, next, 1), "x holds three of the four units")
	require.Equal(t, 3, b.granted(x, next, 3))
}

// The state was exported under fence 1, but the successor acquires the lease under fence 3: another VM held it between.
func TestHandOverUnderOlderFenceIsIgnored(t *testing.T) {
	b := newFixture(t)
	x := b.holder("x")
	b.warm(x)
	state := b.Export(ShardOf("s1"), b.now)
	next := b.successor()
	next.LeaseRenewed(ShardOf("s1"), 3, false, b.now, b.now)
	next.Import(state, b.now)
	require.True(t, next.WaitsForQuietPeriod(ShardOf("s1"), b.now))
	require.Zero(t, b.granted(x, next, 4))
}

// The handed-over state describes a server that has restarted and announced itself to the successor since.
func TestHandOverKeepsNewerIncarnation(t *testing.T) {
	b := newFixture(t)
	x, y := b.holder("x"), b.holder("y")
	b.warm(x)
	b.ask(x, b.Grantor, 1)
	state := b.Export(ShardOf("s1"), b.now)
	next := b.successor()
	b.now = b.now.Add(10 * time.Millisecond)
	restarted := announcementOfS1(nil)
	restarted.Incarnation = "2"
	next.Announce(restarted, b.now)
	next.Import(state, b.now)
	next.LeaseRenewed(ShardOf("s1"), 2, false, b.now, b.now)
	require.Equal(t, "2", next.servers["s1"].ann.Incarnation)
	require.Zero(t, b.granted(y, next, 4), "x holds the only unit of a cold server")
}

// A holder drops a server whose units stay charged after a hand-over; a later grant has to contain the announcement.
func TestDroppedAnnouncementIsSentAgain(t *testing.T) {
	b := newFixture(t)
	x := b.holder("x")
	b.warm(x)
	b.ask(x, b.Grantor, 1)
	next := b.successor()
	next.Import(b.Export(ShardOf("s1"), b.now), b.now)
	next.LeaseRenewed(ShardOf("s1"), 2, false, b.now, b.now)
	b.ask(x, next, 1)
	b.ask(x, next, 0)
	b.ask(x, next, 0)
	_, held := x.Get("s1")
	require.False(t, held)
	require.Equal(t, 1, b.ask(x, next, 1))
}

// A shard is handed over while its server's failure domain is out, to a VM that already has the configuration that
// brings the domain back.
func TestDomainRestoredDuringHandOverStartsCold(t *testing.T) {
	b := newFixture(t)
	x := b.holder("x")
	b.warm(x)
	b.Configure(2, testConfig(true))
	next := NewGrantor(b.invariants, rand.New(rand.NewPCG(1, 2)), b.now)
	next.Configure(3, testConfig(false))
	b.now = b.now.Add(2 * TTL)
	b.lease(b.Grantor, 1)
	b.Announce(announcementOfS1(nil), b.now)
	require.Zero(t, b.granted(x, b.Grantor, 4))
	next.Import(b.Export(ShardOf("s1"), b.now), b.now)
	next.LeaseRenewed(ShardOf("s1"), 2, false, b.now, b.now)
	require.Equal(t, 1, b.granted(x, next, 4))
}
