package burn

import (
	"cmp"
	"slices"
	"sync"
	"time"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
)

// Bounds of a Recorder.
const (
	// BatchSeries is the most series, beside those of Rest, and the most costs that one batch carries.
	BatchSeries = 64
	// maxPending is the most counts that wait for a batch; further organisations go to Rest.
	maxPending = 4096
	// maxPendingSlots is the most slots that wait; older ones are dropped.
	maxPendingSlots = fineSlots
)

// Batch is what a heartbeat carries. The same batch is handed out until it is acknowledged.
type Batch struct {
	// Sequence grows by one with each batch that holds anything.
	Sequence uint64
	Series   []*daisyhatchv1.BurnSeries
	Costs    []*daisyhatchv1.StageCost
}

// Empty reports whether the batch holds nothing.
func (b Batch) Empty() bool { return len(b.Series) == 0 && len(b.Costs) == 0 }

type countKey struct {
	slot                   int64
	pipeline, organisation string
}

type count struct{ good, bad uint64 }

type costKey struct {
	pipeline, organisation, stage string
}

type cost struct {
	cost, wasted float64
	calls        uint64
}

// Recorder counts the requests of one entry VM until heartbeats carry them off. It is safe for concurrent use.
type Recorder struct {
	mu       sync.Mutex
	counts   map[countKey]count
	costs    map[costKey]cost
	sequence uint64
	// open is the batch that is not yet acknowledged.
	open Batch
}

// NewRecorder returns an empty Recorder.
func NewRecorder() *Recorder {
	return &Recorder{counts: make(map[countKey]count), costs: make(map[costKey]cost)}
}

// Record counts one finished request. It is good when the whole answer came within the deadline.
func (r *Recorder) Record(pipeline, organisation string, good bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := countKey{slot: slotOf(now, FineSlot), pipeline: pipeline, organisation: organisation}
	if _, ok := r.counts[k]; !ok && len(r.counts) >= maxPending {
		k.organisation = Rest
	}
	c := r.counts[k]
	if good {
		c.good++
	} else {
		c.bad++
	}
	r.counts[k] = c
}

// RecordCost books one stage call. wasted is the part of spent that went to hedge losers, abandoned and retried calls.
func (r *Recorder) RecordCost(pipeline, organisation, stage string, spent, wasted float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := costKey{pipeline: pipeline, organisation: organisation, stage: stage}
	if _, ok := r.costs[k]; !ok && len(r.costs) >= maxPending {
		k.organisation = Rest
	}
	c := r.costs[k]
	c.cost += spent
	c.wasted += wasted
	c.calls++
	r.costs[k] = c
}

// Drain returns the batch for the next heartbeat: the open one until Acked, else a new one. What doesn't fit waits
// for later batches, the oldest slots first. A batch without anything new is Empty.
func (r *Recorder) Drain(now time.Time) Batch {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.open.Empty() {
		return r.open
	}
	r.dropOld(slotOf(now, FineSlot) - maxPendingSlots)
	b := Batch{Series: r.takeCounts(), Costs: r.takeCosts(now)}
	if !b.Empty() {
		r.sequence++
	}
	b.Sequence = r.sequence
	r.open = b
	return b
}

// Acked tells that a control VM has counted the batch with this sequence number.
func (r *Recorder) Acked(sequence uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if sequence == r.open.Sequence {
		r.open = Batch{}
	}
}

func (r *Recorder) dropOld(oldest int64) {
	for k := range r.counts {
		if k.slot < oldest {
			delete(r.counts, k)
		}
	}
}

func (r *Recorder) takeCounts() []*daisyhatchv1.BurnSeries {
	keys := make([]countKey, 0, len(r.counts))
	for k := range r.counts {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b countKey) int {
		x, y := r.counts[a], r.counts[b]
		return cmp.Or(
			compareBool(a.organisation == Rest, b.organisation == Rest),
			cmp.Compare(a.slot, b.slot),
			cmp.Compare(y.bad, x.bad),
			cmp.Compare(y.good, x.good),
			cmp.Compare(a.pipeline, b.pipeline),
			cmp.Compare(a.organisation, b.organisation),
		)
	})
	var out []*daisyhatchv1.BurnSeries
	for _, k := range keys[:min(len(keys), BatchSeries)] {
		c := r.counts[k]
		delete(r.counts, k)
		out = append(out, &daisyhatchv1.BurnSeries{
			Pipeline: k.pipeline, Organisation: k.organisation,
			SlotS: int64(FineSlot / time.Second), StartUnixS: slotStart(k.slot, FineSlot),
			Good: []uint64{c.good}, Bad: []uint64{c.bad},
		})
	}
	return out
}

// compareBool sorts true first.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

func (r *Recorder) takeCosts(now time.Time) []*daisyhatchv1.StageCost {
	keys := make([]costKey, 0, len(r.costs))
	for k := range r.costs {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b costKey) int {
		return cmp.Or(
			cmp.Compare(r.costs[b].cost, r.costs[a].cost),
			cmp.Compare(a.pipeline, b.pipeline),
			cmp.Compare(a.organisation, b.organisation),
			cmp.Compare(a.stage, b.stage),
		)
	})
	var out []*daisyhatchv1.StageCost
	for _, k := range keys[:min(len(keys), BatchSeries)] {
		c := r.costs[k]
		delete(r.costs, k)
		out = append(out, &daisyhatchv1.StageCost{
			Pipeline: k.pipeline, Organisation: k.organisation, Stage: k.stage,
			Cost: c.cost, Wasted: c.wasted, Calls: c.calls, StartUnixS: now.Unix(),
		})
	}
	return out
}
