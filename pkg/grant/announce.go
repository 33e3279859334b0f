package grant

import (
	"slices"
	"time"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
)

// Announce records a backend server's announcement, which arrived at now. An announcement of the current incarnation
// that is older than the last one is ignored.
func (g *Grantor) Announce(a *daisyhatchv1.Announcement, now time.Time) {
	s := g.servers[a.Server]
	if s == nil {
		s = &server{name: a.Server, shard: ShardOf(a.Server), formerCalls: unreportedLoad}
		g.servers[a.Server] = s
		g.pool(a.Pool).servers = append(g.pool(a.Pool).servers, s)
	}
	if s.ann != nil && s.ann.Incarnation == a.Incarnation && now.Before(s.heard) {
		return
	}
	if s.ann != nil && s.ann.Pool != a.Pool {
		g.movePool(s, s.ann.Pool, a.Pool)
	}
	if s.ann != nil && s.ann.Incarnation != a.Incarnation {
		s.warmth = warmth{}
		s.coldUntil = time.Time{}
		s.leaving = false
	}
	// An announcement sent before the server began to leave may arrive late, so leaving ends only with the incarnation.
	s.leaving = s.leaving || a.Leaving
	revision := s.revision
	s.setAnnouncement(a)
	if s.revision != revision {
		g.numbers.add(s)
	}
	s.heard = now
	if a.Load != nil {
		trueAt := now.Add(-time.Duration(a.Load.AgeMs) * time.Millisecond)
		if st := &g.shards[s.shard]; !trueAt.Before(st.quietUntil.Add(maxAnnounceDelay)) {
			s.formerCalls = min(s.formerCalls, int(a.Load.Running+a.Load.Queued))
		}
		if a.Load.Cold && s.warmth.completions > 0 {
			s.warmth.turnCold()
		}
	}
	g.updateDomainState(s)
}

func (g *Grantor) movePool(s *server, from, to string) {
	g.drop(s, from)
	g.pool(to).servers = append(g.pool(to).servers, s)
}

func (g *Grantor) drop(s *server, from string) {
	p := g.pool(from)
	if i := slices.Index(p.servers, s); i >= 0 {
		p.servers = slices.Delete(p.servers, i, i+1)
	}
}
