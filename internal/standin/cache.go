package standin

import (
	"container/list"
	"net/http"
	"strconv"
	"time"

	"github.com/daisyhatch/daisyhatch/pkg/engine"
	"github.com/daisyhatch/daisyhatch/pkg/engine/openai"
)

// prefixCache holds the prefix blocks of prompts, least recently used out first, and logs what enters and leaves.
type prefixCache struct {
	sequence uint64
	events   []openai.CacheReportEvent
	blocks   map[uint64]*list.Element
	recent   *list.List
	hits     int
	total    int
}

// clear empties the cache as a new process does. The counts stay.
func (c *prefixCache) clear() {
	*c = prefixCache{blocks: make(map[uint64]*list.Element), recent: list.New(), hits: c.hits, total: c.total}
}

// store takes the blocks of a prompt up and returns how many of them were not cached. gap drops each n-th event.
func (c *prefixCache) store(blocks []uint64, most, gap int) int {
	cached := 0
	for cached < len(blocks) && c.blocks[blocks[cached]] != nil {
		cached++
	}
	c.hits += cached
	c.total += len(blocks)
	var e openai.CacheReportEvent
	for i := len(blocks) - 1; i >= 0; i-- {
		h := blocks[i]
		if x := c.blocks[h]; x != nil {
			c.recent.MoveToFront(x)
			continue
		}
		c.blocks[h] = c.recent.PushFront(h)
		e.Stored = append(e.Stored, h)
	}
	for len(c.blocks) > most {
		oldest := c.recent.Remove(c.recent.Back()).(uint64)
		delete(c.blocks, oldest)
		e.Removed = append(e.Removed, oldest)
	}
	if len(e.Stored) > 0 {
		c.log(e, gap)
	}
	return len(blocks) - cached
}

func (c *prefixCache) log(e openai.CacheReportEvent, gap int) {
	c.sequence++
	e.Sequence = c.sequence
	if gap > 0 && c.sequence%uint64(gap) == 0 {
		return
	}
	c.events = append(c.events, e)
	if len(c.events) > keptCacheEvents {
		c.events = c.events[1:]
	}
}

// newest returns the newest events after a sequence number, at most limit of them; 0 means all.
func (c *prefixCache) newest(after uint64, limit int) []openai.CacheReportEvent {
	var out []openai.CacheReportEvent
	for _, e := range c.events {
		if e.Sequence > after {
			out = append(out, e)
		}
	}
	if limit > 0 {
		out = out[max(0, len(out)-limit):]
	}
	return out
}

// prompt runs the call's prompt, or takes the KV cache that was imported for it. It returns false when the call is to
// end without an answer.
func (c *call) prompt() bool {
	s := c.s
	s.mu.Lock()
	_, imported := s.kv[c.attempt]
	delete(s.kv, c.attempt)
	if !imported {
		s.prompts++
	}
	s.mu.Unlock()
	if imported {
		return c.wait(0)
	}
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.prompts--
	}()
	return c.wait(s.firstToken() + c.prefill())
}

// prefill stores the prefix of a prompt and returns the time that its uncached part takes.
func (c *call) prefill() time.Duration {
	if c.r.URL.Path != openai.PathChat {
		return 0
	}
	s := c.s
	s.mu.Lock()
	defer s.mu.Unlock()
	missing := s.cache.store(engine.PrefixBlocks(c.body), s.opts.CacheBlocks, s.opts.CacheGap)
	return time.Duration(missing) * s.opts.BlockTime
}

func (s *Server) serveCache(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	limit, _ := strconv.Atoi(r.URL.Query().Get("limit"))
	s.mu.Lock()
	out := openai.CacheReport{Events: s.cache.newest(after, limit)}
	s.mu.Unlock()
	writeJSON(w, out)
}

// CacheHits returns how many prefix blocks of prompts were cached, and how many there were.
func (s *Server) CacheHits() (hits, total int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cache.hits, s.cache.total
}
