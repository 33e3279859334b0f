package grant

import (
	"cmp"
	"math/rand/v2"
	"slices"
)

// scratch has buffers that are reused from one allocation to the next.
type scratch struct {
	candidates []candidate
	ordered    []candidate
	ranks      []rank
}

// rank is the sort key of a candidate. It has no pointers, so that sorting is cheap.
type rank struct {
	held  bool
	local bool
	// free is the share of the server's budget that the holder may get.
	free float64
	// tie is random and orders candidates that are otherwise equal.
	tie   uint64
	index int
}

// sort orders candidates: first those of which the holder has units, then those in its failure domain with room, then
// by the free share of the budget, highest first. The result is valid until the next allocation.
func (s *scratch) sort(slots []candidate, rng *rand.Rand) []candidate {
	s.ranks = s.ranks[:0]
	for i := range slots {
		t := &slots[i]
		free := float64(t.free) / float64(t.budget)
		s.ranks = append(s.ranks, rank{held: t.held > 0, local: t.localWithRoom, free: free, tie: rng.Uint64(), index: i})
	}
	slices.SortFunc(s.ranks, compareRanks)
	ordered := s.ordered[:0]
	for _, r := range s.ranks {
		ordered = append(ordered, slots[r.index])
	}
	s.candidates, s.ordered = slots, ordered
	return ordered
}

func compareRanks(a, b rank) int {
	switch {
	case a.held != b.held:
		return trueFirst(a.held)
	case a.local != b.local:
		return trueFirst(a.local)
	}
	return cmp.Or(cmp.Compare(b.free, a.free), cmp.Compare(a.tie, b.tie))
}

// trueFirst returns the order of two values of which exactly one is true: the true one comes first. isA tells whether
// it is the first operand.
func trueFirst(isA bool) int {
	if isA {
		return -1
	}
	return 1
}
