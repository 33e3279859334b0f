// Package placement chooses the engine of a request. The load pattern it answers: prompts share long prefixes, a prefix
// that an engine has read lately costs nothing there, reading the rest delays the tokens of all that run on the engine,
// and the VMs that choose don't see each other's sends. So all VMs rank the engines of a session in one order, by hash,
// and leave the first one only for one that is expected to be done sooner by their own sends. It is pure.
package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/daisyhatch/daisyhatch/pkg/dialect"
)

// Costs in tokens that an engine reads in the same time.
const (
	// runTokens is what a running request costs the others: each step of the batch takes longer by it.
	runTokens = 350
	// remoteTokensPerMB is for inputs that cross failure domains: the sites price 1 MB like 370 tokens that are read again.
	remoteTokensPerMB = 370
	// rankTokens is what leaving a session's engine costs later on: about its shared part, which is read again. The next
	// engine in the session's order is used only when the one before is busier by this much.
	rankTokens = 4500
	// readingShare weighs the tokens that an engine has yet to read for this VM: waiting for them costs time, reading a
	// shared part again elsewhere costs the whole system.
	readingShare = 0.3
	// slowTokens is what each unit of slowness beyond the usual costs.
	slowTokens = 4000
	// coldTokens is for an engine that bears little load.
	coldTokens = 8000
	// memoryTokens is the cost of an engine whose memory is full by own sends.
	memoryTokens = 20000
)

// keptPrefix is how long an engine is expected to keep a part that was sent to it.
const keptPrefix = 20 * time.Second

// Engine is one candidate.
type Engine struct {
	ID     string
	Domain string
	Cold   bool
	// Slowness is the ratio of its time to the first token to the pool's usual one, 1 when nothing is known.
	Slowness float64
}

// Request is what is to be placed.
type Request struct {
	Prompt *dialect.Prompt
	// InputMB is the size of stage results by failure domain.
	InputMB map[string]float64
	// Domain is the VM's own.
	Domain string
}

// load is what this VM has on one engine.
type load struct {
	runs    int
	reading int
	tokens  int
	kept    map[uint64]time.Time
}

// Book holds this VM's own sends. It isn't safe for concurrent use.
type Book struct {
	engines map[string]*load
}

// NewBook returns an empty Book.
func NewBook() *Book { return &Book{engines: make(map[string]*load)} }

// ranked is an engine with its place in a session's order and its cost.
type ranked struct {
	engine *Engine
	rank   uint64
	cost   float64
}

// Choose returns the engines from best to worst. memory is one engine's memory in tokens.
func (b *Book) Choose(r Request, engines []Engine, memory int, now time.Time) []Engine {
	if len(engines) < 2 {
		return engines
	}
	list := make([]ranked, len(engines))
	key := sessionKey(r.Prompt)
	for i := range engines {
		list[i] = ranked{engine: &engines[i], rank: mix(xxhash.Sum64String(engines[i].ID) ^ key)}
	}
	slices.SortFunc(list, func(x, y ranked) int { return cmp.Compare(x.rank, y.rank) })
	for i := range list {
		list[i].cost = b.cost(&r, list[i].engine, i, memory, now)
	}
	slices.SortStableFunc(list, func(x, y ranked) int { return cmp.Compare(x.cost, y.cost) })
	out := make([]Engine, len(list))
	for i := range list {
		out[i] = *list[i].engine
	}
	return out
}

func (b *Book) cost(r *Request, e *Engine, place, memory int, now time.Time) float64 {
	cost := float64(place) * rankTokens / 4
	if place > 0 {
		cost += rankTokens
	}
	l := b.engines[e.ID]
	if l != nil {
		cost += float64(l.reading)*readingShare + float64(l.runs*runTokens)
		if r.Prompt != nil && memory > 0 && l.tokens+r.Prompt.Tokens > memory {
			cost += memoryTokens
		}
	}
	cost += float64(l.missing(r.Prompt, now))
	for domain, mb := range r.InputMB {
		if domain != e.Domain {
			cost += mb * remoteTokensPerMB
		}
	}
	if e.Slowness > 1 {
		cost += (e.Slowness - 1) * slowTokens
	}
	if e.Cold {
		cost += coldTokens
	}
	return cost
}

// missing estimates the tokens of a prompt that an engine must read.
func (l *load) missing(p *dialect.Prompt, now time.Time) int {
	if p == nil {
		return 0
	}
	missing := p.Tokens
	for _, part := range p.Parts {
		if l == nil {
			break
		}
		at, ok := l.kept[part.ID]
		if !ok || now.Sub(at) > keptPrefix {
			break
		}
		missing -= part.Tokens
	}
	return max(missing, 0)
}

// sessionKey names a prompt's session: the last part that it shares.
func sessionKey(p *dialect.Prompt) uint64 {
	if p == nil || len(p.Parts) == 0 {
		return 0
	}
	return p.Parts[max(0, len(p.Parts)-2)].ID * 0x9e3779b97f4a7c15
}

// mix spreads the bits of a hash.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// Sent is a request that was sent to an engine.
type Sent struct {
	engine  string
	reading int
	tokens  int
	started bool
}

// Send notes that a request goes to an engine.
func (b *Book) Send(p *dialect.Prompt, engine string, now time.Time) *Sent {
	l := b.engines[engine]
	if l == nil {
		l = &load{kept: make(map[uint64]time.Time)}
		b.engines[engine] = l
	}
	s := &Sent{engine: engine}
	if p != nil {
		s.reading, s.tokens = l.missing(p, now), p.Tokens+p.MaxOutput
		for _, part := range p.Parts {
			l.kept[part.ID] = now
		}
	}
	l.runs++
	l.reading += s.reading
	l.tokens += s.tokens
	return s
}

// Started notes that the engine has read the prompt.
func (b *Book) Started(s *Sent) {
	if l := b.engines[s.engine]; l != nil && !s.started {
		s.started = true
		l.reading -= s.reading
	}
}

// Ended notes that the request has left the engine. failed is true when the engine may have lost what it read.
func (b *Book) Ended(s *Sent, failed bool) {
	b.Started(s)
	l := b.engines[s.engine]
	if l == nil {
		return
	}
	l.runs--
	l.tokens -= s.tokens
	if failed {
		clear(l.kept)
	}
}

// Retain drops engines that are not in use any more and parts that are too old to be kept.
func (b *Book) Retain(keep func(engine string) bool, now time.Time) {
	for id, l := range b.engines {
		if !keep(id) && l.runs == 0 {
			delete(b.engines, id)
			continue
		}
		for part, at := range l.kept {
			if now.Sub(at) > keptPrefix {
				delete(l.kept, part)
			}
		}
	}
}
