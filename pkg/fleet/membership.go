package fleet

import (
	"cmp"
	"slices"
	"time"
)

// Times of the plan.
const (
	// deadAfter is the silence from which a voter counts as dead when another VM can take its place: six times the
	// election timeout, so that a short freeze doesn't cost a voter its place.
	deadAfter = 3 * time.Second
	// joinLife is how long a VM's wish to join counts; it is repeated every joinInterval.
	joinLife = 2 * time.Second
)

// Member is a member of the control group as its leader sees it.
type Member struct {
	VM       string
	Instance string
	Learner  bool
	// Silence is how long the leader has not heard it; 0 for the leader itself.
	Silence time.Duration
}

// Joiner is a VM that asks to take part.
type Joiner struct {
	VM       string
	Address  string
	Instance string
	Asked    time.Time
}

// Step is one change of the control group; at most one field is set.
type Step struct {
	Add    *Joiner
	Remove string
}

// Plan decides the next change of the control group. A data folder that was lost never counts again: its VM is removed
// and joins under its new identity. A dead voter is removed only when a VM waits to take its place, or when there are
// more voters than the target, so that the group never shrinks because of silence alone. The dead one goes before the new
// one comes: the quorum then never needs more live voters than before.
func Plan(members []Member, joiners []Joiner, target int, now time.Time) Step {
	voters := 0
	byVM := make(map[string]Member, len(members))
	for _, m := range members {
		byVM[m.VM] = m
		if !m.Learner {
			voters++
		}
	}
	waiting := slices.DeleteFunc(slices.Clone(joiners), func(j Joiner) bool { return now.Sub(j.Asked) > joinLife })
	slices.SortFunc(waiting, func(a, b Joiner) int { return cmp.Compare(a.VM, b.VM) })
	for _, j := range waiting {
		if m, ok := byVM[j.VM]; ok && m.Instance != j.Instance {
			return Step{Remove: j.VM}
		}
	}
	waiting = slices.DeleteFunc(waiting, func(j Joiner) bool { _, ok := byVM[j.VM]; return ok })
	dead := longestSilent(members)
	switch {
	case dead != "" && (voters > target || len(waiting) > 0 && voters >= target):
		return Step{Remove: dead}
	case len(waiting) > 0:
		return Step{Add: &waiting[0]}
	}
	return Step{}
}

// longestSilent returns the member that counts as dead and was silent for longest; empty when there is none.
func longestSilent(members []Member) string {
	vm, longest := "", deadAfter
	for _, m := range members {
		if m.Silence >= longest {
			vm, longest = m.VM, m.Silence
		}
	}
	return vm
}
