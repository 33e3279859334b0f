package experiment

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/daisyhatch/daisyhatch/pkg/catalog"
	"github.com/daisyhatch/daisyhatch/pkg/precedence"
	"github.com/daisyhatch/daisyhatch/pkg/stagecall"
)

// scarceSites are sites whose chained pools are asked for more than they can do: three kinds of requests of different
// priority, each growing in turn; a third of the servers is lost for a while, and all owners once. The most urgent kind runs
// through all pools at the first one, and wants large results of the first pool alone at the second one.
var scarceSites = []site{
	scarceSite([]kind{
		{rate: 50, priority: 0, target: 1300 * time.Millisecond, deadline: 6 * time.Second, stages: []stage{{0, 1, 8e3}, {1, 14, 6e4}, {2, 26, 6e3}}},
		{rate: 100, priority: 1, target: 2500 * time.Millisecond, deadline: 6 * time.Second, stages: []stage{{0, 3, 1.5e6}}},
		{rate: 37, priority: 2, target: 4 * time.Second, deadline: 17 * time.Second, stages: []stage{{1, 10, 6e4}, {2, 18, 6e3}}},
	}),
	scarceSite([]kind{
		{rate: 50, priority: 0, target: time.Second, deadline: 6 * time.Second, stages: []stage{{0, 3, 1.5e6}}},
		{rate: 100, priority: 1, target: 2500 * time.Millisecond, deadline: 6 * time.Second, stages: []stage{{0, 1, 8e3}, {1, 8, 6e4}, {2, 14, 6e3}}},
		{rate: 37, priority: 2, target: 5 * time.Second, deadline: 20 * time.Second, stages: []stage{{0, 1, 8e3}, {1, 8, 6e4}, {2, 14, 6e3}}},
	}),
}

func scarceSite(kinds []kind) site {
	return site{
		batches: []catalog.Batch{
			{Slots: 1, Queue: serverQueue, Size: 10, PerCall: 200 * time.Millisecond, PerPiece: 17 * time.Millisecond, ResultBytes: 22e6, ResultTTL: 4 * time.Second},
			{Slots: 1, Queue: serverQueue, Size: 38, PerCall: 200 * time.Millisecond, PerPiece: 4500 * time.Microsecond, ResultBytes: 49e5, ResultTTL: 4 * time.Second},
			{Slots: 1, Queue: serverQueue, Size: 52, PerCall: 200 * time.Millisecond, PerPiece: 3300 * time.Microsecond, ResultBytes: 68e4, ResultTTL: 4 * time.Second},
		},
		kinds: kinds, servers: []int{18, 15, 18}, vms: 67, returns: 1, burst: 2.5,
		lostAt: 32 * time.Second, ownersLostAt: 45 * time.Second,
	}
}

// disturb plans the losses of a site.
func (s *sim) disturb() {
	if s.site.lostAt > 0 {
		s.after(s.site.lostAt, func() { s.setLost(true) })
		s.after(s.site.lostAt+lostFor, func() { s.setLost(false) })
	}
	if s.site.ownersLostAt > 0 {
		s.after(s.site.ownersLostAt, func() { s.ownersLost = true })
		s.after(s.site.ownersLostAt+ownersLostFor, s.takeOver)
	}
}

// setLost takes a third of each pool's servers away, or brings them back.
func (s *sim) setLost(lost bool) {
	for i, q := range s.pools {
		q.known = nil
		for k := range s.site.servers[i] {
			id := fmt.Sprintf("%d-%d", i, k)
			v := q.servers[id]
			v.lost = lost && k%3 == 0
			if !v.lost {
				q.known = append(q.known, stagecall.Server{ID: id, Address: id})
			}
		}
	}
}

// takeOver starts new owners. The jobs that waited at the lost ones are asked for again, all at once.
func (s *sim) takeOver() {
	s.ownersLost = false
	s.newOwners()
	old, waiting := s.queued, s.waiting
	s.queued, s.waiting = nil, nil
	for _, j := range old {
		w := s.jobs[j]
		if !w.request.over && len(j.Pieces) > 0 {
			s.ask(s.pools[s.site.kinds[w.request.kind].stages[w.stage].pool], j)
		}
	}
	for _, begin := range waiting {
		begin()
	}
}

