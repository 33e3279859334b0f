package grant

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/pkg/config"
	"github.com/daisyhatch/daisyhatch/pkg/invariant"
)

// fixture is a Grantor with a virtual clock. Its cleanup requires that no invariant was violated.
type fixture struct {
	*testing.T
	*Grantor
	invariants *invariant.Recorder
	now        time.Time
	version    uint64
}

func newFixture(t *testing.T) *fixture {
	b := &fixture{T: t, invariants: invariant.NewRecorder(logr.Discard()), now: time.Unix(1000, 0)}
	b.Grantor = b.successor()
	t.Cleanup(func() {
		_, broken := b.invariants.Violations()
		require.Zero(t, broken)
	})
	return b
}

// successor returns another Grantor with the same clock and configuration, which holds no lease.
func (b *fixture) successor() *Grantor {
	g := NewGrantor(b.invariants, rand.New(rand.NewPCG(1, 2)), b.now)
	g.Configure(b.version+1, testConfig(false))
	return g
}

func testConfig(out bool) *config.Set {
	return &config.Set{
		FailureDomains: map[string]*config.FailureDomain{"a": {Out: out}, "b": {}},
		Pools: map[string]*config.Pool{poolName: {
			Concurrency: 4, ColdConcurrency: 1, WarmAfter: 4, ColdFirstToken: time.Second, ReportsLoad: true,
		}},
	}
}

// lease renews the leases of all shards for g, as requested now.
func (b *fixture) lease(g *Grantor, fence uint64) {
	for shard := range uint32(Shards) {
		g.LeaseRenewed(shard, fence, fence == 1, b.now, b.now)
	}
}

func (b *fixture) holder(vm string) *Holder {
	return NewHolder(Identity{VM: vm, Incarnation: "1", FailureDomain: "a"}, b.invariants)
}

func announcementOfS1(load *daisyhatchv1.Load) *daisyhatchv1.Announcement {
	return &daisyhatchv1.Announcement{Server: "s1", Incarnation: "1", Pool: poolName, FailureDomain: "a", Load: load}
}

func anyShard(uint32) bool { return true }

// ask sends a request of h to g, applies the answer at once and returns the valid units that h then has of s1.
func (b *fixture) ask(h *Holder, g *Grantor, want int) int {
	b.Helper()
	r := h.Ask(fmt.Sprintf("%p", g), anyShard, []Demand{{Pool: poolName, Units: want}}, b.now)
	out, err := g.Acquire(r, b.now)
	require.NoError(b, err)
	require.True(b, h.Apply(fmt.Sprintf("%p", g), out, b.now))
	held, _ := h.Get("s1")
	if !b.now.Before(held.Until) {
		return 0
	}
	return held.Units
}

// granted is like ask, but returns the units of s1 in the answer, without those that h keeps from another grantor.
func (b *fixture) granted(h *Holder, g *Grantor, want int) int {
	b.Helper()
	name := fmt.Sprintf("%p", g)
	out, err := g.Acquire(h.Ask(name, anyShard, []Demand{{Pool: poolName, Units: want}}, b.now), b.now)
	require.NoError(b, err)
	require.True(b, h.Apply(name, out, b.now))
	if len(out.Grants) == 0 {
		return 0
	}
	return int(out.Grants[0].Units)
}

// completeCalls runs n successful calls of h on s1, one after the other.
func (b *fixture) completeCalls(h *Holder, n int, firstToken time.Duration) {
	b.Helper()
	for range n {
		require.True(b, h.Start("s1", b.now))
		h.Done("s1", "1", Outcome{OK: true, FirstToken: firstToken}, b.now)
	}
}

// warm makes b's grantor acquire the leases, and h complete the calls that give s1 its full budget of four.
func (b *fixture) warm(h *Holder) {
	b.Helper()
	b.lease(b.Grantor, 1)
	b.Announce(announcementOfS1(nil), b.now)
	b.ask(h, b.Grantor, 4)
	b.completeCalls(h, 8, time.Millisecond)
	require.Equal(b, 4, b.ask(h, b.Grantor, 4))
}

