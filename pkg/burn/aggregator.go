package burn

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
	"github.com/daisyhatch/daisyhatch/pkg/config"
)

// Bounds of an Aggregator.
const (
	// MaxSeries is the most series of organisations.
	MaxSeries = 512
	// MaxCosts is the most costs of organisations.
	MaxCosts = 2048
	// maxSources is the most VM incarnations whose sequence numbers are kept.
	maxSources = 1024
	// maxDomainEvents is the most domain changes that are kept.
	maxDomainEvents = 256
	// maxAhead is how far a VM's clock may run ahead of this one's before its counts are moved to now.
	maxAhead = time.Minute
)

var droppedCounts = metrics.NewCounter(`daisyhatch_burn_dropped_total`)

type sourceKey struct{ vm, incarnation string }

type source struct {
	sequence uint64
	heard    int64
}

// pipelineInfo is what the configuration says of a pipeline or service.
type pipelineInfo struct {
	objective float64
}

// Aggregator adds up the batches of heartbeats on a control VM. It is safe for concurrent use.
type Aggregator struct {
	mu        sync.Mutex
	series    map[seriesKey]*series
	costs     map[costKey]*costRing
	sources   map[sourceKey]source
	pipelines map[string]pipelineInfo
	version   uint64
	out       []string
	events    []*daisyhatchv1.DomainEvent
	// lowest is the organisation's series with the lowest score as of lowestSlot.
	lowest     seriesKey
	lowestSlot int64
	changed    bool
}

// NewAggregator returns an empty Aggregator.
func NewAggregator() *Aggregator {
	return &Aggregator{
		series:    make(map[seriesKey]*series),
		costs:     make(map[costKey]*costRing),
		sources:   make(map[sourceKey]source),
		pipelines: make(map[string]pipelineInfo),
	}
}

// Configure takes the objectives of a configuration that was accepted at the time accepted, and notes which failure
// domains it takes out or brings back. Lower versions than the last one are ignored.
func (a *Aggregator) Configure(accepted time.Time, version uint64, set *config.Set) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if version <= a.version && len(a.pipelines) > 0 {
		return
	}
	a.pipelines = make(map[string]pipelineInfo, len(set.Pipelines)+len(set.Services))
	for name, p := range set.Pipelines {
		a.pipelines[name] = pipelineInfo{objective: p.Objective}
	}
	for name, v := range set.Services {
		a.pipelines[name] = pipelineInfo{objective: v.Objective}
	}
	if version > a.version {
		a.noteDomains(accepted, version, set)
	}
	a.version = version
	a.changed = true
}

func (a *Aggregator) noteDomains(accepted time.Time, version uint64, set *config.Set) {
	var out []string
	for name, d := range set.FailureDomains {
		was := slices.Contains(a.out, name)
		if d.Out {
			out = append(out, name)
		}
		if was == d.Out {
			continue
		}
		a.events = append(a.events, &daisyhatchv1.DomainEvent{
			AtUnixMs: accepted.UnixMilli(), FailureDomain: name, TakenOut: d.Out, Version: version,
		})
	}
	slices.Sort(out)
	a.out = out
	sortEvents(a.events)
	if extra := len(a.events) - maxDomainEvents; extra > 0 {
		a.events = slices.Delete(a.events, 0, extra)
	}
}

func sortEvents(events []*daisyhatchv1.DomainEvent) {
	slices.SortFunc(events, func(x, y *daisyhatchv1.DomainEvent) int {
		if x.GetVersion() != y.GetVersion() {
			return int(int64(x.GetVersion()) - int64(y.GetVersion()))
		}
		return strings.Compare(x.GetFailureDomain(), y.GetFailureDomain())
	})
}

// Merge counts one batch and reports whether it was new. A batch whose sequence number is not above the highest
// one counted from the same incarnation of the VM is a resend and changes nothing.
func (a *Aggregator) Merge(now time.Time, vm, incarnation string, b Batch) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	k := sourceKey{vm: vm, incarnation: incarnation}
	if b.Empty() || b.Sequence <= a.sources[k].sequence {
		return false
	}
	if _, known := a.sources[k]; !known && len(a.sources) >= maxSources {
		a.forgetSource()
	}
	a.sources[k] = source{sequence: b.Sequence, heard: now.Unix()}
	a.changed = true
	for _, s := range b.Series {
		a.addSeries(now, s)
	}
	for _, c := range b.Costs {
		a.addCost(now, c)
	}
	return true
}

