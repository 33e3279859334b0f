// Package catalog holds the routing configuration of raw HTTP services: routes by host and path prefix, the services
// and stages behind them, and the organisations with their keys. A Set is checked as a whole before it is published and
// is immutable afterwards.
package catalog

import (
	"crypto/sha256"
	"slices"
	"strings"
	"time"
)

// Kind says whether a request of a route may run more than once.
type Kind int

// Kinds.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// AtMostOnce requests run at most once for each attempt of the caller.
	AtMostOnce
	// Stream requests are answered by a series of events. They run at most once unless the route is resumable.
	Stream
)

// Priority orders requests; lower values are more urgent. It is the route's unless the organisation sets one.
type Priority int

// Set is a complete configuration. Check must succeed before it is used for lookups.
type Set struct {
	// Version is at least 1.
	Version  uint64
	Routes   []*Route
	Services map[string]*Service
	Limits   Limits
	// Keyless is true if the configuration lists no organisations at all, so that callers need no key. A list without entries is
	// another thing: callers need a key, and none has one.
	Keyless       bool
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
	// Timeout is the longest time that a caller may be kept waiting; above 0.
	Timeout time.Duration
	// Target is the latency up to which a response, or the first event of a stream, has its full value.
	Target time.Duration
	// EventGap is the longest pause between events of a stream that counts as on time; 0 when the route has no such limit.
	EventGap time.Duration
	Priority Priority
	// Split holds the services that share the route's requests by weight. At least one has a weight above 0.
	Split []Share
	// MaxServers is the largest number of backend servers to which one attempt of a caller is sent; at least 1.
	MaxServers int
	// Public routes need no API key.
	Public bool
	// Prompted routes take requests that describe a prompt, whose prefix engines cache.
	Prompted bool
	// Resumable streams can continue on another server after the last event that was delivered.
	Resumable bool
	// Stages run before the request itself. A stage comes after those whose results it needs.
	Stages []Stage
}

// Repeatable reports whether a request that may have run already may be run again.
func (r *Route) Repeatable() bool { return r.Kind == Idempotent || r.Kind == Stream && r.Resumable }

// Share is the weight of one service among those that take a route's requests.
type Share struct {
	Service string
	// Weight is at least 0.
	Weight int
}

// Stage is work that is done before a request runs.
type Stage struct {
	Service string
	// After lists the stages whose results this one needs, by their index in Route.Stages.
	After []int
	// ResultBytes is the approximate size of one piece's result.
	ResultBytes int
}

// Service is a pool of backend servers.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is the number of connections that one server accepts from all VMs together.
	MaxConnections int
	// ColdDuration is how long a server is cold after its start, ColdRate the requests per second that it can take while
	// cold. Both are 0 when the service has no cold start.
	ColdDuration time.Duration
	ColdRate     float64
	// Engine is set for services of model engines.
	Engine *Engine
	// Batch is set for services of stages.
	Batch *Batch
}

// Engine describes one model engine of a service.
type Engine struct {
	// Slots is the number of requests that run at the same time.
	Slots int
	// CacheTokens is the number of prompt and generated tokens that fit into the engine's memory.
	CacheTokens int
	// HandleTTL is how long a stage result that was handed over to the engine is kept.
	HandleTTL time.Duration
}

// Batch describes one server of a service that runs stages.
type Batch struct {
	// Slots is the number of calls that run at the same time, Queue the number that may wait.
	Slots, Queue int
	// Size is the largest number of pieces in one call.
	Size int
	// PerCall and PerPiece are the approximate fixed time of a call and its time per piece.
	PerCall, PerPiece time.Duration
	// ResultBytes is the space for results.
	ResultBytes int64
	// ResultTTL is how long a result is kept after its call.
	ResultTTL time.Duration
}

// CallTime returns the approximate time of a call with n pieces.
func (b *Batch) CallTime(n int) time.Duration { return b.PerCall + time.Duration(n)*b.PerPiece }

// Limits are the limits on callers' requests and connections.
type Limits struct {
	// MaxHeader and MaxBody are in bytes.
	MaxHeader     int
	MaxBody       int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Organisation is an organisation whose callers are identified by its API keys.
type Organisation struct {
	Name string
	Keys []string
	// Priority overrides the route's priority; nil keeps it.
	Priority *Priority
}

// index builds the lookup tables, with the routes of each host from the longest prefix to the shortest.
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
			if k == "" {
				continue
			}
			s.byKey[sha256.Sum256([]byte(k))] = o
		}
	}
}

// Match returns the route of host with the longest prefix of path; nil when there is none.
func (s *Set) Match(host, path string) *Route {
	for _, r := range s.byHost[host] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// Organisation returns the organisation that has the API key; nil when none has it. Keys are looked up by their SHA-256,
// so the time that it takes doesn't reveal how much of a key matched.
func (s *Set) Organisation(key string) *Organisation {
	if key == "" {
		return nil
	}
	return s.byKey[sha256.Sum256([]byte(key))]
}

// KeysNeeded reports whether requests on routes that are not public need an API key.
func (s *Set) KeysNeeded() bool { return !s.Keyless }

// KeyCount returns the number of API keys that organisations have.
func (s *Set) KeyCount() int { return len(s.byKey) }

// Pick returns the service that a uniformly distributed draw in [0, 1) selects by the weights of Split.
func (r *Route) Pick(draw float64) string {
	total := 0
	for _, s := range r.Split {
		total += s.Weight
	}
	remaining := draw * float64(total)
	last := ""
	for _, s := range r.Split {
		if s.Weight == 0 {
			continue
		}
		last = s.Service
		if remaining < float64(s.Weight) {
			return s.Service
		}
		remaining -= float64(s.Weight)
	}
	return last
}
