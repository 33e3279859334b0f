package grant

import (
	"cmp"
	"slices"
	"time"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/pkg/holdoff"
	"github.com/daisyhatch/daisyhatch/pkg/invariant"
)

// Identity names one process of an entry VM.
type Identity struct {
	VM            string
	Incarnation   string
	FailureDomain string
}

// Demand is what a holder wants of one pool from one grantor.
type Demand struct {
	Pool string
	// Units is the number of concurrent calls wanted.
	Units int
	// Exclusive is the number of servers wanted that run one call and nothing else.
	Exclusive int
	// Spread is the number of servers to spread the units over; 0 selects the grantor's default.
	Spread int
}

// HeldGrant is a holder's grant of units of one backend server, with its calls there.
type HeldGrant struct {
	Server    *daisyhatchv1.Announcement
	Units     int
	InFlight  int
	Cold      bool
	Exclusive bool
	// Budget is the number of calls that the server may run at once for all holders.
	Budget int
	// Load is the server's last load report, measured at LoadAt; nil when there was none.
	Load   *daisyhatchv1.Load
	LoadAt time.Time
	// Until is when the grant expires; no call starts from then on.
	Until time.Time

	grantor  string
	revision uint32
	// number replaces the announcement in messages of the session with grantor; 0 for none.
	number uint32
	warmth *daisyhatchv1.Warmth
	// completed and failed count the calls on the current incarnation.
	completed  int
	failed     int
	firstToken []time.Duration
	broken     bool
	// reported is what the request that is not answered yet has reported.
	reported reportedUse
}

// reportedUse is the part of a report that is cleared from the entry once the report is answered.
type reportedUse struct {
	tokens int
	broken bool
}

// endedRetention is how long the holder keeps an expired grant, in order to report it to a new grantor.
const endedRetention = 10 * time.Second

// maxFirstTokens is the most first-token times kept for one report.
const maxFirstTokens = 32

// Holder keeps the grants of one entry VM. It is not safe for concurrent use.
type Holder struct {
	id         Identity
	invariants *invariant.Recorder
	sequence   uint64
	pending    map[string]pendingRequest
	held       map[string]*HeldGrant
	// byPool has the entries of held by pool, oldest first.
	byPool map[string][]*HeldGrant
	// sessions are the current sessions by grantor.
	sessions map[string]*session
	// notices records what servers said about their availability in answers to this VM.
	notices *holdoff.Tracker
}

// pendingRequest is the last request to one grantor.
type pendingRequest struct {
	sequence uint64
	at       time.Time
}

// NewHolder returns a Holder without grants.
func NewHolder(id Identity, invariants *invariant.Recorder) *Holder {
	return &Holder{
		id:         id,
		invariants: invariants,
		pending:    make(map[string]pendingRequest),
		held:       make(map[string]*HeldGrant),
		byPool:     make(map[string][]*HeldGrant),
		sessions:   make(map[string]*session),
		notices:    holdoff.NewTracker(),
	}
}

// Ask returns the next request to a grantor. It replaces an earlier request that is not answered yet: an answer to that
// one is not applied any more. owns reports whether the grantor holds a shard's lease.
func (h *Holder) Ask(grantor string, owns func(shard uint32) bool, demands []Demand, now time.Time) *daisyhatchv1.AcquireRequest {
	h.sequence++
	h.pending[grantor] = pendingRequest{sequence: h.sequence, at: now}
	r := &daisyhatchv1.AcquireRequest{Sequence: h.sequence}
	s := h.sessions[grantor]
	h.identify(r, s)
	pools := make(map[string]*daisyhatchv1.PoolDemand, len(demands))
	for _, d := range demands {
		p := s.demand(d.Pool)
		p.Want, p.ExclusiveWant, p.Spread = uint32(d.Units), uint32(d.Exclusive), uint32(d.Spread)
		pools[d.Pool] = p
		r.Demands = append(r.Demands, p)
	}
	h.releaseSpare(grantor, pools)
	for name, g := range h.held {
		if g.grantor != grantor && !owns(ShardOf(name)) {
			continue
		}
		p := pools[g.Server.Pool]
		if p == nil {
			p = s.demand(g.Server.Pool)
			pools[g.Server.Pool] = p
			r.Demands = append(r.Demands, p)
		}
		u := g.report(now)
		if s != nil && g.grantor == grantor {
			g.useNumber(u)
		}
		p.Uses = append(p.Uses, u)
	}
	for _, d := range r.Demands {
		slices.SortFunc(d.Uses, func(a, b *daisyhatchv1.GrantUse) int {
			return cmp.Or(cmp.Compare(a.Number, b.Number), cmp.Compare(a.Server, b.Server))
		})
	}
	packDemands(r)
	return r
}