// Order is an order of requests that was weighed.
type Order struct {
	Name string
	// New returns the order, which may keep state during one run.
	New func() precedence.Order
	// Whole is that of Policy.
	Whole bool
}

// Orders returns the orders that are compared, the product's own first.
func Orders() []Order {
	own := precedence.Default
	by := func(keys ...func(a, b *precedence.Claim) int) func() precedence.Order {
		return func() precedence.Order {
			return precedence.Order{First: func(a, b *precedence.Claim) int {
				for _, k := range keys {
					if d := k(a, b); d != 0 {
						return d
					}
				}
				return a.Arrived.Compare(b.Arrived)
			}}
		}
	}
	nobody := func() precedence.Order { return precedence.Order{First: precedence.First} }
	return []Order{
		{Name: "product", New: own, Whole: true},
		{Name: "product, each stage by itself", New: own},
		{Name: "product, nobody gives way", New: nobody, Whole: true},
		{Name: "before: target, late ones last", New: by(inTimeFirst, byShiftedTarget)},
		{Name: "arrival", New: by()},
		{Name: "earliest deadline", New: by(byDeadline)},
		{Name: "strict priority", New: by(byPriority, byDeadline)},
		{Name: "value for work", New: by(byValue)},
		{Name: "weighted fair", New: func() precedence.Order { return by(fairQueue())() }},
	}
}

func byPriority(a, b *precedence.Claim) int { return cmp.Compare(a.Priority, b.Priority) }

func byDeadline(a, b *precedence.Claim) int { return a.Deadline.Compare(b.Deadline) }

func byValue(a, b *precedence.Claim) int { return cmp.Compare(valueForWork(b), valueForWork(a)) }

func inTimeFirst(a, b *precedence.Claim) int {
	switch {
	case a.Late == b.Late:
		return 0
	case b.Late:
		return -1
	}
	return 1
}

// byShiftedTarget orders claims in time by target, a step of priority as 150 ms, and late ones by priority and deadline.
func byShiftedTarget(a, b *precedence.Claim) int {
	if a.Late {
		return cmp.Or(byPriority(a, b), byDeadline(a, b))
	}
	const step = 150 * time.Millisecond
	return a.Target.Add(time.Duration(a.Priority) * step).Compare(b.Target.Add(time.Duration(b.Priority) * step))
}

// fairQueue orders claims by the time at which they would be done if each priority had a share of the servers by its weight.
func fairQueue() func(a, b *precedence.Claim) int {
	ends, last := make(map[*precedence.Claim]float64), make(map[int]float64)
	end := func(c *precedence.Claim) float64 {
		if _, ok := ends[c]; !ok {
			begin := max(last[c.Priority], float64(c.Arrived.UnixMilli()))
			ends[c] = begin + c.Left.Seconds()*float64(int(1)<<c.Priority)
			last[c.Priority] = ends[c]
		}
		return ends[c]
	}
	return func(a, b *precedence.Claim) int { return cmp.Compare(end(a), end(b)) }
}

// valueForWork weighs a step of priority as a half, and lateness too.
func valueForWork(c *precedence.Claim) float64 {
	v := 1.0
	for range c.Priority {
		v /= 2
	}
	if c.Late {
		v /= 2
	}
	return v / max(c.Left.Seconds(), 1e-3)
}

// ScarceRow is what became of the requests of each kind under one order.
type ScarceRow struct {
	Order Order
	Load  float64
	Kinds []Result
	// LeastShare is the share of the organisation that is served least, against all.
	LeastShare float64
}

// Scarce plays a site.
func Scarce(at *site, o Order, load float64, seeds uint64, span time.Duration) ScarceRow {
	row := ScarceRow{Order: o, Load: load, Kinds: make([]Result, len(at.kinds)), LeastShare: 1}
	orgs := make([]Result, organisations)
	policy := Policies()[0]
	policy.Whole = o.Whole
	for seed := range seeds {
		s := play(policy, at, o.New(), load, seed, span)
		for i, r := range s.results {
			row.Kinds[i].add(r)
		}
		for i, r := range s.byOrg {
			orgs[i].add(r)
		}
	}
	all := row.all()
	for _, r := range orgs {
		if r.Offered >= all.Offered/100 {
			row.LeastShare = min(row.LeastShare, r.share(r.served())/all.share(all.served()))
		}
	}
	return row
}

