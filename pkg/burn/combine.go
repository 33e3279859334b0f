package burn

import (
	"slices"
	"time"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
)

// Combine adds the reports of several control VMs up into one.
func Combine(reports ...*daisyhatchv1.BurnResponse) *daisyhatchv1.BurnResponse {
	type slotKey struct {
		seriesKey
		slot int64
	}
	rings := make(map[slotKey]*ring)
	objectives := make(map[string]float64)
	costs := make(map[costKey]*costRing)
	out := &daisyhatchv1.BurnResponse{}
	for _, report := range reports {
		for _, s := range report.GetSeries() {
			k := slotKey{seriesKey{s.GetPipeline(), s.GetOrganisation()}, s.GetSlotS()}
			r, ok := rings[k]
			if !ok {
				r = ringFor(s.GetSlotS())
				rings[k] = r
			}
			addProto(r, s)
			objectives[s.GetPipeline()] = max(objectives[s.GetPipeline()], s.GetObjective())
		}
		for _, c := range report.GetCosts() {
			addCostProto(costs, c)
		}
		for _, e := range report.GetDomainEvents() {
			if !slices.ContainsFunc(out.DomainEvents, func(x *daisyhatchv1.DomainEvent) bool { return sameEvent(x, e) }) {
				out.DomainEvents = append(out.DomainEvents, e)
			}
		}
	}
	for k, r := range rings {
		if p := r.proto(k.seriesKey, objectives[k.pipeline]); p != nil {
			out.Series = append(out.Series, p)
		}
	}
	for k, c := range costs {
		out.Costs = append(out.Costs, c.protos(k)...)
	}
	sortResponse(out)
	return out
}

func ringFor(slotSeconds int64) *ring {
	if slotSeconds == int64(FineSlot/time.Second) {
		return newRing(FineSlot, fineSlots)
	}
	return newRing(CoarseSlot, coarseSlots)
}

// addProto adds the counts of a series whose slots are at most as long as the ring's.
func addProto(r *ring, s *daisyhatchv1.BurnSeries) {
	for i := range min(len(s.GetGood()), len(s.GetBad())) {
		at := time.Unix(s.GetStartUnixS()+int64(i)*s.GetSlotS(), 0)
		if s.GetGood()[i] > 0 || s.GetBad()[i] > 0 {
			r.add(at, s.GetGood()[i], s.GetBad()[i])
		}
	}
}

func addCostProto(costs map[costKey]*costRing, c *daisyhatchv1.StageCost) {
	k := costKey{c.GetPipeline(), c.GetOrganisation(), c.GetStage()}
	r, ok := costs[k]
	if !ok {
		r = &costRing{}
		costs[k] = r
	}
	r.add(time.Unix(c.GetStartUnixS(), 0), cost{cost: c.GetCost(), wasted: c.GetWasted(), calls: c.GetCalls()})
}

// sameEvent reports whether two control VMs noted the same domain change.
func sameEvent(x, y *daisyhatchv1.DomainEvent) bool {
	return x.GetFailureDomain() == y.GetFailureDomain() && x.GetVersion() == y.GetVersion() && x.GetTakenOut() == y.GetTakenOut()
}
