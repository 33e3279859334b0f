package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
)

// cluster simulates entry VMs that share one organisation's limits over a lossy network, on a simulated clock.
type cluster struct {
	*testing.T
	now       time.Time
	rng       *rand.Rand
	authority Authority
	allotter  *Allotter
	entries   []*Controller
	// waiting counts the waiting requests by entry VM.
	waiting []int
	// ends lists the requests in flight.
	ends     []end
	inFlight int
	// maxInFlight is the most requests that were in flight at once.
	maxInFlight int
	admitted    int
	refused     int
	// lossRate is the probability that a draw request, or its response, is lost.
	lossRate float64
}

// end is when a request on an entry VM will end.
type end struct {
	at    time.Time
	entry int
}

func newCluster(t *testing.T, n int, l Limits) *cluster {
	f := &cluster{
		T: t, now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(1, 2)), authority: Authority{Limits: l, Fence: 1}, allotter: NewAllotter(),
	}
	for i := range n {
		f.entries = append(f.entries, NewController(fmt.Sprint("e", i), "1"))
	}
	f.waiting = make([]int, n)
	return f
}

// clusterTick is the step of the simulated clock.
const clusterTick = 10 * time.Millisecond

// run simulates d, in which rate requests per second arrive at the entry VMs chosen by pick, and each runs for length.
func (f *cluster) run(d time.Duration, rate float64, length time.Duration, pick func() int) {
	due := 0.0
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(clusterTick) {
		for due += rate * clusterTick.Seconds(); due >= 1; due-- {
			f.arrive(pick(), length)
		}
		f.leave(length)
		regular := f.now.UnixMilli()%drawInterval.Milliseconds() == 0
		for i, c := range f.entries {
			if regular || f.waiting[i] > 0 {
				f.draw(i, c, regular, length)
			}
		}
		f.maxInFlight = max(f.maxInFlight, f.inFlight)
	}
}

func (f *cluster) arrive(i int, length time.Duration) {
	switch v, _ := f.entries[i].Arrive("o", f.authority.Limits, f.now); v {
	case Admit:
		f.start(i, length)
	case Wait:
		f.waiting[i]++
	case Refuse:
		f.refused++
	}
	f.entries[i].SetWaiting("o", f.waiting[i])
}

func (f *cluster) start(i int, length time.Duration) {
	f.admitted++
	f.inFlight++
	f.ends = append(f.ends, end{f.now.Add(length), i})
}

// leave ends the requests that are due and rechecks the waiting ones.
func (f *cluster) leave(length time.Duration) {
	kept := f.ends[:0]
	for _, e := range f.ends {
		if e.at.After(f.now) {
			kept = append(kept, e)
			continue
		}
		f.inFlight--
		f.entries[e.entry].Leave("o", f.now)
	}
	f.ends = kept
	for i := range f.entries {
		f.serve(i, length)
	}
}

// serve admits or refuses the waiting requests of entry VM i, as far as its Controller decides on them.
func (f *cluster) serve(i int, length time.Duration) {
	for f.waiting[i] > 0 {
		v, _ := f.entries[i].Recheck("o", f.now)
		if v == Wait {
			break
		}
		f.waiting[i]--
		if v == Admit {
			f.start(i, length)
		} else {
			f.refused++
		}
	}
	f.entries[i].SetWaiting("o", f.waiting[i])
}

// draw sends one draw from entry VM i; the request or the response may be lost.
func (f *cluster) draw(i int, c *Controller, regular bool, length time.Duration) {
	r := c.Draw("grantor", func(string) bool { return true }, regular, f.now)
	if r == nil || f.rng.Float64() < f.lossRate {
		return
	}
	out := f.allotter.Draw(r, func(string) Authority { return f.authority }, f.now)
	if f.rng.Float64() >= f.lossRate {
		c.Apply("grantor", out, f.now)
	}
	f.serve(i, length)
}

