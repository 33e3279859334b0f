package stageowner

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Times of the plan.
const (
	// LostAfter is the silence from which a member's services go to others: eight of the control group's heartbeats. A
	// member that was not confirmed by a leader for as long forms no calls, so that a service never has two that do.
	LostAfter = 800 * time.Millisecond
	// SettledAfter is how long a member must have been heard before it gets a service from one that has several. A
	// change of hands costs about a second of stage calls.
	SettledAfter = 10 * time.Second
)

// Member is a voter of the control group as its leader sees it.
type Member struct {
	Address string
	// Leads is true for the leader itself.
	Leads bool
	// Silence is how long the leader has not heard it, Steady how long it has been heard without a gap of LostAfter.
	Silence, Steady time.Duration
}

func (m *Member) live() bool { return m.Silence < LostAfter }

// Change is a service's next owner.
type Change struct {
	Service string
	Address string
	// BaseTerm is the term that the change is made from.
	BaseTerm uint64
	Orderly  bool
}

// Plan returns the changes to make now: each service without a live owner gets the live member with the fewest services,
// the leader last, since it carries the log. When all have one, a service may move in order from a member that has
// several, or that leads, to a settled one that has none; lastChange is how long ago an owner was changed. A member that
// comes back gets nothing back at once.
func Plan(services []string, owners []Owner, members []Member, lastChange time.Duration) []Change {
	byService := make(map[string]Owner, len(owners))
	for _, o := range owners {
		byService[o.Service] = o
	}
	load := make(map[string]int, len(members))
	live := make(map[string]Member, len(members))
	for _, m := range members {
		if !m.live() {
			continue
		}
		live[m.Address] = m
		if m.Leads {
			load[m.Address]++
		}
	}
	var orphans []string
	for _, s := range services {
		if _, ok := live[byService[s].Address]; ok {
			load[byService[s].Address]++
		} else {
			orphans = append(orphans, s)
		}
	}
	var out []Change
	for _, s := range orphans {
		to, ok := leastLoaded(s, live, load, 0)
		if !ok {
			return out
		}
		load[to]++
		o := byService[s]
		out = append(out, Change{Service: s, Address: to, BaseTerm: o.Term, Orderly: o.Address == "" && o.Orderly})
	}
	if len(out) > 0 || lastChange < SettledAfter {
		return out
	}
	return balance(services, byService, live, load)
}

// balance moves one service to a settled member that has no work from one that has two parts of it.
func balance(services []string, owners map[string]Owner, live map[string]Member, load map[string]int) []Change {
	for _, s := range services {
		o := owners[s]
		to, ok := leastLoaded(s, live, load, SettledAfter)
		if ok && load[to] == 0 && load[o.Address] > 1 {
			return []Change{{Service: s, Address: to, BaseTerm: o.Term, Orderly: true}}
		}
	}
	return nil
}

// leastLoaded returns the member with the least load that has been steady for so long, by hash among equals.
func leastLoaded(service string, live map[string]Member, load map[string]int, steady time.Duration) (string, bool) {
	var fit []string
	for a, m := range live {
		if m.Steady >= steady {
			fit = append(fit, a)
		}
	}
	if len(fit) == 0 {
		return "", false
	}
	rank := func(a string) uint64 { return xxhash.Sum64String(service + "\x00" + a) }
	return slices.MinFunc(fit, func(a, b string) int {
		return cmp.Or(cmp.Compare(load[a], load[b]), cmp.Compare(rank(a), rank(b)), cmp.Compare(a, b))
	}), true
}
