package burn

import (
	"cmp"
	"slices"
	"time"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
)

// Windows over which burn is reported, shortest first.
var Windows = []time.Duration{5 * time.Minute, 30 * time.Minute, time.Hour, 6 * time.Hour, 72 * time.Hour}

// Rate is the burn of one pipeline and organisation in one window.
type Rate struct {
	Pipeline string `json:"pipeline"`
	// Organisation is empty for those without a series of their own; Total marks the whole pipeline.
	Organisation string        `json:"organisation"`
	Total        bool          `json:"total,omitempty"`
	Window       time.Duration `json:"window_ns"`
	Good         uint64        `json:"good"`
	Bad          uint64        `json:"bad"`
	Objective    float64       `json:"objective"`
	// Burn is the share of failed requests over the share that the objective allows: at 1 the budget lasts
	// exactly for the objective's period, at 14.4 a 30 day budget is used up in 50 hours.
	Burn float64 `json:"burn"`
}

// RateOf returns the burn of good and bad requests under an objective; 0 without requests.
func RateOf(good, bad uint64, objective float64) float64 {
	if good+bad == 0 || objective >= 1 {
		return 0
	}
	return float64(bad) / float64(good+bad) / (1 - objective)
}

// Rates returns the burn in all Windows up to now: for each pipeline in total, then for each organisation. Pipelines
// go by name, organisations by their failed requests of the longest window.
func Rates(r *daisyhatchv1.BurnResponse, now time.Time) []Rate {
	var list []Rate
	for _, g := range groups(r) {
		list = append(list, g.rates(now)...)
	}
	return list
}

// group is the series of one pipeline and organisation, or of a whole pipeline.
type group struct {
	key       seriesKey
	total     bool
	objective float64
	counts    *series
}

func groups(r *daisyhatchv1.BurnResponse) []*group {
	var list []*group
	find := func(k seriesKey, total bool, objective float64) *group {
		i := slices.IndexFunc(list, func(g *group) bool { return g.key == k && g.total == total })
		if i >= 0 {
			return list[i]
		}
		list = append(list, &group{key: k, total: total, objective: objective, counts: newSeries()})
		return list[len(list)-1]
	}
	for _, s := range r.GetSeries() {
		k := seriesKey{pipeline: s.GetPipeline(), organisation: s.GetOrganisation()}
		for _, g := range []*group{find(seriesKey{pipeline: k.pipeline}, true, s.GetObjective()), find(k, false, s.GetObjective())} {
			if s.GetSlotS() == int64(FineSlot/time.Second) {
				addProto(g.counts.fine, s)
			} else {
				addProto(g.counts.coarse, s)
			}
		}
	}
	sortGroups(list)
	return list
}

func sortGroups(list []*group) {
	failed := make(map[*group]uint64, len(list))
	for _, g := range list {
		for _, b := range g.counts.coarse.bad {
			failed[g] += uint64(b)
		}
	}
	slices.SortFunc(list, func(x, y *group) int {
		return cmp.Or(
			cmp.Compare(x.key.pipeline, y.key.pipeline),
			compareBool(x.total, y.total),
			cmp.Compare(failed[y], failed[x]),
			cmp.Compare(x.key.organisation, y.key.organisation),
		)
	})
}

func (g *group) rates(now time.Time) []Rate {
	list := make([]Rate, 0, len(Windows))
	for _, w := range Windows {
		r := g.counts.fine
		if w > fineSlots*FineSlot {
			r = g.counts.coarse
		}
		good, bad := r.sum(now, int(w/r.slot))
		list = append(list, Rate{
			Pipeline: g.key.pipeline, Organisation: g.key.organisation, Total: g.total, Window: w,
			Good: good, Bad: bad, Objective: g.objective, Burn: RateOf(good, bad, g.objective),
		})
	}
	return list
}

// All is the count of all requests.
func (r Rate) All() uint64 { return r.Good + r.Bad }