func (f *cluster) randomEntry() int { return f.rng.IntN(len(f.entries)) }

// TestRateHoldsAcrossEntryVMs sends three times the allowed rate. The admitted requests must come within 10 % of the limit
// and not exceed it.
func TestRateHoldsAcrossEntryVMs(t *testing.T) {
	for _, n := range []int{1, 8, 40} {
		for name, pick := range map[string]func(f *cluster) func() int{
			"even":   func(f *cluster) func() int { return f.randomEntry },
			"uneven": func(f *cluster) func() int { return func() int { return f.rng.IntN(1 + f.rng.IntN(len(f.entries))) } },
			"moving": func(f *cluster) func() int {
				return func() int { return (int(f.now.Unix()/3) + f.rng.IntN(2)) % len(f.entries) }
			},
		} {
			f := newCluster(t, n, Limits{Rate: 100, Burst: 20})
			f.run(30*time.Second, 300, 20*time.Millisecond, pick(f))
			require.InDelta(t, 30*100+20, f.admitted, 0.1*30*100, "%d VMs, %s", n, name)
			require.LessOrEqual(t, f.admitted, 30*100+20)
			t.Logf("%d VMs, %s: %.1f %% of the limit", n, name, float64(f.admitted)/30.2)
		}
	}
}

func TestRateBelowTheLimitIsNotRefused(t *testing.T) {
	f := newCluster(t, 8, Limits{Rate: 100, Burst: 50})
	f.run(30*time.Second, 80, 20*time.Millisecond, f.randomEntry)
	require.LessOrEqual(t, f.refused, 24, "at most one request in a hundred is refused")
}

func TestConcurrencyHoldsAcrossEntryVMs(t *testing.T) {
	for _, n := range []int{1, 8, 40} {
		f := newCluster(t, n, Limits{Concurrency: 50})
		f.run(20*time.Second, 200, 500*time.Millisecond, f.randomEntry)
		require.LessOrEqual(t, f.maxInFlight, 50, "%d VMs", n)
		before := f.admitted
		f.run(10*time.Second, 200, 500*time.Millisecond, f.randomEntry)
		require.InDelta(t, 50*2*10, f.admitted-before, 0.1*50*2*10, "%d VMs", n)
		t.Logf("%d VMs: %.1f %% of the limit", n, float64(f.admitted-before)/10)
	}
}

func TestLimitsHoldWithLostMessages(t *testing.T) {
	f := newCluster(t, 8, Limits{Rate: 100, Burst: 20, Concurrency: 50})
	f.lossRate = 0.05
	f.run(30*time.Second, 300, 200*time.Millisecond, f.randomEntry)
	require.LessOrEqual(t, f.maxInFlight, 50)
	require.InDelta(t, 30*100+20, f.admitted, 0.1*30*100)
	t.Logf("%.1f %% of the limit", float64(f.admitted)/30.2)
}

// TestLimitsHoldWhenTheGrantorChanges replaces the grantor under load by one without state.
func TestLimitsHoldWhenTheGrantorChanges(t *testing.T) {
	f := newCluster(t, 8, Limits{Rate: 100, Burst: 20, Concurrency: 50})
	f.run(10*time.Second, 300, 400*time.Millisecond, f.randomEntry)
	f.authority.Fence, f.authority.Learning = 2, true
	f.allotter = NewAllotter()
	f.run(unitsTTL, 300, 400*time.Millisecond, f.randomEntry)
	f.authority.Learning = false
	f.run(10*time.Second, 300, 400*time.Millisecond, f.randomEntry)
	require.LessOrEqual(t, f.maxInFlight, 50)
	require.LessOrEqual(t, f.admitted, 2150+20)
}

