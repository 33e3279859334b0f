package routing

import (
	"container/list"
	"slices"
)

// Size limits of the index.
const (
	// defaultBlocks is the maximum number of prefix blocks in a Picker's Index.
	defaultBlocks = 1 << 16
	// recentDivisor sets when a block counts as recently used: when fewer than 1/recentDivisor of the index's capacity in
	// blocks were sent since its last use.
	recentDivisor = 16
	// serversPerBlock is the maximum number of servers recorded for one block.
	serversPerBlock = 4
	// maxViews is the maximum number of servers whose cache state is tracked.
	maxViews = 1024
)

// Index records which servers probably hold which prefix blocks in their cache. It learns from the calls sent and from
// the servers' cache events, evicts the least recently used blocks, and invalidates all entries of a server whose events
// show a gap. It is not safe for concurrent use.
type Index struct {
	// maxBlocks is the maximum number of blocks.
	maxBlocks int
	blocks    map[uint64]*list.Element
	// lru lists the blocks, the most recently used first.
	lru     *list.List
	servers map[string]*cacheView
	// clock counts the blocks sent; it serves as the time for recency.
	clock uint64
	// epochs is the last epoch assigned.
	epochs uint32
}

// cacheView is the tracked state of one server's cache.
type cacheView struct {
	// epoch changes when all entries of the server become invalid. It is unique among all views of the Index, past ones
	// included.
	epoch uint32
	// touched is the Index's clock when the view was last used.
	touched uint64
	// incarnation identifies the server process that sends the events; empty until Follow sets it.
	incarnation string
	// sequence is the number of the last cache event; 0 before the first.
	sequence uint64
}

// block is one prefix block and the servers that hold it.
type block struct {
	hash uint64
	// touched is the Index's clock when the block was last moved to the front of the LRU list.
	touched uint64
	// holders lists the servers, the one added first at the front.
	holders []holder
}

// holder is a server that holds a block. The entry is valid while epoch equals that of the server's view.
type holder struct {
	server string
	epoch  uint32
}

// NewIndex returns an Index that holds at most the given number of blocks.
func NewIndex(blocks int) *Index {
	return &Index{
		maxBlocks: blocks, blocks: make(map[uint64]*list.Element), lru: list.New(), servers: make(map[string]*cacheView),
	}
}

// Len returns the number of blocks in the index.
func (x *Index) Len() int { return len(x.blocks) }

// view returns the server's view. It adds one if needed, and then evicts the least recently used view when there are
// maxViews.
func (x *Index) view(name string) *cacheView {
	v := x.servers[name]
	if v == nil {
		if len(x.servers) >= maxViews {
			x.dropOldestView()
		}
		v = &cacheView{epoch: x.nextEpoch()}
		x.servers[name] = v
	}
	v.touched = x.clock
	return v
}

func (x *Index) nextEpoch() uint32 {
	x.epochs++
	return x.epochs
}

// dropOldestView evicts the view of the least recently used server; of several, the one whose name sorts first.
func (x *Index) dropOldestView() {
	oldest := ""
	for name, v := range x.servers {
		o := x.servers[oldest]
		if o == nil || v.touched < o.touched || v.touched == o.touched && name < oldest {
			oldest = name
		}
	}
	delete(x.servers, oldest)
}

// Sent records that a prompt was sent to a server, which will cache its prefix. If the index already has the prefix for
// that server and it was used recently, this takes a single look-up.
func (x *Index) Sent(server string, prefix []uint64) {
	if len(prefix) == 0 {
		return
	}
	x.clock += uint64(len(prefix))
	if e := x.blocks[prefix[len(prefix)-1]]; e != nil {
		b := e.Value.(*block)
		if x.clock-b.touched < uint64(x.maxBlocks/recentDivisor) && x.holds(server, b.hash) {
			return
		}
	}
	for _, h := range prefix {
		x.add(server, h)
	}
}

