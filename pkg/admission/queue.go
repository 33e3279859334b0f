// Package admission decides which requests start: by a weighted fair queue between organisations, by limits on rate and
// concurrency, and by early refusal of requests that can't meet their deadline. Controller and Allotter do no I/O; Gate
// makes a Controller safe for concurrent use and lets callers wait.
package admission

import "container/heap"

// Queue is a weighted fair queue between organisations. Within one organisation higher priorities come first, then
// earlier arrivals. An organisation without items takes no memory.
type Queue[T any] struct {
	flows map[string]*flow[T]
	heap  flowHeap[T]
	// virtualTime is the virtual start time of the item served last.
	virtualTime float64
	// totalWeight is the sum of the weights of flows.
	totalWeight float64
	size        int
	pushed      uint64
}

// flow holds the items of one organisation.
type flow[T any] struct {
	organisation string
	weight       float64
	// start is the virtual start time of the first item.
	start float64
	items itemHeap[T]
	// index is the position in the Queue's heap; -1 when not in it.
	index int
}

// Item is one item in a Queue.
type Item[T any] struct {
	Value T

	flow     *flow[T]
	priority int
	// order is the number of the push; items of equal priority are served in this order.
	order uint64
	// index is the position in the flow's heap; -1 once removed.
	index int
}

// NewQueue returns an empty Queue.
func NewQueue[T any]() *Queue[T] {
	return &Queue[T]{flows: make(map[string]*flow[T])}
}

// Len returns the number of items.
func (q *Queue[T]) Len() int { return q.size }

// LenOf returns the number of one organisation's items.
func (q *Queue[T]) LenOf(organisation string) int {
	f := q.flows[organisation]
	if f == nil {
		return 0
	}
	return len(f.items)
}

// Push adds an item. Within an organisation, items with a higher priority come first. The weight is that of the
// organisation and is used only if it has no items yet; weights below 1 count as 1.
func (q *Queue[T]) Push(organisation string, weight, priority int, v T) *Item[T] {
	f := q.flows[organisation]
	if f == nil {
		f = &flow[T]{organisation: organisation, weight: float64(max(weight, 1)), start: q.virtualTime, index: -1}
		q.flows[organisation] = f
		q.totalWeight += f.weight
	}
	q.pushed++
	it := &Item[T]{Value: v, flow: f, priority: priority, order: q.pushed}
	heap.Push(&f.items, it)
	if f.index < 0 {
		heap.Push(&q.heap, f)
	}
	q.size++
	return it
}

// Peek returns the next item without removing it, or nil when the queue is empty.
func (q *Queue[T]) Peek() *Item[T] {
	if len(q.heap) == 0 {
		return nil
	}
	return q.heap[0].items[0]
}

// Pop removes and returns the next item, or nil when the queue is empty.
func (q *Queue[T]) Pop() *Item[T] {
	it := q.Peek()
	if it != nil {
		q.Serve(it)
	}
	return it
}

// Serve removes an item, which need not be the next one, and charges its organisation for it.
func (q *Queue[T]) Serve(it *Item[T]) {
	f := it.flow
	q.virtualTime = max(q.virtualTime, f.start)
	f.start = max(f.start, q.virtualTime) + 1/f.weight
	q.Remove(it)
}

// Remove removes an item without charging its organisation. It does nothing if the item is no longer queued.
func (q *Queue[T]) Remove(it *Item[T]) {
	f := it.flow
	if it.index < 0 {
		return
	}
	heap.Remove(&f.items, it.index)
	q.size--
	if len(f.items) == 0 {
		heap.Remove(&q.heap, f.index)
		delete(q.flows, f.organisation)
		q.totalWeight -= f.weight
		return
	}
	heap.Fix(&q.heap, f.index)
}

// Each calls f with each organisation's next item, in no particular order, until f returns false.
func (q *Queue[T]) Each(f func(*Item[T]) bool) {
	for _, fl := range q.heap {
		if !f(fl.items[0]) {
			return
		}
	}
}

type flowHeap[T any] []*flow[T]

func (h flowHeap[T]) Len() int { return len(h) }
func (h flowHeap[T]) Less(i, j int) bool {
	if h[i].start != h[j].start {
		return h[i].start < h[j].start
	}
	return h[i].items[0].order < h[j].items[0].order
}
func (h flowHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *flowHeap[T]) Push(x any) {
	f := x.(*flow[T])
	f.index = len(*h)
	*h = append(*h, f)
}

// Pop implements heap.Interface.
func (h *flowHeap[T]) Pop() any {
	old := *h
	f := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	f.index = -1
	return f
}

type itemHeap[T any] []*Item[T]

func (h itemHeap[T]) Len() int { return len(h) }
func (h itemHeap[T]) Less(i, j int) bool {
	if h[i].priority != h[j].priority {
		return h[i].priority > h[j].priority
	}
	return h[i].order < h[j].order
}
func (h itemHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *itemHeap[T]) Push(x any) {
	it := x.(*Item[T])
	it.index = len(*h)
	*h = append(*h, it)
}

// Pop implements heap.Interface.
func (h *itemHeap[T]) Pop() any {
	old := *h
	it := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	it.index = -1
	return it
}

// Weights returns the sum of the weights of the organisations that have items.
func (q *Queue[T]) Weights() float64 { return q.totalWeight }

// WeightOf returns the weight of an organisation that has items; 0 when it has none.
func (q *Queue[T]) WeightOf(organisation string) float64 {
	if f := q.flows[organisation]; f != nil {
		return f.weight
	}
	return 0
}

// Head returns the next item of one organisation, or nil when it has none.
func (q *Queue[T]) Head(organisation string) *Item[T] {
	if f := q.flows[organisation]; f != nil {
		return f.items[0]
	}
	return nil
}
