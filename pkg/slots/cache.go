package slots

import (
	"slices"

	"github.com/daisyhatch/daisyhatch/pkg/engine"
	"github.com/daisyhatch/daisyhatch/pkg/grant"
)

// CacheServers returns the backend servers that publish cache events and on which this VM holds grants or recently did.
func (s *Slots) CacheServers() []engine.Target {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []engine.Target
	for name := range s.pools {
		s.holder.Listed(name, func(g *grant.HeldGrant) {
			if slices.Contains(g.Server.Capabilities, engine.CapabilityCacheEvents) {
				out = append(out, target(g.Server))
			}
		})
	}
	return out
}

// CacheEvents applies cache events of a server that CacheServers returned. Events of an incarnation other than the
// present one are ignored. It returns false when the events show a gap; what the index held of the server from before
// the gap is then dropped.
func (s *Slots) CacheEvents(t engine.Target, events []engine.CacheEvent) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	g, ok := s.holder.Get(t.Server)
	if !ok || g.Server.Incarnation != t.Incarnation {
		return true
	}
	index, contiguous := s.pool(g.Server.Pool).picker.Index(), true
	index.Follow(t.Server, t.Incarnation)
	for _, e := range events {
		if !index.Event(t.Server, e.Sequence, e.Stored, e.Removed, e.Cleared) {
			contiguous = false
		}
	}
	return contiguous
}

// CacheUnfollowed records that a server's cache events are not read for the time being.
func (s *Slots) CacheUnfollowed(t engine.Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pool(t.Pool).picker.Index().Unfollow(t.Server)
}