func TestSuccessorWaitsForFormerGrantsToExpire(t *testing.T) {
	b := newFixture(t)
	x, y := b.holder("x"), b.holder("y")
	b.warm(x)
	// The former grantor can't reach the log any more and grants until its lease ends.
	b.lease(b.Grantor, 1)
	next := b.successor()
	b.now = b.now.Add(LeaseTTL - time.Millisecond)
	b.ask(x, next, 4)
	b.ask(x, b.Grantor, 0)
	b.ask(x, b.Grantor, 0)
	require.Equal(t, 4, b.ask(y, b.Grantor, 4), "the former grantor's lease still lasts")
	b.now = b.now.Add(time.Millisecond)
	b.lease(next, 2)
	next.Announce(announcementOfS1(nil), b.now)
	for range 2 * int(QuietPeriod/RenewInterval) {
		b.lease(next, 2)
		next.Announce(announcementOfS1(nil), b.now)
		mine, theirs := b.ask(x, next, 4), 0
		if h, ok := y.Get("s1"); ok && b.now.Before(h.Until) {
			theirs = h.Units
		}
		require.LessOrEqual(t, mine+theirs, 4)
		b.now = b.now.Add(RenewInterval)
	}
}

func TestGrantTTLCountsFromRequest(t *testing.T) {
	b := newFixture(t)
	b.lease(b.Grantor, 1)
	b.Announce(announcementOfS1(nil), b.now)
	h := b.holder("x")
	r := h.Ask("g", anyShard, []Demand{{Pool: poolName, Units: 1}}, b.now)
	out, err := b.Acquire(r, b.now)
	require.NoError(t, err)
	b.now = b.now.Add(TTL - time.Millisecond)
	require.True(t, h.Apply("g", out, b.now))
	require.True(t, h.Start("s1", b.now))
	require.True(t, h.Valid("s1", "1", b.now))
	b.now = b.now.Add(time.Millisecond)
	require.False(t, h.Valid("s1", "1", b.now), "the process may have paused between Start and sending the call")
	require.False(t, h.Start("s1", b.now))
}

func TestCallIsNotValidAfterRestartOrWithdrawal(t *testing.T) {
	b := newFixture(t)
	h := b.holder("x")
	b.warm(h)
	require.True(t, h.Start("s1", b.now))
	require.False(t, h.Valid("s1", "0", b.now))
	a := announcementOfS1(nil)
	a.Leaving = true
	b.Announce(a, b.now)
	require.Zero(t, b.ask(h, b.Grantor, 4))
	require.False(t, h.Valid("s1", "1", b.now))
}

func TestLateAnnouncementDoesNotEndLeaving(t *testing.T) {
	b := newFixture(t)
	h := b.holder("x")
	b.warm(h)
	leaving := announcementOfS1(nil)
	leaving.Leaving = true
	b.Announce(leaving, b.now)
	b.Announce(announcementOfS1(nil), b.now)
	require.Zero(t, b.ask(h, b.Grantor, 4))
}

func TestSuccessorIgnoresLoadFromBeforeTakeOver(t *testing.T) {
	b := newFixture(t)
	x := b.holder("x")
	b.warm(x)
	next := b.successor()
	next.Announce(announcementOfS1(nil), b.now)
	b.lease(next, 2)
	b.ask(x, next, 4)
	b.now = b.now.Add(QuietPeriod)
	b.lease(next, 2)
	require.Zero(t, b.ask(x, next, 4), "a load report from before the take-over may be out of date")
	b.now = b.now.Add(LeaseTTL)
	b.lease(next, 2)
	next.Announce(announcementOfS1(&daisyhatchv1.Load{}), b.now)
	require.Equal(t, 4, b.ask(x, next, 4))
}

func TestServerReportingColdStaysCold(t *testing.T) {
	b := newFixture(t)
	h := b.holder("x")
	b.lease(b.Grantor, 1)
	b.Announce(announcementOfS1(&daisyhatchv1.Load{Cold: true}), b.now)
	require.Equal(t, 1, b.ask(h, b.Grantor, 4))
	b.completeCalls(h, 8, time.Millisecond)
	require.Equal(t, 1, b.ask(h, b.Grantor, 4))
	b.Announce(announcementOfS1(&daisyhatchv1.Load{Cold: false}), b.now)
	require.Equal(t, 4, b.ask(h, b.Grantor, 4))
}

