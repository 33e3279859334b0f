// Package catalog is the routing configuration of raw HTTP services: routes by host and path prefix, the services
// behind them with their stages, and the organisations with their keys. A Set is checked whole before it is published
// and is not changed afterwards.
package catalog

import (
	"crypto/sha256"
	"slices"
	"strings"
	"time"
)

// Kind says what may be repeated of a route's requests.
type Kind int

// Kinds.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// AtMostOnce requests run once at most for each of the caller's attempts.
	AtMostOnce
	// Stream requests are answered by a series of events; they run once at most unless the route is resumable.
	Stream
)

// Priority of requests whose organisation sets none is the route's; lower is more urgent.
type Priority int

// Set is a whole configuration.
type Set struct {
	Version  uint64
	Routes   []*Route
	Services map[string]*Service
	Limits   Limits
	// Organisations is empty when callers need no key.
	Organisations []*Organisation

	byHost map[string][]*Route
	byKey  map[[sha256.Size]byte]*Organisation
}

// Route says where requests of one host and path prefix go.
type Route struct {
	Name string
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	Kind       Kind
	// Timeout is the longest time that a caller may be kept waiting.
	Timeout time.Duration
	// Target is the time within which an answer has its full worth; for streams, within which the first event has.
	Target time.Duration
	// EventGap is the longest pause between events of a stream that is on time; 0 when there is none.
	EventGap time.Duration
	Priority Priority
	// Split holds the services that take the route's requests, by weight; one at least has a weight above 0.
	Split []Share
	// MaxServers is the most backend servers to which one attempt of a caller is sent, 1 at least.
	MaxServers int
	// Public routes need no key.
	Public bool
	// Prompted routes carry a prompt's prefix, by which engines cache.
	Prompted bool
	// Resumable streams go on at another server behind the last event delivered.
	Resumable bool
	// Stages run before the request itself.
	Stages []Stage
}

// Repeatable reports whether a request of the route may be run again after it may have run.
func (r *Route) Repeatable() bool { return r.Kind == Idempotent || r.Kind == Stream && r.Resumable }

// Share is one service's part of a route's requests.
type Share struct {
	Service string
	Weight  int
}

// Stage is work that is done before a request runs.
type Stage struct {
	Service string
	// After lists the stages whose results this one needs.
	After []int
	// ResultBytes is about the size of one piece's result.
	ResultBytes int
}

// Service is a pool of backend servers.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is what one server accepts from all VMs together.
	MaxConnections int
	// ColdDuration is how long a server is cold after its start, and ColdRate how many requests a second it bears
	// while cold; 0 when the service has no cold start.
	ColdDuration time.Duration
	ColdRate     float64
	// Engine is set for services of model engines.
	Engine *Engine
	// Batch is set for services of stages.
	Batch *Batch
}

// Engine describes one model engine of a service.
type Engine struct {
	// Slots is how many requests run at once.
	Slots int
	// CacheTokens is the memory for prompts and generated tokens.
	CacheTokens int
	// HandleTTL is how long a stage's result that was handed over is kept.
	HandleTTL time.Duration
}

// Batch describes one server of a stage's service.
type Batch struct {
	// Slots is how many calls run at once, Queue how many may wait.
	Slots, Queue int
	// Size is the most pieces of one call.
	Size int
	// PerCall and PerPiece are about the time of a call.
	PerCall, PerPiece time.Duration
	// ResultBytes is the room for results.
	ResultBytes int64
	// ResultTTL is how long a result is kept after its call.
	ResultTTL time.Duration
}

// CallTime returns how long a call of n pieces takes.
func (b *Batch) CallTime(n int) time.Duration { return b.PerCall + time.Duration(n)*b.PerPiece }

// Limits bound what callers may send.
type Limits struct {
	MaxHeader     int
	MaxBody       int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Organisation is a caller's organisation.
type Organisation struct {
	Name string
	Keys []string
	// Priority replaces the route's when set.
	Priority *Priority
}

// index prepares the lookups.
func (s *Set) index() {
	s.byHost = make(map[string][]*Route)
	for _, r := range s.Routes {
		s.byHost[r.Host] = append(s.byHost[r.Host], r)
	}
	for _, routes := range s.byHost {
		slices.SortFunc(routes, func(a, b *Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	s.byKey = make(map[[sha256.Size]byte]*Organisation)
	for _, o := range s.Organisations {
		for _, k := range o.Keys {
			s.byKey[sha256.Sum256([]byte(k))] = o
		}
	}
}

// Match returns the route with the longest prefix of path among those of host; nil when there is none.
func (s *Set) Match(host, path string) *Route {
	for _, r := range s.byHost[host] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// Organisation returns the holder of a key; nil when nobody holds it. The time does not tell how much of a key matched.
func (s *Set) Organisation(key string) *Organisation {
	if key == "" {
		return nil
	}
	return s.byKey[sha256.Sum256([]byte(key))]
}

// KeysNeeded reports whether requests on routes that are not public need a key.
func (s *Set) KeysNeeded() bool { return len(s.Organisations) > 0 }

// Pick returns the service for a draw in [0, 1) by the weights of the split.
func (r *Route) Pick(draw float64) string {
	total := 0
	for _, s := range r.Split {
		total += s.Weight
	}
	left := draw * float64(total)
	last := ""
	for _, s := range r.Split {
		if s.Weight == 0 {
			continue
		}
		last = s.Service
		if left < float64(s.Weight) {
			return s.Service
		}
		left -= float64(s.Weight)
	}
	return last
}
