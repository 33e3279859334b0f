package burn

import (
	"cmp"
	"slices"
	"time"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
)

// costRing holds the costs of the newest slots.
type costRing struct {
	newest int64
	slots  [costSlots]cost
}

func (r *costRing) add(t time.Time, c cost) {
	slot := slotOf(t, CostSlot)
	if slot-r.newest >= costSlots {
		r.slots, r.newest = [costSlots]cost{}, slot
	}
	for r.newest < slot {
		r.newest++
		r.slots[r.newest%costSlots] = cost{}
	}
	if slot <= r.newest-costSlots {
		return
	}
	x := &r.slots[slot%costSlots]
	x.cost += c.cost
	x.wasted += c.wasted
	x.calls += c.calls
}

func (r *costRing) protos(k costKey) []*daisyhatchv1.StageCost {
	var out []*daisyhatchv1.StageCost
	for s := max(0, r.newest-costSlots+1); s <= r.newest; s++ {
		c := r.slots[s%costSlots]
		if c.calls == 0 {
			continue
		}
		out = append(out, &daisyhatchv1.StageCost{
			Pipeline: k.pipeline, Organisation: k.organisation, Stage: k.stage,
			Cost: c.cost, Wasted: c.wasted, Calls: c.calls, StartUnixS: slotStart(s, CostSlot),
		})
	}
	return out
}

// addCost counts one cost of a batch. Organisations above MaxCosts go to Rest.
func (a *Aggregator) addCost(now time.Time, c *daisyhatchv1.StageCost) {
	if !a.known(c.GetPipeline()) {
		droppedCounts.Inc()
		return
	}
	k := costKey{pipeline: c.GetPipeline(), organisation: c.GetOrganisation(), stage: c.GetStage()}
	if _, ok := a.costs[k]; !ok && len(a.costs) >= MaxCosts {
		k.organisation = Rest
	}
	r, ok := a.costs[k]
	if !ok {
		r = &costRing{}
		a.costs[k] = r
	}
	at := notAhead(now, time.Unix(c.GetStartUnixS(), 0))
	r.add(at, cost{cost: c.GetCost(), wasted: c.GetWasted(), calls: c.GetCalls()})
}

// sortResponse puts a response into a fixed order.
func sortResponse(r *daisyhatchv1.BurnResponse) {
	slices.SortFunc(r.Series, func(x, y *daisyhatchv1.BurnSeries) int {
		return cmp.Or(
			cmp.Compare(x.GetPipeline(), y.GetPipeline()),
			cmp.Compare(x.GetOrganisation(), y.GetOrganisation()),
			cmp.Compare(x.GetSlotS(), y.GetSlotS()),
		)
	})
	slices.SortFunc(r.Costs, func(x, y *daisyhatchv1.StageCost) int {
		return cmp.Or(
			cmp.Compare(x.GetPipeline(), y.GetPipeline()),
			cmp.Compare(x.GetOrganisation(), y.GetOrganisation()),
			cmp.Compare(x.GetStage(), y.GetStage()),
			cmp.Compare(x.GetStartUnixS(), y.GetStartUnixS()),
		)
	})
	sortEvents(r.DomainEvents)
}
