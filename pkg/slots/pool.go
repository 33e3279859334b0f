package slots

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/pkg/admission"
	"github.com/daisyhatch/daisyhatch/pkg/dispatch"
	"github.com/daisyhatch/daisyhatch/pkg/engine"
	"github.com/daisyhatch/daisyhatch/pkg/grant"
	"github.com/daisyhatch/daisyhatch/pkg/routing"
)

// Demand and prediction.
const (
	// peakDecay is the share of the peak demand kept after each period of grant.RenewInterval.
	peakDecay = 0.8
	// headroom is the share of the peak demand that is asked for on top.
	headroom = 0.25
	// idleRelease is how long a pool that had one call at a time must be idle before its unit is given back.
	idleRelease = 100 * time.Millisecond
	// maxTries bounds the organisations whose next call is tried when the first in turn finds no server.
	maxTries = 16
	// supplyLife is how long a grantor's word on its supply counts.
	supplyLife = 5 * time.Second
)

// pool is the waiting calls of one pool, where they can go and what they want.
type pool struct {
	name     string
	queue    *admission.Queue[*waiter]
	alone    *admission.Queue[*waiter]
	picker   *routing.Picker
	inFlight int
	// aloneInFlight counts calls that run alone.
	aloneInFlight int
	// idleSince is when the last call ended; it says nothing while calls run or wait.
	idleSince time.Time
	// releasing is true while a timer is to give an idle unit back.
	releasing bool
	// peak is the decaying maximum of calls in flight and waiting.
	peak float64
	// hold is the time that a slot is held, over all stages.
	hold usual
	// stages holds what is known of each stage, by name.
	stages map[string]*stageLoad
	// supplies is what each grantor last said of the pool.
	supplies map[string]supply
	// held and candidates are reused from one decision to the next.
	held       []*grant.HeldGrant
	candidates []routing.Candidate
}

// supply is what one grantor has of the pool.
type supply struct {
	budget int
	demand int
	at     time.Time
}

func newPool(name string) *pool {
	return &pool{
		name:     name,
		queue:    admission.NewQueue[*waiter](),
		alone:    admission.NewQueue[*waiter](),
		picker:   routing.NewPicker(),
		stages:   make(map[string]*stageLoad),
		supplies: make(map[string]supply),
	}
}

func (p *pool) stage(name string) *stageLoad {
	l := p.stages[name]
	if l == nil {
		l = &stageLoad{byOrganisation: make(map[string]int)}
		p.stages[name] = l
	}
	return l
}

// usualOf returns the usual time of a stage's calls; that of the whole pool while the stage has had none.
func (p *pool) usualOf(stage string) usual {
	if l := p.stages[stage]; l != nil && l.mean > 0 {
		return l.usual
	}
	return p.hold
}

// late reports whether a call that starts now ends after its deadline in all likelihood.
func (p *pool) late(r *dispatch.SlotRequest, now time.Time) bool {
	takes := p.usualOf(r.Stage)
	return now.Add(takes.likely()).After(r.Deadline)
}

func (p *pool) queueFor(r *dispatch.SlotRequest) *admission.Queue[*waiter] {
	if r.Alone {
		return p.alone
	}
	return p.queue
}

// draw collects the servers to choose from: two random ones on which the call may start now, and those whose caches
// probably hold its prefix. Servers that the call avoids come in only when no other one is held.
func (p *pool) draw(h *grant.Holder, r *dispatch.SlotRequest, now time.Time, rng *rand.Rand) {
	p.held, p.candidates = p.held[:0], p.candidates[:0]
	n := h.Len(p.name)
	if n == 0 {
		return
	}
	avoided := false
	for range 2 {
		h.UsableFrom(p.name, rng.IntN(n), r.Alone, now, func(g *grant.HeldGrant) bool {
			if !serves(g.Server, r) {
				return true
			}
			if slices.Contains(r.Avoid, g.Server.Server) {
				avoided = true
				return true
			}
			p.add(g)
			return false
		})
	}
	if len(p.held) == 0 && avoided && !p.others(h, r, now) {
		h.UsableFrom(p.name, rng.IntN(n), r.Alone, now, func(g *grant.HeldGrant) bool {
			if serves(g.Server, r) {
				p.add(g)
			}
			return len(p.held) == 0
		})
	}
	for _, name := range p.picker.Holders(r.Prefix) {
		if g := h.Find(name, r.Alone, now); g != nil && g.Server.Pool == p.name && serves(g.Server, r) && !slices.Contains(r.Avoid, name) {
			p.add(g)
		}
	}
}

// others reports whether a server that the call doesn't avoid is held, with or without room.
func (p *pool) others(h *grant.Holder, r *dispatch.SlotRequest, now time.Time) bool {
	found := false
	h.Each(p.name, now, func(g *grant.HeldGrant) {
		found = found || serves(g.Server, r) && !slices.Contains(r.Avoid, g.Server.Server)
	})
	return found
}

func (p *pool) add(g *grant.HeldGrant) {
	p.held = append(p.held, g)
	p.candidates = append(p.candidates, routing.Candidate{
		Server: g.Server.Server, FailureDomain: g.Server.FailureDomain,
		Units: g.Units, InFlight: g.InFlight, Budget: g.Budget, Cold: g.Cold,
	})
}

// serves reports whether a server can run the call.
func serves(a *daisyhatchv1.Announcement, r *dispatch.SlotRequest) bool {
	if r.Model != "" && len(a.Models) > 0 && !slices.Contains(a.Models, r.Model) {
		return false
	}
	if r.Adapter != "" && !slices.Contains(a.Adapters, r.Adapter) {
		return false
	}
	return r.Role == "" || a.Role == "" || a.Role == r.Role
}