// forgetSource drops the VM incarnation that was heard of longest ago.
func (a *Aggregator) forgetSource() {
	var oldest sourceKey
	heard := int64(-1)
	for k, s := range a.sources {
		if heard < 0 || s.heard < heard || s.heard == heard && k.vm+k.incarnation < oldest.vm+oldest.incarnation {
			oldest, heard = k, s.heard
		}
	}
	delete(a.sources, oldest)
}

func (a *Aggregator) known(pipeline string) bool {
	_, ok := a.pipelines[pipeline]
	return ok || len(a.pipelines) == 0 && len(a.series) < MaxSeries
}

// addSeries counts one series of a batch.
func (a *Aggregator) addSeries(now time.Time, s *daisyhatchv1.BurnSeries) {
	if !a.known(s.GetPipeline()) || s.GetSlotS() <= 0 || len(s.GetGood()) != len(s.GetBad()) || len(s.GetGood()) > fineSlots {
		droppedCounts.Inc()
		return
	}
	k := seriesKey{pipeline: s.GetPipeline(), organisation: s.GetOrganisation()}
	var good, bad uint64
	for i := range s.GetGood() {
		good += s.GetGood()[i]
		bad += s.GetBad()[i]
	}
	target := a.place(now, k, scoreOf(good, bad))
	for i := range s.GetGood() {
		at := time.Unix(s.GetStartUnixS()+int64(i)*s.GetSlotS(), 0)
		target.add(notAhead(now, at), s.GetGood()[i], s.GetBad()[i])
	}
}

func notAhead(now, at time.Time) time.Time {
	if at.After(now.Add(maxAhead)) {
		return now
	}
	return at
}

// place returns the series for a key: its own, that of a weaker organisation whose counts move to Rest, or Rest.
func (a *Aggregator) place(now time.Time, k seriesKey, score uint64) *series {
	if s, ok := a.series[k]; ok {
		return s
	}
	if k.organisation != Rest && len(a.series) >= MaxSeries && !a.replaceWeaker(now, score) {
		k.organisation = Rest
	}
	s, ok := a.series[k]
	if !ok {
		s = newSeries()
		a.series[k] = s
	}
	return s
}

// replaceWeaker moves the series with the lowest score to Rest when score is above it.
func (a *Aggregator) replaceWeaker(now time.Time, score uint64) bool {
	slot := slotOf(now, FineSlot)
	if _, ok := a.series[a.lowest]; !ok || a.lowestSlot != slot {
		a.findLowest(now)
		a.lowestSlot = slot
	}
	weak, ok := a.series[a.lowest]
	if !ok || weak.score(now) >= score {
		return false
	}
	delete(a.series, a.lowest)
	a.place(now, seriesKey{pipeline: a.lowest.pipeline, organisation: Rest}, 0).merge(weak)
	return true
}

func (a *Aggregator) findLowest(now time.Time) {
	a.lowest = seriesKey{}
	found := false
	var lowest uint64
	for k, s := range a.series {
		if k.organisation == Rest {
			continue
		}
		score := s.score(now)
		if !found || score < lowest || score == lowest && k.pipeline+k.organisation < a.lowest.pipeline+a.lowest.organisation {
			a.lowest, lowest, found = k, score, true
		}
	}
}

// Report returns what this control VM has counted.
func (a *Aggregator) Report() *daisyhatchv1.BurnResponse {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.report()
}

func (a *Aggregator) report() *daisyhatchv1.BurnResponse {
	out := &daisyhatchv1.BurnResponse{DomainEvents: slices.Clone(a.events)}
	for k, s := range a.series {
		objective := a.pipelines[k.pipeline].objective
		for _, r := range []*ring{s.fine, s.coarse} {
			if p := r.proto(k, objective); p != nil {
				out.Series = append(out.Series, p)
			}
		}
	}
	for k, c := range a.costs {
		out.Costs = append(out.Costs, c.protos(k)...)
	}
	sortResponse(out)
	return out
}
