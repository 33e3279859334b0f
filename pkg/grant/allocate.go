package grant

import (
	"cmp"
	"maps"
	"slices"
	"time"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/pkg/config"
)

// defaultSpread is the number of servers that the units of a demand are spread over when the demand sets none.
const defaultSpread = 24

// rotationPeriod is the interval at which the remainder of a budget, less than one unit for each holder, passes to the
// next holders.
const rotationPeriod = time.Second

// Rebalancing between the servers of one holder.
const (
	// rebalanceGap is the least difference of load, as a share of the budget, at which units are moved.
	rebalanceGap = 0.25
	// remoteFactor multiplies the load of a server in another failure domain.
	remoteFactor = 1.25
)

// allocation is the state of answering one PoolDemand.
type allocation struct {
	g          *Grantor
	h          *holder
	request    *daisyhatchv1.AcquireRequest
	demand     *daisyhatchv1.PoolDemand
	pool       *pool
	config     *config.Pool
	now        time.Time
	candidates []candidate
}

// candidate is a server that units may be granted of to the holder.
type candidate struct {
	server *server
	// held is the number of units that the holder has; units is the number that it is granted.
	held  int
	units int
	// free is the most units that the holder may be granted, including those that it has.
	free   int
	budget int
	// sameDomain is true for a server in the holder's failure domain; localWithRoom if also at least a quarter of its
	// budget is free.
	sameDomain    bool
	localWithRoom bool
	avoid         bool
	exclusive     bool
}

// allocate answers one demand: it renews the holder's units as far as its fair share and the budgets allow, then adds
// units of other servers.
func (g *Grantor) allocate(h *holder, r *daisyhatchv1.AcquireRequest, d *daisyhatchv1.PoolDemand, out *daisyhatchv1.AcquireResponse, now time.Time) {
	p, c := g.pool(d.Pool), g.poolConfig(d.Pool)
	if d.Want == 0 {
		delete(p.wants, h)
	} else {
		p.wants[h] = int(d.Want)
	}
	if c == nil {
		return
	}
	a := &allocation{g: g, h: h, request: r, demand: d, pool: p, config: c, now: now, candidates: g.scratch.candidates[:0]}
	budget := a.collectCandidates()
	demand := 0
	for _, w := range p.wants {
		demand += w
	}
	if len(a.candidates) > 0 {
		s := &daisyhatchv1.PoolSupply{
			Pool: d.Pool, Servers: uint32(len(a.candidates)), Budget: uint32(budget), Demand: uint32(demand), PoolNumber: p.number,
		}
		addSupply(out, s, d.PoolNumber != 0)
	}
	if demand > budget && len(a.candidates) > 0 {
		out.RenewMs = ContendedRenewInterval.Milliseconds()
	}
	a.grantExclusive(int(d.ExclusiveWant))
	a.distribute(min(int(d.Want), a.fairShare(budget, demand)))
	a.commit(out)
}

// addSupply adds a supply to an answer, in the compact lists when the holder knows the pool's number.
func addSupply(out *daisyhatchv1.AcquireResponse, s *daisyhatchv1.PoolSupply, known bool) {
	if !known {
		out.Supplies = append(out.Supplies, s)
		return
	}
	out.Pools = append(out.Pools, s.PoolNumber)
	out.Budgets = append(out.Budgets, s.Budget)
	out.PoolDemands = append(out.PoolDemands, s.Demand)
}

// collectCandidates fills a.candidates with the servers that units may be granted of, sorted, and returns the sum of
// their budgets.
func (a *allocation) collectCandidates() int {
	total := 0
	for _, s := range a.pool.servers {
		if !a.g.mayGrant(s.shard, a.now) {
			continue
		}
		b := s.budget(a.config, a.now)
		if b == 0 {
			continue
		}
		total += b
		a.candidates = append(a.candidates, a.candidate(s, b))
	}
	a.candidates = a.g.scratch.sort(a.candidates, a.g.rng)
	return total
}

func (a *allocation) candidate(s *server, budget int) candidate {
	t := candidate{server: s, budget: budget}
	own := 0
	for i := range s.charges {
		if c := &s.charges[i]; c.holder == a.h {
			own = c.units
			t.avoid = a.now.Before(c.avoidUntil)
		}
	}
	t.held = own
	t.free = max(0, budget-(s.charged-own)-a.g.formerCallLimit(s, a.now))
	if s.reservation(a.now) != nil {
		t.free = 0
	}
	t.sameDomain = s.ann.FailureDomain == a.h.domain
	t.localWithRoom = t.sameDomain && 4*t.free >= budget
	return t
}