func TestCallsOfIsolatedHolderStayChargedAfterTakeOver(t *testing.T) {
	for _, load := range []*daisyhatchv1.Load{nil, {Running: 3}, {Running: 0}} {
		b := newFixture(t)
		x, y := b.holder("x"), b.holder("y")
		b.warm(x)
		b.ask(x, b.Grantor, 3)
		b.ask(x, b.Grantor, 3)
		require.Equal(t, 1, b.ask(y, b.Grantor, 1))
		// x loses its connections with three calls in flight.
		next := b.successor()
		b.lease(next, 2)
		next.Announce(announcementOfS1(&daisyhatchv1.Load{}), b.now)
		b.ask(y, next, 4)
		b.now = b.now.Add(QuietPeriod)
		b.lease(next, 2)
		require.Zero(t, b.ask(y, next, 4), "the report may be older than x's last call")
		b.now = b.now.Add(maxAnnounceDelay)
		b.lease(next, 2)
		next.Announce(announcementOfS1(load), b.now)
		want := 0
		if load != nil {
			want = 4 - int(load.Running)
		}
		require.Equal(t, want, b.ask(y, next, 4), "load %v", load)
		b.now = b.now.Add(maxCallTime)
		b.lease(next, 2)
		next.Announce(announcementOfS1(nil), b.now)
		require.Equal(t, 4, b.ask(y, next, 4))
	}
}

func TestWarmthOfHoldersCountsInQuietPeriodOnly(t *testing.T) {
	b := newFixture(t)
	x, y := b.holder("x"), b.holder("y")
	b.warm(x)
	b.ask(y, b.Grantor, 0)
	next := b.successor()
	b.lease(next, 2)
	b.now = b.now.Add(QuietPeriod + maxCallTime)
	b.lease(next, 2)
	next.Announce(announcementOfS1(nil), b.now)
	require.Equal(t, 1, b.ask(x, next, 4), "no holder reported the warm-up progress within the quiet period")
}

func TestServerTurningColdLosesBudgetAtOnce(t *testing.T) {
	turns := map[string]func(*fixture, *Holder){
		"first token": func(b *fixture, h *Holder) {
			b.completeCalls(h, 1, 2*time.Second)
		},
		"load report": func(b *fixture, _ *Holder) {
			b.Announce(announcementOfS1(&daisyhatchv1.Load{Cold: true}), b.now)
		},
		"incarnation": func(b *fixture, _ *Holder) {
			a := announcementOfS1(nil)
			a.Incarnation = "2"
			b.Announce(a, b.now)
		},
		"crash seen by a holder": func(b *fixture, h *Holder) {
			require.True(b, h.Start("s1", b.now))
			h.Done("s1", "1", Outcome{Broken: true}, b.now)
		},
	}
	for name, turn := range turns {
		t.Run(name, func(t *testing.T) {
			b := newFixture(t)
			x, y := b.holder("x"), b.holder("y")
			b.warm(x)
			b.ask(x, b.Grantor, 2)
			b.ask(x, b.Grantor, 2)
			require.Equal(t, 2, b.ask(y, b.Grantor, 2))
			turn(b, x)
			// The server's own report is out of date and still says that it is warm.
			if name == "first token" {
				b.Announce(announcementOfS1(&daisyhatchv1.Load{Cold: false}), b.now)
			}
			for range 4 {
				b.now = b.now.Add(RenewInterval / 2)
				b.lease(b.Grantor, 1)
				sum := b.ask(x, b.Grantor, 4) + b.ask(y, b.Grantor, 4)
				require.LessOrEqual(t, sum, 4)
			}
			require.LessOrEqual(t, b.ask(x, b.Grantor, 4)+b.ask(y, b.Grantor, 4), 1)
		})
	}
}

func TestRestoredDomainRampsFromCold(t *testing.T) {
	b := newFixture(t)
	h := b.holder("x")
	b.warm(h)
	b.Configure(2, testConfig(true))
	require.Zero(t, b.ask(h, b.Grantor, 4))
	b.Configure(3, testConfig(false))
	require.Equal(t, 1, b.ask(h, b.Grantor, 4))
	b.completeCalls(h, 4, time.Millisecond)
	require.Equal(t, 1, b.ask(h, b.Grantor, 4), "cold until four calls have completed")
	b.completeCalls(h, 2, time.Millisecond)
	require.Equal(t, 2, b.ask(h, b.Grantor, 4))
	b.Configure(2, testConfig(true))
	require.NotZero(t, b.ask(h, b.Grantor, 4), "an older configuration changes nothing")
}

