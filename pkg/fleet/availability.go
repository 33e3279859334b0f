package fleet

import (
	"time"

	"github.com/daisyhatch/daisyhatch/pkg/directory"
	"github.com/daisyhatch/daisyhatch/pkg/holdoff"
	"github.com/daisyhatch/daisyhatch/pkg/serverlimit"
)

// Candidate is a server that may be given work.
type Candidate struct {
	directory.Server
	// Cold is true while the server can take only little load: it announced that it is cold, or its failure domain has just
	// returned to service.
	Cold bool
	// Limit is the server's limit and this VM's share of it; nil when the server has none.
	Limit *serverlimit.Use
	// Weight is the share of the sessions that the server should have relative to others; 1 is the usual one.
	Weight float64
}

// Serving returns the servers of a service that may be given new work now, among them those whose limit leaves this VM no
// room.
func (s *State) Serving(service string, now time.Time) []Candidate {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Candidate
	for _, v := range s.dir.Serving(service) {
		if _, isOut := s.domainsOut[v.Domain]; isOut || !s.holdoffs.Available(v.ID, v.Incarnation(), now) {
			continue
		}
		out = append(out, Candidate{Server: v, Cold: s.cold(v, now), Limit: s.limitUse(v, now), Weight: s.weight(v, now)})
	}
	return out
}

// cold reports whether a server can take only little load. s.mu must be held.
func (s *State) cold(v directory.Server, now time.Time) bool {
	if now.Before(v.ColdUntil) {
		return true
	}
	back, returned := s.domainsReturned[v.Domain]
	return returned && now.Sub(back) < coldAfterReturn
}

// Allowed reports whether a server may still be given new work. Callers check it right before a send or a retry.
func (s *State) Allowed(id string) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	v, ok := s.dir.Get(id)
	if !ok || v.State != directory.Ready {
		return false
	}
	_, out := s.domainsOut[v.Domain]
	return !out && s.holdoffs.Available(id, v.Incarnation(), time.Now())
}

// Noticed records a notice from an answer of this incarnation of a server to this VM, and reports whether it is new.
func (s *State) Noticed(v directory.Server, n holdoff.Notice, now time.Time) bool {
	if n.Empty() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holdoffs.Record(v.ID, v.Incarnation(), n, now)
}

// Back returns the time until the first server of a service accepts calls from this VM again; false if one accepts calls
// now, or none will.
func (s *State) Back(service string, now time.Time) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	first, found := time.Time{}, false
	for _, v := range s.dir.Serving(service) {
		if _, isOut := s.domainsOut[v.Domain]; isOut {
			continue
		}
		at, ok := s.availableAt(v, now)
		if ok && !at.After(now) {
			return 0, false
		}
		if ok && (!found || at.Before(first)) {
			first, found = at, true
		}
	}
	return first.Sub(now), found
}

// availableAt returns when a server accepts calls from this VM, as far as its responses say; false when it won't.
// s.mu must be held.
func (s *State) availableAt(v directory.Server, now time.Time) (time.Time, bool) {
	at := now
	if !s.holdoffs.Available(v.ID, v.Incarnation(), now) {
		var ok bool
		if at, ok = s.holdoffs.AvailableAt(v.ID, v.Incarnation(), now); !ok {
			return time.Time{}, false
		}
	}
	u := s.limitUse(v, now)
	if u == nil {
		return at, true
	}
	if u.RoomAt.After(at) {
		at = u.RoomAt
	}
	return at, u.Share > 0
}

// Open reports whether this incarnation of a server accepts calls of any kind from this VM, according to its answers.
func (s *State) Open(v directory.Server, now time.Time) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.holdoffs.Available(v.ID, v.Incarnation(), now)
}