// Event applies one cache event: the hashes of the blocks stored and removed, and whether the whole cache was cleared. If
// the sequence number leaves a gap after the last one, all earlier entries of the server become invalid. Repeated and
// late events are ignored. It returns false when there was a gap.
func (x *Index) Event(server string, sequence uint64, stored, removed []uint64, cleared bool) bool {
	v := x.view(server)
	if sequence <= v.sequence {
		return true
	}
	contiguous := v.sequence == 0 || sequence == v.sequence+1
	if cleared || !contiguous {
		v.epoch = x.nextEpoch()
	}
	v.sequence = sequence
	for _, h := range removed {
		x.remove(server, h)
	}
	for _, h := range stored {
		x.add(server, h)
	}
	return contiguous
}

// Follow sets the incarnation of the server that the next events come from. If it differs from the previous one, the
// entries of that one are dropped.
func (x *Index) Follow(server, incarnation string) {
	v := x.view(server)
	if v.incarnation != "" && v.incarnation != incarnation {
		x.Forget(server)
	}
	v.incarnation = incarnation
}

// Unfollow records that a server's events are not read for now. The entries of the server stay valid, and the next event
// doesn't count as a gap.
func (x *Index) Unfollow(server string) {
	if v := x.servers[server]; v != nil {
		v.sequence = 0
	}
}

// Forget invalidates all entries of a server, for example after its restart.
func (x *Index) Forget(server string) {
	if v := x.servers[server]; v != nil {
		v.epoch = x.nextEpoch()
		v.sequence = 0
	}
}

// add records that a server holds a block. It evicts the least recently used block of a full index, and the first holder
// of a block that has serversPerBlock.
func (x *Index) add(server string, hash uint64) {
	e := x.blocks[hash]
	if e == nil {
		if len(x.blocks) >= x.maxBlocks {
			oldest := x.lru.Back()
			delete(x.blocks, oldest.Value.(*block).hash)
			x.lru.Remove(oldest)
		}
		e = x.lru.PushFront(&block{hash: hash})
		x.blocks[hash] = e
	}
	x.lru.MoveToFront(e)
	b := e.Value.(*block)
	b.touched = x.clock
	epoch := x.view(server).epoch
	for i := range b.holders {
		if b.holders[i].server == server {
			b.holders[i].epoch = epoch
			return
		}
	}
	if len(b.holders) >= serversPerBlock {
		copy(b.holders, b.holders[1:])
		b.holders = b.holders[:serversPerBlock-1]
	}
	b.holders = append(b.holders, holder{server, epoch})
}

// remove records that a server no longer holds a block.
func (x *Index) remove(server string, hash uint64) {
	e := x.blocks[hash]
	if e == nil {
		return
	}
	b := e.Value.(*block)
	b.holders = slices.DeleteFunc(b.holders, func(h holder) bool { return h.server == server })
	if len(b.holders) == 0 {
		x.lru.Remove(e)
		delete(x.blocks, hash)
	}
}

// holds reports whether the server probably has the block.
func (x *Index) holds(server string, hash uint64) bool {
	e := x.blocks[hash]
	if e == nil {
		return false
	}
	for _, h := range e.Value.(*block).holders {
		if h.server == server {
			return x.valid(h)
		}
	}
	return false
}

// valid reports whether a holder entry is still valid.
func (x *Index) valid(h holder) bool {
	v := x.servers[h.server]
	return v != nil && v.epoch == h.epoch
}

// cachedShare returns the fraction of the prefix's blocks that the server probably has, 0 to 1. A cache holds a block only
// together with those before it, so a binary search finds the count.
func (x *Index) cachedShare(server string, prefix []uint64) float64 {
	low, high := 0, len(prefix)
	for low < high {
		mid := (low + high + 1) / 2
		if x.holds(server, prefix[mid-1]) {
			low = mid
		} else {
			high = mid - 1
		}
	}
	return float64(low) / float64(max(1, len(prefix)))
}

// longestHolders returns the servers that probably hold the longest cached part of the prefix, at most serversPerBlock;
// unused elements are empty.
func (x *Index) longestHolders(prefix []uint64) [serversPerBlock]string {
	var out [serversPerBlock]string
	low, high := 0, len(prefix)
	for low < high {
		mid := (low + high + 1) / 2
		if x.blocks[prefix[mid-1]] != nil {
			low = mid
		} else {
			high = mid - 1
		}
	}
	if low == 0 {
		return out
	}
	n := 0
	for _, h := range x.blocks[prefix[low-1]].Value.(*block).holders {
		if x.valid(h) {
			out[n] = h.server
			n++
		}
	}
	return out
}
