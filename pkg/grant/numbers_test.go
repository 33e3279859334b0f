package grant

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
)

// exchange sends a request of h to b's grantor, applies the answer, and returns copies of both as sent.
func exchange(b *fixture, h *Holder, want int) (*daisyhatchv1.AcquireRequest, *daisyhatchv1.AcquireResponse) {
	b.Helper()
	r := h.Ask("g", anyShard, []Demand{{Pool: poolName, Units: want}}, b.now)
	sent := clone(r)
	out, err := b.Acquire(r, b.now)
	require.NoError(b, err)
	received := clone(out)
	require.True(b, h.Apply("g", out, b.now))
	return sent, received
}

func clone[T proto.Message](m T) T { return proto.Clone(m).(T) }

func TestNumbersReplaceNamesOnceKnown(t *testing.T) {
	b := newFixture(t)
	h := b.holder("x")
	b.warm(h)
	b.Announce(announcementOfS1(&daisyhatchv1.Load{}), b.now)
	exchange(b, h, 4)
	r, out := exchange(b, h, 4)
	require.Empty(t, r.Vm)
	require.Empty(t, r.Demands)
	require.Empty(t, r.Uses[0].Server)
	require.Empty(t, out.Supplies)
	require.Equal(t, []uint32{4}, out.Budgets)
	require.Equal(t, []uint32{4}, out.PoolDemands)
	require.Nil(t, out.Grants[0].Server)
	held, _ := h.Get("s1")
	require.Equal(t, 4, held.Units)
	require.Equal(t, b.now.Add(TTL), held.Until)
}

// The grantor can't tell which units a request with unknown numbers reports, so it has to refuse the request and keep
// the units charged.
func TestRequestWithUnknownNumbersChangesNothing(t *testing.T) {
	for name, lose := range map[string]func(b *fixture){
		"session":      func(b *fixture) { clear(b.numbers.sessions) },
		"announcement": func(b *fixture) { b.numbers.renumber(b.servers["s1"]) },
		"pool":         func(b *fixture) { clear(b.numbers.pools) },
	} {
		t.Run(name, func(t *testing.T) {
			b := newFixture(t)
			h := b.holder("x")
			b.warm(h)
			exchange(b, h, 4)
			exchange(b, h, 4)
			require.Equal(t, 4, b.servers["s1"].charged)
			lose(b)
			_, err := b.Acquire(h.Ask("g", anyShard, []Demand{{Pool: poolName, Units: 4}}, b.now), b.now)
			require.ErrorIs(t, err, ErrUnknownNumber)
			require.Equal(t, 4, b.servers["s1"].charged)
			h.EndSession("g")
			r, _ := exchange(b, h, 4)
			require.Equal(t, "x", r.Vm)
			require.Equal(t, "s1", r.Demands[0].Uses[0].Server)
			require.Equal(t, uint32(4), r.Demands[0].Uses[0].Units)
		})
	}
}

// Holders pass a server's warm-up progress on to a successor, so an answer has to contain it until the holder has
// applied one that does.
func TestWarmthIsSentUntilApplied(t *testing.T) {
	b := newFixture(t)
	h := b.holder("x")
	b.warm(h)
	b.Announce(announcementOfS1(&daisyhatchv1.Load{}), b.now)
	exchange(b, h, 4)
	exchange(b, h, 4)
	_, out := exchange(b, h, 4)
	require.Nil(t, out.Grants[0].Warmth)
	b.servers["s1"].warmth.turnCold()
	_, err := b.Acquire(h.Ask("g", anyShard, []Demand{{Pool: poolName, Units: 4}}, b.now), b.now)
	require.NoError(t, err) // the answer is lost
	_, out = exchange(b, h, 4)
	require.NotNil(t, out.Grants[0].Warmth)
	_, out = exchange(b, h, 4)
	require.Nil(t, out.Grants[0].Warmth)
	held, _ := h.Get("s1")
	require.Equal(t, uint32(1), held.warmth.GetColdCount())
}

func TestAnnounceTTLCoversLostAnnouncement(t *testing.T) {
	require.Equal(t, BaseAnnounceInterval, AnnounceInterval(60))
	require.Less(t, 2*AnnounceInterval(2800), AnnounceTTL)
}

// A load report that the holder already has is not sent again, and its time of measurement does not change.
func TestLoadReportIsSentOnce(t *testing.T) {
	b := newFixture(t)
	h := b.holder("x")
	b.warm(h)
	b.Announce(announcementOfS1(&daisyhatchv1.Load{Running: 3, AgeMs: 100}), b.now)
	at := b.now.Add(-100 * time.Millisecond)
	exchange(b, h, 4)
	exchange(b, h, 4)
	b.now = b.now.Add(300 * time.Millisecond)
	_, out := exchange(b, h, 4)
	require.Nil(t, out.Grants[0].Load)
	held, _ := h.Get("s1")
	require.EqualValues(t, 3, held.Load.Running)
	require.Equal(t, at, held.LoadAt)
	b.Announce(announcementOfS1(&daisyhatchv1.Load{Running: 5}), b.now)
	_, out = exchange(b, h, 4)
	require.EqualValues(t, 5, out.Grants[0].Load.Running)
	b.Announce(announcementOfS1(nil), b.now)
	exchange(b, h, 4)
	held, _ = h.Get("s1")
	require.Nil(t, held.Load)
}
