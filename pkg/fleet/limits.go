package fleet

import (
	"time"

	"github.com/daisyhatch/daisyhatch/pkg/allowance"
	"github.com/daisyhatch/daisyhatch/pkg/directory"
	"github.com/daisyhatch/daisyhatch/pkg/serverlimit"
)

// limitNews orders the limits that a VM has learned of, to tell other VMs those that they weren't told yet. State.mu guards
// it.
type limitNews struct {
	// count grows with each limit that is to be told.
	count uint64
	// all and own hold the count of each server's latest news, own only for news from answers to this VM, or to an entry
	// VM that reported them to it.
	all, own map[string]uint64
	// toldAt is the time of the latest statement about each server that was told.
	toldAt map[string]time.Time
	// ownChanged is signalled when there is own news.
	ownChanged chan struct{}
}

func newLimitNews() limitNews {
	return limitNews{
		all: make(map[string]uint64), own: make(map[string]uint64), toldAt: make(map[string]time.Time),
		ownChanged: make(chan struct{}, 1),
	}
}

// add records a statement, which others are told when it is new, or confirms one that was told ConfirmInterval ago.
func (n *limitNews) add(l serverlimit.Limit, change serverlimit.Change, own bool) {
	if change == serverlimit.Ignored || change == serverlimit.Confirmed && l.At.Sub(n.toldAt[l.Server]) < serverlimit.ConfirmInterval {
		return
	}
	n.count++
	n.all[l.Server], n.toldAt[l.Server] = n.count, l.At
	if !own {
		delete(n.own, l.Server)
		return
	}
	n.own[l.Server] = n.count
	n.signal()
}

// signal makes the VM look for own news that a control VM wasn't told. It is safe for concurrent use.
func (n *limitNews) signal() {
	select {
	case n.ownChanged <- struct{}{}:
	default:
	}
}

// forget drops what is known of a server.
func (n *limitNews) forget(server string) {
	delete(n.all, server)
	delete(n.own, server)
	delete(n.toldAt, server)
}

// RecordLimit records what a server's response to this VM says of the server's limit.
func (s *State) RecordLimit(l serverlimit.Limit) serverlimit.Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mergeLimit(l, true)
}

// mergeLimits records limits that another VM told, and returns those that changed something. own is true for those that
// came from answers to the VM that told them.
func (s *State) mergeLimits(limits []serverlimit.Limit, own bool) []serverlimit.Limit {
	s.mu.Lock()
	defer s.mu.Unlock()
	var changed []serverlimit.Limit
	for _, l := range limits {
		if s.mergeLimit(l, own) == serverlimit.Changed {
			changed = append(changed, l)
		}
	}
	return changed
}

// mergeLimit records one statement; s.mu must be held.
func (s *State) mergeLimit(l serverlimit.Limit, own bool) serverlimit.Change {
	change := s.limits.Record(l)
	s.limitNews.add(l, change, own)
	if change == serverlimit.Changed {
		s.notifyChange()
	}
	return change
}

// limitsSince returns the limits whose news is later than count, only the VM's own news if own is set, and the count to
// pass next time.
func (s *State) limitsSince(count uint64, own bool) ([]serverlimit.Limit, uint64) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	news := s.limitNews.all
	if own {
		news = s.limitNews.own
	}
	var out []serverlimit.Limit
	for server, at := range news {
		if at <= count {
			continue
		}
		if l, ok := s.limits.Latest(server); ok {
			out = append(out, l)
		}
	}
	return out, s.limitNews.count
}

// expireLimits drops limits that nothing has confirmed; s.mu must be held.
func (s *State) expireLimits(now time.Time) {
	for _, l := range s.limits.Expire(now) {
		s.limitNews.forget(l.Server)
	}
	s.sends.Expire(now)
}

// LimitUse returns the limit of a server's incarnation and this VM's share of it; nil when the server has none.
func (s *State) LimitUse(v directory.Server, now time.Time) *serverlimit.Use {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limitUse(v, now)
}

// LimitCount returns the number of servers with a limit.
func (s *State) LimitCount() int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.limits.Count()
}

// TakeSend counts a request that this VM is about to send to a server. It returns false, and doesn't count the request,
// when this VM has used up its share of the server's limit.
func (s *State) TakeSend(v directory.Server, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.limitUse(v, now).HasRoom(now) {
		return false
	}
	s.sends.Add(v.ID, now)
	return true
}

// limitUse is LimitUse with s.mu held.
func (s *State) limitUse(v directory.Server, now time.Time) *serverlimit.Use {
	l, ok := s.limits.InForce(v.ID, v.Born)
	if !ok {
		return nil
	}
	u := &serverlimit.Use{Limit: l, Sent: s.sends.CountWithin(v.ID, l.Window(), now), RoomAt: now}
	var since time.Time
	u.Share, u.Senders, since = s.limitShare(v, l, now)
	if u.Share > 0 {
		u.RoomAt = s.sends.RoomAt(v.ID, l.Window(), u.Share, now)
	}
	// An earlier process of this VM, or an earlier owner, may have used the share before.
	if known := since.Add(l.Window()); known.After(u.RoomAt) {
		u.RoomAt = known
	}
	return u
}

// limitShare returns how many requests this VM may send to a server within the window of its limit, among how many VMs,
// and since when this VM counts them. Stage servers get all calls from the owner of their service's calls. For all other
// servers, and for stage servers while no control VM is reached, the entry VMs share the limit by a rule that is the same
// on all of them. A VM that the others don't know of yet has no share.
func (s *State) limitShare(v directory.Server, l serverlimit.Limit, now time.Time) (share, senders int, since time.Time) {
	if known, ok := s.dir.Get(v.ID); ok && s.formsStageCalls && s.isStageService(known.Service) {
		since = s.startedAt
		if at := s.ownersSince[known.Service]; at.After(since) {
			since = at
		}
		return l.Units(), 1, since
	}
	entries := s.entries.all(now)
	return allowance.ShareUnits(l.Units(), v.ID, s.vm, entries), len(entries), s.startedAt
}

// isStageService reports whether a service runs stages; s.mu must be held.
func (s *State) isStageService(service string) bool {
	return s.config != nil && s.config.Services[service] != nil && s.config.Services[service].Batch != nil
}