// releaseSpare gives up units of a grantor that are neither in use nor wanted, newest entries first, so that the
// grantor can grant them to others as soon as it reads the request.
func (h *Holder) releaseSpare(grantor string, pools map[string]*daisyhatchv1.PoolDemand) {
	for pool, list := range h.byPool {
		spare := -int(pools[pool].GetWant())
		for _, g := range list {
			if g.grantor == grantor && !g.Exclusive {
				spare += g.Units
			}
		}
		for _, g := range slices.Backward(list) {
			if g.grantor != grantor || g.Exclusive {
				continue
			}
			n := max(0, min(spare, g.Units-g.InFlight))
			g.Units -= n
			spare -= n
		}
	}
}

func (g *HeldGrant) report(now time.Time) *daisyhatchv1.GrantUse {
	u := &daisyhatchv1.GrantUse{
		Server:       g.Server.Server,
		Incarnation:  g.Server.Incarnation,
		InFlight:     uint32(g.InFlight),
		Completed:    uint32(g.completed),
		Failed:       uint32(g.failed),
		FirstTokenMs: median(g.firstToken).Milliseconds(),
		Broken:       g.broken,
		Warmth:       g.warmth,
		Revision:     g.revision,
	}
	if now.Before(g.Until) {
		u.Units = uint32(g.Units)
	}
	g.reported = reportedUse{tokens: len(g.firstToken), broken: g.broken}
	return u
}

func median(d []time.Duration) time.Duration {
	if len(d) == 0 {
		return 0
	}
	s := slices.Clone(d)
	slices.Sort(s)
	return s[len(s)/2]
}

// Apply applies a grantor's response. It modifies r: numbers are replaced by what they stand for. It drops a response
// that doesn't answer the latest request to that grantor and returns false.
func (h *Holder) Apply(grantor string, r *daisyhatchv1.AcquireResponse, now time.Time) bool {
	a, ok := h.pending[grantor]
	if !ok || a.sequence != r.Sequence {
		return false
	}
	delete(h.pending, grantor)
	h.resolve(grantor, r, now)
	granted := make(map[string]bool, len(r.Grants))
	for _, g := range r.Grants {
		granted[g.Server.Server] = true
		h.applyGrant(grantor, g, a.at, now)
	}
	for name, g := range h.held {
		if g.grantor != grantor {
			continue
		}
		g.clearReported()
		if !granted[name] && !slices.Contains(r.KeptShards, ShardOf(name)) {
			g.Units, g.Until = 0, time.Time{}
		}
		h.dropIfExpired(name, g, now)
	}
	return true
}

func (h *Holder) applyGrant(grantor string, m *daisyhatchv1.Grant, asked, now time.Time) {
	g := h.entry(m)
	if g == nil {
		return
	}
	until := asked.Add(time.Duration(m.TtlMs) * time.Millisecond)
	if g.grantor != grantor && until.Before(g.Until) {
		return
	}
	g.grantor, g.number = grantor, m.Number
	g.Units = int(m.Units)
	g.Cold, g.Exclusive, g.Budget = m.Cold, m.Exclusive, int(m.Budget)
	g.Until = until
	if m.Warmth != nil {
		g.warmth = m.Warmth
	}
	if g.Load = m.Load; m.Load != nil {
		g.LoadAt = now.Add(-time.Duration(m.Load.AgeMs) * time.Millisecond)
	}
}

