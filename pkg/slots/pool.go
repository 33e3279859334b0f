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

// Parameters of demand and wait prediction.
const (
	// peakDecay is the factor applied to the peak demand after each period of grant.RenewInterval.
	peakDecay = 0.8
	// headroom is the share of the peak demand that is requested in addition to it.
	headroom = 0.25
	// idleRelease is how long a pool with a peak demand of one call must be idle before its unit is returned.
	idleRelease = 100 * time.Millisecond
	// maxOrganisationsTried bounds the number of organisations whose next call is tried when no server can run the
	// first call in the queue.
	maxOrganisationsTried = 16
	// supplyTTL is how long a grantor's last reported supply is used.
	supplyTTL = 5 * time.Second
)

// pool holds the queued calls of one server pool, its routing state and its demand.
type pool struct {
	name  string
	queue *admission.Queue[*waiter]
	// aloneQueue holds the calls that need a server to themselves.
	aloneQueue *admission.Queue[*waiter]
	picker     *routing.Picker
	inFlight   int
	// aloneInFlight counts the calls in flight that need a server to themselves.
	aloneInFlight int
	// idleSince is when the last call ended. It is meaningful only while no call is in flight or queued.
	idleSince time.Time
	// releasing is true while a timer for releaseIdleUnit is running.
	releasing bool
	// peakDemand is the decaying maximum of the calls in flight and queued.
	peakDemand float64
	// holdTime covers the calls of all stages.
	holdTime holdStats
	// stages is keyed by stage name.
	stages map[string]*stageLoad
	// supplies holds what each grantor last reported of the pool, keyed by the grantor's address.
	supplies map[string]supply
	// held and candidates are buffers reused by each routing decision; entry i of both is the same server.
	held       []*grant.HeldGrant
	candidates []routing.Candidate
}

// supply is what one grantor last reported of the pool: the units of its servers in total (budget) and the units that
// all holders want of it (demand).
type supply struct {
	budget int
	demand int
	at     time.Time
}

func newPool(name string) *pool {
	return &pool{
		name:       name,
		queue:      admission.NewQueue[*waiter](),
		aloneQueue: admission.NewQueue[*waiter](),
		picker:     routing.NewPicker(),
		stages:     make(map[string]*stageLoad),
		supplies:   make(map[string]supply),
	}
}

// stage returns the load of a stage and creates it if needed.
func (p *pool) stage(name string) *stageLoad {
	l := p.stages[name]
	if l == nil {
		l = &stageLoad{byOrganisation: make(map[string]int)}
		p.stages[name] = l
	}
	return l
}

// statsFor returns how long a stage's calls hold their slots; the figures of the whole pool while the stage has none.
func (p *pool) statsFor(stage string) holdStats {
	if l := p.stages[stage]; l != nil && l.mean > 0 {
		return l.holdStats
	}
	return p.holdTime
}

// likelyLate reports whether a call that starts now will probably end after its deadline.
func (p *pool) likelyLate(r *dispatch.SlotRequest, now time.Time) bool {
	stats := p.statsFor(r.Stage)
	return now.Add(stats.upperEstimate()).After(r.Deadline)
}

// queueFor returns the queue for a call: aloneQueue for one that needs a server to itself, otherwise queue.
func (p *pool) queueFor(r *dispatch.SlotRequest) *admission.Queue[*waiter] {
	if r.Alone {
		return p.aloneQueue
	}
	return p.queue
}

// collectCandidates fills p.held and p.candidates with the servers to choose from: two drawn at random among those on
// which the call may start now, and those that probably have its prefix cached. Servers that the call avoids are
// included only when no other suitable server is held.
func (p *pool) collectCandidates(h *grant.Holder, r *dispatch.SlotRequest, now time.Time, rng *rand.Rand) {
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
			p.addCandidate(g)
			return false
		})
	}
	if len(p.held) == 0 && avoided && !p.holdsOther(h, r, now) {
		h.UsableFrom(p.name, rng.IntN(n), r.Alone, now, func(g *grant.HeldGrant) bool {
			if serves(g.Server, r) {
				p.addCandidate(g)
			}
			return len(p.held) == 0
		})
	}
	for _, name := range p.picker.Holders(r.Prefix) {
		if g := h.Find(name, r.Alone, now); g != nil && g.Server.Pool == p.name && serves(g.Server, r) && !slices.Contains(r.Avoid, name) {
			p.addCandidate(g)
		}
	}
}

// holdsOther reports whether this VM holds a server that suits the call and is not one to avoid, whether or not the
// server has a free unit.
func (p *pool) holdsOther(h *grant.Holder, r *dispatch.SlotRequest, now time.Time) bool {
	found := false
	h.Each(p.name, now, func(g *grant.HeldGrant) {
		found = found || serves(g.Server, r) && !slices.Contains(r.Avoid, g.Server.Server)
	})
	return found
}

// addCandidate adds a server to p.held and p.candidates.
func (p *pool) addCandidate(g *grant.HeldGrant) {
	p.held = append(p.held, g)
	p.candidates = append(p.candidates, routing.Candidate{
		Server: g.Server.Server, FailureDomain: g.Server.FailureDomain,
		Units: g.Units, InFlight: g.InFlight, Budget: g.Budget, Cold: g.Cold,
	})
}