func (r *ScarceRow) all() Result {
	all := Result{}
	for _, k := range r.Kinds {
		all.add(k)
	}
	return all
}

// wasted is the servers' time for requests that were refused.
func (r *ScarceRow) wasted() time.Duration {
	all := r.all()
	return all.Wasted
}

func (r *Result) served() int { return r.OnTime + r.Late }

// Worth weighs what was served in percent: a step of priority as a half, and lateness too.
func (r *ScarceRow) Worth() float64 {
	got, asked, weight := 0.0, 0.0, 1.0
	for _, k := range r.Kinds {
		got += weight * (float64(k.OnTime) + float64(k.Late)/2)
		asked += weight * float64(k.Offered)
		weight /= 2
	}
	return 100 * got / max(asked, 1)
}

// scarceSpan is the least time of a run: all losses lie in it.
const scarceSpan = 50 * time.Second

// scarceLoads are those of the report.
var scarceLoads = []float64{0.7, 1, 1.3}

// scarceTable is the part of the report about orders.
func scarceTable(seeds uint64, span time.Duration) string {
	var b strings.Builder
	first := &scarceSites[0]
	fmt.Fprintf(&b, "\n# Who goes first and who gives way\n\nThree kinds of requests on three chained pools of %d to %d servers, each kind growing to %.1f times its rate in turn, a third of the servers\n"+
		"lost for %s and all owners for %s; %d seeds of %s. Worth weighs a level of priority as a half, and lateness too. Each stage by itself: a request is let in\n"+
		"without a look at its later stages. Priority 0 wants all three pools at site A and large results of the first one at site B; priority 1 the\n"+
		"other way round; priority 2 the last two at A and all at B.\n\n"+
		"| site | load | order | worth %% | 0: in time / late / refused %% | 1 | 2 | servers' time wasted, s | least served organisation, against all |\n|---|---|---|---|---|---|---|---|---|\n",
		slices.Min(first.servers), slices.Max(first.servers), first.burst, lostFor, ownersLostFor, seeds, span)
	for i := range scarceSites {
		for _, load := range scarceLoads {
			for _, o := range Orders() {
				r := Scarce(&scarceSites[i], o, load, seeds, span)
				fmt.Fprintf(&b, "| %c %s", 'A'+i, r.line())
			}
		}
	}
	return b.String()
}

// returnTable is the part of the report about refused callers.
func returnTable(seeds uint64, span time.Duration) string {
	var b strings.Builder
	fmt.Fprintf(&b, "\n# When refused callers return\n\nThe same loads and the product's order; callers return once. Punctual ones return when they are told, after a third of their time at the latest, also if they are\n"+
		"told that it is in vain; heedful ones don't return then; hasty ones return after %s whatever they are told.\n\n"+
		"| site | load | callers | worth %% | 0: refused %%, again | 1 | 2 | servers' time wasted, s |\n|---|---|---|---|---|---|---|---|\n", leastReturn)
	for i := range scarceSites {
		for _, load := range scarceLoads {
			for c, name := range []string{punctual: "punctual", heedful: "heedful", hasty: "hasty"} {
				at := scarceSites[i]
				at.callers = callers(c)
				r := Scarce(&at, Orders()[0], load, seeds, span)
				fmt.Fprintf(&b, "| %c | %.2f | %s | %.1f |", 'A'+i, load, name, r.Worth())
				for _, k := range r.Kinds {
					fmt.Fprintf(&b, " %.1f, %d |", k.share(k.Refused), k.Again)
				}
				fmt.Fprintf(&b, " %.0f |\n", r.wasted().Seconds())
			}
		}
	}
	return b.String()
}

// line is the row in the report.
func (r *ScarceRow) line() string {
	var b strings.Builder
	fmt.Fprintf(&b, "| %.2f | %s | %.1f |", r.Load, r.Order.Name, r.Worth())
	for _, k := range r.Kinds {
		fmt.Fprintf(&b, " %.1f / %.1f / %.1f |", k.share(k.OnTime), k.share(k.Late), k.share(k.Refused))
	}
	fmt.Fprintf(&b, " %.0f | %.2f |\n", r.wasted().Seconds(), r.LeastShare)
	return b.String()
}