func TestOutageFallsBackToAShareOfTheLimits(t *testing.T) {
	f := newCluster(t, 8, Limits{Rate: 80, Burst: 8, Concurrency: 80})
	f.run(5*time.Second, 40, 20*time.Millisecond, f.randomEntry)
	f.lossRate = 1
	f.run(outageThreshold, 40, 20*time.Millisecond, f.randomEntry)
	before := f.admitted
	f.run(10*time.Second, 40, 20*time.Millisecond, f.randomEntry)
	require.Greater(t, f.admitted-before, 300, "requests are still admitted")
	before = f.admitted
	f.run(10*time.Second, 400, 20*time.Millisecond, f.randomEntry)
	require.InDelta(t, 800, f.admitted-before, 160)
}

func TestIdleOrganisationsTakeNoMemory(t *testing.T) {
	c, a := NewController("e", "1"), NewAllotter()
	now := time.Unix(1000, 0)
	l := Limits{Rate: 10, Concurrency: 2}
	for i := range 21_000 {
		c.Arrive(fmt.Sprint(i), l, now)
		c.SetWaiting(fmt.Sprint(i), 1)
	}
	r := c.Draw("k", func(string) bool { return true }, true, now)
	c.Apply("k", a.Draw(r, func(string) Authority { return Authority{Limits: l, Fence: 1} }, now), now)
	require.Equal(t, 21_000, a.Len())
	for i := range 21_000 {
		v, _ := c.Recheck(fmt.Sprint(i), now)
		require.Equal(t, Admit, v)
		c.SetWaiting(fmt.Sprint(i), 0)
		c.Leave(fmt.Sprint(i), now)
	}
	now = now.Add(2 * silentHolderTTL)
	c.Tick(now)
	a.Tick(now)
	require.Zero(t, c.Len())
	require.Zero(t, a.Len())
	q := NewQueue[int]()
	for i := range 21_000 {
		q.Push(fmt.Sprint(i), 1, 0, i)
	}
	for q.Pop() != nil {
	}
	require.Empty(t, q.flows)
	require.InDelta(t, 0, q.Weights(), 0)
}

func TestOlderDrawIsIgnored(t *testing.T) {
	a := NewAllotter()
	authorityOf := func(string) Authority { return Authority{Limits: Limits{Rate: 1, Burst: 10}, Fence: 1} }
	r := &daisyhatchv1.DrawRequest{Vm: "e", Sequence: 2, Demands: []*daisyhatchv1.QuotaDemand{{Organisation: "o", Tokens: 5}}}
	require.NotNil(t, a.Draw(r, authorityOf, time.Unix(1000, 0)))
	require.Nil(t, a.Draw(r, authorityOf, time.Unix(1000, 0)))
}

func TestQueueIsFairByWeight(t *testing.T) {
	q := NewQueue[string]()
	for range 300 {
		q.Push("a", 1, 0, "a")
		q.Push("b", 2, 0, "b")
	}
	q.Push("late", 1, 0, "late")
	first, served := -1, map[string]int{}
	for i := range 150 {
		v := q.Pop().Value
		served[v]++
		if v == "late" {
			first = i
		}
	}
	require.InDelta(t, 50, served["a"], 2)
	require.InDelta(t, 100, served["b"], 2)
	require.Less(t, first, 4, "a late item doesn't wait behind the backlog of other organisations")
}

func TestQueueGivesANewcomerNoMoreThanItsShare(t *testing.T) {
	q := NewQueue[string]()
	for range 200 {
		q.Push("a", 1, 0, "a")
	}
	for range 100 {
		q.Pop()
	}
	for range 100 {
		q.Push("late", 1, 0, "late")
	}
	late := 0
	for range 20 {
		if q.Pop().Value == "late" {
			late++
		}
	}
	require.InDelta(t, 10, late, 1)
}

