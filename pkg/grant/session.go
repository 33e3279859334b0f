package grant

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
)

// session is a holder's state of its session with one grantor, in which messages carry numbers in place of names. With
// a nil session, messages carry names.
type session struct {
	id uint64
	// applied is the sequence of the newest answer that was applied.
	applied uint64
	// numbers maps the names of pools to their numbers, and names the numbers to the names.
	numbers map[string]uint32
	names   map[uint32]string
}

// EndSession ends the session with a grantor, so that the next request carries names. It is to be called when the
// grantor refused a request with ErrUnknownNumber.
func (h *Holder) EndSession(grantor string) { delete(h.sessions, grantor) }

// identify sets the sender of a request: the session, or the holder's identity without one.
func (h *Holder) identify(r *daisyhatchv1.AcquireRequest, s *session) {
	if s != nil {
		r.Session, r.Applied = s.id, s.applied
		return
	}
	r.Vm, r.Incarnation, r.FailureDomain = h.id.VM, h.id.Incarnation, h.id.FailureDomain
}

// demand returns an empty demand for a pool, given by number if the session has one.
func (s *session) demand(pool string) *daisyhatchv1.PoolDemand {
	if s != nil && s.numbers[pool] != 0 {
		return &daisyhatchv1.PoolDemand{PoolNumber: s.numbers[pool]}
	}
	return &daisyhatchv1.PoolDemand{Pool: pool}
}

// useNumber replaces, in a report to the grantor of g, the fields that the announcement's number stands for.
func (g *HeldGrant) useNumber(u *daisyhatchv1.GrantUse) {
	if g.number == 0 {
		return
	}
	u.Number = g.number
	u.Server, u.Incarnation, u.Revision, u.Warmth = "", "", 0, nil
}

// packDemands moves demands that consist of numbers only into the compact lists of the request.
func packDemands(r *daisyhatchv1.AcquireRequest) {
	var kept []*daisyhatchv1.PoolDemand
	for _, d := range r.Demands {
		named := func(u *daisyhatchv1.GrantUse) bool { return u.Number == 0 }
		if d.PoolNumber == 0 || d.ExclusiveWant > 0 || d.Spread > 0 || slices.ContainsFunc(d.Uses, named) {
			kept = append(kept, d)
			continue
		}
		r.Pools = append(r.Pools, d.PoolNumber)
		r.Wants = append(r.Wants, d.Want)
		r.Uses = append(r.Uses, d.Uses...)
	}
	r.Demands = kept
}

// unpackSupplies turns the compact lists of an answer back into supplies. Lists of unequal length are ignored.
func (s *session) unpackSupplies(r *daisyhatchv1.AcquireResponse) {
	if len(r.Budgets) != len(r.Pools) || len(r.PoolDemands) != len(r.Pools) {
		return
	}
	for i, n := range r.Pools {
		r.Supplies = append(r.Supplies, &daisyhatchv1.PoolSupply{Pool: s.names[n], Budget: r.Budgets[i], Demand: r.PoolDemands[i]})
	}
	r.Pools, r.Budgets, r.PoolDemands = nil, nil, nil
}

// resolve adopts the session of a response and replaces its numbers by what they stand for.
func (h *Holder) resolve(grantor string, r *daisyhatchv1.AcquireResponse, now time.Time) {
	if r.Session != 0 {
		h.open(grantor, r.Session)
	}
	if s := h.sessions[grantor]; s != nil {
		s.applied = r.Sequence
		for _, m := range r.Supplies {
			s.addPool(m)
		}
		s.unpackSupplies(r)
	}
	held := make(map[uint32]*HeldGrant, len(r.Grants))
	for _, g := range h.held {
		if g.grantor == grantor && g.number != 0 {
			held[g.number] = g
		}
	}
	for _, m := range r.Grants {
		resolveGrant(m, held[m.Number], r.TtlMs, now)
	}
}

// open starts a session, unless it is the current one. Numbers of an earlier session become invalid.
func (h *Holder) open(grantor string, id uint64) {
	if s := h.sessions[grantor]; s != nil && s.id == id {
		return
	}
	h.sessions[grantor] = &session{id: id, numbers: make(map[string]uint32), names: make(map[uint32]string)}
	for _, g := range h.held {
		if g.grantor == grantor {
			g.number = 0
		}
	}
}

// addPool records the number of a pool.
func (s *session) addPool(m *daisyhatchv1.PoolSupply) {
	if m.PoolNumber != 0 {
		s.numbers[m.Pool], s.names[m.PoolNumber] = m.PoolNumber, m.Pool
	}
}

// resolveGrant fills in the server, the lifetime and the last load report of a grant m from the holder's entry g. With
// a nil g, because the holder has dropped the announcement, m gets an empty server.
func resolveGrant(m *daisyhatchv1.Grant, g *HeldGrant, ttlMs int64, now time.Time) {
	if m.TtlMs == 0 {
		m.TtlMs = ttlMs
	}
	if m.Server != nil {
		return
	}
	m.Server = &daisyhatchv1.Announcement{}
	if g == nil {
		return
	}
	m.Server.Server, m.Revision = g.Server.Server, g.revision
	if m.Load == nil && g.Load != nil {
		m.Load = proto.CloneOf(g.Load)
		m.Load.AgeMs = now.Sub(g.LoadAt).Milliseconds()
	}
}
