package fleet

import (
	"time"

	"github.com/daisyhatch/daisyhatch/pkg/directory"
	"github.com/daisyhatch/daisyhatch/pkg/serverlimit"
)

// RecordLimit records what a server's response to this VM says of the server's limit.
func (s *State) RecordLimit(l serverlimit.Limit) serverlimit.Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limits.Record(l)
}

// LimitUse returns the limit of a server's incarnation and its use; false when the server has none.
func (s *State) LimitUse(v directory.Server, now time.Time) (serverlimit.Use, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	l, ok := s.limits.InForce(v.ID, v.Born, now)
	if !ok {
		return serverlimit.Use{}, false
	}
	return serverlimit.Use{Limit: l, Sent: s.sends.CountWithin(v.ID, l.Window(), now)}, true
}

// LimitCount returns the number of servers with a limit.
func (s *State) LimitCount(now time.Time) int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.limits.Count(now)
}

// TakeSend counts a request that this VM is about to send to a server.
func (s *State) TakeSend(v directory.Server, now time.Time) bool {
	s.sends.Add(v.ID, now)
	return true
}