func TestQueueServesPrioritiesWithinAnOrganisation(t *testing.T) {
	q := NewQueue[int]()
	for i, p := range []int{1, 5, 3, 5} {
		q.Push("a", 1, p, i)
	}
	removed := q.Push("a", 1, 9, 99)
	q.Remove(removed)
	q.Remove(removed)
	var order []int
	for it := q.Pop(); it != nil; it = q.Pop() {
		order = append(order, it.Value)
	}
	require.Equal(t, []int{1, 3, 2, 0}, order)
}

// drawOne draws for the organisation "o" and returns the quota.
func drawOne(a *Allotter, vm string, k Authority, d *daisyhatchv1.QuotaDemand, now time.Time) *daisyhatchv1.Quota {
	d.Organisation = "o"
	r := &daisyhatchv1.DrawRequest{Vm: vm, Sequence: uint64(now.UnixNano()), Demands: []*daisyhatchv1.QuotaDemand{d}}
	return a.Draw(r, func(string) Authority { return k }, now).Quotas[0]
}

func TestUnitsHeldAreChargedUntilGivenBack(t *testing.T) {
	a, now := NewAllotter(), time.Unix(1000, 0)
	k := Authority{Limits: Limits{Concurrency: 5}, Fence: 1}
	require.EqualValues(t, 5, drawOne(a, "x", k, &daisyhatchv1.QuotaDemand{Want: 5}, now).Units)
	now = now.Add(time.Second)
	require.Zero(t, drawOne(a, "x", k, &daisyhatchv1.QuotaDemand{Units: 5}, now).Units)
	require.Zero(t, drawOne(a, "y", k, &daisyhatchv1.QuotaDemand{Want: 5}, now).Units, "x may use its units until it has the response")
	now = now.Add(time.Second)
	drawOne(a, "x", k, &daisyhatchv1.QuotaDemand{}, now)
	require.EqualValues(t, 5, drawOne(a, "y", k, &daisyhatchv1.QuotaDemand{Want: 5}, now).Units)
}

func TestBucketIsCappedAtBurstAndStartsEmptyAtANewGrantor(t *testing.T) {
	a, now := NewAllotter(), time.Unix(1000, 0)
	k := Authority{Limits: Limits{Rate: 10, Burst: 20}, Fence: 1}
	drawOne(a, "x", k, &daisyhatchv1.QuotaDemand{Tokens: 1}, now)
	now = now.Add(time.Minute)
	require.EqualValues(t, 20, drawOne(a, "x", k, &daisyhatchv1.QuotaDemand{Tokens: 100}, now).Tokens)
	k.Fence, k.Learning = 2, true
	q := drawOne(a, "x", k, &daisyhatchv1.QuotaDemand{Tokens: 100}, now.Add(time.Millisecond))
	require.Zero(t, q.Tokens)
	require.InDelta(t, 100, q.RetryMs, 1)
}

func TestUnitsExpireAndStaleResponsesAreDropped(t *testing.T) {
	c, now := NewController("e", "1"), time.Unix(1000, 0)
	l := Limits{Concurrency: 5}
	isGrantor := func(string) bool { return true }
	respond := func(r *daisyhatchv1.DrawRequest) *daisyhatchv1.DrawResponse {
		q := &daisyhatchv1.Quota{Organisation: "o", Units: 2, TtlMs: unitsTTL.Milliseconds()}
		return &daisyhatchv1.DrawResponse{Sequence: r.Sequence, Quotas: []*daisyhatchv1.Quota{q}}
	}
	c.Arrive("o", l, now)
	first := c.Draw("k", isGrantor, true, now)
	second := c.Draw("k", isGrantor, true, now)
	c.Apply("k", respond(first), now)
	v, _ := c.Recheck("o", now)
	require.Equal(t, Wait, v, "a response to an earlier request is ignored")
	c.Apply("k", respond(second), now.Add(unitsTTL-time.Millisecond))
	v, _ = c.Recheck("o", now.Add(unitsTTL-time.Millisecond))
	require.Equal(t, Admit, v)
	v, _ = c.Recheck("o", now.Add(unitsTTL))
	require.Equal(t, Wait, v, "the lifetime of units starts with the request")
}

