package burn

import (
	"time"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
)

// Slot is the requests of one span of time.
type Slot struct {
	Start time.Time `json:"start"`
	Good  uint64    `json:"good"`
	Bad   uint64    `json:"bad"`
}

// Timeline is the requests of one whole pipeline over time.
type Timeline struct {
	Pipeline  string  `json:"pipeline"`
	Objective float64 `json:"objective"`
	// Fine holds slots of FineSlot over the last six hours, oldest first.
	Fine []Slot `json:"fine"`
	// Coarse holds slots of CoarseSlot over the last three days, oldest first.
	Coarse []Slot `json:"coarse"`
}

// Timelines returns all pipelines by name, with slots up to now.
func Timelines(r *daisyhatchv1.BurnResponse, now time.Time) []Timeline {
	var list []Timeline
	for _, g := range groups(r) {
		if !g.total {
			continue
		}
		list = append(list, Timeline{
			Pipeline: g.key.pipeline, Objective: g.objective,
			Fine: g.counts.fine.timeline(now), Coarse: g.counts.coarse.timeline(now),
		})
	}
	return list
}

func (r *ring) timeline(now time.Time) []Slot {
	last := slotOf(now, r.slot)
	slots := make([]Slot, 0, len(r.good))
	for s := last - int64(len(r.good)) + 1; s <= last; s++ {
		x := Slot{Start: time.Unix(slotStart(s, r.slot), 0).UTC()}
		if s >= 0 && s <= r.newest && s > r.newest-int64(len(r.good)) {
			x.Good, x.Bad = uint64(r.good[r.index(s)]), uint64(r.bad[r.index(s)])
		}
		slots = append(slots, x)
	}
	return slots
}
