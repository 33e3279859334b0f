package burn

import (
	"time"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
)

// ring holds the counts of the newest slots.
type ring struct {
	slot time.Duration
	// newest is the number of the newest slot; it is kept at index newest modulo the length.
	newest int64
	good   []uint32
	bad    []uint32
}

func newRing(slot time.Duration, slots int) *ring {
	return &ring{slot: slot, good: make([]uint32, slots), bad: make([]uint32, slots)}
}

func (r *ring) index(slot int64) int { return int(slot % int64(len(r.good))) }

// advance makes room up to slot.
func (r *ring) advance(slot int64) {
	if r.newest == 0 || slot-r.newest >= int64(len(r.good)) {
		clear(r.good)
		clear(r.bad)
		r.newest = slot
		return
	}
	for r.newest < slot {
		r.newest++
		i := r.index(r.newest)
		r.good[i], r.bad[i] = 0, 0
	}
}

// add counts at t. Counts older than the ring are dropped.
func (r *ring) add(t time.Time, good, bad uint64) {
	slot := slotOf(t, r.slot)
	if slot > r.newest {
		r.advance(slot)
	}
	if slot <= r.newest-int64(len(r.good)) {
		return
	}
	i := r.index(slot)
	r.good[i] = addCapped(r.good[i], good)
	r.bad[i] = addCapped(r.bad[i], bad)
}

func addCapped(a uint32, b uint64) uint32 {
	const highest = 1<<32 - 1
	return uint32(min(uint64(a)+b, highest))
}

// merge adds all counts of other, which has the same slots.
func (r *ring) merge(other *ring) {
	for s := other.newest - int64(len(other.good)) + 1; s <= other.newest; s++ {
		if s < 0 {
			continue
		}
		i := other.index(s)
		if other.good[i] > 0 || other.bad[i] > 0 {
			r.add(time.Unix(slotStart(s, r.slot), 0), uint64(other.good[i]), uint64(other.bad[i]))
		}
	}
}

// sum returns the counts of the newest slots up to now.
func (r *ring) sum(now time.Time, slots int) (good, bad uint64) {
	last := slotOf(now, r.slot)
	for s := last - int64(slots) + 1; s <= min(last, r.newest); s++ {
		if s <= r.newest-int64(len(r.good)) || s < 0 {
			continue
		}
		good += uint64(r.good[r.index(s)])
		bad += uint64(r.bad[r.index(s)])
	}
	return good, bad
}

// proto returns the slots from the first with a count to the newest; nil when there is none.
func (r *ring) proto(k seriesKey, objective float64) *daisyhatchv1.BurnSeries {
	first := int64(-1)
	out := &daisyhatchv1.BurnSeries{
		Pipeline: k.pipeline, Organisation: k.organisation, Objective: objective, SlotS: int64(r.slot / time.Second),
	}
	for s := max(0, r.newest-int64(len(r.good))+1); s <= r.newest; s++ {
		i := r.index(s)
		if first < 0 && r.good[i] == 0 && r.bad[i] == 0 {
			continue
		}
		if first < 0 {
			first = s
			out.StartUnixS = slotStart(s, r.slot)
		}
		out.Good = append(out.Good, uint64(r.good[i]))
		out.Bad = append(out.Bad, uint64(r.bad[i]))
	}
	if first < 0 {
		return nil
	}
	return out
}

// seriesKey names one series.
type seriesKey struct {
	pipeline, organisation string
}

// series holds the counts of one pipeline and organisation.
type series struct {
	fine, coarse *ring
}

func newSeries() *series {
	return &series{fine: newRing(FineSlot, fineSlots), coarse: newRing(CoarseSlot, coarseSlots)}
}

func (s *series) add(t time.Time, good, bad uint64) {
	s.fine.add(t, good, bad)
	s.coarse.add(t, good, bad)
}

func (s *series) merge(other *series) {
	s.fine.merge(other.fine)
	s.coarse.merge(other.coarse)
}

// score ranks series for a place of their own: failed requests of the last hour count most.
func (s *series) score(now time.Time) uint64 {
	const slotsPerHour = 60
	good, bad := s.fine.sum(now, slotsPerHour)
	return scoreOf(good, bad)
}

func scoreOf(good, bad uint64) uint64 {
	const badWeight = 1000
	return good + badWeight*bad
}
