// Package placement ranks the model engines that may run a request.
//
// Prompts share long prefixes. An engine that has a prefix in its cache doesn't compute it again, while prefilling the
// rest of a prompt slows down every request that runs on the engine. VMs don't know what the other VMs send. Therefore
// all VMs derive the same order of engines for a session, by hashing, and deviate from its first engine only when their
// own requests in flight make another one cheaper.
//
// Engines of one service may differ in speed. The hashing is weighted: an engine is the first of a session's order in proportion
// to its weight, which all VMs are told alike. When one weight changes, only sessions that go to that engine, or come from it, move. Where
// all weights are equal the order is that of the hashes.
//
// The package does no I/O and reads no clock: callers pass the time.
package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/daisyhatch/daisyhatch/pkg/dialect"
)

// Costs, as the number of prompt tokens that an engine could prefill in the same time.
const (
	// runningCost is the cost of each request that runs on the engine: it lengthens every decoding step of the batch.
	runningCost = 350
	// remoteCostPerMB is the cost of each MB of input that crosses failure domains, over links that all VMs share.
	remoteCostPerMB = 370
	// affinityCost is the cost of leaving the first engine of a session's order: about the session's shared prefix, which
	// another engine has to prefill again. A quarter of it is added for each position in the order.
	affinityCost = 4500
	// prefillWeight is the weight of the tokens that an engine still has to prefill for this VM. It is below 1 since
	// waiting for them delays one request only, while prefilling a shared prefix on another engine uses up capacity.
	prefillWeight = 0.3
	// slownessCost is the cost of each unit of Engine.Slowness above 1.
	slownessCost = 4000
	// coldCost is the cost of an engine that is still cold and takes little load.
	coldCost = 8000
	// memoryCost is the cost of an engine whose token memory this VM's requests would overfill.
	memoryCost = 20000
)

// prefixTTL is how long an engine is expected to cache a prompt part after a request with it was sent.
const prefixTTL = 20 * time.Second

// Engine is an engine that may run the request.
type Engine struct {
	ID string
	// Domain is the engine's failure domain.
	Domain string
	Cold   bool
	// Slowness is the engine's time to the first token divided by the usual one of its pool; 1 when nothing is known.
	Slowness float64
	// Others is the number of requests of other VMs that run or wait there, as far as the engine told; 0 when nothing is known.
	Others float64
	// Weight is the engine's share of the sessions relative to others; 0 stands for the usual weight 1.
	Weight float64
}

// Request describes a request to be placed.
type Request struct {
	// Prompt is nil for a request without one.
	Prompt *dialect.Prompt
	// InputMB is the size in MB of the stage results that the request reads, by the failure domain that holds them.
	InputMB map[string]float64
	// Domain is the failure domain of this VM.
	Domain string
}

// load is the load that this VM's requests put on one engine.
type load struct {
	// running is the number of requests in flight.
	running int
	// prefillTokens is the number of prompt tokens that the engine still has to prefill.
	prefillTokens int
	// reservedTokens is the number of prompt and output tokens that the requests in flight may hold in memory.
	reservedTokens int
	// cached holds the time at which each prompt part was last sent, by the part's id.
	cached map[uint64]time.Time
}

// Placer tracks this VM's requests in flight by engine. It isn't safe for concurrent use.
type Placer struct {
	engines map[string]*load
	// list and order are reused by Rank.
	list  []scoredEngine
	order []int
}

// NewPlacer returns an empty Placer.
func NewPlacer() *Placer { return &Placer{engines: make(map[string]*load)} }

// scoredEngine is an engine by its index, with its hash and key, which order the engines of a session, and its cost.
type scoredEngine struct {
	hash      uint64
	key, cost float64
	index     int
}

// Rank returns the indexes of the engines from best to worst; the next call reuses them. memory is the number of tokens that one
// engine can hold; 0 for no limit.
func (pl *Placer) Rank(r Request, engines []Engine, memory int, now time.Time) []int {
	list := slices.Grow(pl.list[:0], len(engines))[:len(engines)]
	key, uneven := sessionKey(r.Prompt), unevenWeights(engines)
	for i := range engines {
		e := scoredEngine{index: i, hash: mix(xxhash.Sum64String(engines[i].ID) ^ key)}
		if uneven {
			e.key = weightedKey(e.hash, engines[i].weight())
		}
		list[i] = e
	}
	slices.SortFunc(list, func(x, y scoredEngine) int {
		if c := cmp.Compare(x.key, y.key); c != 0 {
			return c
		}
		return cmp.Compare(x.hash, y.hash)
	})
	n := pl.weigh(&r, list, engines, memory, now)
	slices.SortStableFunc(list[:n], func(x, y scoredEngine) int { return cmp.Compare(x.cost, y.cost) })
	pl.list, pl.order = list, pl.order[:0]
	for i := range list {
		pl.order = append(pl.order, list[i].index)
	}
	return pl.order
}

// rankedByCost is how many engines are ranked by cost at least; those behind them stay in the session's order.
const rankedByCost = 16