// serves reports whether a server offers the call's model, adapter and role.
func serves(a *daisyhatchv1.Announcement, r *dispatch.SlotRequest) bool {
	if r.Model != "" && len(a.Models) > 0 && !slices.Contains(a.Models, r.Model) {
		return false
	}
	if r.Adapter != "" && !slices.Contains(a.Adapters, r.Adapter) {
		return false
	}
	return r.Role == "" || a.Role == "" || a.Role == r.Role
}

// target converts an announcement to the address and properties that a call needs.
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
		Version:       a.Version,
	}
}

// wantedUnits updates the peak demand and returns how many units this VM wants of all grantors together.
func (p *pool) wantedUnits() int {
	now := p.inFlight + p.queue.Len() - p.aloneInFlight
	p.peakDemand = max(p.peakDemand, float64(now))
	if p.peakDemand < 0.5 {
		return 0
	}
	if p.peakDemand <= 1 {
		return 1
	}
	return int(math.Ceil(p.peakDemand * (1 + headroom)))
}

// busy reports whether calls are in flight or queued.
func (p *pool) busy() bool {
	return p.inFlight+p.queue.Len()+p.aloneQueue.Len() > 0
}

// dropIdleDemand resets the demand of an idle pool that had one call at a time, since another VM may need the unit.
func (p *pool) dropIdleDemand(now time.Time) {
	if !p.busy() && p.peakDemand <= 1 && now.Sub(p.idleSince) >= idleRelease {
		p.peakDemand = 0
	}
}

// demands returns the demand to send to each grantor, in the order of grantors. A grantor with a known supply is asked
// for its share of the wanted units, one with an unknown supply for all of them. Units that are missing are requested
// in addition from each grantor with spare supply, and from every grantor while calls are queued.
func (p *pool) demands(h *grant.Holder, grantors []string, now time.Time) []grant.Demand {
	want, alone := p.wantedUnits(), p.aloneQueue.Len()+p.aloneInFlight
	if want == 0 && alone == 0 {
		return nil
	}
	parts := p.shares(grantors, want, now)
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

// shares divides the wanted units between the grantors in proportion to their supply. The remainder of the division
// goes to the grantors with the most spare supply. The share of a grantor with an unknown supply is all of want.
func (p *pool) shares(grantors []string, want int, now time.Time) []int {
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
	remainder := want
	for _, i := range known {
		parts[i] = want * p.supplies[grantors[i]].budget / total
		remainder -= parts[i]
	}
	spare := func(i int) int {
		s := p.supplies[grantors[i]]
		return s.budget - s.demand
	}
	slices.SortStableFunc(known, func(a, b int) int { return spare(b) - spare(a) })
	for _, i := range known[:min(remainder, len(known))] {
		parts[i]++
	}
	return parts
}

// supply returns what a grantor last reported; the second result is false when that is unknown or older than supplyTTL.
func (p *pool) supply(grantor string, now time.Time) (supply, bool) {
	s, ok := p.supplies[grantor]
	return s, ok && now.Sub(s.at) < supplyTTL
}

// recordSupply stores the supply that a grantor reports. A grantor whose response to a demand for the pool names no
// supply has none.
func (p *pool) recordSupply(grantor string, r *daisyhatchv1.AcquireResponse, now time.Time) {
	s := supply{at: now}
	for _, m := range r.Supplies {
		if m.Pool == p.name {
			s.budget, s.demand = int(m.Budget), int(m.Demand)
		}
	}
	p.supplies[grantor] = s
}

// expectedUnits estimates how many units this VM can count on: the units that it holds or, if more, its share of the
// supply. A grantor with enough for all holders counts with all that this VM wants of it, since units that are missing
// at the moment will be granted soon. It returns 0 when nothing is known.
func (p *pool) expectedUnits(h *grant.Holder, now time.Time) int {
	units := 0
	h.Each(p.name, now, func(g *grant.HeldGrant) {
		if !g.Exclusive {
			units += g.Units
		}
	})
	expected, wanted, known := 0, p.wantedUnits(), false
	for g := range p.supplies {
		s, ok := p.supply(g, now)
		if !ok || s.budget == 0 {
			continue
		}
		known = true
		if s.demand <= s.budget {
			expected += min(wanted, s.budget)
			continue
		}
		expected += s.budget * wanted / max(s.demand, wanted)
	}
	if !known && units == 0 {
		return 0
	}
	return max(units, min(expected, wanted), 1)
}

// predictWait estimates how long another call of the organisation would wait behind the queued and the upcoming calls:
// its position in the fair queue times the mean time between two slots. ok is false while there is too little data.
func (p *pool) predictWait(h *grant.Holder, organisation string, weight int, c upcoming, now time.Time) (wait time.Duration, ok bool) {
	ahead := p.queue.Len() + c.total + 1
	if p.queue.Len() == 0 {
		return 0, true
	}
	own := float64(max(weight, 1))
	weights := p.queue.Weights()
	if p.queue.WeightOf(organisation) == 0 {
		weights += own
	}
	fairPosition := float64(p.queue.LenOf(organisation)+c.own+1) * weights / own
	room := p.expectedUnits(h, now)
	if room == 0 || p.holdTime.mean == 0 {
		return 0, false
	}
	return time.Duration(min(float64(ahead), fairPosition) * float64(p.holdTime.mean) / float64(room)), true
}