// entry returns the entry for a grant's server, updated with the grant's announcement. It returns nil when the grant
// leaves out an announcement that the holder doesn't have.
func (h *Holder) entry(m *daisyhatchv1.Grant) *HeldGrant {
	g := h.held[m.Server.Server]
	if g != nil && g.revision == m.Revision && m.Revision != 0 {
		return g
	}
	if m.Server.Pool == "" {
		return nil
	}
	if g == nil {
		g = &HeldGrant{}
		h.held[m.Server.Server] = g
		h.addToPool(m.Server.Pool, g)
	}
	if g.Server != nil && g.Server.Pool != m.Server.Pool {
		h.removeFromPool(g)
		h.addToPool(m.Server.Pool, g)
	}
	if g.Server != nil && g.Server.Incarnation != m.Server.Incarnation {
		g.completed, g.failed, g.firstToken, g.broken = 0, 0, nil, false
	}
	g.Server, g.revision, g.number = m.Server, m.Revision, 0
	return g
}

// clearReported clears the first-token times and the failure that the answered report contained.
func (g *HeldGrant) clearReported() {
	g.firstToken = slices.Delete(g.firstToken, 0, min(g.reported.tokens, len(g.firstToken)))
	g.broken = g.broken && !g.reported.broken
	g.reported = reportedUse{}
}

// dropIfExpired removes an entry with neither calls in flight nor an unreported failure, endedRetention after it
// expired.
func (h *Holder) dropIfExpired(name string, g *HeldGrant, now time.Time) {
	if g.InFlight == 0 && !g.broken && !now.Before(g.Until.Add(endedRetention)) {
		delete(h.held, name)
		h.removeFromPool(g)
	}
}

func (h *Holder) addToPool(pool string, g *HeldGrant) {
	h.byPool[pool] = append(h.byPool[pool], g)
}

func (h *Holder) removeFromPool(g *HeldGrant) {
	pool := g.Server.Pool
	l := h.byPool[pool]
	if i := slices.Index(l, g); i >= 0 {
		h.byPool[pool] = slices.Delete(l, i, i+1)
	}
	if len(h.byPool[pool]) == 0 {
		delete(h.byPool, pool)
	}
}

// Tick removes entries without calls in flight, endedRetention after they expired, and what was recorded of servers
// that have no entry any more. It is called periodically.
func (h *Holder) Tick(now time.Time) {
	for name, g := range h.held {
		if g.InFlight == 0 && !now.Before(g.Until.Add(endedRetention)) {
			delete(h.held, name)
			h.removeFromPool(g)
		}
	}
	h.notices.Retain(func(server string) bool { return h.held[server] != nil }, now)
}

// Get returns a copy of the entry of a server, and false when there is none.
func (h *Holder) Get(server string) (HeldGrant, bool) {
	g := h.held[server]
	if g == nil {
		return HeldGrant{}, false
	}
	return *g, true
}

// Usable calls f for each server of the pool on which one more call may start now, oldest entry first.
func (h *Holder) Usable(pool string, exclusive bool, now time.Time, f func(*HeldGrant)) {
	for _, g := range h.byPool[pool] {
		if g.Exclusive == exclusive && h.usable(g, now) {
			f(g)
		}
	}
}

// UsableFrom calls f for each server of the pool on which one more call may start now, in the order of entries from
// index start on and wrapping around, until f returns false.
func (h *Holder) UsableFrom(pool string, start int, exclusive bool, now time.Time, f func(*HeldGrant) bool) {
	l := h.byPool[pool]
	for i := range l {
		g := l[(start+i)%len(l)]
		if g.Exclusive == exclusive && h.usable(g, now) && !f(g) {
			return
		}
	}
}

