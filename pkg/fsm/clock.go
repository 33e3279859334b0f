package fsm

import (
	"cmp"
	"slices"

	daisyhatchv1 "github.com/daisyhatch/daisyhatch/gen/daisyhatch/v1"
)

// Limits of the replicated clock.
const (
	// maxProposers is the count of clocks that are weighed.
	maxProposers = 32
	// staleIndexes is the count of log entries after which a silent proposer's clock no longer counts.
	staleIndexes = 10_000
)

// clock is the replicated time: the lower median of the proposers' last readings, never going back. One VM whose
// clock is wrong can't move it beyond the others' readings.
type clock struct {
	nowMs  int64
	stamps []*daisyhatchv1.ClockStamp
}

func (c *clock) observe(proposer string, timeMs int64, index uint64) {
	if timeMs <= 0 {
		return
	}
	c.stamps = slices.DeleteFunc(c.stamps, func(s *daisyhatchv1.ClockStamp) bool {
		return s.GetProposer() == proposer || s.GetIndex()+staleIndexes < index
	})
	if len(c.stamps) >= maxProposers {
		c.stamps = slices.Delete(c.stamps, 0, 1)
	}
	s := &daisyhatchv1.ClockStamp{Proposer: proposer, TimeUnixMs: timeMs, Index: index}
	at, _ := slices.BinarySearchFunc(c.stamps, s, compareStamps)
	c.stamps = slices.Insert(c.stamps, at, s)
	c.nowMs = max(c.nowMs, c.stamps[(len(c.stamps)-1)/2].GetTimeUnixMs())
}

func compareStamps(a, b *daisyhatchv1.ClockStamp) int {
	if d := cmp.Compare(a.GetTimeUnixMs(), b.GetTimeUnixMs()); d != 0 {
		return d
	}
	return cmp.Compare(a.GetProposer(), b.GetProposer())
}