// The grantor loses its connection to the log, and then the holder to everything: the holder's grants have to expire.
func TestGrantsOfIsolatedHolderExpireInTakenOutDomain(t *testing.T) {
	b := newFixture(t)
	h := b.holder("x")
	b.warm(h)
	b.lease(b.Grantor, 1)
	takenOut := b.now
	for b.now.Before(takenOut.Add(LeaseTTL)) {
		b.ask(h, b.Grantor, 4)
		b.now = b.now.Add(10 * time.Millisecond)
	}
	require.True(t, h.Start("s1", b.now), "the last grant made under the lease is still valid")
	b.now = takenOut.Add(LeaseTTL + TTL)
	require.False(t, h.Valid("s1", "1", b.now))
	b.now = b.now.Add(5 * time.Hour)
	require.False(t, h.Start("s1", b.now))
	require.Zero(t, b.ask(h, b.Grantor, 4), "the grantor has no lease")
}

func TestHoldersTakeTurnsOnColdServers(t *testing.T) {
	b := newFixture(t)
	b.lease(b.Grantor, 1)
	var holders []*Holder
	for i := range 8 {
		holders = append(holders, b.holder(fmt.Sprint(i)))
	}
	turns := make([]int, len(holders))
	for range 40 {
		b.lease(b.Grantor, 1)
		for i := range 3 {
			b.Announce(&daisyhatchv1.Announcement{
				Server: fmt.Sprint("s", i), Incarnation: "1", Pool: poolName, FailureDomain: "a",
			}, b.now)
		}
		for i, h := range holders {
			b.ask(h, b.Grantor, 4)
			h.Usable(poolName, false, b.now, func(*HeldGrant) { turns[i]++ })
		}
		sum := 0
		for _, s := range b.servers {
			require.LessOrEqual(t, s.charged, 1)
			sum += s.charged
		}
		require.LessOrEqual(t, sum, 3)
		b.now = b.now.Add(RenewInterval)
	}
	for i, n := range turns {
		require.Positive(t, n, "holder %d never got a unit", i)
	}
}

func TestDeadHolderStaysChargedUntilItsCallsEnded(t *testing.T) {
	b := newFixture(t)
	x, y := b.holder("x"), b.holder("y")
	b.warm(x)
	dead := b.now
	for b.now.Before(dead.Add(TTL + defaultDeadline)) {
		b.now = b.now.Add(RenewInterval)
		b.lease(b.Grantor, 1)
		b.Announce(announcementOfS1(nil), b.now)
		b.Tick(b.now)
		require.Zero(t, b.ask(y, b.Grantor, 4))
	}
	b.now = b.now.Add(RenewInterval)
	b.lease(b.Grantor, 1)
	b.Tick(b.now)
	require.Equal(t, 4, b.ask(y, b.Grantor, 4))
}

func TestExclusiveGrantWaitsForIdleServer(t *testing.T) {
	b := newFixture(t)
	x, y := b.holder("x"), b.holder("y")
	b.warm(x)
	require.True(t, x.Start("s1", b.now))
	hasExclusive := func(want int) bool {
		r := y.Ask("g", anyShard, []Demand{{Pool: poolName, Exclusive: want}}, b.now)
		out, err := b.Acquire(r, b.now)
		require.NoError(t, err)
		require.True(t, y.Apply("g", out, b.now))
		ok := false
		y.Usable(poolName, true, b.now, func(*HeldGrant) { ok = true })
		return ok
	}
	require.False(t, hasExclusive(1), "x has a call in flight")
	require.Zero(t, b.ask(x, b.Grantor, 4), "the server is reserved")
	require.False(t, hasExclusive(1))
	x.Done("s1", "1", Outcome{OK: true}, b.now)
	b.ask(x, b.Grantor, 4)
	require.True(t, hasExclusive(1))
	require.True(t, hasExclusive(1), "the grant is renewed while it is not used yet")
	require.True(t, y.Start("s1", b.now))
	require.False(t, hasExclusive(1))
	require.Zero(t, b.ask(x, b.Grantor, 4))
	y.Done("s1", "1", Outcome{OK: true}, b.now)
	require.False(t, hasExclusive(0))
	require.Equal(t, 4, b.ask(x, b.Grantor, 4))
}