// Len returns the number of entries of a pool, including expired ones.
func (h *Holder) Len(pool string) int { return len(h.byPool[pool]) }

// Find returns the entry of a server on which one more call may start now; nil when there is none.
func (h *Holder) Find(server string, exclusive bool, now time.Time) *HeldGrant {
	g := h.held[server]
	if g == nil || g.Exclusive != exclusive || !h.usable(g, now) {
		return nil
	}
	return g
}

// Each calls f for each server of the pool that has a valid grant and accepts calls, oldest entry first.
func (h *Holder) Each(pool string, now time.Time, f func(*HeldGrant)) {
	for _, g := range h.byPool[pool] {
		if g.Units > 0 && now.Before(g.Until) && h.accepts(g, now) {
			f(g)
		}
	}
}

func (h *Holder) usable(g *HeldGrant, now time.Time) bool {
	return g.InFlight < g.Units && now.Before(g.Until) && h.accepts(g, now)
}

// accepts reports whether a server accepts calls, as far as recorded by RecordNotice.
func (h *Holder) accepts(g *HeldGrant, now time.Time) bool {
	return h.notices.Available(g.Server.Server, g.Server.Incarnation, now)
}

// RecordNotice records a notice that an incarnation of a server gave in an answer, and reports whether it changes
// anything.
func (h *Holder) RecordNotice(server, incarnation string, n holdoff.Notice, now time.Time) bool {
	return h.notices.Record(server, incarnation, n, now)
}

// Start takes a unit for a call on a server. It returns false when no call may start there.
func (h *Holder) Start(server string, now time.Time) bool {
	g := h.held[server]
	if g == nil || !h.usable(g, now) {
		return false
	}
	g.InFlight++
	return h.invariants.Assert(g.InFlight <= g.Units, "grant-use", "server %s: %d calls in flight, %d units held", server, g.InFlight, g.Units)
}

// Valid reports whether a call that was started may still be sent to the incarnation: the grant may have expired or
// been withdrawn since, and the server may have restarted or asked for no calls.
func (h *Holder) Valid(server, incarnation string, now time.Time) bool {
	g := h.held[server]
	return g != nil && g.Server.Incarnation == incarnation && g.Units > 0 && now.Before(g.Until) && h.accepts(g, now)
}

// Outcome is the result of a call. A call that is neither OK nor Neutral counts as failed.
type Outcome struct {
	OK bool
	// FirstToken is the time to the first token; 0 when there was none.
	FirstToken time.Duration
	// Broken means that the server refused the connection or died.
	Broken bool
	// Neutral calls count neither as completed nor as failed.
	Neutral bool
}

// Done records that a call ended and frees its unit. A server with a Broken outcome gets no calls until it is granted
// again. The outcome of a call on an earlier incarnation is ignored.
func (h *Holder) Done(server, incarnation string, o Outcome, now time.Time) {
	g := h.held[server]
	if g == nil || !h.invariants.Assert(g.InFlight > 0, "grant-done", "server %s: no call in flight", server) {
		return
	}
	g.InFlight--
	if g.Server.Incarnation != incarnation {
		return
	}
	switch {
	case o.Neutral:
	case o.OK:
		g.completed++
	default:
		g.failed++
	}
	if o.FirstToken > 0 && len(g.firstToken) < maxFirstTokens {
		g.firstToken = append(g.firstToken, o.FirstToken)
	}
	if o.Broken {
		g.broken = true
		g.Units, g.Until = 0, time.Time{}
	}
}

// Release gives up all units of a grantor, ends the session and returns a request that tells the grantor.
func (h *Holder) Release(grantor string, owns func(shard uint32) bool, now time.Time) *daisyhatchv1.AcquireRequest {
	for name, g := range h.held {
		if g.grantor == grantor || owns(ShardOf(name)) {
			g.Units, g.Until = 0, time.Time{}
		}
	}
	h.EndSession(grantor)
	r := h.Ask(grantor, owns, nil, now)
	r.Release = true
	return r
}