// formerCallLimit returns the most calls that started under a former grantor and may still run on the server: the least
// number of calls in any report since then, or unreportedLoad before the first report.
func (g *Grantor) formerCallLimit(s *server, now time.Time) int {
	if !now.Before(g.shards[s.shard].recoveredAt) {
		return 0
	}
	return s.formerCalls
}

// shares is the max-min fair division of a pool's budget while demand exceeds it.
type shares struct {
	at     time.Time
	budget int
	// level is the number of units for each holder that wants more than that. The remainder, one more unit for some of
	// these holders, rotates between them.
	level     int
	remainder int
	// unsatisfied are the holders that want more than level, sorted by key.
	unsatisfied []*holder
	wants       map[*holder]int
}

// sharesTTL is how long shares are reused while the budget and the asking holder's want are unchanged.
const sharesTTL = 100 * time.Millisecond

// fairShare returns the holder's max-min fair share of the budget, in units. The remainder of the division rotates
// between the holders every rotationPeriod.
func (a *allocation) fairShare(budget, demand int) int {
	want := int(a.demand.Want)
	if demand <= budget {
		return want
	}
	sh := a.pool.shares
	if sh == nil || sh.budget != budget || sh.wants[a.h] != want || a.now.Sub(sh.at) >= sharesTTL {
		sh = divideBudget(a.pool.wants, budget, a.now)
		a.pool.shares = sh
	}
	if want <= sh.level {
		return want
	}
	n := len(sh.unsatisfied)
	pos := slices.Index(sh.unsatisfied, a.h)
	first := int(a.now.Sub(a.g.startedAt)/rotationPeriod) * sh.remainder % n
	if (pos-first+n)%n < sh.remainder {
		return sh.level + 1
	}
	return sh.level
}

// divideBudget computes the max-min fair shares of a budget that is smaller than the sum of the wants.
func divideBudget(wants map[*holder]int, budget int, now time.Time) *shares {
	sh := &shares{at: now, budget: budget, wants: maps.Clone(wants)}
	sorted := slices.Sorted(maps.Values(wants))
	left := budget
	for i, w := range sorted {
		n := len(sorted) - i
		sh.level, sh.remainder = left/n, left%n
		if w > sh.level {
			break
		}
		left -= w
	}
	for h, w := range wants {
		if w > sh.level {
			sh.unsatisfied = append(sh.unsatisfied, h)
		}
	}
	slices.SortFunc(sh.unsatisfied, func(x, y *holder) int { return compareKeys(x.key, y.key) })
	return sh
}

func compareKeys(a, b holderKey) int {
	return cmp.Or(cmp.Compare(a.vm, b.vm), cmp.Compare(a.incarnation, b.incarnation))
}

// distribute spreads n units over the servers: first it renews the holder's present units, up to one chunk for each
// server and then all of them, then it adds units, up to one chunk for each server and then up to what is free.
func (a *allocation) distribute(n int) {
	spread := int(a.demand.Spread)
	if spread == 0 {
		spread = defaultSpread
	}
	chunk := max(1, (n+spread-1)/spread)
	give := func(t *candidate, most int) {
		if t.exclusive || t.avoid {
			return
		}
		k := max(0, min(n, most-t.units, t.free-t.units))
		t.units += k
		n -= k
	}
	for i := range a.candidates {
		give(&a.candidates[i], min(chunk, a.candidates[i].held))
	}
	for i := range a.candidates {
		give(&a.candidates[i], a.candidates[i].held)
	}
	for i := range a.candidates {
		give(&a.candidates[i], chunk)
	}
	for i := range a.candidates {
		give(&a.candidates[i], a.candidates[i].free)
	}
	a.rebalance(chunk)
}

// rebalance moves up to one chunk of units from the most to the least loaded server, so that servers that return or
// join get work even when the demand is already met.
func (a *allocation) rebalance(chunk int) {
	var from, to *candidate
	for i := range a.candidates {
		t := &a.candidates[i]
		if t.exclusive || t.avoid {
			continue
		}
		if t.units > 0 && (from == nil || t.load() > from.load()) {
			from = t
		}
		if t.units < t.free && (to == nil || t.load() < to.load()) {
			to = t
		}
	}
	if from == nil || to == nil || from.load()-to.load() < rebalanceGap {
		return
	}
	n := min(chunk, from.units, to.free-to.units)
	from.units -= n
	to.units += n
}