// A shard is handed over between two requests of its holders, who keep their units without a quiet period.
func TestHandOverNeedsNoQuietPeriod(t *testing.T) {
	b := newFixture(t)
	x, y := b.holder("x"), b.holder("y")
	b.warm(x)
	b.ask(x, b.Grantor, 3)
	b.ask(x, b.Grantor, 3)
	require.Equal(t, 1, b.ask(y, b.Grantor, 1))
	next := b.successor()
	next.Import(b.Export(ShardOf("s1"), b.now), b.now)
	require.Zero(t, b.granted(y, b.Grantor, 4), "nothing is granted in a shard after its export")
	next.LeaseRenewed(ShardOf("s1"), 2, false, b.now, b.now)
	require.Equal(t, 3, b.granted(x, next, 4))
	require.Equal(t, 1, b.granted(y, next, 4))
}

func TestHandOverKeepsLeavingState(t *testing.T) {
	b := newFixture(t)
	x := b.holder("x")
	b.warm(x)
	leaving := announcementOfS1(nil)
	leaving.Leaving = true
	b.Announce(leaving, b.now)
	b.Announce(announcementOfS1(nil), b.now)
	next := b.successor()
	next.Import(b.Export(ShardOf("s1"), b.now), b.now)
	next.LeaseRenewed(ShardOf("s1"), 2, false, b.now, b.now)
	require.Zero(t, b.granted(x, next, 4), "the last announcement was sent before the server began to leave")
}

func TestHandOverIsIgnoredAfterAnotherGrantor(t *testing.T) {
	b := newFixture(t)
	x := b.holder("x")
	b.warm(x)
	next := b.successor()
	next.Import(b.Export(ShardOf("s1"), b.now), b.now)
	next.LeaseRenewed(ShardOf("s1"), 3, false, b.now, b.now)
	require.Zero(t, b.granted(x, next, 4))
}

// A holder's request to the successor is in transit while the former grantor answers the holder, so that the request
// does not contain these units.
func TestHandOverCountsUnitsGrantedAfterRequest(t *testing.T) {
	b := newFixture(t)
	x, y := b.holder("x"), b.holder("y")
	b.warm(y)
	b.ask(y, b.Grantor, 0)
	b.ask(y, b.Grantor, 0)
	next := b.successor()
	early := x.Ask("next", anyShard, []Demand{{Pool: poolName, Units: 4}}, b.now)
	require.Equal(t, 4, b.ask(x, b.Grantor, 4))
	late := x.Ask("next", anyShard, []Demand{{Pool: poolName}}, b.now)
	late.Demands[0].Uses = nil
	next.Import(b.Export(ShardOf("s1"), b.now), b.now)
	next.LeaseRenewed(ShardOf("s1"), 2, false, b.now, b.now)
	_, err := next.Acquire(early, b.now)
	require.ErrorIs(t, err, ErrStale)
	_, err = next.Acquire(late, b.now)
	require.NoError(t, err)
	require.Zero(t, b.ask(y, next, 4), "x may use the units from the former grantor")
}

func TestExportedShardIsNotGrantedAfterRenewal(t *testing.T) {
	b := newFixture(t)
	x := b.holder("x")
	b.warm(x)
	require.NotNil(t, b.Export(ShardOf("s1"), b.now))
	b.lease(b.Grantor, 1)
	require.True(t, b.Exported(ShardOf("s1")))
	require.Zero(t, b.granted(x, b.Grantor, 4), "the lease was renewed after the export, before its release")
	b.lease(b.Grantor, 2)
	require.True(t, b.Holds(ShardOf("s1"), b.now))
}

func TestLateAnswerForFormerLeaseIsIgnored(t *testing.T) {
	b := newFixture(t)
	b.lease(b.Grantor, 2)
	b.LeaseLost(0)
	b.LeaseRenewed(0, 1, true, b.now, b.now)
	require.False(t, b.Holds(0, b.now))
}
