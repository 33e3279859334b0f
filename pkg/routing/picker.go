// Package routing picks the backend server for each call from those on which it may start. It weighs the calls in
// progress on a server, its latency relative to its pool, whether its cache probably holds the prompt's prefix, and its
// failure domain. It is deterministic: time and randomness are passed as arguments.
package routing

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Factors of the cost by which servers are compared.
const (
	// remoteFactor multiplies the cost of a server in another failure domain.
	remoteFactor = 1.25
	// coldFactor multiplies the cost of a server that is warming up.
	coldFactor = 1.5
	// prefixDiscount is the fraction of the cost that a fully cached prefix saves.
	prefixDiscount = 0.6
	// maxSlowness is the maximum factor on the cost of a straggler.
	maxSlowness = 20.0
)

// Call describes the call to route.
type Call struct {
	// FailureDomain is that of the caller.
	FailureDomain string
	// Prefix holds the hashes of the prompt's prefix blocks, shortest prefix first.
	Prefix []uint64
}

// Candidate is one server on which the call may start.
type Candidate struct {
	Server        string
	FailureDomain string
	// Units is the number of calls that this VM may run on the server at once; InFlight is the number that it does run.
	Units    int
	InFlight int
	// Budget is the number of calls that the server may run at once for all VMs; 0 when unknown.
	Budget int
	// Cold is true while the server is warming up.
	Cold bool
}

// Picker routes the calls of one pool. It is not safe for concurrent use.
type Picker struct {
	servers map[string]*server
	index   *Index
	// median is the median of the servers' average latencies; 0 while unknown.
	median time.Duration
	// samplesSinceRank counts the latencies observed since the median was computed.
	samplesSinceRank int
}

// NewPicker returns a Picker without any servers.
func NewPicker() *Picker {
	return &Picker{servers: make(map[string]*server), index: NewIndex(defaultBlocks)}
}

// Pick returns the index of the candidate to use, or -1 when there is none. It takes the cheapest of two random candidates
// and those whose caches probably hold the longest part of the prefix.
func (p *Picker) Pick(c Call, candidates []Candidate, now time.Time, rng *rand.Rand) int {
	n := len(candidates)
	if n == 0 {
		return -1
	}
	chosen := [2 + serversPerBlock]int{rng.IntN(n), rng.IntN(n)}
	count := 2
	for _, name := range p.Holders(c.Prefix) {
		i := slices.IndexFunc(candidates, func(k Candidate) bool { return k.Server == name })
		if i >= 0 {
			chosen[count] = i
			count++
		}
	}
	best, bestCost := -1, 0.0
	for _, i := range chosen[:count] {
		if cost := p.cost(c, &candidates[i], now); best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

// Best returns the index of the cheapest candidate, or -1 when there is none; the first one wins a tie. It computes the
// cost of every candidate, so the caller passes a small sample.
func (p *Picker) Best(c Call, candidates []Candidate, now time.Time) int {
	best, bestCost := -1, 0.0
	for i := range candidates {
		if cost := p.cost(c, &candidates[i], now); best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

// Holders returns the servers whose caches probably hold the longest cached part of a prefix; unused elements are empty.
func (p *Picker) Holders(prefix []uint64) [serversPerBlock]string {
	return p.index.longestHolders(prefix)
}

// cost estimates how long the call would take on a server, relative to the pool's usual time on an idle server.
func (p *Picker) cost(c Call, k *Candidate, now time.Time) float64 {
	s := p.servers[k.Server]
	capacity := float64(max(k.Budget, k.Units, 1))
	cost := 1 + s.outstanding(k.InFlight, now)/capacity
	if k.FailureDomain != c.FailureDomain {
		cost *= remoteFactor
	}
	if k.Cold {
		cost *= coldFactor
	}
	cost *= s.slowness(now)
	if len(c.Prefix) > 0 {
		cost *= 1 - prefixDiscount*p.index.cachedShare(k.Server, c.Prefix)
	}
	return cost
}

// Start records that a call was routed to a server.
func (p *Picker) Start(name string, prefix []uint64, now time.Time) {
	p.server(name).record(+1, now)
	p.index.Sent(name, prefix)
}

// Latency is the time to first byte that a call observed on its server.
type Latency struct {
	// Time is the time to the first byte; 0 when the call gives no information.
	Time time.Duration
	// AtLeast is true when the call ended after Time without a first byte, so Time is only a lower bound. Such a sample
	// counts unless it is below the server's average. It is needed because most hedged calls to a straggler end this way.
	AtLeast bool
}

// End records that a call ended, and the latency that it observed.
func (p *Picker) End(name string, l Latency, now time.Time) {
	s := p.server(name)
	s.record(-1, now)
	if l.Time <= 0 || l.AtLeast && l.Time < s.latency {
		return
	}
	s.observe(l.Time, now)
	p.samplesSinceRank++
	if p.samplesSinceRank >= rankInterval || p.median == 0 {
		p.rank()
	}
}

// Report applies a server's report of its running and queued calls as of the given time. A report that is not newer than
// the last one is ignored.
func (p *Picker) Report(name string, running, queued int, at time.Time) {
	s := p.server(name)
	if at.After(s.reportedAt) {
		s.reported, s.reportedAt = running+queued, at
	}
}

// Index returns the index of cached prefixes.
func (p *Picker) Index() *Index { return p.index }

// Retain drops the servers for which keep returns false. Their entries in the index stay until they are evicted.
func (p *Picker) Retain(keep func(server string) bool) {
	for name := range p.servers {
		if !keep(name) {
			delete(p.servers, name)
		}
	}
}

// Forget drops a server and invalidates its entries in the index, for example when it restarted or is no longer used.
func (p *Picker) Forget(name string) {
	delete(p.servers, name)
	p.index.Forget(name)
}

// server returns the state of a server, which it adds if needed.
func (p *Picker) server(name string) *server {
	s := p.servers[name]
	if s == nil {
		s = &server{}
		p.servers[name] = s
	}
	return s
}
