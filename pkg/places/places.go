// Package places chooses among the servers of a service that has few places for requests: fewer than there are entry VMs.
//
// It answers dozens of VMs before a handful of servers. Each VM sends a request every second or so, so its own counts say
// little about what a server holds; if each prefers the servers of its own failure domain, a wave of demand in one domain fills
// them while others have free places; and a server that turned slow is full long before most VMs have had an answer from it.
//
// Each VM prefers one server, by a hash of both: the demand of a domain spreads over all servers, and a VM's few requests still tell
// it about the server that it uses. It leaves that server by what shows that places are taken: what the server tells, a refusal, an
// answer that took long, and requests of this VM that have been without an answer for long. A server that just refused a request for
// lack of a place gets none while there are others.
//
// The package does no I/O and reads no clock: callers pass the time.
package places

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/daisyhatch/daisyhatch/pkg/serverload"
)

const (
	// minFull and maxFull bound how long a server counts as full after it refused a request for lack of a place; each refusal
	// in a row doubles the time.
	minFull = 500 * time.Millisecond
	maxFull = 4 * time.Second
	// usualSpread is how many times as long as the best an answer may take before it shows that requests wait or that the server
	// is slow: the work of requests differs.
	usualSpread = 4.0
	// lateFor is how long an answer that took long counts; its weight falls linearly.
	lateFor = 3 * time.Second
	// maxLateness bounds what a late answer counts, in shares of a server's places.
	maxLateness = 4.0
	// preference is the cost of a server other than the one that the VM uses while all are equal, in shares of a server's places.
	preference = 0.7
	// bestFall and bestRise are the weights of an answer in the best time of a service, if it took less and if it took more.
	bestFall = 0.3
	bestRise = 0.01
)

// Server is a server that may get a request.
type Server struct {
	ID string
	// Slots is the number of requests that it runs at the same time, at least 1.
	Slots int
	// Penalty is 1 for a server without recent failures, and more for others.
	Penalty float64
}

// Scarce reports whether a service has fewer places than there are entry VMs. A server that doesn't tell its places counts as
// having enough.
func Scarce(servers []Server, entries int) bool {
	places := 0
	for _, s := range servers {
		if s.Slots <= 0 {
			return false
		}
		places += s.Slots
	}
	return len(servers) > 1 && places < entries
}

// InFlight is a request in flight at a server.
type InFlight struct {
	server  string
	service string
	at      time.Time
}

type server struct {
	inFlight []*InFlight
	// refusals counts refusals in a row; fullUntil is until when the server counts as full.
	refusals  int
	fullUntil time.Time
	// took is how long the latest answer took, which came at answeredAt.
	took       time.Duration
	answeredAt time.Time
}

// Tracker tracks this VM's requests by server. It isn't safe for concurrent use.
type Tracker struct {
	servers map[string]*server
	// best is about the time of the fastest answers, by service.
	best  map[string]time.Duration
	loads *serverload.Table
}

// NewTracker returns an empty Tracker.
func NewTracker() *Tracker {
	return &Tracker{servers: make(map[string]*server), best: make(map[string]time.Duration), loads: serverload.NewTable()}
}

func (t *Tracker) server(id string) *server {
	s := t.servers[id]
	if s == nil {
		s = &server{}
		t.servers[id] = s
	}
	return s
}

// Begin records that a request is sent to a server of a service.
func (t *Tracker) Begin(service, id string, now time.Time) *InFlight {
	f := &InFlight{server: id, service: service, at: now}
	s := t.server(id)
	s.inFlight = append(s.inFlight, f)
	t.loads.Sent(id, now)
	return f
}

// End records that a request is no longer at its server. It must be called once only.
func (t *Tracker) End(f *InFlight) {
	s := t.server(f.server)
	s.inFlight = slices.DeleteFunc(s.inFlight, func(g *InFlight) bool { return g == f })
	t.loads.Ended(f.server)
}