func TestOrganisationsDrawOnlyWhenTheyNeedSomething(t *testing.T) {
	c, a, now := NewController("e", "1"), NewAllotter(), time.Unix(1000, 0)
	l := Limits{Rate: 10, Burst: 20}
	isGrantor := func(string) bool { return true }
	authorityOf := func(string) Authority { return Authority{Limits: l, Fence: 1} }
	for _, name := range []string{"x", "y"} {
		v, _ := c.Arrive(name, l, now)
		require.Equal(t, Wait, v)
	}
	c.SetWaiting("x", 1)
	r := c.Draw("k", isGrantor, false, now)
	require.Len(t, r.Demands, 1, "only x has a waiting request")
	c.Apply("k", a.Draw(r, authorityOf, now), now)
	v, _ := c.Recheck("x", now)
	require.Equal(t, Admit, v)
	c.SetWaiting("x", 0)
	for range 8 {
		now = now.Add(drawInterval)
		require.Nil(t, c.Draw("k", isGrantor, true, now), "x has enough tokens")
	}
	v, _ = c.Arrive("x", l, now)
	require.Equal(t, Wait, v, "the time without a draw doesn't count as an outage")
}

// TestDrawIsRepeatedWhileTheGrantorIsSilent checks that draws go on while the grantor doesn't respond, and that the
// fallback share of the limits applies meanwhile.
func TestDrawIsRepeatedWhileTheGrantorIsSilent(t *testing.T) {
	c, now := NewController("e", "1"), time.Unix(1000, 0)
	l := Limits{Rate: 10, Burst: 20}
	c.Arrive("x", l, now)
	c.SetWaiting("x", 1)
	for range 6 {
		now = now.Add(drawInterval)
		require.NotNil(t, c.Draw("k", func(string) bool { return true }, true, now))
	}
	v, _ := c.Recheck("x", now)
	require.Equal(t, Admit, v)
	c.SetWaiting("x", 0)
	require.NotNil(t, c.Draw("k", func(string) bool { return true }, true, now.Add(drawInterval)))
}

func TestBucketIsKeptUntilFull(t *testing.T) {
	a, now := NewAllotter(), time.Unix(1000, 0)
	k := Authority{Limits: Limits{Rate: 0.02, Burst: 1}, Fence: 1}
	require.EqualValues(t, 1, drawOne(a, "x", k, &daisyhatchv1.QuotaDemand{Tokens: 1}, now).Tokens)
	for range 49 {
		now = now.Add(time.Second)
		a.Tick(now)
	}
	require.Zero(t, drawOne(a, "x", k, &daisyhatchv1.QuotaDemand{Tokens: 1}, now).Tokens)
	now = now.Add(time.Second)
	require.EqualValues(t, 1, drawOne(a, "x", k, &daisyhatchv1.QuotaDemand{Tokens: 1}, now).Tokens)
}

// While an organisation has no grantor, each VM applied an eighth of the limits: 40 VMs admitted five times the rate.
func TestOutageSharesOfManyVMsAddUpToTheLimits(t *testing.T) {
	const vms, rate = 40, 80
	f := newCluster(t, vms, Limits{Rate: rate, Concurrency: vms})
	f.run(5*time.Second, 2*rate, 20*time.Millisecond, f.randomEntry)
	f.lossRate = 1
	f.run(outageThreshold+time.Second, 2*rate, 20*time.Millisecond, f.randomEntry)
	f.admitted, f.maxInFlight = 0, 0
	f.run(10*time.Second, 20*rate, 20*time.Millisecond, f.randomEntry)
	require.LessOrEqual(t, f.admitted, 10*rate+vms, "the rate, and one request that each VM has in hand")
	require.Greater(t, f.admitted, 5*rate)
	require.LessOrEqual(t, f.maxInFlight, vms)
}
