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
	// Units is the count of concurrent calls wanted.
	Units int
	// Exclusive is the count of servers wanted for one call alone.
	Exclusive int
	// Spread is the most servers to spread the units over; 0 leaves it to the grantor.
	Spread int
}

// Held is what a holder has of one backend server.
type Held struct {
	Server    *daisyhatchv1.Announcement
	Units     int
	InFlight  int
	Cold      bool
	Exclusive bool
	// Budget is what the server may run at once for all holders.
	Budget int
	// Load is the server's last report, true at LoadAt; nil when there was none.
	Load   *daisyhatchv1.Load
	LoadAt time.Time
	// Until is when new work may no longer start.
	Until time.Time

	source   string
	revision uint32
	// number stands for the announcement within the session with source; 0 for none.
	number uint32
	warmth *daisyhatchv1.Warmth
	// completed and failed count the calls of the present incarnation.
	completed  int
	failed     int
	firstToken []time.Duration
	broken     bool
	// told is what the unanswered request has reported.
	told use
}

// use is what one report has told, to be dropped once it is answered.
type use struct {
	tokens int
	broken bool
}

// keepEnded is how long the holder remembers a grant that has ended, to tell a new grantor what it had.
const keepEnded = 10 * time.Second

// keptFirstTokens bounds the first-token times kept for one report.
const keptFirstTokens = 32

// Holder keeps the grants of one entry VM. It is not safe for concurrent use.
type Holder struct {
	id       Identity
	check    *invariant.Recorder
	sequence uint64
	asked    map[string]ask
	held     map[string]*Held
	// order holds the same entries by pool, oldest first.
	order map[string][]*Held
	// sessions are by grantor.
	sessions map[string]*session
	// words are what servers said in their answers to this VM.
	words *holdoff.Tracker
}

// ask is the last request to one grantor.
type ask struct {
	sequence uint64
	at       time.Time
}

// NewHolder returns a Holder without grants.
func NewHolder(id Identity, check *invariant.Recorder) *Holder {
	return &Holder{
		id:       id,
		check:    check,
		asked:    make(map[string]ask),
		held:     make(map[string]*Held),
		order:    make(map[string][]*Held),
		sessions: make(map[string]*session),
		words:    holdoff.NewTracker(),
	}
}