func target(a *daisyhatchv1.Announcement) engine.Target {
	return engine.Target{
		Server:        a.Server,
		Incarnation:   a.Incarnation,
		Pool:          a.Pool,
		Address:       a.Address,
		FailureDomain: a.FailureDomain,
		ChecksFence:   a.ChecksFence,
		Capabilities:  a.Capabilities,
		Role:          a.Role,
	}
}

// wanted returns how many units this VM wants of all grantors together.
func (p *pool) wanted() int {
	now := p.inFlight + p.queue.Len() - p.aloneInFlight
	p.peak = max(p.peak, float64(now))
	if p.peak < 0.5 {
		return 0
	}
	if p.peak <= 1 {
		return 1
	}
	return int(math.Ceil(p.peak * (1 + headroom)))
}

// busy reports whether calls run or wait.
func (p *pool) busy() bool {
	return p.inFlight+p.queue.Len()+p.alone.Len() > 0
}

// settle drops the demand of a pool that had one call at a time and is idle. Another VM may need the unit.
func (p *pool) settle(now time.Time) {
	if !p.busy() && p.peak <= 1 && now.Sub(p.idleSince) >= idleRelease {
		p.peak = 0
	}
}

// demands returns what is wanted of each grantor. A grantor that has told its supply is asked for its part of the
// whole; one that hasn't, for the whole. What is missing is asked of each grantor that has some left, and of all while
// calls wait.
func (p *pool) demands(h *grant.Holder, grantors []string, now time.Time) []grant.Demand {
	want, alone := p.wanted(), p.alone.Len()+p.aloneInFlight
	if want == 0 && alone == 0 {
		return nil
	}
	parts := p.parts(grantors, want, now)
	missing := want
	h.Each(p.name, now, func(g *grant.HeldGrant) { missing -= g.Units })
	out := make([]grant.Demand, len(grantors))
	for i, g := range grantors {
		out[i] = grant.Demand{Pool: p.name, Units: parts[i], Exclusive: alone}
		s, _ := p.supply(g, now)
		if missing > 0 && (s.demand < s.budget || p.queue.Len() > 0) {
			out[i].Units = min(want, parts[i]+missing)
		}
	}
	return out
}

// parts divides what is wanted between the grantors by their supply. What can't be divided goes to those with the most
// left.
func (p *pool) parts(grantors []string, want int, now time.Time) []int {
	parts := make([]int, len(grantors))
	known := make([]int, 0, len(grantors))
	total := 0
	for i, g := range grantors {
		s, ok := p.supply(g, now)
		if !ok {
			parts[i] = want
			continue
		}
		known = append(known, i)
		total += s.budget
	}
	if total == 0 {
		return parts
	}
	rest := want
	for _, i := range known {
		parts[i] = want * p.supplies[grantors[i]].budget / total
		rest -= parts[i]
	}
	left := func(i int) int {
		s := p.supplies[grantors[i]]
		return s.budget - s.demand
	}
	slices.SortStableFunc(known, func(a, b int) int { return left(b) - left(a) })
	for _, i := range known[:min(rest, len(known))] {
		parts[i]++
	}
	return parts
}

func (p *pool) supply(grantor string, now time.Time) (supply, bool) {
	s, ok := p.supplies[grantor]
	return s, ok && now.Sub(s.at) < supplyLife
}

// told takes over what a grantor says of its supply. One that names no supply of a pool that it was asked for has
// none.
func (p *pool) told(grantor string, r *daisyhatchv1.AcquireResponse, now time.Time) {
	s := supply{at: now}
	for _, m := range r.Supplies {
		if m.Pool == p.name {
			s.budget, s.demand = int(m.Budget), int(m.Demand)
		}
	}
	p.supplies[grantor] = s
}

// room estimates how many units this VM can count on: what it holds, or else its part of what there is. Where a grantor
// has enough for all, that is what it wants: units that it lacks just then are on their way.
func (p *pool) room(h *grant.Holder, now time.Time) int {
	units := 0
	h.Each(p.name, now, func(g *grant.HeldGrant) {
		if !g.Exclusive {
			units += g.Units
		}
	})
	free, mine, known := 0, p.wanted(), false
	for g := range p.supplies {
		s, ok := p.supply(g, now)
		if !ok || s.budget == 0 {
			continue
		}
		known = true
		if s.demand <= s.budget {
			free += min(mine, s.budget)
			continue
		}
		free += s.budget * mine / max(s.demand, mine)
	}
	if !known && units == 0 {
		return 0
	}
	return max(units, min(free, mine), 1)
}

// predict estimates how long a further call of the organisation would wait behind those that wait and those that are
// coming: its place in the fair queue times the time between two slots. ok is false while too little is known.
func (p *pool) predict(h *grant.Holder, organisation string, weight int, c coming, now time.Time) (wait time.Duration, ok bool) {
	ahead := p.queue.Len() + c.all + 1
	if p.queue.Len() == 0 {
		return 0, true
	}
	own := float64(max(weight, 1))
	weights := p.queue.Weights()
	if p.queue.WeightOf(organisation) == 0 {
		weights += own
	}
	turn := float64(p.queue.LenOf(organisation)+c.own+1) * weights / own
	room := p.room(h, now)
	if room == 0 || p.hold.mean == 0 {
		return 0, false
	}
	return time.Duration(min(float64(ahead), turn) * float64(p.hold.mean) / float64(room)), true
}