// weigh sets the costs of the engines in the session's order, up to the position from which none can be among the rankedByCost
// cheapest, and returns that position.
func (pl *Placer) weigh(r *Request, list []scoredEngine, engines []Engine, memory int, now time.Time) int {
	var lowest [rankedByCost]float64
	for i := range list {
		if i >= rankedByCost && positionCost(i) > lowest[rankedByCost-1] {
			return i
		}
		c := pl.cost(r, &engines[list[i].index], i, memory, now)
		list[i].cost = c
		k := min(i, rankedByCost-1)
		if i >= rankedByCost && c >= lowest[k] {
			continue
		}
		for ; k > 0 && lowest[k-1] > c; k-- {
			lowest[k] = lowest[k-1]
		}
		lowest[k] = c
	}
	return len(list)
}

// positionCost is the cost of a position in a session's order.
func positionCost(position int) float64 {
	cost := float64(position) * affinityCost / 4
	if position > 0 {
		cost += affinityCost
	}
	return cost
}

func (e *Engine) weight() float64 {
	if e.Weight <= 0 {
		return 1
	}
	return e.Weight
}

func unevenWeights(engines []Engine) bool {
	return slices.ContainsFunc(engines, func(e Engine) bool { return e.weight() != engines[0].weight() })
}

// weightedKey maps a hash to the key of weighted rendezvous hashing: the lowest key is the first of the order. With equal weights
// it grows with the hash.
func weightedKey(hash uint64, weight float64) float64 {
	const scale = 1.0 / (1 << 64)
	return -math.Log1p(-(float64(hash)*scale)*(1-1e-16)) / weight
}

// cost returns the cost of an engine at a position in the session's order, in tokens.
func (pl *Placer) cost(r *Request, e *Engine, position, memory int, now time.Time) float64 {
	cost := positionCost(position)
	l := pl.engines[e.ID]
	if l != nil {
		cost += float64(l.prefillTokens)*prefillWeight + float64(l.running*runningCost)
		if r.Prompt != nil && memory > 0 && l.reservedTokens+r.Prompt.Tokens > memory {
			cost += memoryCost
		}
	}
	cost += float64(l.uncachedTokens(r.Prompt, now))
	for domain, mb := range r.InputMB {
		if domain != e.Domain {
			cost += mb * remoteCostPerMB
		}
	}
	cost += e.Others * runningCost
	if e.Slowness > 1 {
		cost += (e.Slowness - 1) * slownessCost
	}
	if e.Cold {
		cost += coldCost
	}
	return cost
}

// uncachedTokens estimates how many tokens of a prompt the engine has to prefill. l may be nil.
func (l *load) uncachedTokens(p *dialect.Prompt, now time.Time) int {
	if p == nil {
		return 0
	}
	uncachedTokens := p.Tokens
	for _, part := range p.Parts {
		if l == nil {
			break
		}
		at, ok := l.cached[part.ID]
		if !ok || now.Sub(at) > prefixTTL {
			break
		}
		uncachedTokens -= part.Tokens
	}
	return max(uncachedTokens, 0)
}

// sessionKey identifies the session of a prompt by the last part that its requests share: the last but one.
func sessionKey(p *dialect.Prompt) uint64 {
	if p == nil || len(p.Parts) == 0 {
		return 0
	}
	return p.Parts[max(0, len(p.Parts)-2)].ID * 0x9e3779b97f4a7c15
}

// mix is the 64-bit finaliser of MurmurHash3.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// InFlight is a request in flight at an engine.
type InFlight struct {
	engine         string
	prefillTokens  int
	reservedTokens int
	prefilled      bool
}

// PrefillTokens returns the number of prompt tokens that the engine was expected to prefill.
func (f *InFlight) PrefillTokens() int { return f.prefillTokens }

// Add records that a request is sent to an engine and returns it for the calls below. p is nil for a request without a
// prompt.
func (pl *Placer) Add(p *dialect.Prompt, engine string, now time.Time) *InFlight {
	l := pl.engines[engine]
	if l == nil {
		l = &load{cached: make(map[uint64]time.Time)}
		pl.engines[engine] = l
	}
	s := &InFlight{engine: engine}
	if p != nil {
		s.prefillTokens, s.reservedTokens = l.uncachedTokens(p, now), p.Tokens+p.MaxOutput
		for _, part := range p.Parts {
			l.cached[part.ID] = now
		}
	}
	l.running++
	l.prefillTokens += s.prefillTokens
	l.reservedTokens += s.reservedTokens
	return s
}

// PrefillDone records that the engine has prefilled the prompt.
func (pl *Placer) PrefillDone(s *InFlight) {
	if l := pl.engines[s.engine]; l != nil && !s.prefilled {
		s.prefilled = true
		l.prefillTokens -= s.prefillTokens
	}
}

// Remove records that the request no longer runs on the engine. It must be called once only. With failed, the engine may
// have lost its cache and is taken to have nothing cached.
func (pl *Placer) Remove(s *InFlight, failed bool) {
	pl.PrefillDone(s)
	l := pl.engines[s.engine]
	if l == nil {
		return
	}
	l.running--
	l.reservedTokens -= s.reservedTokens
	if failed {
		clear(l.cached)
	}
}

// Retain drops idle engines for which keep returns false, and cached parts older than prefixTTL.
func (pl *Placer) Retain(keep func(engine string) bool, now time.Time) {
	for id, l := range pl.engines {
		if !keep(id) && l.running == 0 {
			delete(pl.engines, id)
			continue
		}
		for part, at := range l.cached {
			if now.Sub(at) > prefixTTL {
				delete(l.cached, part)
			}
		}
	}
}