// Ask returns the next request to a grantor, which takes the place of any earlier one that is not answered yet. owns
// tells which shards that grantor has.
func (h *Holder) Ask(grantor string, owns func(shard uint32) bool, demands []Demand, now time.Time) *daisyhatchv1.AcquireRequest {
	h.sequence++
	h.asked[grantor] = ask{sequence: h.sequence, at: now}
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
	h.trim(grantor, pools)
	for name, g := range h.held {
		if g.source != grantor && !owns(ShardOf(name)) {
			continue
		}
		p := pools[g.Server.Pool]
		if p == nil {
			p = s.demand(g.Server.Pool)
			pools[g.Server.Pool] = p
			r.Demands = append(r.Demands, p)
		}
		u := g.report(now)
		if s != nil && g.source == grantor {
			g.shorten(u)
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

// trim gives up units of a grantor that are neither used nor wanted any more, so that the grantor can lend them out as
// soon as it reads the request. It takes those of the newest entries first.
func (h *Holder) trim(grantor string, pools map[string]*daisyhatchv1.PoolDemand) {
	for pool, list := range h.order {
		spare := -int(pools[pool].GetWant())
		for _, g := range list {
			if g.source == grantor && !g.Exclusive {
				spare += g.Units
			}
		}
		for _, g := range slices.Backward(list) {
			if g.source != grantor || g.Exclusive {
				continue
			}
			n := max(0, min(spare, g.Units-g.InFlight))
			g.Units -= n
			spare -= n
		}
	}
}

func (g *Held) report(now time.Time) *daisyhatchv1.GrantUse {
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
	g.told = use{tokens: len(g.firstToken), broken: g.broken}
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

// Apply takes over a grantor's response, in which it replaces numbers by what they stand for. One that doesn't answer
// the latest request to that grantor is dropped, and false is returned.
func (h *Holder) Apply(grantor string, r *daisyhatchv1.AcquireResponse, now time.Time) bool {
	a, ok := h.asked[grantor]
	if !ok || a.sequence != r.Sequence {
		return false
	}
	delete(h.asked, grantor)
	h.resolve(grantor, r, now)
	granted := make(map[string]bool, len(r.Grants))
	for _, g := range r.Grants {
		granted[g.Server.Server] = true
		h.take(grantor, g, a.at, now)
	}
	for name, g := range h.held {
		if g.source != grantor {
			continue
		}
		g.answered()
		if !granted[name] && !slices.Contains(r.KeptShards, ShardOf(name)) {
			g.Units, g.Until = 0, time.Time{}
		}
		h.tidy(name, g, now)
	}
	return true
}

func (h *Holder) take(grantor string, m *daisyhatchv1.Grant, asked, now time.Time) {
	g := h.entry(m)
	if g == nil {
		return
	}
	until := asked.Add(time.Duration(m.TtlMs) * time.Millisecond)
	if g.source != grantor && until.Before(g.Until) {
		return
	}
	g.source, g.number = grantor, m.Number
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

// entry returns the entry for a grant's server, with the announcement that the grant is for; nil when the grant
// leaves out an announcement that the holder doesn't have.
func (h *Holder) entry(m *daisyhatchv1.Grant) *Held {
	g := h.held[m.Server.Server]
	if g != nil && g.revision == m.Revision && m.Revision != 0 {
		return g
	}
	if m.Server.Pool == "" {
		return nil
	}
	if g == nil {
		g = &Held{}
		h.held[m.Server.Server] = g
		h.list(m.Server.Pool, g)
	}
	if g.Server != nil && g.Server.Pool != m.Server.Pool {
		h.unlist(g)
		h.list(m.Server.Pool, g)
	}
	if g.Server != nil && g.Server.Incarnation != m.Server.Incarnation {
		g.completed, g.failed, g.firstToken, g.broken = 0, 0, nil, false
	}
	g.Server, g.revision, g.number = m.Server, m.Revision, 0
	return g
}

// answered drops what a grantor has received.
func (g *Held) answered() {
	g.firstToken = slices.Delete(g.firstToken, 0, min(g.told.tokens, len(g.firstToken)))
	g.broken = g.broken && !g.told.broken
	g.told = use{}
}

// tidy drops an entry that carries nothing any more.
func (h *Holder) tidy(name string, g *Held, now time.Time) {
	if g.InFlight == 0 && !g.broken && !now.Before(g.Until.Add(keepEnded)) {
		delete(h.held, name)
		h.unlist(g)
	}
}

func (h *Holder) list(pool string, g *Held) {
	h.order[pool] = append(h.order[pool], g)
}

func (h *Holder) unlist(g *Held) {
	pool := g.Server.Pool
	l := h.order[pool]
	if i := slices.Index(l, g); i >= 0 {
		h.order[pool] = slices.Delete(l, i, i+1)
	}
	if len(h.order[pool]) == 0 {
		delete(h.order, pool)
	}
}

// Tick drops entries that have carried nothing for a while.
func (h *Holder) Tick(now time.Time) {
	for name, g := range h.held {
		if g.InFlight == 0 && !now.Before(g.Until.Add(keepEnded)) {
			delete(h.held, name)
			h.unlist(g)
		}
	}
	h.words.Retain(func(server string) bool { return h.held[server] != nil }, now)
}

// Get returns what is held of a server.
func (h *Holder) Get(server string) (Held, bool) {
	g := h.held[server]
	if g == nil {
		return Held{}, false
	}
	return *g, true
}

// Usable calls f for each server of the pool on which one more call may start now, oldest entry first.
func (h *Holder) Usable(pool string, exclusive bool, now time.Time, f func(*Held)) {
	for _, g := range h.order[pool] {
		if g.Exclusive == exclusive && h.usable(g, now) {
			f(g)
		}
	}
}

// From calls f for each server of the pool on which one more call may start now, beginning at a place in the list and
// going round, until f returns false.
func (h *Holder) From(pool string, start int, exclusive bool, now time.Time, f func(*Held) bool) {
	l := h.order[pool]
	for i := range l {
		g := l[(start+i)%len(l)]
		if g.Exclusive == exclusive && h.usable(g, now) && !f(g) {
			return
		}
	}
}

// Len returns the count of servers of a pool that are listed.
func (h *Holder) Len(pool string) int { return len(h.order[pool]) }

// Find returns the entry of a server on which one more call may start now; nil when there is none.
func (h *Holder) Find(server string, exclusive bool, now time.Time) *Held {
	g := h.held[server]
	if g == nil || g.Exclusive != exclusive || !h.usable(g, now) {
		return nil
	}
	return g
}

// Each calls f for each server of the pool whose grant lasts, oldest entry first.
func (h *Holder) Each(pool string, now time.Time, f func(*Held)) {
	for _, g := range h.order[pool] {
		if g.Units > 0 && now.Before(g.Until) && h.accepts(g, now) {
			f(g)
		}
	}
}

func (h *Holder) usable(g *Held, now time.Time) bool {
	return g.InFlight < g.Units && now.Before(g.Until) && h.accepts(g, now)
}

// accepts reports whether a server takes calls, as far as its answers say.
func (h *Holder) accepts(g *Held, now time.Time) bool {
	return h.words.Available(g.Server.Server, g.Server.Incarnation, now)
}

// Noticed takes over what an incarnation of a server said in an answer, and reports whether that is news.
func (h *Holder) Noticed(server, incarnation string, n holdoff.Notice, now time.Time) bool {
	return h.words.Record(server, incarnation, n, now)
}

// Start notes that a call starts on a server. It returns false when no unit is left.
func (h *Holder) Start(server string, now time.Time) bool {
	g := h.held[server]
	if g == nil || !h.usable(g, now) {
		return false
	}
	g.InFlight++
	return h.check.Assert(g.InFlight <= g.Units, "grant-use", "server %s: %d in flight of %d", server, g.InFlight, g.Units)
}

// Valid reports whether a call that was started may still be sent.
func (h *Holder) Valid(server, incarnation string, now time.Time) bool {
	g := h.held[server]
	return g != nil && g.Server.Incarnation == incarnation && g.Units > 0 && now.Before(g.Until) && h.accepts(g, now)
}

// Outcome tells how a call ended.
type Outcome struct {
	OK bool
	// FirstToken is the time to the first token; 0 when there was none.
	FirstToken time.Duration
	// Broken means that the server refused the connection or died.
	Broken bool
	// Neutral calls count neither as good nor as bad.
	Neutral bool
}

// Done notes that a call ended. A server that broke is not used again until it is granted anew.
func (h *Holder) Done(server, incarnation string, o Outcome, now time.Time) {
	g := h.held[server]
	if g == nil || !h.check.Assert(g.InFlight > 0, "grant-done", "server %s: no call in flight", server) {
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
	if o.FirstToken > 0 && len(g.firstToken) < keptFirstTokens {
		g.firstToken = append(g.firstToken, o.FirstToken)
	}
	if o.Broken {
		g.broken = true
		g.Units, g.Until = 0, time.Time{}
	}
}

// Release returns a request that gives back everything that is held of a grantor.
func (h *Holder) Release(grantor string, owns func(shard uint32) bool, now time.Time) *daisyhatchv1.AcquireRequest {
	for name, g := range h.held {
		if g.source == grantor || owns(ShardOf(name)) {
			g.Units, g.Until = 0, time.Time{}
		}
	}
	h.Forget(grantor)
	r := h.Ask(grantor, owns, nil, now)
	r.Release = true
	return r
}