// load returns the share of the server's budget that is charged, times remoteFactor in another failure domain.
func (t *candidate) load() float64 {
	l := float64(t.server.charged+max(0, t.units-t.held)) / float64(t.budget)
	if !t.sameDomain {
		l *= remoteFactor
	}
	return l
}

// grantExclusive reserves up to n servers for one call each and grants those where nothing else can be in flight. It
// keeps the holder's earlier reservations, except for servers that the holder saw fail, and then reserves the servers
// with the fewest charged units. A reserved server gets no new units, so that its calls end.
func (a *allocation) grantExclusive(n int) {
	for i := range a.candidates {
		t := &a.candidates[i]
		if t.server.reservation(a.now) != a.h {
			continue
		}
		if n == 0 || t.avoid {
			t.server.reservedFor = nil
			continue
		}
		n--
		a.reserve(t)
	}
	for n > 0 {
		t := a.leastCharged()
		if t == nil {
			return
		}
		n--
		a.reserve(t)
	}
}

func (a *allocation) leastCharged() *candidate {
	var best *candidate
	for i := range a.candidates {
		t := &a.candidates[i]
		if t.avoid || t.server.reservation(a.now) != nil {
			continue
		}
		if best == nil || t.server.charged < best.server.charged {
			best = t
		}
	}
	return best
}

// reserve reserves a server for the holder, and grants one exclusive unit once nothing else can be in flight there.
func (a *allocation) reserve(t *candidate) {
	s := t.server
	s.reservedFor, s.reservedUntil = a.h, a.now.Add(reservePeriod)
	t.exclusive, t.free = true, 0
	c := s.chargeOf(a.h)
	a.h.servers[s] = struct{}{}
	idle := c.inFlight == 0 && s.charged == c.units && (c.units == 0 || c.exclusive)
	if idle && a.g.formerCallLimit(s, a.now) == 0 {
		t.units = 1
	}
}

// commit charges the allocated units and adds the grants to the response.
func (a *allocation) commit(out *daisyhatchv1.AcquireResponse) {
	for i := range a.candidates {
		t := &a.candidates[i]
		if t.units == 0 {
			continue
		}
		s := t.server
		a.h.servers[s] = struct{}{}
		c := s.chargeOf(a.h)
		before := s.charged
		s.setUnits(c, max(c.units, t.units), c.inFlight)
		c.exclusive = t.exclusive
		if c.incarnation != s.ann.Incarnation {
			c.incarnation, c.completed = s.ann.Incarnation, 0
		}
		ok := a.g.invariants.Assert(s.charged <= max(t.budget, before), "grant-sum",
			"server %s: %d units charged, budget %d", s.name, s.charged, t.budget)
		if !ok {
			continue
		}
		out.Grants = append(out.Grants, a.grant(t, c))
	}
}

// grant returns the message for one server. It leaves out what the holder already has: the announcement, and within a
// session also the warm-up progress and the load report.
func (a *allocation) grant(t *candidate, c *charge) *daisyhatchv1.Grant {
	s := t.server
	g := &daisyhatchv1.Grant{
		Server:    s.static,
		Units:     uint32(t.units),
		TtlMs:     TTL.Milliseconds(),
		Cold:      s.cold(a.config, a.now),
		Exclusive: t.exclusive,
		Warmth:    s.warmth.message(),
		Revision:  s.revision,
		Budget:    uint32(t.budget),
		Number:    s.number(),
	}
	l := s.ann.Load
	hasWarmth, hasLoad := c.recordWarmth(s.warmth, a.request), c.recordLoad(l, a.request)
	if l != nil {
		g.Load = &daisyhatchv1.Load{
			AgeMs: l.AgeMs + a.now.Sub(s.heard).Milliseconds(), Running: l.Running, Queued: l.Queued, Capacity: l.Capacity, Cold: l.Cold,
		}
	}
	switch {
	case c.number == g.Number && l != nil: // without Server, the holder takes an absent load report as unchanged
		g.Server, g.Revision, g.TtlMs = nil, 0, 0
		if hasWarmth {
			g.Warmth = nil
		}
		if hasLoad {
			g.Load = nil
		}
	case c.revision == s.revision:
		g.Server = s.nameOnly
	}
	return g
}
