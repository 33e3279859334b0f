package grant

import (
	"cmp"
	"slices"
	"time"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
)

// expectLeasePeriod is how long after an import the VM looks for a free lease more often.
const expectLeasePeriod = 2 * time.Second

// importedState is the state of a shard that another VM handed over, and when it arrived.
type importedState struct {
	state      *daisyhatchv1.ShardState
	receivedAt time.Time
}

// Export stops granting in a shard, for as long as the lease keeps its fence, and returns the state that lets a
// successor grant without a quiet period. It returns nil when the shard is not Settled.
func (g *Grantor) Export(shard uint32, now time.Time) *daisyhatchv1.ShardState {
	st := &g.shards[shard]
	settled := g.Settled(shard, now)
	g.LeaseLost(shard)
	st.exported = true
	if !settled {
		return nil
	}
	out := &daisyhatchv1.ShardState{Shard: shard, Fence: st.fence}
	for _, s := range g.servers {
		if s.shard == shard {
			out.Servers = append(out.Servers, s.export(now))
		}
	}
	slices.SortFunc(out.Servers, func(a, b *daisyhatchv1.ServerState) int {
		return cmp.Compare(a.Announcement.Server, b.Announcement.Server)
	})
	return out
}

// Settled reports whether the VM holds the shard's lease and every call there is charged to a holder: all calls that
// started under a former grantor have ended.
func (g *Grantor) Settled(shard uint32, now time.Time) bool {
	return g.Holds(shard, now) && !now.Before(g.shards[shard].recoveredAt)
}

// Exported reports whether the shard was handed over under its current fence, so that its lease is to be released.
func (g *Grantor) Exported(shard uint32) bool { return g.shards[shard].exported }

func (s *server) export(now time.Time) *daisyhatchv1.ServerState {
	out := &daisyhatchv1.ServerState{
		Announcement: s.ann,
		HeardMsAgo:   now.Sub(s.heard).Milliseconds(),
		Warmth:       s.warmth.message(),
		Leaving:      s.leaving,
	}
	for i := range s.charges {
		c := &s.charges[i]
		out.Charges = append(out.Charges, &daisyhatchv1.ChargeState{
			Vm:            c.holder.key.vm,
			Incarnation:   c.holder.key.incarnation,
			FailureDomain: c.holder.domain,
			Sequence:      c.holder.sequence,
			Units:         uint32(c.units),
			InFlight:      uint32(c.inFlight),
			Exclusive:     c.exclusive,
			Completed:     uint32(c.completedOf(s.ann.Incarnation)),
		})
	}
	return out
}

// Import accepts the state of a shard that another VM exported. The state is kept until the lease is acquired and is
// used only if the lease's fence follows that of the state. If the lease has been acquired already, the state ends the
// quiet period.
func (g *Grantor) Import(state *daisyhatchv1.ShardState, now time.Time) {
	if state.Shard >= Shards {
		return
	}
	st := &g.shards[state.Shard]
	if st.fence > state.Fence+1 {
		return
	}
	g.imported[state.Shard] = &importedState{state, now}
	if st.fence == state.Fence+1 && now.Before(st.quietUntil) {
		g.takeOver(state.Shard, st.fence, now)
		st.quietUntil, st.recoveredAt = now, now
	}
}

// Imported reports whether there is an imported state of the shard, not put into use yet, that was exported under the
// fence.
func (g *Grantor) Imported(shard uint32, fence uint64) bool {
	h := g.imported[shard]
	return h != nil && h.state.Fence == fence
}

// ExpectsLease reports whether a state was imported within expectLeasePeriod whose lease is not acquired yet.
func (g *Grantor) ExpectsLease(now time.Time) bool {
	for _, h := range g.imported {
		if h != nil && now.Sub(h.receivedAt) < expectLeasePeriod {
			return true
		}
	}
	return false
}

// WaitsForQuietPeriod reports whether the shard is held but in its quiet period, since grants of a former grantor may
// still be valid.
func (g *Grantor) WaitsForQuietPeriod(shard uint32, now time.Time) bool {
	return g.Holds(shard, now) && g.inQuietPeriod(shard, now)
}

// takeOver puts the imported state of a shard into use. It returns false when there is none for the fence.
func (g *Grantor) takeOver(shard uint32, fence uint64, now time.Time) bool {
	h := g.imported[shard]
	g.imported[shard] = nil
	if h == nil || h.state.Fence+1 != fence {
		return false
	}
	for _, m := range h.state.Servers {
		g.importServer(m, h.receivedAt, now)
	}
	if h.state.KeepsLimits {
		g.shards[shard].takenOverAt = time.Time{}
	}
	g.takenOver = append(g.takenOver, h.state)
	return true
}

// TakenOver returns the imported states that were put into use since the last call.
func (g *Grantor) TakenOver() []*daisyhatchv1.ShardState {
	out := g.takenOver
	g.takenOver = nil
	return out
}

// importServer adds one server of an imported state, as it was at importedAt. A newer incarnation that announced
// itself to this VM meanwhile is kept.
func (g *Grantor) importServer(m *daisyhatchv1.ServerState, importedAt, now time.Time) {
	heard := importedAt.Add(-time.Duration(m.HeardMsAgo) * time.Millisecond)
	if s := g.servers[m.Announcement.Server]; s == nil || s.sameOrOlder(m.Announcement.Incarnation, heard) {
		g.importAnnouncement(m, heard)
	}
	s := g.servers[m.Announcement.Server]
	for _, c := range m.Charges {
		g.importCharge(s, m.Announcement.Incarnation, c, now)
	}
}

// sameOrOlder reports whether the server's announcement is of the incarnation, or arrived before heard.
func (s *server) sameOrOlder(incarnation string, heard time.Time) bool {
	return s.ann.Incarnation == incarnation || s.heard.Before(heard)
}

func (g *Grantor) importAnnouncement(m *daisyhatchv1.ServerState, heard time.Time) {
	g.Announce(m.Announcement, heard)
	s := g.servers[m.Announcement.Server]
	turnedCold := s.warmth.coldCount > 0 && s.warmth.completions == 0
	s.warmth = warmth{coldCount: int(m.Warmth.GetColdCount()), completions: int(m.Warmth.GetCompletions())}
	if turnedCold {
		s.warmth.turnCold()
	}
	s.leaving = s.leaving || m.Leaving
}

func (g *Grantor) importCharge(s *server, incarnation string, c *daisyhatchv1.ChargeState, now time.Time) {
	h := g.holder(&daisyhatchv1.AcquireRequest{Vm: c.Vm, Incarnation: c.Incarnation})
	if h.lastRequestAt.IsZero() {
		h.domain = c.FailureDomain
	}
	h.sequence, h.lastRequestAt = max(h.sequence, c.Sequence), now
	h.servers[s] = struct{}{}
	e := s.chargeOf(h)
	s.setUnits(e, max(e.units, int(c.Units)), max(e.inFlight, int(c.InFlight)))
	e.exclusive = c.Exclusive
	e.incarnation, e.completed = incarnation, int(c.Completed)
	// The holder may have sent its request to this VM before it got its last grant from the former grantor.
	e.minUnits, e.minUnitsUntil = int(c.Units), now.Add(TTL)
	if c.Exclusive {
		s.reservedFor, s.reservedUntil = h, now.Add(reservePeriod)
	}
}
