package fleet

import (
	"cmp"
	"slices"
	"time"
)

// Timeouts of membership changes.
const (
	// deadAfter is the silence after which a voter counts as dead and may be replaced by another VM: six times the
	// election timeout, so that a short pause doesn't cost a voter its place.
	deadAfter = 3 * time.Second
	// joinRequestTTL is how long a join request is valid; a VM repeats it every joinInterval.
	joinRequestTTL = 2 * time.Second
)

// Member is a member of the control group as its leader sees it.
type Member struct {
	VM       string
	Instance string
	Learner  bool
	// Silence is the time since the leader last heard from the member; 0 for the leader itself.
	Silence time.Duration
	// Stopping is true if the member gave notice of its stop and wasn't heard later.
	Stopping bool
}

// Joiner is a VM that asks to join the control group. RequestedAt is when its latest request arrived.
type Joiner struct {
	VM          string
	Address     string
	Instance    string
	RequestedAt time.Time
}

// MembershipChange is one change to the control group; at most one field is set.
type MembershipChange struct {
	Add    *Joiner
	Remove string
}

// NextMembershipChange decides the next change to the control group. A member that asks to join as another instance
// has lost its data folder, which never counts again: the member is removed and joins under its new identity. A dead
// voter is removed only when a VM waits to take its place, or when there are more voters than target, so that the
// group never shrinks because of silence alone. It is removed before the new voter is added: the quorum then never
// needs more live voters than before.
//
// A voter that stops may come back, so it keeps its vote as long as the others can lose as many more voters as a group of
// target voters can. Otherwise it is removed while there are more voters than target.
func NextMembershipChange(members []Member, joiners []Joiner, target int, now time.Time) MembershipChange {
	voters := 0
	byVM := make(map[string]Member, len(members))
	for _, m := range members {
		byVM[m.VM] = m
		if !m.Learner {
			voters++
		}
	}
	waiting := slices.DeleteFunc(slices.Clone(joiners), func(j Joiner) bool { return now.Sub(j.RequestedAt) > joinRequestTTL })
	slices.SortFunc(waiting, func(a, b Joiner) int { return cmp.Compare(a.VM, b.VM) })
	for _, j := range waiting {
		if m, ok := byVM[j.VM]; ok && m.Instance != j.Instance {
			return MembershipChange{Remove: j.VM}
		}
	}
	waiting = slices.DeleteFunc(waiting, func(j Joiner) bool { _, ok := byVM[j.VM]; return ok })
	dead := longestSilent(members)
	switch {
	case dead != "" && (voters > target || len(waiting) > 0 && voters >= target):
		return MembershipChange{Remove: dead}
	case voters > target && spareVoters(members, voters) < target-majority(target):
		return MembershipChange{Remove: longestStopping(members)}
	case len(waiting) > 0:
		return MembershipChange{Add: &waiting[0]}
	}
	return MembershipChange{}
}

func majority(voters int) int { return voters/2 + 1 }

// spareVoters returns how many of the voters that go on running may fail before the group has no majority.
func spareVoters(members []Member, voters int) int {
	running := 0
	for _, m := range members {
		if !m.Learner && !m.Stopping && m.Silence < deadAfter {
			running++
		}
	}
	return running - majority(voters)
}

// longestStopping returns the stopping voter that has been silent longest; empty if there is none.
func longestStopping(members []Member) string {
	vm, longest := "", time.Duration(-1)
	for _, m := range members {
		if m.Stopping && !m.Learner && m.Silence > longest {
			vm, longest = m.VM, m.Silence
		}
	}
	return vm
}

// longestSilent returns the dead member that has been silent longest; empty if there is none.
func longestSilent(members []Member) string {
	vm, longest := "", deadAfter
	for _, m := range members {
		if m.Silence >= longest {
			vm, longest = m.VM, m.Silence
		}
	}
	return vm
}