// Answered records that a server answered a request other than by a refusal for lack of a place. worked is true if it did the work:
// the time of a quick error says nothing of how long work takes.
func (t *Tracker) Answered(f *InFlight, now time.Time, worked bool) {
	s, took := t.server(f.server), now.Sub(f.at)
	s.refusals, s.fullUntil = 0, time.Time{}
	if !worked {
		return
	}
	s.took, s.answeredAt = took, now
	switch best := t.best[f.service]; {
	case best == 0:
		t.best[f.service] = took
	case took < best:
		t.best[f.service] = best + time.Duration(bestFall*float64(took-best))
	default:
		t.best[f.service] = best + time.Duration(bestRise*float64(took-best))
	}
}

// Refused records that a server refused a request for lack of a place.
func (t *Tracker) Refused(id string, now time.Time) {
	s := t.server(id)
	s.fullUntil = now.Add(min(minFull<<min(s.refusals, 8), maxFull))
	s.refusals++
}

// Told records what an incarnation of a server told of its load.
func (t *Tracker) Told(id string, born int64, f serverload.Figures) { t.loads.Told(id, born, f) }

// Full reports whether a server counts as full.
func (t *Tracker) Full(id string, now time.Time) bool {
	s := t.servers[id]
	return s != nil && now.Before(s.fullUntil)
}

// fullness estimates what part of a server's places is taken, above 1 if requests wait.
func (t *Tracker) fullness(service string, v *Server, now time.Time) float64 {
	full := t.loads.Estimate(v.ID, now).Busy() / float64(v.Slots)
	if s := t.servers[v.ID]; s != nil {
		full += s.lateness(t.best[service], now)
	}
	return full
}

// lateness tells how much longer than usual answers take, 0 for not at all.
func (s *server) lateness(best time.Duration, now time.Time) float64 {
	if best <= 0 {
		return 0
	}
	late := func(took time.Duration) float64 {
		return min(max(float64(took)/float64(best)/usualSpread-1, 0), maxLateness)
	}
	worst := 0.0
	if age := now.Sub(s.answeredAt); s.took > 0 && age < lateFor {
		worst = late(s.took) * (1 - float64(age)/float64(lateFor))
	}
	for _, f := range s.inFlight {
		worst = max(worst, late(now.Sub(f.at)))
	}
	return worst
}

type ranked struct {
	index int
	full  bool
	cost  float64
}

// Order returns the indexes of the servers from best to worst for a VM. draw returns a random number from 0 to below 1.
func (t *Tracker) Order(service, vm string, servers []Server, draw func() float64, now time.Time) []int {
	list := make([]ranked, 0, len(servers))
	first := preferred(vm, servers)
	for i := range servers {
		v := &servers[i]
		cost := t.fullness(service, v, now) + draw()*preference/2
		if i != first {
			cost += preference
		}
		list = append(list, ranked{index: i, full: t.Full(v.ID, now), cost: (1 + cost) * max(v.Penalty, 1)})
	}
	slices.SortFunc(list, func(a, b ranked) int {
		switch {
		case a.full == b.full:
			return cmp.Compare(a.cost, b.cost)
		case a.full:
			return 1
		}
		return -1
	})
	out := make([]int, 0, len(list))
	for _, r := range list {
		out = append(out, r.index)
	}
	return out
}

// preferred returns the index of the server that a VM uses while all are equal.
func preferred(vm string, servers []Server) int {
	best, first := uint64(0), 0
	for i := range servers {
		if h := xxhash.Sum64String(vm + "\x00" + servers[i].ID); i == 0 || h < best {
			best, first = h, i
		}
	}
	return first
}

// Retain drops servers without requests in flight for which keep returns false.
func (t *Tracker) Retain(keep func(id string) bool, now time.Time) {
	for id, s := range t.servers {
		if !keep(id) && len(s.inFlight) == 0 {
			delete(t.servers, id)
			t.loads.Forget(id)
		}
	}
	t.loads.Expire(now)
}

// At returns when the request was sent.
func (f *InFlight) At() time.Time { return f.at }
